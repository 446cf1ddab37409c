package dispatch

import (
	"cmp"
	"slices"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/runtimes"
	"mangohill.example/mangohill/workflow"
)

// readyStep is a step with pending tasks that may be started.
type readyStep struct {
	ref     workflow.StepRef
	job     *workflow.Job
	step    *workflow.Step
	pending []uint32
	// remainingMs is the expected time of the longest chain of steps that begins
	// with this one. sortDeadlineMs is the deadline for the job's current
	// lateness, by which steps are sorted.
	remainingMs, sortDeadlineMs int64
	// criticalPathMs is the expected time of the longest chain of steps of the
	// job.
	criticalPathMs int64
	// errorPart is the error of these times as a part of them.
	errorPart float64
	lateness  lateness
	// waitingSinceMs is when the step was first found to have pending tasks.
	waitingSinceMs int64
	// baseValueDensity is the job's value per unit of remaining work if it
	// completes on time.
	baseValueDensity float64
	// valueDensity is the value density at the latest sorting, which falls as the
	// job gets late.
	valueDensity float64
	// rack is the rack chosen for the tasks of a step that share one.
	rack string
	// image is the index of the step's image, valid once imageKnown is set.
	image      interference.Image
	imageKnown bool
	// yields is set while tasks are placed that leave the capacity held for urgent ones.
	yields bool
	// preferred is set if the job goes before others of more value; see readySteps.prefer.
	preferred bool
	// heldBack is set when the latest placement of a task was refused by a reservation.
	heldBack bool
	// limited holds the tasks that open starts kept from some workers at the latest plan.
	limited []uint32
}

// task returns a task of the step.
func (s *readyStep) task(index uint32) workflow.TaskRef {
	return workflow.TaskRef{Job: s.ref.Job, Occurrence: s.ref.Occurrence, Step: s.ref.Step, Index: index}
}

// firstPending returns the first pending task.
func (s *readyStep) firstPending() workflow.TaskRef { return s.task(s.pending[0]) }

// readySteps holds the steps with pending tasks in scheduling order.
type readySteps struct {
	dirtyJobs map[workflow.JobID]bool
	byJob     map[workflow.JobID][]*readyStep
	// suspects holds, by job, the tasks that are to be tested, as steps of their own.
	suspects map[workflow.JobID][]*readyStep
	due      dueTimes
	// meanWorkByQueue holds the mean work of the jobs that each queue accepted.
	meanWorkByQueue map[string]*meanWork
	// runTimes holds what is learned of run times.
	runTimes *runtimes.Model
	// sizes holds the sizes of jobs.
	sizes   jobSizes
	sorted  []*readyStep
	changed bool
	// lastSortMs is when the steps were last sorted, lastPreferMs when jobs were last preferred.
	lastSortMs, lastPreferMs int64
}

// sortInterval is the time after which the steps are sorted again although none
// has changed: the value of a job falls within a second.
const sortInterval = 200 * time.Millisecond

func (r *readySteps) reset() {
	r.dirtyJobs = make(map[workflow.JobID]bool)
	r.byJob = make(map[workflow.JobID][]*readyStep)
	r.suspects = make(map[workflow.JobID][]*readyStep)
	r.due = newDueTimes()
	r.meanWorkByQueue = make(map[string]*meanWork)
	r.runTimes = runtimes.New(runtimes.DefaultMaxKeys)
	r.sizes = newJobSizes()
}

// markDirty marks a job whose ready steps may have changed.
func (r *readySteps) markDirty(id workflow.JobID) { r.dirtyJobs[id] = true }

