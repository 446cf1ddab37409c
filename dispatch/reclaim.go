package dispatch

import (
	"cmp"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

// The ends of short tasks that give a lasting task its capacity are estimates. When it has waited
// so long that only a stop is certain to be in time, the short tasks of a worker are stopped whose
// work is lost with the least cost.

const (
	// reclaimLead is how long before the end of its bound capacity is reclaimed for a lasting task
	// that has run. The stops take up to stopDuration, the records of their ends, the
	// placement and the start some 0.3 s; the leader may learn of the end of its last run a
	// second late.
	reclaimLead = 2500 * time.Millisecond
	// firstReclaimLead is the same for a task that never ran.
	firstReclaimLead = 1500 * time.Millisecond
	// reclaimMargin is how long capacity that was reclaimed is kept after the stops must have
	// taken effect.
	reclaimMargin = time.Second
	// maxReclaimsPerSearch bounds the lasting tasks for which a search reclaims capacity: it
	// looks at all attempts on all workers.
	maxReclaimsPerSearch = 32
	// owedSlots is the number of tasks of its size for which there must be room beside the lasting
	// tasks; the platform's rules state it.
	owedSlots = 2
	// checkpointAge is the work that a resumable task loses at most when it is stopped; the
	// platform's rules state it.
	checkpointAge = time.Second
	// repeatedStopFactor is by how much the cost of a stop grows with each earlier one of the task.
	repeatedStopFactor = 8
	// maxRepeatedStops bounds the stops of a task that count, so that costs do not overflow.
	maxRepeatedStops = 4
)

// reclaimAfter returns how long the task waits before short tasks are stopped for it.
func (w *lastingWait) reclaimAfter() time.Duration {
	if w.cause == waitsForFirstRun {
		return firstRunBound - firstReclaimLead
	}
	return returnBound - reclaimLead
}

// reclaimDue reports whether only a stop of short tasks is certain to let the task run in time.
func (e *Engine) reclaimDue(ref workflow.TaskRef) bool {
	w := e.lastingWaits[ref]
	return w != nil && e.since(w.since) >= w.reclaimAfter()
}

// reclaimForLasting stops short tasks for the lasting ones for which nothing else is certain to be
// in time.
func (e *Engine) reclaimForLasting(p *candidateSet) {
	var failed failedRequests
	made := 0
	for _, owed := range e.owedTasks() {
		s := owed.step
		ref := s.firstPending()
		r := e.reservations.byTask[ref]
		if !e.reclaimDue(ref) {
			continue
		}
		if r != nil && (r.reclaimed || r.need.Fits(p.find(r.worker).free)) || made == maxReclaimsPerSearch || failed.cover(s) {
			continue
		}
		if !e.reclaim(p, s, r) {
			failed = append(failed, s)
			continue
		}
		made++
	}
}

// reclaim keeps capacity for a lasting task on the worker where that costs the least work, in place
// of the reservation that it has, and stops short tasks there. It returns false if the workers have
// no room for the task twice over beside their other lasting tasks: it is owed none then.
func (e *Engine) reclaim(p *candidateSet, s *readyStep, old *lastingReservation) bool {
	var best *candidate
	var bestStops []*attempt
	bestCost, slots := int64(0), 0
	for _, c := range p.byService[s.job.Service] {
		room := c.roomBesideLasting(e).Sub(e.reservations.reclaimed[c.view.worker.ID]).Sub(e.yielding(c.view))
		if c.silent || c.view.test != nil || !s.step.Resources.Fits(room) || !c.allows(s) {
			continue
		}
		slots++
		if s.step.Resources.Fits(room.Sub(s.step.Resources)) {
			slots++
		}
		stops, cost, ok := e.cheapestStops(c, s.step.Resources)
		if ok && (best == nil || cost < bestCost) {
			best, bestStops, bestCost = c, stops, cost
		}
	}
	if best == nil || slots < owedSlots {
		return false
	}
	if old != nil {
		e.dropReservation(p, old)
	}
	best.keptFor = best.keptFor.Add(s.step.Resources)
	e.reservations.add(&lastingReservation{ref: s.firstPending(), need: s.step.Resources, worker: best.view.worker.ID, expiresAt: e.now.Add(stopDuration + reclaimMargin), reclaimed: true})
	for _, a := range bestStops {
		e.stopForLasting(best.view, a)
	}
	w := e.lastingWaits[s.firstPending()]
	e.counters.Reclaimed++
	e.log.Info().Stringer("task", s.firstPending()).Str("worker", best.view.worker.Life.Name).Stringer("cause", w.cause).Dur("waited", e.since(w.since)).Int("stops", len(bestStops)).
		Int64("lost_mcpu_ms", bestCost).Int64("mcpu", s.step.Resources.MilliProcessors).Int64("free_mcpu", best.free.MilliProcessors).Uint64("term", e.term).Msg("capacity reclaimed")
	return true
}

// yields reports whether an attempt of a lasting task is being preempted.
func yields(a *attempt, step *workflow.Step) bool {
	return step.Lasting && a.stopWanted && a.stopCause == waitsAfterPreemption
}

// yielding returns the capacity of the lasting tasks that are being preempted on a worker. Another
// lasting task would take it in vain: the preempted ones are owed as much.
func (e *Engine) yielding(v *workerView) workflow.Resources {
	var sum workflow.Resources
	for _, a := range v.attemptList {
		if step := e.step(a.ref); step != nil && yields(a, step) {
			sum = sum.Add(step.Resources)
		}
	}
	return sum
}

// reclaimsIn returns the number of workers whose capacity is being reclaimed for lasting tasks.
func (e *Engine) reclaimsIn(candidates []*candidate) int {
	if len(e.reservations.reclaimed) == 0 {
		return 0
	}
	n := 0
	for _, c := range candidates {
		if _, kept := e.reservations.reclaimed[c.view.worker.ID]; kept {
			n++
		}
	}
	return n
}

// stopCandidate is a short attempt that may be stopped, with what its stop costs.
type stopCandidate struct {
	attempt *attempt
	need    workflow.Resources
	cost    int64
}

// cheapestStops returns the short attempts on a worker whose stops give the needed capacity, beside
// what is free and what is being stopped, and the work that they lose. It returns false if there
// are none that do.
func (e *Engine) cheapestStops(c *candidate, need workflow.Resources) ([]*attempt, int64, bool) {
	free := c.free.Sub(e.reservations.reclaimed[c.view.worker.ID])
	var candidates []stopCandidate
	for _, a := range c.view.attemptList {
		step := e.step(a.ref)
		switch {
		case step == nil:
		case yields(a, step): // Its room is for the urgent tasks.
		case a.stopWanted:
			free = free.Add(step.Reserved())
		case e.mayReclaim(c.view, a, step):
			candidates = append(candidates, stopCandidate{a, step.Reserved(), e.stopCost(a, step)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b stopCandidate) int { return cmp.Compare(a.cost, b.cost) })
	var chosen []stopCandidate
	for _, s := range candidates {
		if need.Fits(free) {
			break
		}
		if !helps(s.need, need.Sub(free)) {
			continue
		}
		chosen, free = append(chosen, s), free.Add(s.need)
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	var stops []*attempt
	cost := int64(0)
	for _, s := range slices.Backward(chosen) {
		if left := free.Sub(s.need); need.Fits(left) {
			free = left // The cheaper ones suffice.
			continue
		}
		stops, cost = append(stops, s.attempt), cost+s.cost
	}
	return stops, cost, true
}

// helps reports whether the resources are some of those that are missing.
func helps(resources, missing workflow.Resources) bool {
	return missing.MilliProcessors > 0 && resources.MilliProcessors > 0 || missing.MemoryMB > 0 && resources.MemoryMB > 0 || missing.Accelerators > 0 && resources.Accelerators > 0
}

// mayReclaim reports whether a short attempt may be stopped for a lasting task. The members of a
// gang end together, and a start without an answer keeps its room after a stop.
func (e *Engine) mayReclaim(v *workerView, a *attempt, step *workflow.Step) bool {
	return !step.Lasting && !step.Gang && a.committed && !a.carried && !a.lateStart(a.running) && e.openStartOf(a.ref, v.worker.Life.Name) == nil
}

// stopCost returns what the stop of a short attempt loses, in thousandths of a processor times
// milliseconds. Each earlier stop of the task for a lasting one makes it dearer.
func (e *Engine) stopCost(a *attempt, step *workflow.Step) int64 {
	lost := time.Duration(0)
	if a.running { // By its progress, an earlier leader may have started it long ago.
		lost = max(e.since(a.runningSince), estimateOf(step)*time.Duration(a.percent)/fullShare)
	}
	if step.Resumable {
		lost = min(lost, checkpointAge)
	}
	cost := max(step.Resources.MilliProcessors, 1) * (lost + restartCost).Milliseconds()
	for range min(e.stopsForLasting[a.ref], maxRepeatedStops) {
		cost *= repeatedStopFactor
	}
	return cost
}

// stopForLasting stops a short attempt.
func (e *Engine) stopForLasting(v *workerView, a *attempt) {
	a.stopWanted = true
	e.stopsForLasting[a.ref]++
	e.counters.StoppedForLasting++
	e.issueAttemptOrder(v, a)
}
