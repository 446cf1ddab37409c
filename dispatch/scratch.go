package dispatch

import (
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/workflow"
)

// scratchCopy returns a copy of the engine for questions that must not change it. Placements
// are ranked on the copy by the code that decides on them, which fills caches that later
// decisions read. The copy shares the state and must propose nothing.
func (e *Engine) scratchCopy() *Engine {
	c := *e
	c.log = zerolog.Nop()
	c.views, c.sortedViews = make(map[workflow.WorkerID]*workerView, len(e.views)), make([]*workerView, len(e.sortedViews))
	for i, v := range e.sortedViews {
		c.sortedViews[i] = v.scratchCopy()
		c.views[v.worker.ID] = c.sortedViews[i]
	}
	c.ready = e.ready.scratchCopy()
	c.slowdown.pairs = e.slowdown.pairs.Clone()
	c.advisor.steps = maps.Clone(e.advisor.steps)
	c.urgentPools = make(map[string]*urgentPool, len(e.urgentPools))
	for service, p := range e.urgentPools {
		pool := *p
		c.urgentPools[service] = &pool
	}
	c.lookAhead = e.lookAhead.scratchCopy()
	c.reservations.list, c.reservations.byTask, c.reservations.kept = slices.Clone(e.reservations.list), maps.Clone(e.reservations.byTask), maps.Clone(e.reservations.kept)
	c.moves = make(map[workflow.WorkerID][]*move, len(e.moves))
	for id, moves := range e.moves {
		c.moves[id] = slices.Clone(moves)
	}
	return &c
}

// scratchCopy copies the view with its attempts, whose classes are determined on first use.
func (v *workerView) scratchCopy() *workerView {
	c := *v
	c.attempts, c.attemptList = make(map[workflow.TaskRef]*attempt, len(v.attempts)), make([]*attempt, len(v.attemptList))
	for i, a := range v.attemptList {
		b := *a
		c.attempts[a.ref], c.attemptList[i] = &b, &b
	}
	return &c
}

// scratchCopy copies the ready steps, whose lateness is determined when they are sorted. The
// copy is sorted at its first refresh.
func (r *readySteps) scratchCopy() readySteps {
	c := *r
	c.dirtyJobs, c.suspects, c.due.next = maps.Clone(r.dirtyJobs), maps.Clone(r.suspects), maps.Clone(r.due.next)
	c.byJob = make(map[workflow.JobID][]*readyStep, len(r.byJob))
	for id, steps := range r.byJob {
		copies := make([]*readyStep, len(steps))
		for i, s := range steps {
			step := *s
			copies[i] = &step
		}
		c.byJob[id] = copies
	}
	c.sorted, c.changed = nil, true
	c.runTimes = r.runTimes.Frozen()
	return c
}

// scratchCopy copies the reservations.
func (l *lookAhead) scratchCopy() lookAhead {
	c := lookAhead{byWorker: make(map[workflow.WorkerID]*capacityReservation, len(l.byWorker)), heldBackSince: maps.Clone(l.heldBackSince), pausedUntil: maps.Clone(l.pausedUntil), searchAt: maps.Clone(l.searchAt)}
	for _, r := range l.reservations {
		reservation := *r
		c.reservations, c.byWorker[r.worker] = append(c.reservations, &reservation), &reservation
	}
	return c
}
