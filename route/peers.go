package route

import (
	"slices"
	"time"
)

// Load is the load of one service on one entry host, as reported to its peers.
type Load struct {
	// Slots is the sum of the shares that the entry host may use.
	Slots int
	// Free is the number of unused slots of targets that are not slow.
	Free int
	// Queued is the number of waiting requests.
	Queued int
}

// peer is a peer entry host with its latest report.
type peer struct {
	Name string
	Load
	reportedAt time.Time
	// meanQueuedPerSlot is an exponentially weighted moving average of the number
	// of requests that were queued at the peer, per slot.
	meanQueuedPerSlot float64
}

// reportWeight is the weight of a new report in meanQueuedPerSlot.
const reportWeight = 1.0 / 8

// Load returns the present load of this pool.
func (p *Pool) Load(now time.Time) Load {
	load := Load{Queued: p.queue.len()}
	reference := p.referenceServiceTime()
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
	i := slices.IndexFunc(p.peers, func(known *peer) bool { return known.Name == name })
	if i < 0 {
		p.peers = append(p.peers, &peer{Name: name})
		i = len(p.peers) - 1
	}
	p.peers[i].recordReport(now, load)
	return p.dispatch(now, nil)
}

func (p *peer) recordReport(now time.Time, load Load) {
	p.Load = load
	p.reportedAt = now
	if load.Slots == 0 {
		return
	}
	waiting := 0.0
	if load.Free == 0 {
		waiting = float64(load.Queued) / float64(load.Slots)
	}
	p.meanQueuedPerSlot += reportWeight * (waiting - p.meanQueuedPerSlot)
}

// KeepPeers removes the peer entry hosts for which keep returns false.
func (p *Pool) KeepPeers(keep func(name string) bool) {
	p.peers = slices.DeleteFunc(p.peers, func(known *peer) bool { return !keep(known.Name) })
}

// maxReportAge is the age, in mean service times, above which the report of a
// peer no longer describes its queue.
const maxReportAge = 2.0

// staleWaitFactor scales the mean wait at a peer whose report is too old. A
// factor below one favours hops to such peers, which bring new reports.
const staleWaitFactor = 0.5

// hopWaitFactor scales the reported wait at a peer, so that small differences,
// which the report may overstate, cause no hop.
const hopWaitFactor = 1.25

// pickPeer returns the peer that is expected to answer a request soonest, or nil
// if none is expected to answer sooner than this entry host, where ahead requests
// are queued before it. It adds the request to the load of the returned peer.
func (p *Pool) pickPeer(now time.Time, ahead int) *peer {
	if len(p.peers) == 0 {
		return nil
	}
	reference := p.referenceServiceTime()
	local := p.expectedSlotWait(reference, ahead)
	hop := p.options.HopTime.Seconds()
	if local <= hop {
		return nil
	}
	var best *peer
	bestWait := local
	offset := p.random.IntN(len(p.peers))
	for i := range p.peers {
		candidate := p.peers[(i+offset)%len(p.peers)]
		if candidate.Slots == 0 {
			continue
		}
		if wait := candidate.expectedWait(now, reference) + hop; wait < bestWait {
			best, bestWait = candidate, wait
		}
	}
	if best != nil {
		best.recordHop(now, reference)
	}
	return best
}

// expectedWait returns the time in seconds that a request is expected to wait at
// the peer. If the report is too old, the mean of earlier reports is used.
func (p *peer) expectedWait(now time.Time, reference float64) float64 {
	if now.Sub(p.reportedAt).Seconds() > maxReportAge*reference {
		return p.meanQueuedPerSlot * reference * staleWaitFactor
	}
	if p.Free > 0 {
		return 0
	}
	return float64(p.Queued+1) * reference / float64(p.Slots) * hopWaitFactor
}

// recordHop adds a request that was forwarded to the peer to its load. A report
// that was too old is replaced by the estimate that led to the hop.
func (p *peer) recordHop(now time.Time, reference float64) {
	if now.Sub(p.reportedAt).Seconds() > maxReportAge*reference {
		p.Free, p.Queued = 0, int(p.meanQueuedPerSlot*float64(p.Slots))
		p.reportedAt = now
	}
	if p.Free > 0 {
		p.Free--
		return
	}
	p.Queued++
}
