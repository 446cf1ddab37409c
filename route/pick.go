package route

import (
	"slices"
	"time"
)

const (
	// slowFactor is the ratio to the reference service time from which a target
	// counts as slow.
	slowFactor = 2.0
	// ageDivisor relates the age of the oldest request in flight to the estimate:
	// a target that holds a request for longer than ageDivisor estimates is taken
	// for slower than its last answers showed.
	ageDivisor = 5.0
	// probeInterval is the time after which a slow target gets one request, so
	// that its recovery is noticed.
	probeInterval = time.Second
	// ejectionFloor is the share of the targets, as a divisor, that stays in use
	// however many fail: at most one in ejectionFloor is passed over.
	ejectionFloor = 2
)

// pick returns the target with a free slot that is expected to answer first, or
// nil if waiting for a faster one is expected to end sooner.
func (p *Pool) pick(now time.Time, r Request, queued int) *target {
	avoid := r.Avoid
	if len(avoid) > 0 && !p.readyBeside(avoid) {
		avoid = nil
	}
	ignoreEjection := p.belowFloor(now)
	reference := p.reference()
	var best, slow *target
	ties := 0
	for _, t := range p.targets {
		if !t.usable(now, ignoreEjection) || slices.Contains(avoid, t.Name) {
			continue
		}
		expected := t.expected(now)
		if expected > slowFactor*reference && now.Sub(t.lastSend) < probeInterval {
			if slow == nil || expected < slow.expected(now) {
				slow = t
			}
			continue
		}
		switch c := compareLoad(t, best); {
		case c < 0:
			best, ties = t, 1
		case c == 0:
			ties++
			if p.random.IntN(ties) == 0 {
				best = t
			}
		}
	}
	if best != nil || slow == nil {
		return best
	}
	if p.waitFor(reference, queued) < slow.expected(now)-reference {
		return nil
	}
	return slow
}

// readyBeside reports whether a target that is not in avoid is ready.
func (p *Pool) readyBeside(avoid []string) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool {
		return t.Ready && t.Share > 0 && !slices.Contains(avoid, t.Name)
	})
}

// compareLoad compares the shares in use of a and b; a nil b is the fullest.
func compareLoad(a, b *target) int {
	if b == nil {
		return -1
	}
	return a.inFlight*b.Share - b.inFlight*a.Share
}

func (t *target) usable(now time.Time, ignoreEjection bool) bool {
	if !t.Ready || t.inFlight >= t.Share {
		return false
	}
	return ignoreEjection || !now.Before(t.health.until)
}

// expected returns the service time in seconds that the next request to t is
// expected to take.
func (t *target) expected(now time.Time) float64 {
	e := t.service.mean
	if len(t.oldest) > 0 {
		if age := now.Sub(t.oldest[0]).Seconds() / ageDivisor; age > e {
			return age
		}
	}
	return e
}

// belowFloor reports whether so many targets are ejected that ejections are to
// be ignored.
func (p *Pool) belowFloor(now time.Time) bool {
	ready, ejected := 0, 0
	for _, t := range p.targets {
		if !t.Ready || t.Share == 0 {
			continue
		}
		ready++
		if now.Before(t.health.until) {
			ejected++
		}
	}
	return ejected*ejectionFloor > ready
}

// reference returns the service time in seconds of an ordinary target: the mean
// weighted by rate, in which slow targets count little.
func (p *Pool) reference() float64 {
	rate, slots := 0.0, 0
	for _, t := range p.targets {
		if !t.Ready || t.Share == 0 || t.service.mean <= 0 {
			continue
		}
		rate += float64(t.Share) / t.service.mean
		slots += t.Share
	}
	if rate == 0 {
		return p.service.mean
	}
	return float64(slots) / rate
}

// waitFor returns the expected time in seconds until a slot of an ordinary
// target frees for the request behind queued others.
func (p *Pool) waitFor(reference float64, queued int) float64 {
	slots := 0
	for _, t := range p.targets {
		if t.Ready && t.service.mean <= slowFactor*reference {
			slots += t.Share
		}
	}
	if slots == 0 {
		return 1e9
	}
	return float64(queued+1) * reference / float64(slots)
}

// hasTarget reports whether a request could be placed at all, now or later.
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