// refresh recomputes the ready steps of dirty jobs and sorts all steps if any has
// changed or sortInterval has passed. It reports whether it has sorted them.
func (r *readySteps) refresh(state *workflow.View, nowMs int64) bool {
	r.due.markDue(nowMs, r.markDirty)
	for id := range r.dirtyJobs {
		r.refreshJob(id, state.Job(id), nowMs)
	}
	clear(r.dirtyJobs)
	if !r.changed && nowMs-r.lastSortMs < sortInterval.Milliseconds() {
		return false
	}
	r.changed, r.lastSortMs = false, nowMs
	r.sort(nowMs)
	if nowMs-r.lastPreferMs >= sortInterval.Milliseconds() {
		r.lastPreferMs = nowMs
		if r.prefer(state, nowMs) {
			r.sort(nowMs)
		}
	}
	return true
}

// sort sorts all steps.
func (r *readySteps) sort(nowMs int64) {
	r.sorted = r.sorted[:0]
	for id, steps := range r.byJob {
		job := r.sizes.jobs[id]
		for _, s := range steps {
			s.lateness = s.latenessAt(nowMs)
			s.sortDeadlineMs = s.deadlineMs(s.lateness)
			s.valueDensity = s.valueDensityAt(nowMs)
			s.preferred = job != nil && job.preferred
		}
		r.sorted = append(r.sorted, steps...)
	}
	slices.SortFunc(r.sorted, compareSchedulingOrder)
}

// lateness tells how far behind its latency objective a job is.
type lateness uint8

const (
	// onTime jobs can still meet their latency objective.
	onTime lateness = iota
	// late jobs can still complete within lateDeadlineFactor times their
	// objective.
	late
	// tooLate jobs have no value to their callers any more.
	tooLate
)

// lateDeadlineFactor times its latency objective is the time for which a late job
// keeps some value; the platform's rules state it.
const lateDeadlineFactor = 3

// deadlineMs returns the time by which the job must complete to be no later than
// the given lateness.
func (s *readyStep) deadlineMs(at lateness) int64 {
	earliestStartMs := max(s.job.AcceptedMs, s.job.Spec.DueMs(s.ref.Occurrence))
	objective := s.job.LatencyObjectiveMs + s.criticalPathMs*s.job.StretchMilli/1000
	if at == onTime {
		return earliestStartMs + objective
	}
	return earliestStartMs + lateDeadlineFactor*objective
}

func (s *readyStep) latenessAt(nowMs int64) lateness {
	switch end := nowMs + s.remainingMs; {
	case s.step.Lasting || end <= s.deadlineMs(onTime):
		return onTime
	case end <= s.deadlineMs(late):
		return late
	}
	return tooLate
}

func (r *readySteps) refreshJob(id workflow.JobID, job *workflow.Job, nowMs int64) {
	previous := r.byJob[id]
	delete(r.suspects, id)
	if len(previous) > 0 {
		delete(r.byJob, id)
		r.changed = true
	}
	if job == nil || !job.Active() {
		delete(r.sizes.jobs, id)
		r.due.forget(id)
		return
	}
	r.due.schedule(job, nowMs)
	chains, density := r.remainingPathsMs(job), r.baseValueDensity(job)
	for _, o := range readyOccurrences(job, nowMs) {
		for s := range job.Spec.Steps {
			previous = r.addStep(job, o, uint32(s), chains, density, previous, nowMs)
		}
	}
}

// addStep adds a step if it is ready. previous are the ready steps of its job before, from the
// step on; addStep returns those behind it.
func (r *readySteps) addStep(job *workflow.Job, occurrence, step uint32, chains []int64, density float64, previous []*readyStep, nowMs int64) []*readyStep {
	if job.Occurrences.Done(occurrence, step) == job.Spec.Steps[step].Count || !job.StepReady(occurrence, step) {
		return previous
	}
	pending := job.Occurrences.AppendPending(nil, occurrence, step)
	if len(pending) == 0 {
		return previous
	}
	ref := workflow.StepRef{Job: job.ID, Occurrence: occurrence, Step: step}
	waitingSinceMs, previous := waitingSince(previous, ref, nowMs)
	ready := &readyStep{
		ref: ref, waitingSinceMs: waitingSinceMs, baseValueDensity: density, job: job, step: &job.Spec.Steps[step],
		pending: pending, criticalPathMs: slices.Max(chains), remainingMs: chains[step], errorPart: r.errorPart(job, step),
	}
	var suspects []*readyStep
	if ready.pending, suspects = splitSuspects(ready); len(suspects) > 0 {
		r.suspects[job.ID] = append(r.suspects[job.ID], suspects...)
	}
	if len(ready.pending) > 0 {
		r.byJob[job.ID] = append(r.byJob[job.ID], ready)
		r.changed = true
	}
	return previous
}

