package route

import (
	"slices"
	"time"
)

// Load is the load of one service on one entry host, as peers learn it.
type Load struct {
	// Slots is the sum of the shares that the entry host may use.
	Slots int
	// Free is the number of unused slots of ordinary targets.
	Free int
	// Queued is the number of waiting requests.
	Queued int
}

type peer struct {
	Name string
	Load
	at time.Time
}

// Load returns the load of this pool.
func (p *Pool) Load(now time.Time) Load {
	load := Load{Queued: p.queue.len()}
	reference := p.reference()
	for _, t := range p.targets {
		if !t.Ready {
			continue
		}
		load.Slots += t.Share
		if t.usable(now, false) && t.expected(now) <= slowFactor*reference {
			load.Free += t.Share - t.inFlight
		}
	}
	return load
}

// SetPeer records the load that a peer entry host reported and returns the
// decisions that follow from it.
func (p *Pool) SetPeer(now time.Time, name string, load Load) []Decision {
	i := slices.IndexFunc(p.peers, func(x *peer) bool { return x.Name == name })
	if i < 0 {
		p.peers = append(p.peers, &peer{Name: name})
		i = len(p.peers) - 1
	}
	p.peers[i].Load = load
	p.peers[i].at = now
	return p.dispatch(now, nil)
}

// KeepPeers forgets the peer entry hosts for which keep is false.
func (p *Pool) KeepPeers(keep func(name string) bool) {
	p.peers = slices.DeleteFunc(p.peers, func(x *peer) bool { return !keep(x.Name) })
}

// pickPeer returns the peer with the most free slots, nil if none is known to
// have one.
func (p *Pool) pickPeer(time.Time) *peer {
	var best *peer
	for _, x := range p.peers {
		if x.Free > 0 && (best == nil || x.Free > best.Free) {
			best = x
		}
	}
	if best != nil {
		best.Free--
	}
	return best
}
