package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/headroom"
	"mangohill.example/mangohill/workflow"
)

const (
	// preemptedWait is how long a preempted lasting task may wait, from its stop on, for
	// capacity that is not held for urgent tasks. The platform's rules allow six seconds
	// from its last run, and three more of waiting beside free capacity.
	preemptedWait = 5 * time.Second
	// firstRunWait is the same for a lasting task that never ran, from the time when it
	// could be started; the platform's rules allow three seconds.
	firstRunWait = 2 * time.Second
	// preemptionPause is how long a preempted task runs after its return before it may be
	// preempted again.
	preemptionPause = 10 * time.Second
	// minPreemptionInterval is the least time between two decisions on preemptions, and
	// preemptionIntervalPerWorker that for each worker: waiting tasks are served at once, and a
	// decision looks at all lasting tasks.
	minPreemptionInterval       = 50 * time.Millisecond
	preemptionIntervalPerWorker = 100 * time.Microsecond
	// workersPerPreemption times the preemptions in a preemptionPeriod are at most the
	// workers. Twice and half as many gain less for urgent jobs than they cost lasting ones,
	// by the values of both kinds of work; see docs/design/urgent-room.md.
	workersPerPreemption = 10
	minPreemptions       = 3
	// waitingPart of them is left for urgent tasks that wait, when preemptions for those to
	// come have taken the rest.
	waitingPart      = 3
	preemptionPeriod = time.Second
	// passedOverLimit is how long an urgent task may be passed over before the room that is
	// assigned to it is kept from other urgent tasks. The room stays empty until it is complete,
	// which takes up to the 0.9 s of a stop.
	passedOverLimit = 400 * time.Millisecond
	// wideFactor times the mean width of urgent tasks is the width from which on a task keeps
	// the room that is assigned to it at once: narrower ones would take most of what each stop
	// frees before there is enough.
	wideFactor = 2
	// gapWeight is the score of a thousandth of a processor of gaps that urgent tasks could
	// use. Two processors count as much as a unit of imageAffinity.
	gapWeight = affinityWeight / 2000
	// assignedWeight ranks workers with room that is assigned to an urgent task behind others.
	assignedWeight = 1 << 48
)

// urgentPool is the capacity of a service that is kept free for urgent tasks: those of the
// highest priority that are neither lasting nor scavengers.
type urgentPool struct {
	priority  int32
	demand    headroom.Demand
	sampledAt Instant
	// neededAt is when an urgent task that could be in time was last left without room, or a
	// lasting task last waited or was preempted for the pool; zero for never. The pool is
	// kept from then on for headroom.Window.
	neededAt    Instant
	evaluatedAt Instant
	// preemptedAt holds when tasks were preempted in the last preemptionPeriod, oldest first.
	preemptedAt []Instant
	// unplaced is the number of lasting tasks that wait and for which the fleet has no room.
	// withheld is set while no task is preempted whose room would be owed to them.
	unplaced int
	withheld bool
	// widths are those in demand.
	widths []headroom.Width
	// assigned is the room that is assigned to urgent tasks that wait, by worker.
	assigned map[workflow.WorkerID][]assignedRoom
	// targetMilliProcessors and heldMilliProcessors are the latest target, and what of it
	// is held in gaps.
	targetMilliProcessors, heldMilliProcessors int64
}

// assignedRoom is room that is assigned to a task of a step.
type assignedRoom struct {
	ref  workflow.StepRef
	need workflow.Resources
}

// preemption is the latest preemption of a lasting task.
type preemption struct {
	attempt uint32
	at      Instant
}

// isUrgent reports whether the tasks of a step are urgent.
func (p *urgentPool) isUrgent(job *workflow.Job, step *workflow.Step) bool {
	return !step.Lasting && !step.Scavenger && !step.Gang && job.Priority == p.priority
}

// isUrgentTask reports whether the tasks of a step are urgent for their service.
func (e *Engine) isUrgentTask(job *workflow.Job, step uint32) bool {
	p := e.urgentPools[job.Service]
	return p != nil && p.isUrgent(job, &job.Spec.Steps[step])
}

// poolActive reports whether capacity is held for urgent tasks of a service.
func (e *Engine) poolActive(service string) bool {
	p := e.urgentPools[service]
	return p != nil && p.neededAt != 0 && e.since(p.neededAt) < headroom.Window
}

