package dispatch

import (
	"slices"
	"time"

	"mangohill.example/mangohill/runtimes"
	"mangohill.example/mangohill/workflow"
)

// A copy is a second attempt of a running task of a duplicable step on another worker. The
// first of the two that is done ends the task; the other one is stopped.

const (
	// copyInterval is the time between two searches for stragglers. A copy of a quick task
	// helps only if it starts within half of the task's usual time.
	copyInterval = 50 * time.Millisecond
	// maxCopyPart is the part of the running attempts that may be copies: one in maxCopyPart.
	maxCopyPart = 20
	// copyGain is how many times the time of a fresh run the rest of the current one must
	// take for a copy to be worth its processors.
	copyGain = 1.5
	// copyOverhead is the time to record and start a copy.
	copyOverhead = 50 * time.Millisecond
	// unknownRunFactor times its estimate is assumed for a fresh run of which nothing is
	// known: estimates are off by a factor of two to three.
	unknownRunFactor = 3
	// probeAfter is the part of its usual run time after which the progress of an attempt
	// is asked for, at least minProbeAge: a straggler of factor 7 has then made 6 percent,
	// and others 40. minProbeAge gives percentages several times their resolution.
	probeAfter  = 0.4
	minProbeAge = 150 * time.Millisecond
	// stragglerRatio times the usual time is that of a straggler, and minStragglerPart the
	// part of stragglers among the runs from which on progress is asked for. Elsewhere the
	// readings of usual polls do. The latest 256 runs make up most of the count, and there
	// must be runtimes.MinCount.
	stragglerRatio    = 3.0
	minStragglerPart  = 0.01
	retainedRunWeight = 1 - 1.0/256
)

// copyable is a running attempt of a duplicable step, or a copy.
type copyable struct {
	view    *workerView
	attempt *attempt
}

// copies is the state of the search for stragglers.
type copies struct {
	// tracked holds the attempts of duplicable steps.
	tracked    []copyable
	searchedAt Instant
	// runs holds the number of stragglers among the runs of each queue, image and step.
	runs map[runtimes.Key]*runCount
}

// runCount counts runs, the earlier ones with less weight.
type runCount struct {
	all, stragglers float64
}

// countRun counts a run. The learned run times don't tell the part of stragglers, since most
// of them are stopped once their copy is done.
func (c *copies) countRun(key runtimes.Key, straggler bool) {
	n := c.runs[key]
	if n == nil {
		if c.runs == nil || len(c.runs) >= runtimes.DefaultMaxKeys {
			c.runs = make(map[runtimes.Key]*runCount)
		}
		n = new(runCount)
		c.runs[key] = n
	}
	n.all, n.stragglers = n.all*retainedRunWeight+1, n.stragglers*retainedRunWeight
	if straggler {
		n.stragglers++
	}
}

// hasStragglers reports whether some of the runs take several times as long as the others.
func (c *copies) hasStragglers(key runtimes.Key) bool {
	n := c.runs[key]
	return n != nil && n.all >= runtimes.MinCount && n.stragglers >= n.all*minStragglerPart
}

// countCopyableRun counts a run of a duplicable step that was done, and the one whose copy
// it is: that one takes longer.
func (e *Engine) countCopyableRun(v *workerView, a *attempt, others []copyable) {
	job, step := e.state.Job(a.ref.Job), e.step(a.ref)
	if !isCopyable(step) || !a.running || a.adopted || a.throttled {
		return
	}
	key := runTimeKey(job, a.ref.Step)
	fresh, known := e.freshRun(a.ref, v.worker.ID, job)
	e.copies.countRun(key, known && float64(e.since(a.runningSince)) > stragglerRatio*float64(fresh))
	if a.isCopy && len(others) > 0 {
		e.counters.CopiesWon++
		e.copies.countRun(key, true)
	}
}

// isCopyable reports whether tasks of the step may be copied.
func isCopyable(step *workflow.Step) bool {
	return step != nil && step.Duplicable && !step.Gang && !step.Lasting
}

