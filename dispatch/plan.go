package dispatch

import (
	"cmp"
	"slices"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/workflow"
)

// readyStep is a step whose tasks may be started.
type readyStep struct {
	ref     workflow.StepRef
	job     *workflow.Job
	step    *workflow.Step
	pending []uint32
	// leftMs is the estimated time of the longest chain that is still to run, and
	// dueMs the deadline that orders the steps, for the stage of the job's delay.
	leftMs, dueMs int64
	// chainMs is the estimated time of the longest chain of the whole job.
	chainMs int64
	stage   stage
	// waitingMs is when the step was first found to have pending tasks.
	waitingMs int64
	// density is what the job is worth for each unit of the work left.
	density float64
	// worth is the value of the step at the latest sorting.
	worth float64
	// rack is the rack on which the tasks of the step are to run.
	rack string
	// image is the index of the step's image, once imageKnown is set.
	image      interference.Image
	imageKnown bool
}

// next names the first pending task.
func (s *readyStep) next() workflow.TaskRef {
	return workflow.TaskRef{Job: s.ref.Job, Occurrence: s.ref.Occurrence, Step: s.ref.Step, Index: s.pending[0]}
}

// readySteps keeps the steps with pending tasks in the order of their turn.
type readySteps struct {
	touched map[workflow.JobID]bool
	byJob   map[workflow.JobID][]*readyStep
	// work holds the mean work of the jobs of each queue.
	work    map[string]*meanWork
	order   []*readyStep
	changed bool
	// sortedMs is when the order was made.
	sortedMs int64
}

// sortInterval is the time after which steps are put in order again: what they are
// worth falls within a second.
const sortInterval = 200 * time.Millisecond

func (r *readySteps) reset() {
	r.touched = make(map[workflow.JobID]bool)
	r.byJob = make(map[workflow.JobID][]*readyStep)
	r.work = make(map[string]*meanWork)
}

// touch marks a job whose ready steps may have changed.
func (r *readySteps) touch(id workflow.JobID) { r.touched[id] = true }

// refresh recomputes the steps of the touched jobs.
func (r *readySteps) refresh(state *workflow.State, nowMs int64) {
	for id := range r.touched {
		r.refreshJob(id, state.Job(id), nowMs)
	}
	clear(r.touched)
	if !r.changed && nowMs-r.sortedMs < sortInterval.Milliseconds() {
		return
	}
	r.changed, r.sortedMs = false, nowMs
	r.order = r.order[:0]
	for _, steps := range r.byJob {
		for _, s := range steps {
			s.stage = s.stageAt(nowMs)
			s.dueMs = s.deadline(s.stage)
			s.worth = s.value(nowMs)
		}
		r.order = append(r.order, steps...)
	}
	slices.SortFunc(r.order, compareTurns)
}

// stage is how far behind a job is.
type stage uint8

const (
	// inTime jobs can meet their latency objective.
	inTime stage = iota
	// late jobs can be completed within lateFactor times their objective.
	late
	// tooLate jobs are worth nothing to their callers any more.
	tooLate
)

// lateFactor times its objective is the time until which a late job is worth
// something; the platform's page on rules states it.
const lateFactor = 3

// deadline returns when the job must be completed at a stage.
func (s *readyStep) deadline(at stage) int64 {
	begin := max(s.job.AcceptedMs, s.job.Spec.DueMs(s.ref.Occurrence))
	objective := s.job.LatencyObjectiveMs + s.chainMs*s.job.StretchMilli/1000
	if at == inTime {
		return begin + objective
	}
	return begin + lateFactor*objective
}

func (s *readyStep) stageAt(nowMs int64) stage {
	switch end := nowMs + s.leftMs; {
	case s.step.Lasting || end <= s.deadline(inTime):
		return inTime
	case end <= s.deadline(late):
		return late
	}
	return tooLate
}

func (r *readySteps) refreshJob(id workflow.JobID, job *workflow.Job, nowMs int64) {
	before := r.byJob[id]
	if len(before) > 0 {
		delete(r.byJob, id)
		r.changed = true
	}
	if job == nil || !job.Active() {
		return
	}
	chains, density := chainsLeftMs(job), r.density(job)
	for o := range job.Occurrences {
		for s := range job.Spec.Steps {
			r.addStep(job, uint32(o), uint32(s), chains, density, before, nowMs)
		}
	}
}