// updatePools creates the pools of the services in the catalog and samples their demand.
func (e *Engine) updatePools() {
	sampled := false
	for service, priority := range e.state.ServicePriorities() {
		p := e.urgentPools[service]
		if p == nil {
			p = &urgentPool{}
			e.urgentPools[service] = p
		}
		p.priority = priority
		if e.since(p.sampledAt) >= headroom.SampleInterval {
			p.sampledAt, sampled = e.now, true
			load := e.urgentLoad(service, p)
			for _, s := range e.ready.sorted {
				if s.job.Service == service && e.waits(p, s) && s.latenessAt(e.wallMs) == onTime {
					for range s.pending {
						load.Add(s.step.Resources)
					}
				}
			}
			p.demand.Record(&load)
			p.widths = p.demand.Widths()
		}
	}
	if sampled {
		maps.DeleteFunc(e.preemptions, func(ref workflow.TaskRef, _ preemption) bool {
			job := e.state.Job(ref.Job)
			return job == nil || !job.Active()
		})
		maps.DeleteFunc(e.stopsForLasting, func(ref workflow.TaskRef, _ int) bool {
			job := e.state.Job(ref.Job)
			return job == nil || !job.Active()
		})
	}
}

// urgentLoad returns what urgent tasks of a service hold.
func (e *Engine) urgentLoad(service string, p *urgentPool) headroom.Load {
	var load headroom.Load
	for _, v := range e.sortedViews {
		if v.worker.Service != service {
			continue
		}
		for _, a := range v.attemptList {
			if a.class == unknownClass {
				a.class = otherClass
				if job := e.state.Job(a.ref.Job); job != nil && p.isUrgent(job, &job.Spec.Steps[a.ref.Step]) {
					a.class = urgentClass
				}
			}
			if a.class != urgentClass || a.stopWanted {
				continue
			}
			if step := e.step(a.ref); step != nil {
				load.Add(step.Resources)
			}
		}
	}
	return load
}

// attemptClass tells whether an attempt is of an urgent task.
type attemptClass uint8

const (
	unknownClass attemptClass = iota
	urgentClass
	otherClass
)

// waits reports whether tasks of an urgent step are pending that may be started.
func (e *Engine) waits(p *urgentPool, s *readyStep) bool {
	return len(s.pending) > 0 && p.isUrgent(s.job, s.step) && s.job.Active() && s.job.Spec.DueMs(s.ref.Occurrence) <= e.wallMs
}

// waitsForRoom reports whether the pending tasks of an urgent step wait for nothing but room on
// any worker, and are still of value.
func (e *Engine) waitsForRoom(p *urgentPool, s *readyStep) bool {
	return e.waits(p, s) && s.latenessAt(e.wallMs) != tooLate && s.step.MaxPerWorker == 0 && s.step.Label == "" && !s.job.Advised && !e.failedRecently(s)
}

// poolView is the pool's view of the workers in one plan: the gaps that are wanted, and where
// they are.
type poolView struct {
	service    string
	candidates []*candidate
	// waiting are the steps whose tasks wait; the gap with Key i+1 is for waiting[i], those
	// with Key 0 are for tasks to come.
	waiting []*readyStep
	gaps    []headroom.Gap
	// free is the capacity of each candidate that is free, or will be once what is being
	// stopped there has ended, and is not assigned to a gap.
	free    []workflow.Resources
	packed  []headroom.Opening
	missing []int
}

// viewPool assigns the gaps of a pool to workers.
func (e *Engine) viewPool(set *candidateSet, service string) *poolView {
	p := e.urgentPools[service]
	view := &poolView{service: service, candidates: set.byService[service]}
	waitingMilliProcessors := int64(0)
	for _, s := range e.ready.sorted {
		if s.job.Service != service || !e.waitsForRoom(p, s) {
			continue
		}
		view.waiting = append(view.waiting, s)
		view.gaps = append(view.gaps, headroom.Gap{Need: s.step.Resources, Count: len(s.pending), Key: len(view.waiting)})
		waitingMilliProcessors += int64(len(s.pending)) * s.step.Resources.MilliProcessors
	}
	headroom.SortGaps(view.gaps)
	held := e.urgentLoad(service, p)
	p.targetMilliProcessors = p.demand.Target() + waitingMilliProcessors
	view.gaps = append(view.gaps, p.demand.Gaps(p.demand.Target()-held.MilliProcessors())...)
	view.free = make([]workflow.Resources, len(view.candidates))
	for i, c := range view.candidates {
		if !c.takesUrgent() {
			continue
		}
		c.stopping = workflow.Resources{}
		for _, a := range c.view.attemptList {
			if a.stopWanted {
				if step := e.step(a.ref); step != nil {
					c.stopping = c.stopping.Add(step.Reserved())
				}
			}
		}
		view.free[i] = c.free.Add(c.stopping).Sub(c.keptFor)
	}
	view.packed, view.missing = headroom.Pack(view.free, view.gaps)
	for g := range view.gaps {
		if key := view.gaps[g].Key; key > 0 && view.waiting[key-1].latenessAt(e.wallMs) != onTime {
			view.missing[g] = 0 // Nothing is preempted for it.
		}
	}
	p.heldMilliProcessors = 0
	for _, o := range view.packed {
		p.heldMilliProcessors += view.gaps[o.Gap].Need.MilliProcessors
	}
	return view
}

