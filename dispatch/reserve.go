package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// reservationDelay is how long a task that lasts waits for room before a worker
	// is kept for it. The platform's page on rules allows three seconds.
	reservationDelay = 1500 * time.Millisecond
	// reservationFactor times the task is the room that a worker has beside its tasks that
	// last when it is kept: the same page asks for room for it twice over.
	reservationFactor = 2
	// maxReservations bounds the workers that are kept in one plan.
	maxReservations = 64
)

// roomBesideLasting is what a worker has beside its tasks that last.
func (e *Engine) roomBesideLasting(v *workerView) workflow.Resources {
	room := v.worker.Capacity
	for _, a := range v.attemptList {
		if step := e.step(a.ref); step != nil && step.Lasting {
			room = room.Sub(step.Resources)
		}
	}
	return room
}

// reserveForLasting sets aside a worker for each task that lasts and has waited long:
// tasks that end and come again would otherwise take each room that frees, for as
// long as others of them wait.
func (e *Engine) reserveForLasting(p *candidateSet) {
	reservations := 0
	for _, s := range e.ready.sorted {
		if !s.step.Lasting || e.wallMs-s.waitingSinceMs < reservationDelay.Milliseconds() {
			continue
		}
		for range s.pending {
			if reservations == maxReservations || !e.reserveWorker(p, s) {
				break
			}
			reservations++
		}
	}
}

// reserveWorker sets aside the worker on which room for a task is nearest.
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