func (r *readySteps) addStep(job *workflow.Job, occurrence, step uint32, chains []int64, density float64, before []*readyStep, nowMs int64) {
	o := &job.Occurrences[occurrence]
	if o.Done[step] == job.Spec.Steps[step].Count || !job.StepReady(occurrence, step) {
		return
	}
	var pending []uint32
	for i := range o.Steps[step] {
		if o.Steps[step][i].State == workflow.TaskPending {
			pending = append(pending, uint32(i))
		}
	}
	if len(pending) == 0 {
		return
	}
	ref := workflow.StepRef{Job: job.ID, Occurrence: occurrence, Step: step}
	r.byJob[job.ID] = append(r.byJob[job.ID], &readyStep{
		ref: ref, waitingMs: waitingSince(before, ref, nowMs), density: density, job: job, step: &job.Spec.Steps[step],
		pending: pending, chainMs: slices.Max(chains), leftMs: chains[step],
	})
	r.changed = true
}

// waitingSince returns when a step was first found to have pending tasks, of which
// before tells: now if it had none.
func waitingSince(before []*readyStep, ref workflow.StepRef, nowMs int64) int64 {
	for _, old := range before {
		if old.ref == ref {
			return old.waitingMs
		}
	}
	return nowMs
}

// chainsLeftMs returns, for each step, the estimated time of the longest chain
// that begins with it.
func chainsLeftMs(job *workflow.Job) []int64 {
	left := make([]int64, len(job.Spec.Steps))
	for i := len(job.Spec.Steps) - 1; i >= 0; i-- {
		left[i] += job.Spec.Steps[i].EstimatedMs
		for _, before := range job.Spec.Steps[i].After {
			left[before] = max(left[before], left[i])
		}
	}
	return left
}

// compareTurns orders steps by the priority of their queue, work that ends before
// tasks that last, which keep for good what they get, jobs that are worth
// something before those that are not, and then by the deadline of their stage.
func compareTurns(a, b *readyStep) int {
	return cmp.Or(
		cmp.Compare(a.job.Priority, b.job.Priority),
		compareBools(a.step.Lasting, b.step.Lasting),
		compareBools(a.stage == tooLate, b.stage == tooLate),
		compareValues(a, b),
		cmp.Compare(a.dueMs, b.dueMs),
		compareSteps(a.ref, b.ref),
	)
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

// plan places pending tasks on workers.
func (e *Engine) plan() {
	e.ready.refresh(e.state, e.wallMs)
	if len(e.ready.order) == 0 {
		return
	}
	pool := e.newPool()
	e.keepForLasting(pool)
	for _, s := range e.ready.order {
		if s.job.Spec.DueMs(s.ref.Occurrence) > e.wallMs {
			continue
		}
		switch {
		case !s.job.Active() || pool.heldBack(s):
		case s.step.Gang:
			e.placeGang(pool, s)
		case !pool.covered(s):
			e.placeStep(pool, s)
		}
	}
}

// placeStep places as many of a step's tasks as there is room for.
func (e *Engine) placeStep(p *pool, s *readyStep) {
	for len(s.pending) > 0 {
		c := e.choose(p, s)
		if c == nil {
			p.noteExhausted(s, e.avoids(s))
			e.ask(p, s)
			return
		}
		ref := s.next()
		if !e.place(c, s, ref, s.job.Task(ref).Attempt+1) {
			return
		}
		s.pending = s.pending[1:]
		e.ready.touch(s.ref.Job)
	}
}

// place records an attempt and starts it once the record is committed.
func (e *Engine) place(c *candidate, s *readyStep, ref workflow.TaskRef, number uint32) bool {
	v := c.view
	if err := e.decide(workflow.Op{Place: &workflow.Place{Task: ref, Worker: v.worker.ID, Attempt: number}}); err != nil {
		e.log.Error().Err(err).Stringer("task", ref).Str("worker", v.worker.Life.Name).Msg("placement not recorded")
		return false
	}
	c.take(s)
	e.counters.Placed++
	a := &attempt{ref: ref, number: number, placedAt: e.now, share: fullShare, wantShare: fullShare}
	v.add(a)
	free, heard := c.free, e.since(v.heard)
	e.then(func() {
		if e.views[v.worker.ID] != v || v.attempts[ref] != a {
			return
		}
		a.committed = true
		e.log.Info().Stringer("task", ref).Uint32("attempt", number).Str("worker", v.worker.Life.Name).Int64("free_mcpu", free.MilliProcessors).Dur("report_age", heard).Uint64("term", e.fence).Msg("task placed")
		e.tendAttempt(v, a)
	})
	return true
}