// takesUrgent reports whether the worker is one on which urgent tasks are started.
func (c *candidate) takesUrgent() bool {
	return !c.quarantined && !c.silent && c.view.test == nil
}

// holdGaps sets the capacity that is held on each candidate, once in a plan, and reports whether
// the pool is below its target.
func (e *Engine) holdGaps(set *candidateSet, service string) bool {
	belowTarget, known := set.belowTarget[service]
	if known {
		return belowTarget
	}
	view := e.viewPool(set, service)
	for _, o := range view.packed {
		c := view.candidates[o.Worker]
		c.held = c.held.Add(view.gaps[o.Gap].Need)
	}
	belowTarget = view.isMissing()
	set.belowTarget[service] = belowTarget
	return belowTarget
}

// isMissing reports whether a gap found no worker.
func (v *poolView) isMissing() bool {
	return slices.ContainsFunc(v.missing, func(n int) bool { return n > 0 })
}

// placeLasting places the tasks of a lasting step. While capacity is held for urgent tasks, those
// that may still wait are placed beside it, and only once the pool has reached its target: room
// that is of no use yet becomes part of a gap when a task next to it is preempted.
func (e *Engine) placeLasting(set *candidateSet, s *readyStep) {
	if !e.poolActive(s.job.Service) {
		if !set.knownUnplaceable(s) {
			e.placeStep(set, s)
		}
		return
	}
	belowTarget := e.holdGaps(set, s.job.Service)
	var due, yielding []uint32
	for _, i := range s.pending {
		if e.mayYield(s, i) {
			yielding = append(yielding, i)
		} else {
			due = append(due, i)
		}
	}
	s.pending, s.yields = due, false
	if len(s.pending) > 0 && !set.knownUnplaceable(s) {
		e.placeStep(set, s)
	}
	due = s.pending
	s.pending, s.yields = yielding, true
	if len(s.pending) > 0 && !belowTarget && !set.knownUnplaceable(s) {
		e.placeStep(set, s)
	}
	if p := e.urgentPools[s.job.Service]; len(s.pending) > 0 && p.demand.Target() > 0 {
		p.neededAt = e.now
	}
	s.pending = append(due, s.pending...)
	slices.Sort(s.pending)
	s.yields = false
}

// mayYield reports whether a pending lasting task may still wait for capacity that is not held
// for urgent tasks.
func (e *Engine) mayYield(s *readyStep, index uint32) bool {
	if !e.poolActive(s.job.Service) {
		return false
	}
	ref := s.task(index)
	attempt := s.job.Task(ref).Attempt
	if p, known := e.preemptions[ref]; known && p.attempt == attempt {
		return e.since(p.at) < preemptedWait
	}
	return attempt == 0 && e.wallMs-s.waitingSinceMs < firstRunWait.Milliseconds()
}

// fitsBesideHeld reports whether one more task of the step leaves the capacity that is held for
// other tasks.
func (e *Engine) fitsBesideHeld(c *candidate, s *readyStep) bool {
	if s.yields {
		return s.step.Reserved().Fits(c.free.Add(c.stopping).Sub(c.held))
	}
	if s.step.Lasting || s.step.Scavenger {
		return true
	}
	p := e.urgentPools[s.job.Service]
	if p == nil || len(p.assigned) == 0 {
		return true
	}
	kept := workflow.Resources{}
	for _, r := range p.assigned[c.view.worker.ID] {
		if r.ref != s.ref && r.need.MilliProcessors >= s.step.Resources.MilliProcessors {
			kept = kept.Add(r.need)
		}
	}
	return kept == (workflow.Resources{}) || s.step.Reserved().Fits(c.free.Sub(kept))
}