// track registers an attempt if its task may be copied.
func (c *copies) track(v *workerView, a *attempt, step *workflow.Step) {
	if isCopyable(step) {
		c.tracked = append(c.tracked, copyable{v, a})
	}
}

// adoptCopyable registers an attempt that an earlier leader placed.
func (e *Engine) adoptCopyable(v *workerView, a *attempt, job *workflow.Job) {
	task, step := job.Task(a.ref), e.step(a.ref)
	if task == nil || !isCopyable(step) {
		return
	}
	a.stopWanted = task.State == workflow.TaskDone // Another attempt has done it.
	c := job.CopyOf(a.ref)
	a.isCopy = c != nil && c.Worker == v.worker.ID && c.Attempt == a.number
	e.copies.track(v, a, step)
}

// otherAttempts returns the attempts of the task of a, beside a itself, that may run.
func (e *Engine) otherAttempts(ref workflow.TaskRef, number uint32) []copyable {
	job := e.state.Job(ref.Job)
	if job == nil || job.Task(ref) == nil || !isCopyable(&job.Spec.Steps[ref.Step]) {
		return nil
	}
	var others []copyable
	workers := []workflow.WorkerID{job.Task(ref).Worker}
	if c := job.CopyOf(ref); c != nil && c.Worker != 0 {
		workers = append(workers, c.Worker)
	}
	for _, id := range workers {
		v := e.views[id]
		if v == nil || v.attempts[ref] == nil || v.attempts[ref].number == number {
			continue
		}
		others = append(others, copyable{v, v.attempts[ref]})
	}
	return others
}

// stopOthers stops the other attempts of a task that one attempt has done.
func (e *Engine) stopOthers(others []copyable) {
	for _, other := range others {
		other.attempt.stopWanted = true
		e.issueAttemptOrder(other.view, other.attempt)
	}
}

// stopCopies stops the copies of a job that has ended.
func (e *Engine) stopCopies(job *workflow.Job) {
	for i := range job.Copies {
		c := &job.Copies[i]
		ref := workflow.TaskRef{Job: job.ID, Occurrence: c.Occurrence, Step: c.Step, Index: c.Index}
		if v := e.views[c.Worker]; v != nil && v.attempts[ref] != nil {
			e.stopOthers([]copyable{{v, v.attempts[ref]}})
		}
	}
}

// copyStragglers starts copies of the tasks that are expected to take much longer than a
// fresh run, and asks for the progress of those that may be such tasks.
func (e *Engine) copyStragglers() {
	c := &e.copies
	if len(c.tracked) == 0 || e.since(c.searchedAt) < copyInterval {
		return
	}
	c.searchedAt = e.now
	running := 0
	c.tracked = slices.DeleteFunc(c.tracked, func(t copyable) bool {
		held := e.views[t.view.worker.ID] == t.view && t.view.attempts[t.attempt.ref] == t.attempt
		if held && t.attempt.isCopy {
			running++
		}
		return !held
	})
	var p *candidateSet
	budget, counted := 0, false
	for _, t := range c.tracked {
		s := e.copyStep(t)
		if s == nil || e.waitsForCapacity(s.job) {
			continue
		}
		left, fresh, late := e.isStraggler(t, s)
		if !late {
			e.probe(t, s, fresh)
			continue
		}
		if !counted {
			budget, counted = e.runningAttempts()/maxCopyPart-running, true
		}
		if budget <= 0 {
			return
		}
		if p == nil {
			p = e.newCandidateSet()
			e.reserveForLasting(p)
		}
		if e.placeCopy(p, t, s, left, fresh) {
			budget--
		}
	}
}

