package dispatch

import (
	"cmp"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

// A lasting task that has waited for a while is owed capacity: it is kept for the task on the
// worker that has it soonest, whatever short tasks wait. Otherwise these would take all capacity
// that becomes free, as long as more of them come. When the bound on its wait comes near, short
// tasks are stopped for it; see reclaim.go.

const (
	// reservationDelay is how long a lasting task waits for room before capacity is kept for
	// it, where it may not yield to urgent ones for longer; see mayYield. The platform's rules
	// allow a first wait of three seconds.
	reservationDelay = 1500 * time.Millisecond
	// reservationInterval is the time between two searches for workers: they look at all
	// attempts of those with room beside lasting tasks.
	reservationInterval = 50 * time.Millisecond
	// maxReservationsPerSearch bounds the reservations that a search makes.
	maxReservationsPerSearch = 32
	// reservationMargin is how long a reservation is kept after the time when the capacity
	// was to be whole. Then the worker that has it soonest is searched again.
	reservationMargin = 500 * time.Millisecond
)

// lastingReservation keeps capacity of a worker for a lasting task.
type lastingReservation struct {
	ref    workflow.TaskRef
	need   workflow.Resources
	worker workflow.WorkerID
	// wholeAt is when the capacity is expected to be whole.
	wholeAt, expiresAt Instant
	// reclaimed is set if short tasks are being stopped for it.
	reclaimed bool
}

// lastingReservations holds the capacity that is kept for lasting tasks.
type lastingReservations struct {
	// list is in the order in which the reservations were made.
	list   []*lastingReservation
	byTask map[workflow.TaskRef]*lastingReservation
	kept   map[workflow.WorkerID]workflow.Resources
	// reclaimed is the part of kept for which short tasks are being stopped.
	reclaimed map[workflow.WorkerID]workflow.Resources
	// searchedAt is when workers were searched last.
	searchedAt Instant
}

func newLastingReservations() lastingReservations {
	return lastingReservations{byTask: make(map[workflow.TaskRef]*lastingReservation), kept: make(map[workflow.WorkerID]workflow.Resources), reclaimed: make(map[workflow.WorkerID]workflow.Resources)}
}

func (l *lastingReservations) add(r *lastingReservation) {
	l.list = append(l.list, r)
	l.byTask[r.ref], l.kept[r.worker] = r, l.kept[r.worker].Add(r.need)
	if r.reclaimed {
		l.reclaimed[r.worker] = l.reclaimed[r.worker].Add(r.need)
	}
}

func (l *lastingReservations) remove(r *lastingReservation) {
	l.list = slices.DeleteFunc(l.list, func(other *lastingReservation) bool { return other == r })
	delete(l.byTask, r.ref)
	subtract(l.kept, r)
	if r.reclaimed {
		subtract(l.reclaimed, r)
	}
}

func subtract(sums map[workflow.WorkerID]workflow.Resources, r *lastingReservation) {
	if sums[r.worker] = sums[r.worker].Sub(r.need); sums[r.worker] == (workflow.Resources{}) {
		delete(sums, r.worker)
	}
}

// roomBesideLasting returns the capacity of a worker that its lasting tasks leave over, without
// those that are being stopped.
func (e *Engine) roomBesideLasting(v *workerView) workflow.Resources {
	room := v.worker.Capacity
	for _, a := range v.attemptList {
		if step := e.step(a.ref); step != nil && step.Lasting && !a.stopWanted {
			room = room.Sub(step.Resources)
		}
	}
	return room
}

// roomBesideLasting is that of the candidate's worker, computed once in a plan.
func (c *candidate) roomBesideLasting(e *Engine) workflow.Resources {
	if !c.roomKnown {
		c.room, c.roomKnown = e.roomBesideLasting(c.view), true
	}
	return c.room
}

// capacityEnds returns when capacity becomes free on the worker, computed once in a plan.
func (c *candidate) capacityEnds(e *Engine) []capacityEnd {
	if c.ends == nil {
		c.ends = e.expectedEnds(c.view)
	}
	return c.ends
}

// allowsReservation reports whether the step's label and its bound per worker allow one more task
// on the worker beside those for which it keeps capacity.
func (e *Engine) allowsReservation(c *candidate, s *readyStep) bool {
	if !c.allows(s) || s.step.MaxPerWorker == 0 {
		return c.allows(s)
	}
	return c.taskCount(s)+e.reservations.siblingsOf(s.firstPending(), c.view.worker.ID) < s.step.MaxPerWorker
}

// siblingsOf returns the number of other tasks of the step of a task for which a worker keeps
// capacity.
func (l *lastingReservations) siblingsOf(ref workflow.TaskRef, worker workflow.WorkerID) uint32 {
	n := uint32(0)
	for _, r := range l.list {
		if r.worker == worker && r.ref != ref && r.ref.StepRef() == ref.StepRef() {
			n++
		}
	}
	return n
}

// owedCapacity reports whether capacity is to be kept for a pending lasting task.
func (e *Engine) owedCapacity(s *readyStep, ref workflow.TaskRef) bool {
	w := e.lastingWaits[ref]
	if w == nil || e.heldAnywhere(ref) {
		return false
	}
	switch w.cause {
	case waitsForFirstRun:
		return e.since(w.since) >= reservationDelay
	case waitsSinceEarlierTerm:
		return true // For how long it has waited is not known.
	}
	return e.since(w.since) >= reservationDelay && !e.mayYield(s, ref.Index)
}

// owedTask is a lasting task for which capacity is to be kept, as the only pending one of its step.
type owedTask struct {
	step     *readyStep
	deadline Instant
}

// owedTasks returns the tasks for which capacity is to be kept, those that must run first in front.
func (e *Engine) owedTasks() []owedTask {
	var owed []owedTask
	for _, s := range e.ready.sorted {
		if !s.step.Lasting || !s.job.Active() || s.step.Gang || s.job.Spec.DueMs(s.ref.Occurrence) > e.wallMs {
			continue
		}
		for _, i := range s.pending {
			ref := s.task(i)
			if !e.owedCapacity(s, ref) {
				continue
			}
			w := e.lastingWaits[ref]
			owed = append(owed, owedTask{s.only(i), w.since.Add(w.bound())})
		}
	}
	slices.SortStableFunc(owed, func(a, b owedTask) int { return cmp.Compare(a.deadline, b.deadline) })
	return owed
}

// only returns the step with one task as the only pending one.
func (s *readyStep) only(index uint32) *readyStep {
	one := *s
	one.pending, one.yields = []uint32{index}, false
	return &one
}

// reserveForLasting keeps capacity for the lasting tasks that are owed it, and drops the
// reservations that are not needed any more or did not come true. A single answer that is late does
// not undo the stops of short tasks.
func (e *Engine) reserveForLasting(p *candidateSet) {
	for _, r := range slices.Clone(e.reservations.list) {
		c := p.find(r.worker)
		if c != nil && (!c.silent || r.reclaimed) && !c.refusing && c.view.test == nil && e.now <= r.expiresAt && e.mayRunOn(c, r.ref) && e.keptWith(c, r).Fits(c.roomBesideLasting(e)) {
			continue
		}
		e.dropReservation(p, r)
	}
	if e.since(e.reservations.searchedAt) < reservationInterval {
		return
	}
	e.reservations.searchedAt = e.now
	e.reclaimForLasting(p)
	e.prepareQuestionAhead(p)
	var failed failedRequests
	made := 0
	for _, owed := range e.owedTasks() {
		s := owed.step
		if e.reservations.byTask[s.firstPending()] != nil || made == maxReservationsPerSearch || failed.cover(s) {
			continue
		}
		if !e.reserveSoonestForLasting(p, s) {
			failed = append(failed, s)
			continue
		}
		made++
	}
}

// failedRequests are steps for which no worker was found in a search.
type failedRequests []*readyStep

// cover reports whether a request that is no larger was among them.
func (f failedRequests) cover(s *readyStep) bool {
	return slices.ContainsFunc(f, func(other *readyStep) bool {
		return other.job.Service == s.job.Service && (!other.job.Advised || other.ref == s.ref) && other.step.MaxPerWorker == 0 && (other.step.Label == "" || other.step.Label == s.step.Label) && other.step.Resources.Fits(s.step.Resources)
	})
}

// mayRunOn reports whether a task is pending and its step allows one more task on the worker.
func (e *Engine) mayRunOn(c *candidate, ref workflow.TaskRef) bool {
	s := e.pendingStep(ref)
	return s != nil && c.allows(s)
}

// keptWith returns the capacity that is kept on a worker for lasting tasks up to the order of r.
// Those for which it is reclaimed go first.
func (e *Engine) keptWith(c *candidate, r *lastingReservation) workflow.Resources {
	if r.reclaimed {
		return e.reservations.reclaimed[r.worker]
	}
	return c.keptFor
}

// dropReservation gives the capacity back that is kept for a lasting task.
func (e *Engine) dropReservation(p *candidateSet, r *lastingReservation) {
	e.reservations.remove(r)
	if c := p.find(r.worker); c != nil {
		c.keptFor = c.keptFor.Sub(r.need)
		c.view.roomGrew()
	}
}

// reserveSoonestForLasting keeps capacity on the worker that has it soonest.
func (e *Engine) reserveSoonestForLasting(p *candidateSet, s *readyStep) bool {
	need := s.step.Resources
	var best *candidate
	var bestAt Instant
	bestScore := int64(0)
	for _, c := range e.permitted(p, s, ticket.usable) {
		if c.silent || c.refusing || c.view.test != nil || !need.Fits(c.roomBesideLasting(e).Sub(c.keptFor)) || !e.allowsReservation(c, s) {
			continue
		}
		at, _, fits := wholeAt(e.now, c.free.Sub(c.keptFor), c.capacityEnds(e), need)
		if !fits || best != nil && at > bestAt {
			continue
		}
		score := e.score(p, c, s)
		if best == nil || at < bestAt || score > bestScore {
			best, bestAt, bestScore = c, at, score
		}
	}
	if best == nil {
		return false
	}
	best.keptFor = best.keptFor.Add(need)
	e.reservations.add(&lastingReservation{ref: s.firstPending(), need: need, worker: best.view.worker.ID, wholeAt: bestAt, expiresAt: bestAt.Add(reservationMargin)})
	return true
}

// placeReserved places the lasting tasks for which the kept capacity is whole, on each worker first
// those for which it was reclaimed.
func (e *Engine) placeReserved(p *candidateSet) {
	for _, r := range slices.Clone(e.reservations.list) {
		c, s := p.find(r.worker), e.pendingStep(r.ref)
		if c == nil || s == nil || e.heldAnywhere(r.ref) {
			continue
		}
		free := c.free
		if !r.reclaimed {
			free = free.Sub(e.reservations.reclaimed[r.worker])
		}
		if !r.need.Fits(free) {
			continue
		}
		kept := c.keptFor
		c.keptFor = workflow.Resources{}
		one := s.only(r.ref.Index)
		placed := e.admits(c, one) && e.place(c, one, r.ref, s.job.LastAttempt(r.ref)+1)
		c.keptFor = kept
		if !placed {
			continue
		}
		c.keptFor = kept.Sub(r.need)
		e.reservations.remove(r)
		s.pending = slices.DeleteFunc(s.pending, func(i uint32) bool { return i == r.ref.Index })
		e.ready.markDirty(r.ref.Job)
	}
}

// fitsBesideKept reports whether one more task of the step leaves the capacity that is kept for
// lasting tasks. The processors of scavengers are not reserved.
func (c *candidate) fitsBesideKept(s *readyStep) bool {
	if c.keptFor == (workflow.Resources{}) {
		return true
	}
	need, left := s.step.Reserved(), c.free.Sub(c.keptFor)
	if s.step.Scavenger {
		left.MilliProcessors = need.MilliProcessors
	}
	return need.Fits(left)
}

// find returns the candidate of a worker, nil if it is none.
func (p *candidateSet) find(id workflow.WorkerID) *candidate {
	if p.byID == nil {
		p.byID = make(map[workflow.WorkerID]*candidate)
		for _, candidates := range p.byService {
			for _, c := range candidates {
				p.byID[c.view.worker.ID] = c
			}
		}
	}
	return p.byID[id]
}