// roomAssigned reports whether room is kept from a task of the step for others that wait, which
// may find room where the task finds none.
func (e *Engine) roomAssigned(s *readyStep) bool {
	p := e.urgentPools[s.job.Service]
	return p != nil && len(p.assigned) > 0 && !s.step.Lasting && !s.step.Scavenger
}

// gapScore returns the score of a worker for a lasting task by what is left there for urgent
// tasks, zero if none is held.
func (e *Engine) gapScore(c *candidate, s *readyStep) int64 {
	if !e.poolActive(s.job.Service) {
		return 0
	}
	p := e.urgentPools[s.job.Service]
	if p.assigned[c.view.worker.ID] != nil {
		return -assignedWeight
	}
	widths := p.widths
	return -int64(headroom.Useful(widths, c.free)-headroom.Useful(widths, c.free.Sub(s.step.Resources))) * gapWeight
}

// preemptionInterval returns the time between two decisions on preemptions.
func (e *Engine) preemptionInterval() time.Duration {
	return max(minPreemptionInterval, time.Duration(len(e.sortedViews))*preemptionIntervalPerWorker)
}

// preemptionDue reports whether the pool of any service is to be looked after.
func (e *Engine) preemptionDue() bool {
	for service, p := range e.urgentPools {
		if e.poolActive(service) && e.since(p.evaluatedAt) >= e.preemptionInterval() {
			return true
		}
	}
	return false
}

// makeRoomForUrgent notes which urgent tasks wait, and preempts lasting tasks if the pool of a
// service has too few gaps.
func (e *Engine) makeRoomForUrgent(set *candidateSet) {
	for _, s := range e.ready.sorted {
		if p := e.urgentPools[s.job.Service]; p != nil && e.waitsForRoom(p, s) && s.latenessAt(e.wallMs) == onTime {
			if !e.poolActive(s.job.Service) {
				e.log.Info().Str("service", s.job.Service).Stringer("job", s.ref.Job).Int64("mcpu", s.step.Resources.MilliProcessors).Int64("target_mcpu", p.demand.Target()).Uint64("term", e.term).Msg("headroom held")
			}
			p.neededAt = e.now
		}
	}
	for _, service := range slices.Sorted(maps.Keys(e.urgentPools)) {
		p := e.urgentPools[service]
		switch {
		case e.since(p.evaluatedAt) < e.preemptionInterval():
		case e.poolActive(service):
			e.preemptFor(set, service, p)
			p.evaluatedAt = e.now
		case p.assigned != nil || p.targetMilliProcessors != 0:
			p.assigned, p.targetMilliProcessors, p.heldMilliProcessors = nil, 0, 0
			p.unplaced, p.withheld = 0, false
			e.log.Info().Str("service", service).Uint64("term", e.term).Msg("headroom released")
		}
	}
}

// preemptFor preempts lasting tasks for the gaps that are missing.
func (e *Engine) preemptFor(set *candidateSet, service string, p *urgentPool) {
	view := e.viewPool(set, service)
	p.preemptedAt = slices.DeleteFunc(p.preemptedAt, func(at Instant) bool { return e.since(at) >= preemptionPeriod })
	// What yields now would wait behind those for which capacity is being reclaimed.
	limit := max(len(view.candidates)/workersPerPreemption, minPreemptions) - e.reclaimsIn(view.candidates)
	if view.isMissing() && len(p.preemptedAt) < limit && e.since(e.tookOverAt) >= moveWarmUp {
		victims, attempts := e.preemptible(view, p, limit)
		allowed := e.preemptionCheck(attempts)
		forWaiting, forOthers := view.splitMissing()
		for _, missing := range [][]int{forWaiting, forOthers} {
			chosen, opened, limited := headroom.Choose(view.free, victims, view.gaps, missing, limit-len(p.preemptedAt), allowed)
			for i := range chosen {
				e.preempt(p, attempts[chosen[i].Key], &view.gaps[chosen[i].Gap])
			}
			view.packed = append(view.packed, opened...)
			if limited {
				break // The next stops are for this gap.
			}
			limit -= limit / waitingPart
		}
	}
	p.assigned = make(map[workflow.WorkerID][]assignedRoom)
	for _, o := range view.packed {
		gap := &view.gaps[o.Gap]
		if gap.Key == 0 {
			continue
		}
		s := view.waiting[gap.Key-1]
		if e.wallMs-s.waitingSinceMs >= passedOverLimit.Milliseconds() || gap.Need.MilliProcessors >= wideFactor*p.demand.MeanWidth() {
			id := view.candidates[o.Worker].view.worker.ID
			p.assigned[id] = append(p.assigned[id], assignedRoom{s.ref, gap.Need})
		}
	}
}

