package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// lookAheadQuantile is the quantile of run times by which capacity becomes free and
	// other tasks end.
	lookAheadQuantile = 0.9
	// workersPerLookAhead times the reserved workers of a service are at most its workers;
	// minLookAheads may be reserved in any case.
	workersPerLookAhead = 20
	minLookAheads       = 1
	// lookAheadMargin is how long a reservation is kept after the time when the capacity
	// was to be whole, lookAheadPause how long its step then gets no other.
	lookAheadMargin = 500 * time.Millisecond
	lookAheadPause  = time.Second
	// lookAheadInterval is the time between two searches for workers, and between two
	// evaluations of a reservation: both look at all attempts of a worker.
	lookAheadInterval = 100 * time.Millisecond
	// heldBackLimit is how long a step is held back by reservations, and then how long it is
	// not.
	heldBackLimit = time.Second
	// stopDuration is how long a stop takes at most; the platform's rules state it.
	stopDuration = 900 * time.Millisecond
	// overdueDivisor divides the time that a run has taken to give the least time it is
	// expected to take further while nothing is learned of it.
	overdueDivisor = 4
)

// lookAhead holds the reservations for tasks that fit nowhere.
type lookAhead struct {
	reservations []*capacityReservation
	byWorker     map[workflow.WorkerID]*capacityReservation
	// heldBackSince holds since when steps are held back by reservations. pausedUntil is until
	// when steps get no reservation.
	heldBackSince map[workflow.StepRef]Instant
	pausedUntil   map[workflow.StepRef]Instant
	// searchAt is when workers are searched next, by service.
	searchAt map[string]Instant
}

// capacityReservation keeps the capacity of a worker for a task of a step.
type capacityReservation struct {
	ref    workflow.StepRef
	worker workflow.WorkerID
	// name is the name of the worker.
	name string
	// at is when the worker will have the whole capacity. expiresAt is lookAheadMargin after
	// the time that was first expected.
	at, expiresAt Instant
	// spare is the capacity that will be free beside the reserved one.
	spare       workflow.Resources
	evaluatedAt Instant
}

func newLookAhead() lookAhead {
	return lookAhead{byWorker: make(map[workflow.WorkerID]*capacityReservation), heldBackSince: make(map[workflow.StepRef]Instant), pausedUntil: make(map[workflow.StepRef]Instant), searchAt: make(map[string]Instant)}
}

// count returns the number of reservations for a step.
func (l *lookAhead) count(ref workflow.StepRef) int {
	n := 0
	for _, r := range l.reservations {
		if r.ref == ref {
			n++
		}
	}
	return n
}

// capacityEnd is capacity that becomes free at a time.
type capacityEnd struct {
	at        Instant
	resources workflow.Resources
}

// wholeAt returns when the need fits what is free and becomes free, and what is free beside it
// then. It returns false if it never fits. It sorts ends.
func wholeAt(now Instant, free workflow.Resources, ends []capacityEnd, need workflow.Resources) (Instant, workflow.Resources, bool) {
	slices.SortFunc(ends, func(a, b capacityEnd) int { return cmp.Compare(a.at, b.at) })
	at := now
	for i := 0; !need.Fits(free); i++ {
		if i == len(ends) {
			return 0, workflow.Resources{}, false
		}
		at, free = ends[i].at, free.Add(ends[i].resources)
	}
	return at, free.Sub(need), true
}

// expectedEnds returns when capacity becomes free on a worker by the ends of attempts that end
// by themselves or are being stopped.
func (e *Engine) expectedEnds(v *workerView) []capacityEnd {
	ends := make([]capacityEnd, 0, len(v.attemptList))
	for _, a := range v.attemptList {
		step := e.step(a.ref)
		if step == nil || step.Lasting && !a.stopWanted {
			continue
		}
		remaining := stopDuration
		if !a.stopWanted {
			remaining = e.remainingOrEstimate(a, step)
		}
		ends = append(ends, capacityEnd{e.now.Add(remaining), step.Reserved()})
	}
	return ends
}

// remainingOrEstimate returns the quantile of the remaining time of an attempt, by its estimate
// while nothing is learned.
func (e *Engine) remainingOrEstimate(a *attempt, step *workflow.Step) time.Duration {
	if remaining, known := e.remainingQuantile(a, lookAheadQuantile); known {
		return remaining
	}
	elapsed := e.progressOf(a, step).Elapsed
	return max(estimateOf(step)-elapsed, elapsed/overdueDivisor)
}