// copyStep returns the step of an attempt whose task may be copied now, nil if it may not.
func (e *Engine) copyStep(t copyable) *readyStep {
	a := t.attempt
	job := e.state.Job(a.ref.Job)
	if job == nil || !job.Active() || !a.running || a.stopWanted || a.number > maxRestarts || a.carried || a.throttled {
		return nil
	}
	task, c := job.Task(a.ref), job.CopyOf(a.ref)
	if task.State != workflow.TaskPlaced || task.Attempt != a.number || task.Worker != t.view.worker.ID || c != nil && c.Worker != 0 || needsTest(job.Suspect(a.ref)) {
		return nil
	}
	return &readyStep{ref: a.ref.StepRef(), job: job, step: &job.Spec.Steps[a.ref.Step], pending: []uint32{a.ref.Index}, rack: t.view.worker.Rack}
}

// isStraggler reports whether a copy of the task of an attempt is worth its while. left is
// its expected remaining time, fresh that of a fresh run.
func (e *Engine) isStraggler(t copyable, s *readyStep) (left, fresh time.Duration, late bool) {
	fresh, known := e.freshRun(t.attempt.ref, t.view.worker.ID, s.job)
	if !known {
		fresh = unknownRunFactor * estimateOf(s.step)
	}
	left, ok := e.expectedRemaining(t, s, fresh)
	worthwhile := func() bool { return ok && float64(left) > copyGain*float64(fresh+copyOverhead) }
	if _, siblings := e.paces.medianOfOthers(t.attempt.ref); siblings || !worthwhile() {
		return left, fresh, worthwhile()
	}
	// The learned median says little of a job whose estimate is far off.
	if median, projected := e.projectedRun(t, s); projected {
		fresh = median
	} else if known {
		fresh = time.Duration(float64(fresh) * (1 + e.ready.errorPart(s.job, s.ref.Step)))
	}
	return left, fresh, worthwhile()
}

// progressRead returns the progress of an attempt since it started, with readings from
// minProbeAge on.
func (e *Engine) progressRead(a *attempt, step *workflow.Step) runtimes.Progress {
	p := runtimes.Progress{Elapsed: e.since(a.runningSince)}
	if age := a.gaugeReadAt.Sub(a.runningSince); a.running && age >= minProbeAge && e.ranInFull(a, step) {
		p.Percent, p.ReadAt = a.percent, age
	}
	return p
}

// projectedRun returns the median time of the runs of the step's other tasks by their
// progress so far. It is not known with less than minSiblings of them, or if a single
// worker runs all.
func (e *Engine) projectedRun(t copyable, s *readyStep) (time.Duration, bool) {
	var rates []float64
	var worker workflow.WorkerID
	several := false
	for i, task := range s.job.Occurrences.Tasks(s.ref.Occurrence, s.ref.Step) {
		v := e.views[task.Worker]
		if v == nil || uint32(i) == t.attempt.ref.Index || task.State != workflow.TaskPlaced || len(rates) == maxStepPaces {
			continue
		}
		a := v.attempts[s.task(uint32(i))]
		if a == nil || a.number != task.Attempt {
			continue
		}
		if p := e.progressRead(a, s.step); p.Percent > 0 {
			several = several || worker != 0 && worker != task.Worker
			rates, worker = append(rates, float64(p.Percent)/p.ReadAt.Seconds()), task.Worker
		}
	}
	rate, known := median(rates, several && len(rates) >= minSiblings)
	if !known {
		return 0, false
	}
	return time.Duration(fullShare / rate * float64(time.Second)), true
}

// expectedRemaining returns the expected remaining time of a running attempt: by its
// latest progress rate, by its progress since it started, or by the learned run times,
// scaled to a fresh run of the step.
func (e *Engine) expectedRemaining(t copyable, s *readyStep, fresh time.Duration) (time.Duration, bool) {
	a := t.attempt
	if a.pace.known && a.pace.at > a.runningSince {
		total := time.Duration(float64(fullShare-a.pace.percent) / a.pace.rate * float64(time.Second))
		return max(total-e.since(a.pace.at), 0), true
	}
	key, estimate, p := runTimeKey(s.job, s.ref.Step), estimateOf(s.step), e.progressRead(a, s.step)
	if median, known := e.ready.runTimes.Quantile(key, estimate, 0.5); known && p.Percent == 0 && median > 0 {
		// The tasks of a job share its estimate and the error of that.
		estimate = time.Duration(float64(estimate) * float64(fresh) / float64(median))
	}
	return e.ready.runTimes.ExpectedRemaining(key, estimate, p)
}