// splitMissing returns the missing gaps for tasks that wait, and those for tasks to come.
func (v *poolView) splitMissing() (forWaiting, forOthers []int) {
	forWaiting, forOthers = slices.Clone(v.missing), slices.Clone(v.missing)
	for g := range v.gaps {
		if v.gaps[g].Key > 0 {
			forOthers[g] = 0
		} else {
			forWaiting[g] = 0
		}
	}
	return forWaiting, forOthers
}

// runningAttempt is an attempt with its worker.
type runningAttempt struct {
	view    *workerView
	attempt *attempt
}

// Ranks of headroom.Cost.
const (
	notOperational = iota
	missesTarget
	operational
)

// preemptible returns the lasting tasks on each candidate that may be preempted, the largest
// first, and their attempts by Key. While more lasting tasks find no room than may be preempted in
// a preemptionPeriod, those are left out whose room would be owed to them.
func (e *Engine) preemptible(view *poolView, p *urgentPool, limit int) ([][]headroom.Victim, []runningAttempt) {
	victims := make([][]headroom.Victim, len(view.candidates))
	var attempts []runningAttempt
	unplaced, count, room := e.unplacedLasting(view)
	withheld := count > limit
	if !withheld {
		unplaced = nil // They find room by turns, and leave the pool most of what yields.
	}
	if withheld != p.withheld {
		e.log.Info().Str("service", view.service).Bool("withheld", withheld).Int("unplaced", count).Int("limit", limit).Uint64("term", e.term).Msg("preemptions withheld")
	}
	p.withheld, p.unplaced = withheld, count
	for i, c := range view.candidates {
		if !c.takesUrgent() {
			continue
		}
		if _, reclaimed := e.reservations.reclaimed[c.view.worker.ID]; reclaimed {
			continue // Short tasks are being stopped there for lasting ones.
		}
		for _, a := range c.view.attemptList {
			job := e.state.Job(a.ref.Job)
			if job == nil || !job.Active() || !job.Spec.Steps[a.ref.Step].Lasting || job.Priority < p.priority || !a.committed || a.carried || !a.running || a.stopWanted || a.callInFlight {
				continue
			}
			last := e.preemptions[a.ref]
			// Whether the task was preempted before this attempt is not known if the leader
			// has changed since.
			if a.number > 1 && e.since(a.runningSince) < preemptionPause {
				continue
			}
			// Its room would be owed to a lasting task that waits, and be none for urgent ones.
			if owed := room[i].Add(job.Spec.Steps[a.ref.Step].Resources); slices.ContainsFunc(unplaced, func(need workflow.Resources) bool { return need.Fits(owed) }) {
				continue
			}
			cost := headroom.Cost{Rank: operational, Recency: int64(last.at)}
			switch {
			case a.percent < fullShare:
				cost.Rank = notOperational
			case e.inOverrun(a):
				cost.Rank = missesTarget
			}
			victims[i] = append(victims[i], headroom.Victim{Key: len(attempts), Need: job.Spec.Steps[a.ref.Step].Resources, Cost: cost})
			attempts = append(attempts, runningAttempt{c.view, a})
		}
		slices.SortStableFunc(victims[i], func(a, b headroom.Victim) int {
			return cmp.Compare(b.Need.MilliProcessors, a.Need.MilliProcessors)
		})
	}
	return victims, attempts
}

// availability counts the tasks of a job that run and are available, and those of each step of
// each occurrence that are not.
type availability struct {
	available   int
	unavailable map[workflow.StepRef]int32
}

func (e *Engine) availabilityOf(job *workflow.Job) *availability {
	counts := &availability{unavailable: make(map[workflow.StepRef]int32)}
	for o, held := range job.Occurrences.Held() {
		for s, tasks := range held.Steps {
			step := workflow.StepRef{Job: job.ID, Occurrence: o, Step: uint32(s)}
			for i := range tasks {
				ref := workflow.TaskRef{Job: job.ID, Occurrence: step.Occurrence, Step: step.Step, Index: uint32(i)}
				if e.available(ref, &tasks[i]) {
					counts.available++
				} else {
					counts.unavailable[step]++
				}
			}
		}
	}
	return counts
}