// waitingSince returns when a step was first found to have pending tasks: as in
// the previous ready steps of its job, which are sorted, or now if it is not among them. It
// also returns those behind the step.
func waitingSince(previous []*readyStep, ref workflow.StepRef, nowMs int64) (int64, []*readyStep) {
	for len(previous) > 0 && compareStepRefs(previous[0].ref, ref) < 0 {
		previous = previous[1:]
	}
	if len(previous) > 0 && previous[0].ref == ref {
		return previous[0].waitingSinceMs, previous[1:]
	}
	return nowMs, previous
}

// remainingPathsMs returns, for each step, the expected time of the longest
// chain of steps that begins with it.
func (r *readySteps) remainingPathsMs(job *workflow.Job) []int64 {
	remaining := make([]int64, len(job.Spec.Steps))
	for i := len(job.Spec.Steps) - 1; i >= 0; i-- {
		remaining[i] += r.meanMs(job, uint32(i))
		for _, before := range job.Spec.Steps[i].After {
			remaining[before] = max(remaining[before], remaining[i])
		}
	}
	return remaining
}

// compareSchedulingOrder orders steps by the priority of their queue; then
// tasks that end before lasting ones, which never give back their resources by
// themselves; then jobs that still have a value before those that have none;
// then preferred jobs; then by value density; last by deadline.
func compareSchedulingOrder(a, b *readyStep) int {
	switch { // cmp.Or would make all comparisons, in a sort of all steps that wait.
	case a.job.Priority != b.job.Priority:
		return cmp.Compare(a.job.Priority, b.job.Priority)
	case a.step.Lasting != b.step.Lasting:
		return compareBools(a.step.Lasting, b.step.Lasting)
	case (a.lateness == tooLate) != (b.lateness == tooLate):
		return compareBools(a.lateness == tooLate, b.lateness == tooLate)
	case a.preferred != b.preferred:
		return compareBools(b.preferred, a.preferred)
	}
	if order := compareValueDensity(a, b); order != 0 {
		return order
	}
	if a.sortDeadlineMs != b.sortDeadlineMs {
		return cmp.Compare(a.sortDeadlineMs, b.sortDeadlineMs)
	}
	return compareStepRefs(a.ref, b.ref)
}

func compareBools(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return 1
	}
	return -1
}

// plan places the pending tasks in scheduling order.
func (e *Engine) plan() {
	if e.ready.refresh(e.state, e.wallMs) {
		e.recordSized()
	}
	e.endLookAheads()
	if len(e.ready.sorted) == 0 && len(e.ready.suspects) == 0 && !e.preemptionDue() {
		e.suspectsWaiting, e.longestTestWait = 0, 0
		return
	}
	candidates := e.newCandidateSet()
	e.placeMoved(candidates)
	e.placeSuspects(candidates)
	e.reserveForLasting(candidates)
	e.placeReserved(candidates)
	e.dropLookAheadsForLasting(candidates)
	for _, s := range e.ready.sorted {
		if s.job.Spec.DueMs(s.ref.Occurrence) <= e.wallMs {
			e.placePending(candidates, s)
		}
	}
	e.counters.Evaluated += uint64(candidates.evaluated)
	e.makeRoomForUrgent(candidates)
	e.reserveAhead(candidates)
}

