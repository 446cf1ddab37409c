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
	s := scan{pool: p, now: now, avoid: r.Avoid, limit: slowFactor * p.reference()}
	s.stuck = now.Add(-time.Duration(ageDivisor * s.limit * float64(time.Second)))
	if len(s.avoid) > 0 && !p.readyBeside(s.avoid) {
		s.avoid = nil
	}
	s.ignoreEjection = now.Before(p.ejectedUntil) && p.belowFloor(now)
	for _, t := range p.targets {
		s.see(t)
	}
	if s.best != nil || s.slow == nil || s.ordinary == 0 {
		return s.choice()
	}
	wait := float64(queued+1) * p.reference() / float64(s.ordinary)
	if wait < s.slow.expected(now)-p.reference() {
		return nil
	}
	return s.slow
}

// scan is one look at all targets.
type scan struct {
	pool           *Pool
	now            time.Time
	avoid          []string
	limit          float64   // the expected time from which a target counts as slow
	stuck          time.Time // a target is slow that holds a request sent before
	ignoreEjection bool
	best, slow     *target
	ties           int
	ordinary       int // the slots, free or not, of targets that are not slow
}

func (s *scan) choice() *target {
	if s.best != nil {
		return s.best
	}
	return s.slow
}

func (s *scan) see(t *target) {
	if !t.Ready || t.Share == 0 || !s.ignoreEjection && s.now.Before(t.health.until) {
		return
	}
	isSlow := t.service.mean > s.limit || len(t.oldest) > 0 && t.oldest[0].Before(s.stuck)
	if !isSlow {
		s.ordinary += t.Share
	}
	if t.inFlight >= t.Share || slices.Contains(s.avoid, t.Name) {
		return
	}
	if isSlow && s.now.Sub(t.lastSend) < probeInterval {
		if s.slow == nil || t.expected(s.now) < s.slow.expected(s.now) {
			s.slow = t
		}
		return
	}
	s.compare(t)
}

// compare keeps the target with the smaller share in use, at random among equal
// ones.
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
	if p.rate <= 0 {
		return p.service.mean
	}
	return float64(p.slots) / p.rate
}

// recount sums the slots and rates of the ready targets anew.
func (p *Pool) recount() {
	p.slots, p.rate, p.learnt = 0, 0, 0
	for _, t := range p.targets {
		if t.Ready {
			p.slots += t.Share
			p.rate += t.rate()
		}
	}
}

// rate returns the requests a second that the share of a target can serve.
func (t *target) rate() float64 { return float64(t.Share) / t.service.mean }

// waitFor returns the expected time in seconds until a slot frees for the
// request behind queued others.
func (p *Pool) waitFor(reference float64, queued int) float64 {
	if p.slots == 0 {
		return noSlotWait
	}
	return float64(queued+1) * reference / float64(p.slots)
}

// noSlotWait is the wait in seconds at a host that may use no slot.
const noSlotWait = 1e9

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
