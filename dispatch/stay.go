package dispatch

import (
	"maps"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// reservePercent is the part of a service's processors that is kept from tasks
	// that last, for work that comes and goes.
	reservePercent = 8
	// stayAfter is the time for which the reserve must have been free for a task
	// that lasts to get it all the same: the platform wants such a task to run
	// within three seconds where there is room for two, and ends are known a second late.
	stayAfter = time.Second
	// stayDip is a lack of room that does not end that time.
	stayDip = 300 * time.Millisecond
	// roomFor is the number of tasks for which there must be room meanwhile.
	roomFor = 2
)

// mayStay reports whether a task that lasts may take room now. What it gets is
// gone for good, so that work that comes and goes keeps a reserve, unless that
// has not needed it for some time.
func (e *Engine) mayStay(p *pool, s *readyStep) bool {
	free, capacity, room := int64(0), int64(0), int64(0)
	need := max(s.step.Resources.MilliProcessors, 1)
	for _, c := range p.byService[s.job.Service] {
		free += c.free.MilliProcessors
		capacity += c.view.worker.Capacity.MilliProcessors
		if e.hasRoom(c, s) {
			room += c.free.MilliProcessors / need
		}
	}
	if (free-need*int64(len(s.pending)))*100 >= capacity*reservePercent {
		return true
	}
	if room < roomFor {
		return false
	}
	w, known := e.stays[s.ref]
	if !known || e.since(w.seen) > stayDip {
		w.since = e.now
	}
	w.seen = e.now
	e.stays[s.ref] = w
	return e.since(w.since) >= stayAfter
}

// spell is a time in which there was room, but for dips.
type spell struct{ since, seen Instant }

// forgetStays drops what is known of the steps of a job that has ended.
func (e *Engine) forgetStays(job *workflow.Job) {
	maps.DeleteFunc(e.stays, func(ref workflow.StepRef, _ spell) bool { return ref.Job == job.ID })
}
