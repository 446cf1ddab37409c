package dispatch

import "time"

// What runs on a worker that is not heard of ends with its lease; until then its tasks may not run
// elsewhere.

// maxRealTime returns the real time after which a worker's clock has certainly
// counted d.
func maxRealTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockLag))
}

// reachable reports whether the worker has answered an order of this term
// recently.
func (e *Engine) reachable(v *workerView) bool {
	return v.fenced && !v.refusesToken && e.since(v.answeredAt) < staleAfter
}

// answers reports whether an answer that names no incarnation, but tells the clock, is of this one.
// Clocks count from the start of an incarnation, no faster than time passes, and the next one began
// after this one was sent a poll that it answered.
func (v *workerView) answers(clockMs int64, now Instant) bool {
	return v.shownAt != 0 && clockMs > (now.Sub(v.shownAt)+clockStartMargin).Milliseconds()
}

// leaseOverAt returns when an attempt on a worker that is not heard of has certainly ended with its
// lease, also if the worker's next incarnation took its start. Starts without an answer may be carried
// out later; their open start covers that.
func (e *Engine) leaseOverAt(v *workerView, a *attempt) Instant {
	answeredByNext := a.startAnswered && !a.confirmed
	if !answeredByNext && a.ownStartsInFlight() == 0 {
		return v.leaseExpiresAt
	}
	at := max(v.leaseExpiresAt, v.nextLeaseExpiresAt)
	if step := e.step(a.ref); answeredByNext && step != nil && exclusive(step) {
		return at.Add(maxOrderDelay) // Late orders prolong the lease of the next incarnation.
	}
	return at
}

// voidExpired voids the attempts on a worker whose leases have expired.
func (e *Engine) voidExpired(v *workerView) {
	for _, a := range v.attemptList {
		if e.now > e.leaseOverAt(v, a) {
			if c, ok := e.victimOf(v, a); ok {
				e.recordLoss(v, c)
			}
			e.void(v, a, "lease_over")
		}
	}
	e.forgetStrays(v.worker.ID, nil)
}

// voidCarriedLasting voids the carried attempts of lasting tasks on a worker that has not answered
// since it restarted, once their leases are over. After that, it may run only those with an open start.
func (e *Engine) voidCarriedLasting(v *workerView) {
	if v.fenced {
		return // Its first answer decides.
	}
	for _, a := range v.attemptList {
		step := e.step(a.ref)
		if a.carried && a.lapsesAt != 0 && e.now > a.lapsesAt && step != nil && step.Lasting && e.openStartOf(a.ref, v.worker.Life.Name) == nil {
			e.void(v, a, "lease_over")
		}
	}
}