// freshRunOrEstimate returns the quantile of the time of a fresh run, the estimate while nothing
// is learned.
func (e *Engine) freshRunOrEstimate(s *readyStep) time.Duration {
	if total, known := e.ready.runTimes.Quantile(runTimeKey(s.job, s.ref.Step), estimateOf(s.step), lookAheadQuantile); known {
		return total
	}
	return estimateOf(s.step)
}

// endLookAheads ends the reservations that are not needed any more, or that did not come true.
func (e *Engine) endLookAheads() {
	l := &e.lookAhead
	for _, r := range slices.Clone(l.reservations) {
		v := e.views[r.worker]
		switch {
		case len(e.pendingOf(r.ref)) < l.count(r.ref):
			e.endLookAhead(r, "no_task_waits")
		case v == nil || !e.schedulable(v) || e.silent(v) || e.now < v.quarantinedUntil:
			e.endLookAhead(r, "worker_unavailable")
		case e.now > r.expiresAt:
			l.pausedUntil[r.ref] = e.now.Add(lookAheadPause)
			e.endLookAhead(r, "time_passed")
		case e.since(r.evaluatedAt) >= lookAheadInterval && !e.evaluate(r, v):
			e.endLookAhead(r, "capacity_taken")
		}
	}
	maps.DeleteFunc(l.pausedUntil, func(_ workflow.StepRef, until Instant) bool { return e.now >= until })
	maps.DeleteFunc(l.heldBackSince, func(ref workflow.StepRef, since Instant) bool {
		return e.since(since) >= 2*heldBackLimit || len(e.pendingOf(ref)) == 0
	})
}

// pendingOf returns the pending tasks of a step.
func (e *Engine) pendingOf(ref workflow.StepRef) []uint32 {
	for _, s := range e.ready.byJob[ref.Job] {
		if s.ref == ref && s.job.Active() {
			return s.pending
		}
	}
	return nil
}

// evaluate computes again when a worker has the reserved capacity. It returns false if it never
// will.
func (e *Engine) evaluate(r *capacityReservation, v *workerView) bool {
	step := &e.state.Job(r.ref.Job).Spec.Steps[r.ref.Step]
	at, spare, fits := wholeAt(e.now, e.freeCapacity(v), e.expectedEnds(v), step.Resources)
	r.at, r.spare, r.evaluatedAt = min(at, r.expiresAt), spare, e.now
	return fits
}

func (e *Engine) endLookAhead(r *capacityReservation, reason string) {
	l := &e.lookAhead
	l.reservations = slices.DeleteFunc(l.reservations, func(other *capacityReservation) bool { return other == r })
	delete(l.byWorker, r.worker)
	e.log.Info().Stringer("job", r.ref.Job).Uint32("step", r.ref.Step).Str("worker", r.name).Str("reason", reason).Uint64("term", e.term).Msg("reservation ended")
}

// dropLookAheadsForLasting ends the reservations on workers that are reserved for lasting tasks.
func (e *Engine) dropLookAheadsForLasting(set *candidateSet) {
	if len(e.lookAhead.reservations) == 0 {
		return
	}
	for _, candidates := range set.byService {
		for _, c := range candidates {
			if c.lookAhead != nil && c.keptFor != (workflow.Resources{}) {
				e.endLookAhead(c.lookAhead, "lasting_task_waits")
				c.lookAhead = nil
			}
		}
	}
}

// fitsBesideLookAhead reports whether a task of the step may be placed on a worker with reserved
// capacity: it ends before the capacity is whole, or fits beside it.
func (e *Engine) fitsBesideLookAhead(c *candidate, s *readyStep) bool {
	r := c.lookAhead
	if r == nil || r.ref == s.ref || s.step.Lasting || s.step.Reserved().Fits(r.spare) || e.hasAssignedRoom(s, c.view.worker.ID) {
		return true
	}
	if since, held := e.lookAhead.heldBackSince[s.ref]; held && e.since(since) >= heldBackLimit {
		return true
	}
	if e.now.Add(e.freshRunOrEstimate(s)) <= r.at {
		return true
	}
	s.heldBack = true
	return false
}

// hasAssignedRoom reports whether the pool for urgent tasks has assigned room on a worker to the
// step.
func (e *Engine) hasAssignedRoom(s *readyStep, worker workflow.WorkerID) bool {
	p := e.urgentPools[s.job.Service]
	return p != nil && slices.ContainsFunc(p.assigned[worker], func(r assignedRoom) bool { return r.ref == s.ref })
}

// recordHeldBack records since when a step is held back by reservations.
func (e *Engine) recordHeldBack(s *readyStep) {
	if _, known := e.lookAhead.heldBackSince[s.ref]; s.heldBack && !known {
		e.lookAhead.heldBackSince[s.ref] = e.now
	}
}

