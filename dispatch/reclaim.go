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
	firstReclaimLead = 1300 * time.Millisecond
	// reclaimPatience is for how long after that a reservation is waited for that is expected to
	// come true by then: a stop would not be faster.
	reclaimPatience = stopDuration
	// lateEnd is by how much a reservation may come true later than expected.
	lateEnd = 100 * time.Millisecond
	// reclaimMargin is how long capacity that was reclaimed is kept after the stops must have
	// taken effect.
	reclaimMargin = time.Second
	// maxReclaimsPerSearch bounds the lasting tasks for which a search reclaims capacity: it
	// looks at all attempts on all workers.
	maxReclaimsPerSearch = 8
	// reclaimWarmUp is how long a new leader reclaims nothing: few workers have answered it, and the
	// waits that it takes over are by the clocks of earlier leaders.
	reclaimWarmUp = time.Second
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

// reclaimAt returns when short tasks are stopped for the task.
func (w *lastingWait) reclaimAt() Instant {
	if w.cause == waitsForFirstRun {
		return w.since.Add(firstRunBound - firstReclaimLead)
	}
	return w.since.Add(returnBound - reclaimLead)
}

// reclaimDue reports whether only a stop of short tasks is certain to let the task run in time.
func (e *Engine) reclaimDue(ref workflow.TaskRef) bool {
	w := e.lastingWaits[ref]
	return w != nil && e.now >= w.reclaimAt()
}

// worthAwaiting reports whether a reservation is as fast as a stop, unless it turns out late.
func (e *Engine) worthAwaiting(r *lastingReservation) bool {
	return r.reclaimed || r.wholeAt <= e.lastingWaits[r.ref].reclaimAt().Add(reclaimPatience) && e.now <= r.wholeAt.Add(lateEnd)
}

// reclaimForLasting stops short tasks for the lasting ones for which nothing else is certain to be
// in time.
func (e *Engine) reclaimForLasting(p *candidateSet) {
	if e.since(e.tookOverAt) < reclaimWarmUp {
		return
	}
	left := maxReclaimsPerSearch
	var failed failedRequests
	for _, owed := range e.owedTasks() {
		s := owed.step
		ref := s.firstPending()
		r := e.reservations.byTask[ref]
		if left == 0 || !e.reclaimDue(ref) || failed.cover(s) || r != nil && (e.worthAwaiting(r) || r.need.Fits(p.find(r.worker).free)) {
			continue
		}
		stops, ok := e.cheapestReclaim(p, s)
		if !ok {
			failed = append(failed, s)
			continue
		}
		left--
		if r != nil {
			e.dropReservation(p, r)
		}
		c := stops.candidate
		c.keptFor = c.keptFor.Add(s.step.Resources)
		e.reservations.add(&lastingReservation{ref: ref, need: s.step.Resources, worker: c.view.worker.ID, expiresAt: e.now.Add(stopDuration + reclaimMargin), reclaimed: true})
		e.stopForLasting(&stops, s)
	}
	e.reclaimForSuspects(p, left)
}

// reclaimForSuspects does so for lasting tasks that wait for a test, which begins with the stops.
func (e *Engine) reclaimForSuspects(p *candidateSet, left int) {
	for _, s := range e.waitingSuspects() {
		if left == 0 {
			return
		}
		if !s.step.Lasting || !e.reclaimDue(s.firstPending()) || testOf(p, s) != nil || !e.roomForTest(p.byService[s.job.Service]) {
			continue
		}
		stops, ok := e.cheapestReclaim(p, s)
		if !ok {
			continue
		}
		left--
		stops.candidate.view.test = &crashTest{tasks: []testedTask{{ref: s.firstPending()}}, since: e.now}
		e.stopForLasting(&stops, s)
	}
}

// roomForTest reports whether a further worker may be kept for a test.
func (e *Engine) roomForTest(candidates []*candidate) bool {
	tests := 0
	for _, c := range candidates {
		if c.view.test != nil {
			tests++
		}
	}
	return tests < max(len(candidates)-ceilDiv(len(candidates), openFraction), 1)
}

// reclaimableRoom is what stops of short tasks can make free on a worker, computed once in a plan
// and after each stop.
type reclaimableRoom struct {
	// besideLasting is the room that lasting tasks leave over, also those that yield to urgent ones:
	// another lasting task would take theirs in vain, as they are owed as much.
	besideLasting workflow.Resources
	// free is what is free, and what is being stopped.
	free workflow.Resources
	// stops are the short attempts that may be stopped, the cheapest first.
	stops []stopCandidate
}