// placePending places the pending tasks of a step.
func (e *Engine) placePending(candidates *candidateSet, s *readyStep) {
	e.dropHeldTasks(s)
	s.heldBack = false
	if s.job.Active() && !candidates.blockedByGang(s) {
		e.dropOpenTasks(s)
	}
	switch {
	case len(s.pending) == 0:
	case !s.job.Active() || candidates.blockedByGang(s):
	case s.step.Gang:
		e.placeGang(candidates, s)
	case s.step.Lasting:
		e.placeLasting(candidates, s)
	case !candidates.knownUnplaceable(s):
		e.placeStep(candidates, s)
	}
}

// placeStep places as many of a step's tasks as find a worker.
func (e *Engine) placeStep(p *candidateSet, s *readyStep) {
	search, searchable := e.searchFor(p, s)
	switch {
	case search.futile():
		p.recordUnplaceable(s, false)
		return
	case s.step.Scavenger && p.work >= p.limit:
		return // It is for the next plan: urgent tasks may come meanwhile.
	}
	// A repeated search that finds nothing again is no work: the steps behind it would otherwise
	// never be tried.
	counted := !search.repeated
	if counted {
		p.work += len(search.candidates)
	}
	workers := e.rankAmong(p, s, search.candidates)
	for len(s.pending) > 0 {
		c := workers.best(e)
		if c == nil {
			avoids := e.failedRecently(s) || e.roomAssigned(s) || s.heldBack
			if searchable && !avoids {
				e.recordFailedSearch(search.failedSearch)
			}
			p.recordUnplaceable(s, avoids)
			e.recordHeldBack(s)
			e.prepareQuestion(p, s)
			return
		}
		ref := s.firstPending()
		if !e.place(c, s, ref, s.job.LastAttempt(ref)+1) {
			return
		}
		workers.update(e, c)
		if p.work += placementWork; !counted {
			p.work, counted = p.work+len(search.candidates), true
		}
		s.pending = s.pending[1:]
		e.ready.markDirty(s.ref.Job)
	}
}

// place records an attempt on the candidate and starts it once the record is
// committed.
func (e *Engine) place(c *candidate, s *readyStep, ref workflow.TaskRef, number uint32) bool {
	return e.record(c, s, ref, number, workflow.Op{Place: &workflow.Place{Task: ref, Worker: c.view.worker.ID, Attempt: number}})
}

// record records an attempt on the candidate by the given operation and starts it once that
// is committed.
func (e *Engine) record(c *candidate, s *readyStep, ref workflow.TaskRef, number uint32, op workflow.Op) bool {
	v := c.view
	if err := e.propose(op); err != nil {
		e.log.Error().Err(err).Stringer("task", ref).Str("worker", v.worker.Life.Name).Msg("placement not recorded")
		return false
	}
	c.reserve(s)
	e.recordBesideLookAhead(c, s)
	e.counters.Placed++
	e.logOpenStarts(ref, number, v)
	a := &attempt{ref: ref, number: number, placedAt: e.now, appliedShare: fullShare, wantedShare: fullShare}
	if s.waitingSinceMs > 0 {
		a.stages.waited = time.Duration(e.wallMs-s.waitingSinceMs) * time.Millisecond
	}
	prompt := isPrompt(s.job, s.step)
	e.observeStage(StagePlace, prompt, a.stages.waited)
	v.add(a)
	e.copies.track(v, a, s.step)
	free, need, heard := c.free, s.step.Resources, e.since(v.answeredAt)
	e.afterCommit(func() {
		if e.views[v.worker.ID] != v || v.attempts[ref] != a {
			return
		}
		a.committed, a.stages.committedAt = true, e.now
		e.observeStage(StageCommit, prompt, e.since(a.placedAt))
		e.log.Info().Stringer("task", ref).Uint32("attempt", number).Str("worker", v.worker.Life.Name).Int64("born_ms", v.worker.Life.BornMs).Int64("free_mcpu", free.MilliProcessors).Int64("mcpu", need.MilliProcessors).Int64("memory_mb", need.MemoryMB).Dur("waited", a.stages.waited).Dur("report_age", heard).Uint64("term", e.term).Msg("task placed")
		e.issueAttemptOrder(v, a)
	})
	return true
}
