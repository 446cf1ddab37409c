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
	// typical is a moving mean of the number of requests for each slot that
	// waited at the peer.
	typical float64
}

// typicalWeight is the weight of a new report in the moving mean.
const typicalWeight = 1.0 / 8

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
	p.peers[i].report(now, load)
	return p.dispatch(now, nil)
}

func (x *peer) report(now time.Time, load Load) {
	x.Load = load
	x.at = now
	if load.Slots == 0 {
		return
	}
	waiting := 0.0
	if load.Free == 0 {
		waiting = float64(load.Queued) / float64(load.Slots)
	}
	x.typical += typicalWeight * (waiting - x.typical)
}

// KeepPeers forgets the peer entry hosts for which keep is false.
func (p *Pool) KeepPeers(keep func(name string) bool) {
	p.peers = slices.DeleteFunc(p.peers, func(x *peer) bool { return !keep(x.Name) })
}

// reportAge is the age, in service times, from which the report of a peer says
// nothing about its queue any more.
const reportAge = 2.0

// exploration is the factor by which the typical wait at a peer counts whose
// report is old. Below one it makes hops that bring new reports.
const exploration = 0.5

// hopMargin is the factor by which the wait at a peer counts, so that small
// differences, which the report may overstate, cause no hop.
const hopMargin = 1.25

// pickPeer returns the peer that is expected to answer a request soonest, nil if
// none is expected to beat this entry host, where ahead others wait before it.
func (p *Pool) pickPeer(now time.Time, ahead int) *peer {
	if len(p.peers) == 0 {
		return nil
	}
	reference := p.reference()
	local := p.waitFor(reference, ahead)
	hop := p.options.HopTime.Seconds()
	if local <= hop {
		return nil
	}
	var best *peer
	least := local
	offset := p.random.IntN(len(p.peers))
	for i := range p.peers {
		x := p.peers[(i+offset)%len(p.peers)]
		if x.Slots == 0 {
			continue
		}
		if wait := x.wait(now, reference) + hop; wait < least {
			best, least = x, wait
		}
	}
	if best != nil {
		best.noteHop(now, reference)
	}
	return best
}

// wait returns the time in seconds that a request is expected to wait at the
// peer. An old report is replaced by what the peer typically reports.
func (x *peer) wait(now time.Time, reference float64) float64 {
	if now.Sub(x.at).Seconds() > reportAge*reference {
		return x.typical * reference * exploration
	}
	if x.Free > 0 {
		return 0
	}
	return float64(x.Queued+1) * reference / float64(x.Slots) * hopMargin
}

// noteHop counts a request that was handed to the peer. A report that was too
// old is replaced by the guess that led to the hop.
func (x *peer) noteHop(now time.Time, reference float64) {
	if now.Sub(x.at).Seconds() > reportAge*reference {
		x.Free, x.Queued = 0, int(x.typical*float64(x.Slots))
		x.at = now
	}
	if x.Free > 0 {
		x.Free--
		return
	}
	x.Queued++
}
