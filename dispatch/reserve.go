package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// lastingPatience is how long a task that lasts waits for room before a worker
	// is kept for it. The platform's page on rules allows three seconds.
	lastingPatience = 1500 * time.Millisecond
	// keepFactor times the task is the room that a worker has beside its tasks that
	// last when it is kept: the same page asks for room for it twice over.
	keepFactor = 2
	// maxKept bounds the workers that are kept in one plan.
	maxKept = 64
)

// lastingRoom is what a worker has beside its tasks that last.
func (e *Engine) lastingRoom(v *view) workflow.Resources {
	room := v.worker.Capacity
	for _, a := range v.list {
		if step := e.step(a.ref); step != nil && step.Lasting {
			room = room.Sub(step.Resources)
		}
	}
	return room
}

// keepForLasting sets aside a worker for each task that lasts and has waited long:
// tasks that end and come again would otherwise take each room that frees, for as
// long as others of them wait.
func (e *Engine) keepForLasting(p *pool) {
	kept := 0
	for _, s := range e.ready.order {
		if !s.step.Lasting || e.wallMs-s.waitingMs < lastingPatience.Milliseconds() {
			continue
		}
		for range s.pending {
			if kept == maxKept || !e.keepOne(p, s) {
				break
			}
			kept++
		}
	}
}

// keepOne sets aside the worker on which room for a task is nearest.
func (e *Engine) keepOne(p *pool, s *readyStep) bool {
	need := s.step.Resources
	wide := workflow.Resources{MilliProcessors: need.MilliProcessors * keepFactor, MemoryMB: need.MemoryMB * keepFactor, Accelerators: need.Accelerators * keepFactor}
	var best *candidate
	for _, c := range p.byService[s.job.Service] {
		if c.keptFor != nil || !c.suits(s) {
			continue
		}
		if !c.lastingKnown {
			c.lastingRoom, c.lastingKnown = e.lastingRoom(c.view), true
		}
		if wide.Fits(c.lastingRoom) && (best == nil || c.free.MilliProcessors > best.free.MilliProcessors) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	best.keptFor = s.job
	return true
}
