package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/headroom"
	"mangohill.example/mangohill/workflow"
)

// Lasting tasks yield to urgent ones that would find no room.

const (
	// preemptionPause is how long a preempted task runs after its return before it may be
	// preempted again.
	preemptionPause = 10 * time.Second
	// minPreemptionInterval is the least time between two decisions on preemptions, and
	// preemptionIntervalPerWorker that for each worker: waiting tasks are served at once, and a
	// decision looks at all lasting tasks.
	minPreemptionInterval       = 50 * time.Millisecond
	preemptionIntervalPerWorker = 100 * time.Microsecond
	// workersPerPreemption times the preemptions in a preemptionPeriod are at most the workers; see
	// docs/design/urgent-room.md.
	workersPerPreemption = 10
	minPreemptions       = 3
	// waitingPart of them is left for urgent tasks that wait, when preemptions for those to
	// come have taken the rest.
	waitingPart      = 3
	preemptionPeriod = time.Second
)

// preemption is the latest preemption of a lasting task.
type preemption struct {
	attempt uint32
	at      Instant
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