// runningAttempts returns the number of attempts that run.
func (e *Engine) runningAttempts() int {
	n := 0
	for _, v := range e.sortedViews {
		for _, a := range v.attemptList {
			if a.running {
				n++
			}
		}
	}
	return n
}

// waitsForCapacity reports whether a task of the same or a higher priority than that of the
// job waits on the same service.
func (e *Engine) waitsForCapacity(job *workflow.Job) bool {
	return slices.ContainsFunc(e.ready.sorted, func(s *readyStep) bool {
		return s.job.Priority <= job.Priority && s.job.Service == job.Service && len(s.pending) > 0 && s.job.Active() && s.job.Spec.DueMs(s.ref.Occurrence) <= e.wallMs
	})
}

// placeCopy starts a copy on another worker, on another rack if there is one with capacity
// unless the step's tasks share one.
func (e *Engine) placeCopy(p *candidateSet, t copyable, s *readyStep, left, fresh time.Duration) bool {
	var best *candidate
	var bestScore int64
	for _, c := range p.byService[s.job.Service] {
		if c.view == t.view || c.silent || c.quarantined || c.view.attempts[t.attempt.ref] != nil || !e.admits(c, s) || e.failedRecentlyOn(s, c.view) {
			continue
		}
		score := e.score(p, c, s)
		if !s.step.OneRack && c.view.worker.Rack != t.view.worker.Rack {
			score += rackWeight
		}
		if best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	ref := t.attempt.ref
	number := s.job.LastAttempt(ref) + 1
	if best == nil || !e.record(best, s, ref, number, workflow.Op{PlaceCopy: &workflow.PlaceCopy{Task: ref, Worker: best.view.worker.ID, Attempt: number}}) {
		return false
	}
	best.view.attempts[ref].isCopy = true
	e.counters.Copied++
	e.log.Info().Stringer("task", ref).Uint32("attempt", number).Str("worker", best.view.worker.Life.Name).Str("of_worker", t.view.worker.Life.Name).Uint32("of_attempt", t.attempt.number).
		Int("percent", t.attempt.percent).Dur("elapsed", e.since(t.attempt.runningSince)).Dur("left", left).Dur("fresh_run", fresh).Uint64("term", e.term).Msg("straggler copied")
	return true
}

// probe asks for the progress of an attempt by a poll of its own, once, if its queue, image
// and step have stragglers: the answer to the poll in flight may come a second after the
// start, when a copy of a quick task is of no use any more.
func (e *Engine) probe(t copyable, s *readyStep, fresh time.Duration) {
	v, a := t.view, t.attempt
	age := max(time.Duration(float64(fresh)*probeAfter), minProbeAge)
	if a.probed || a.adopted || v.probeInFlight || e.since(a.runningSince) < age || !e.reachable(v) || v.hasCarried() || a.gaugeReadAt.Sub(a.runningSince) >= age/2 {
		return
	}
	a.probed = true
	if !e.copies.hasStragglers(runTimeKey(s.job, s.ref.Step)) {
		return
	}
	e.issueProbe(v)
}

// issueProbe asks a worker for an answer beside the usual poll.
func (e *Engine) issueProbe(v *workerView) {
	v.probeInFlight = true
	e.counters.Probes++
	e.issueOrder(v, Order{Verb: Poll, Probe: true})
}

// handleProbe reads the progress from the answer to a probe. It takes nothing else from it,
// since the answer to the usual poll in flight may be older or newer.
func (e *Engine) handleProbe(v *workerView, answer *Answer) {
	v.probeInFlight = false
	if answer.Outcome != Done {
		return
	}
	for i := range answer.Running {
		r := &answer.Running[i]
		if a := v.attempts[r.Task]; a != nil && a.number == r.Attempt && a.running && r.Percent >= a.percent {
			a.percent, a.gaugeReadAt = r.Percent, e.now
		}
	}
}
