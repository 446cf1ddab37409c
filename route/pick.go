package route

import (
	"slices"
	"time"
)

const (
	// slowFactor is the ratio of a target's service time to the reference above
	// which the target counts as slow.
	slowFactor = 2.0
	// The age of a target's oldest request in flight, divided by ageDivisor, is a
	// lower bound of its expected service time, so that a target that stops
	// answering counts as slower than its last answers showed.
	ageDivisor = 5.0
	// probeInterval is the time after which a slow target gets one request, so
	// that its recovery is detected.
	probeInterval = time.Second
	// maxEjectedDivisor limits ejection: if more than one in maxEjectedDivisor of
	// the ready targets are ejected, ejections are ignored.
	maxEjectedDivisor = 2
)

// pick returns the target with a free slot to send a request to, or nil if there
// is none or if waiting for a faster target is expected to be quicker. queued is
// the number of other requests in the queue.
func (p *Pool) pick(now time.Time, r Request, queued int) *target {
	s := scan{pool: p, now: now, avoid: r.Avoid, slowLimit: slowFactor * p.referenceServiceTime()}
	s.stuckBefore = now.Add(-time.Duration(ageDivisor * s.slowLimit * float64(time.Second)))
	if len(s.avoid) > 0 && !p.hasReadyExcept(s.avoid) {
		s.avoid = nil
	}
	s.ignoreEjection = now.Before(p.ejectedUntil) && p.tooManyEjected(now)
	for _, t := range p.targets {
		s.consider(t)
	}
	if s.best != nil || s.bestSlow == nil || s.normalSlots == 0 {
		return s.chosen()
	}
	wait := float64(queued+1) * p.referenceServiceTime() / float64(s.normalSlots)
	if wait < s.bestSlow.expected(now)-p.referenceServiceTime() {
		return nil
	}
	return s.bestSlow
}

// scan is the state of one pass over all targets.
type scan struct {
	pool           *Pool
	now            time.Time
	avoid          []string
	slowLimit      float64   // service time in seconds above which a target is slow
	stuckBefore    time.Time // a target whose oldest send in flight is older is slow
	ignoreEjection bool
	best, bestSlow *target // the best targets with a free slot
	ties           int     // the number of targets with the load of best, including best
	normalSlots    int     // the slots, free or not, of targets that are not slow
}

func (s *scan) chosen() *target {
	if s.best != nil {
		return s.best
	}
	return s.bestSlow
}

// consider compares a target with the best ones so far. A slow target that is due
// for a probe competes with the others.
func (s *scan) consider(t *target) {
	if !t.Ready || t.Share == 0 || !s.ignoreEjection && s.now.Before(t.health.pausedUntil) {
		return
	}
	isSlow := t.serviceTime.mean > s.slowLimit || len(t.sendTimes) > 0 && t.sendTimes[0].Before(s.stuckBefore)
	if !isSlow {
		s.normalSlots += t.Share
	}
	if t.inFlight >= t.Share || slices.Contains(s.avoid, t.Name) {
		return
	}
	if isSlow && s.now.Sub(t.lastSend) < probeInterval {
		if s.bestSlow == nil || t.expected(s.now) < s.bestSlow.expected(s.now) {
			s.bestSlow = t
		}
		return
	}
	s.compare(t)
}

// compare keeps the target with the smaller part of its share in use, a random one
// among equal ones.
func (s *scan) compare(t *target) {
	switch c := compareLoad(t, s.best); {
	case c < 0:
		s.best, s.ties = t, 1
	case c == 0:
		s.ties++
		if s.pool.random.IntN(s.ties) == 0 {
			s.best = t
		}
	}
}

// hasReadyExcept reports whether any target that is not in avoid is ready.
func (p *Pool) hasReadyExcept(avoid []string) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool {
		return t.Ready && t.Share > 0 && !slices.Contains(avoid, t.Name)
	})
}

// compareLoad compares how much of their shares a and b have in use. A nil b counts
// as more loaded than any target.
func compareLoad(a, b *target) int {
	if b == nil {
		return -1
	}
	return a.inFlight*b.Share - b.inFlight*a.Share
}

// usable reports whether a target is ready, has a free slot and is neither ejected
// nor paused after a refusal.
func (t *target) usable(now time.Time, ignoreEjection bool) bool {
	if !t.Ready || t.inFlight >= t.Share {
		return false
	}
	return ignoreEjection || !now.Before(t.health.pausedUntil)
}

// expected returns the expected service time in seconds of the next request to t.
func (t *target) expected(now time.Time) float64 {
	e := t.serviceTime.mean
	if len(t.sendTimes) > 0 {
		if age := now.Sub(t.sendTimes[0]).Seconds() / ageDivisor; age > e {
			return age
		}
	}
	return e
}

// tooManyEjected reports whether more than one in maxEjectedDivisor of the ready
// targets are ejected or paused after a refusal, so that both are ignored.
func (p *Pool) tooManyEjected(now time.Time) bool {
	ready, ejected := 0, 0
	for _, t := range p.targets {
		if !t.Ready || t.Share == 0 {
			continue
		}
		ready++
		if now.Before(t.health.pausedUntil) {
			ejected++
		}
	}
	return ejected*maxEjectedDivisor > ready
}

// referenceServiceTime returns the service time in seconds that targets are
// compared with: the mean weighted by rate, in which slow targets count little.
func (p *Pool) referenceServiceTime() float64 {
	if p.rate <= 0 {
		return p.serviceTime.mean
	}
	return float64(p.slots) / p.rate
}

// recount recomputes the sums of the slots and rates of the ready targets.
func (p *Pool) recount() {
	p.slots, p.rate, p.changesSinceRecount = 0, 0, 0
	for _, t := range p.targets {
		if t.Ready {
			p.slots += t.Share
			p.rate += t.rate()
		}
	}
}

// rate returns the requests a second that the share of a target can serve.
func (t *target) rate() float64 { return float64(t.Share) / t.serviceTime.mean }

// expectedSlotWait returns the expected time in seconds until a slot becomes free
// for a request that has queued others before it. reference is the mean service
// time in seconds.
func (p *Pool) expectedSlotWait(reference float64, queued int) float64 {
	if p.slots == 0 {
		return noSlotWaitSeconds
	}
	return float64(queued+1) * reference / float64(p.slots)
}

// noSlotWaitSeconds stands for the endless wait at a host that may use no slot.
const noSlotWaitSeconds = 1e9

// hasTarget reports whether a request could be sent, now or later, to a target or
// to a peer. A request that has already hopped cannot go to a peer.
func (p *Pool) hasTarget(hopped bool) bool {
	for _, t := range p.targets {
		if t.Ready && t.Share > 0 {
			return true
		}
	}
	if hopped {
		return false
	}
	for _, peer := range p.peers {
		if peer.Slots > 0 {
			return true
		}
	}
	return false
}