// stopCandidate is a short attempt that may be stopped, with what its stop costs.
type stopCandidate struct {
	attempt *attempt
	need    workflow.Resources
	cost    int64
}

func (c *candidate) reclaimable(e *Engine) *reclaimableRoom {
	if c.reclaims != nil {
		return c.reclaims
	}
	r := &reclaimableRoom{besideLasting: c.roomBesideLasting(e), free: c.free}
	for _, a := range c.view.attemptList {
		step := e.step(a.ref)
		switch {
		case step == nil:
		case step.Lasting && a.stopWanted && a.stopCause == waitsAfterPreemption:
			r.besideLasting = r.besideLasting.Sub(step.Resources)
		case a.stopWanted:
			r.free = r.free.Add(step.Reserved())
		case e.mayReclaim(c.view, a, step):
			r.stops = append(r.stops, stopCandidate{a, step.Reserved(), e.stopCost(a, step)})
		}
	}
	slices.SortStableFunc(r.stops, func(a, b stopCandidate) int { return cmp.Compare(a.cost, b.cost) })
	c.reclaims = r
	return r
}

// reclaimStops are the stops on a worker for a lasting task.
type reclaimStops struct {
	candidate *candidate
	attempts  []*attempt
	// cost is the work that they lose, in thousandths of a processor times milliseconds.
	cost int64
}

// cheapestReclaim returns the stops that give a lasting task its room and lose the least work. It
// returns false if the workers have no room for the task twice over beside their other lasting
// tasks: it is owed none then.
func (e *Engine) cheapestReclaim(p *candidateSet, s *readyStep) (reclaimStops, bool) {
	var best reclaimStops
	slots := 0
	need := s.step.Resources
	for _, c := range e.permitted(p, s, ticket.outlastsStops) {
		if c.silent || c.refusing || c.view.test != nil {
			continue
		}
		reclaimed := e.reservations.reclaimed[c.view.worker.ID]
		room := c.reclaimable(e).besideLasting.Sub(reclaimed)
		if !need.Fits(room) || !e.allowsReservation(c, s) {
			continue
		}
		slots++
		if need.Fits(room.Sub(need)) && s.step.MaxPerWorker != 1 {
			slots++
		}
		if best.candidate != nil && best.cost == 0 {
			if slots >= owedSlots {
				break
			}
			continue
		}
		if attempts, cost, ok := c.reclaims.cheapest(need.Add(reclaimed)); ok && (best.candidate == nil || cost < best.cost) {
			best = reclaimStops{c, attempts, cost}
		}
	}
	return best, best.candidate != nil && slots >= owedSlots
}

// cheapest returns the attempts whose stops make the needed room free, and the work that they
// lose. It returns false if there are none.
func (r *reclaimableRoom) cheapest(need workflow.Resources) ([]*attempt, int64, bool) {
	free := r.free
	var chosen []stopCandidate
	for _, s := range r.stops {
		if need.Fits(free) {
			break
		}
		if helps(s.need, need.Sub(free)) {
			chosen, free = append(chosen, s), free.Add(s.need)
		}
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	var attempts []*attempt
	cost := int64(0)
	for _, s := range slices.Backward(chosen) {
		if left := free.Sub(s.need); need.Fits(left) {
			free = left // The cheaper ones suffice.
			continue
		}
		attempts, cost = append(attempts, s.attempt), cost+s.cost
	}
	return attempts, cost, true
}

// helps reports whether the resources are some of those that are missing.
func helps(resources, missing workflow.Resources) bool {
	return missing.MilliProcessors > 0 && resources.MilliProcessors > 0 || missing.MemoryMB > 0 && resources.MemoryMB > 0 || missing.Accelerators > 0 && resources.Accelerators > 0
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

// stopForLasting stops short attempts for a lasting task.
func (e *Engine) stopForLasting(stops *reclaimStops, s *readyStep) {
	c, w := stops.candidate, e.lastingWaits[s.firstPending()]
	for _, a := range stops.attempts {
		a.stopWanted = true
		e.stopsForLasting[a.ref]++
		e.counters.StoppedForLasting++
		e.issueAttemptOrder(c.view, a)
	}
	c.reclaims = nil
	e.counters.Reclaimed++
	e.log.Info().Stringer("task", s.firstPending()).Str("worker", c.view.worker.Life.Name).Stringer("cause", w.cause).Dur("waited", e.since(w.since)).Int("stops", len(stops.attempts)).
		Int64("lost_mcpu_ms", stops.cost).Int64("mcpu", s.step.Resources.MilliProcessors).Int64("free_mcpu", c.free.MilliProcessors).Bool("suspect", c.view.test != nil).Uint64("term", e.term).Msg("capacity reclaimed")
}
