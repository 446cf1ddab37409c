package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// reservationDelay is how long a lasting task waits for room before a worker
	// is reserved for it. The platform's rules allow three seconds.
	reservationDelay = 1500 * time.Millisecond
	// reservationFactor is how many times the resources of the task a worker
	// must have, beside its lasting tasks, to be reserved: the platform's rules
	// ask for room for the task twice over.
	reservationFactor = 2
	// maxReservations bounds the workers reserved in one plan.
	maxReservations = 64
)

// roomBesideLasting returns the capacity of a worker that its lasting tasks leave
// over.
func (e *Engine) roomBesideLasting(v *workerView) workflow.Resources {
	room := v.worker.Capacity
	for _, a := range v.attemptList {
		if step := e.step(a.ref); step != nil && step.Lasting {
			room = room.Sub(step.Resources)
		}
	}
	return room
}

// reserveForLasting reserves a worker for each lasting task that has waited for
// reservationDelay. Otherwise short tasks would take all capacity that becomes
// free, as long as more of them are waiting.
func (e *Engine) reserveForLasting(p *candidateSet) {
	reservations := 0
	for _, s := range e.ready.sorted {
		if !s.step.Lasting || e.wallMs-s.waitingSinceMs < reservationDelay.Milliseconds() {
			continue
		}
		for _, i := range s.pending {
			if e.mayYield(s, i) {
				continue
			}
			if reservations == maxReservations || !e.reserveWorker(p, s) {
				break
			}
			reservations++
		}
	}
}

// reserveWorker reserves, of the workers suitable for the step, the one with the
// most free processors.
func (e *Engine) reserveWorker(p *candidateSet, s *readyStep) bool {
	need := s.step.Resources
	extended := workflow.Resources{MilliProcessors: need.MilliProcessors * reservationFactor, MemoryMB: need.MemoryMB * reservationFactor, Accelerators: need.Accelerators * reservationFactor}
	var best *candidate
	for _, c := range p.byService[s.job.Service] {
		if c.reservedFor != nil || !c.allows(s) {
			continue
		}
		if !c.roomBesideLastingKnown {
			c.roomBesideLasting, c.roomBesideLastingKnown = e.roomBesideLasting(c.view), true
		}
		if extended.Fits(c.roomBesideLasting) && (best == nil || c.free.MilliProcessors > best.free.MilliProcessors) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	best.reservedFor = s.job
	return true
}