// recordBesideLookAhead takes a task that was placed on a worker into account: the reservation
// ends if it was for this task.
func (e *Engine) recordBesideLookAhead(c *candidate, s *readyStep) {
	r := c.lookAhead
	switch {
	case r == nil:
	case r.ref == s.ref:
		e.endLookAhead(r, "placed")
		c.lookAhead = nil
	case e.now.Add(e.freshRunOrEstimate(s)) > r.at || s.step.Lasting:
		r.spare = r.spare.Sub(s.step.Reserved())
	}
}

// passedOver reports whether a step is wider than the mean, and so much that narrower ones take
// most of what becomes free, or has waited for longer than it may be passed over. Those no wider
// get the next capacity that becomes free, and would use up the limit on reservations.
func (e *Engine) passedOver(p *urgentPool, s *readyStep) bool {
	width, mean := s.step.Resources.MilliProcessors, p.demand.MeanWidth()
	return width >= wideFactor*mean || width > mean && e.wallMs-s.waitingSinceMs >= passedOverLimit.Milliseconds()
}

// preemptedLately reports whether lasting tasks were preempted for the pool in the last two
// times preemptionPeriod: the pool then makes the room. A pool at its limit preempts again only
// after a whole period.
func (e *Engine) preemptedLately(p *urgentPool) bool {
	n := len(p.preemptedAt)
	return n > 0 && e.since(p.preemptedAt[n-1]) < 2*preemptionPeriod
}

// reserveAhead reserves workers for urgent tasks that fit nowhere, in scheduling order.
func (e *Engine) reserveAhead(set *candidateSet) {
	l := &e.lookAhead
	searched := make(map[string]bool)
	for _, s := range e.ready.sorted {
		service := s.job.Service
		p := e.urgentPools[service]
		if p == nil || e.now < l.searchAt[service] || !e.waitsForRoom(p, s) || e.preemptedLately(p) || e.now < l.pausedUntil[s.ref] || s.heldBack || !e.passedOver(p, s) {
			continue
		}
		searched[service] = true
		candidates := set.byService[service]
		limit := max(len(candidates)/workersPerLookAhead, minLookAheads)
		for n := l.count(s.ref); n < len(s.pending) && e.reservedIn(candidates) < limit; n++ {
			if !e.reserveSoonest(candidates, s) {
				break
			}
		}
	}
	for service := range searched {
		l.searchAt[service] = e.now.Add(lookAheadInterval)
	}
}

func (e *Engine) reservedIn(candidates []*candidate) int {
	n := 0
	for _, c := range candidates {
		if c.lookAhead != nil {
			n++
		}
	}
	return n
}

// reserveSoonest reserves the worker that has the whole capacity for a task of the step soonest.
func (e *Engine) reserveSoonest(candidates []*candidate, s *readyStep) bool {
	p := e.urgentPools[s.job.Service]
	for worker := range p.assigned {
		if e.hasAssignedRoom(s, worker) {
			return false
		}
	}
	var best *candidate
	r := &capacityReservation{ref: s.ref, evaluatedAt: e.now}
	for _, c := range candidates {
		if c.lookAhead != nil || c.keptFor != (workflow.Resources{}) || !c.takesUrgent() || len(p.assigned[c.view.worker.ID]) > 0 ||
			!s.step.Resources.Fits(c.view.worker.Capacity) || s.step.OneRack && s.rack != "" && c.view.worker.Rack != s.rack || !c.allows(s) {
			continue
		}
		at, spare, fits := wholeAt(e.now, c.free, e.expectedEnds(c.view), s.step.Resources)
		if fits && at > e.now && (best == nil || at < r.at) {
			best, r.at, r.spare = c, at, spare
		}
	}
	if best == nil {
		return false
	}
	r.worker, r.name, r.expiresAt = best.view.worker.ID, best.view.worker.Life.Name, r.at.Add(lookAheadMargin)
	best.lookAhead = r
	e.lookAhead.reservations = append(e.lookAhead.reservations, r)
	e.lookAhead.byWorker[r.worker] = r
	e.counters.Reserved++
	e.log.Info().Stringer("job", s.ref.Job).Uint32("step", s.ref.Step).Str("worker", best.view.worker.Life.Name).Str("reason", "fits_nowhere").Int64("mcpu", s.step.Resources.MilliProcessors).
		Int64("memory_mb", s.step.Resources.MemoryMB).Dur("whole_in", r.at.Sub(e.now)).Uint64("term", e.term).Msg("capacity reserved")
	return true
}