// mayPreempt reports whether a lasting task may be stopped: enough tasks of its step are
// available, and another task of its job runs.
func (e *Engine) mayPreempt(job *workflow.Job, a *attempt, counts *availability) bool {
	remaining, unavailable := counts.available, counts.unavailable[a.ref.StepRef()]
	if e.available(a.ref, job.Task(a.ref)) {
		remaining--
		unavailable++
	}
	limit := job.Spec.Steps[a.ref.Step].MaxUnavailable
	return remaining > 0 && (limit <= 0 || unavailable <= limit)
}

// preemptionCheck returns a function that reports whether one of the given attempts may be
// stopped in the current state.
func (e *Engine) preemptionCheck(attempts []runningAttempt) func(*headroom.Victim) bool {
	counts := make(map[workflow.JobID]*availability)
	checked, verdicts := make([]bool, len(attempts)), make([]bool, len(attempts))
	return func(v *headroom.Victim) bool {
		if !checked[v.Key] {
			a := attempts[v.Key].attempt
			job := e.state.Job(a.ref.Job)
			if counts[job.ID] == nil {
				counts[job.ID] = e.availabilityOf(job)
			}
			checked[v.Key], verdicts[v.Key] = true, e.mayPreempt(job, a, counts[job.ID])
		}
		return verdicts[v.Key]
	}
}

// unplacedLasting returns what the lasting tasks need that wait, or have been preempted, and for
// which the workers have no room beside the other lasting tasks; and the room that is left on each
// candidate. A fleet that has shrunk has no room for all of them.
func (e *Engine) unplacedLasting(view *poolView) (unplaced []workflow.Resources, count int, room []workflow.Resources) {
	room = make([]workflow.Resources, len(view.candidates))
	var gaps []headroom.Gap
	for i, c := range view.candidates {
		room[i] = c.roomBesideLasting(e).Sub(c.keptFor)
		for _, a := range c.view.attemptList {
			if !a.stopWanted || a.stopCause != waitsAfterPreemption {
				continue
			}
			if step := e.step(a.ref); step != nil {
				gaps = append(gaps, headroom.Gap{Need: step.Resources, Count: 1})
			}
		}
	}
	for _, s := range e.ready.sorted {
		if !s.step.Lasting || s.job.Service != view.service || !s.job.Active() || s.step.Label != "" || s.step.MaxPerWorker != 0 || s.job.Spec.DueMs(s.ref.Occurrence) > e.wallMs {
			continue
		}
		waiting := 0
		for _, i := range s.pending {
			if e.reservations.byTask[s.task(i)] == nil {
				waiting++
			}
		}
		if waiting > 0 {
			gaps = append(gaps, headroom.Gap{Need: s.step.Resources, Count: waiting})
		}
	}
	headroom.SortGaps(gaps)
	_, missing := headroom.Pack(room, gaps)
	for g, n := range missing {
		count += n
		if n > 0 && !slices.ContainsFunc(unplaced, func(need workflow.Resources) bool { return need.Fits(gaps[g].Need) }) {
			unplaced = append(unplaced, gaps[g].Need)
		}
	}
	return unplaced, count, room
}

// preempt stops a lasting task for urgent ones, if that is still allowed beside those that were
// stopped before.
func (e *Engine) preempt(p *urgentPool, r runningAttempt, gap *headroom.Gap) {
	a, reason := r.attempt, "below_target"
	if gap.Key > 0 {
		reason = "urgent_task_waits"
	}
	job := e.state.Job(a.ref.Job)
	if !e.mayPreempt(job, a, e.availabilityOf(job)) {
		return
	}
	p.preemptedAt, p.neededAt = append(p.preemptedAt, e.now), e.now
	a.stopWanted, a.stopCause = true, waitsAfterPreemption
	e.preemptions[a.ref] = preemption{a.number, e.now}
	e.counters.Yielded++
	e.log.Info().Stringer("task", a.ref).Uint32("attempt", a.number).Str("worker", r.view.worker.Life.Name).Int("percent", a.percent).Dur("ran", e.since(a.runningSince)).
		Str("reason", reason).Int64("gap_mcpu", gap.Need.MilliProcessors).Int64("target_mcpu", p.targetMilliProcessors).Int64("held_mcpu", p.heldMilliProcessors).Uint64("term", e.term).Msg("task preempted")
	e.issueAttemptOrder(r.view, a)
}
