package dispatch

import (
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// minPaceWindow is the shortest time over which progress is measured: several
	// times the resolution of the reported percentages for a task of one second.
	minPaceWindow = 400 * time.Millisecond
	// minPacePercent is the progress from which on its rate is known: percentages are
	// rounded down, so that it is off by a fifth.
	minPacePercent = 5
	// hungWindow is the shortest time without any progress after which an attempt counts
	// as hung: one that is only short of processors makes some. Of a long task, one
	// percent takes long, by hungEstimatePart of its estimate at a run that takes 25 times
	// as long as estimated.
	hungWindow       = 1500 * time.Millisecond
	hungEstimatePart = 0.25
	// slowPace is the progress rate, as a part of that of its siblings, below which an
	// attempt counts as slow. True times of the tasks of one step differ by 0.15 to 0.3.
	slowPace = 0.4
	// scavengerPace is the same for scavengers, which get less than they ask for. It is above
	// the rate of a straggler of factor 7. starvedPace is that on a worker short of
	// processors, where a run may be slow for that alone and a stop gains nothing.
	scavengerPace = 0.2
	starvedPace   = 0.1
	// slowQuantile is the quantile of the learned run times that an attempt without siblings
	// must exceed by slowMargin to count as slow: all runs of a job whose estimate is far
	// off are in the tail of the distribution, on whatever worker.
	slowQuantile = 0.95
	slowMargin   = 2
	// minSiblingWorkers is the number of other workers whose attempts of a step make up
	// its usual progress rate.
	minSiblingWorkers = 3
	// minSiblings is the number of other tasks of a step, on several workers, that tell what
	// a fresh run takes.
	minSiblings = 3
	// maxStepPaces bounds the progress rates that are kept of a step.
	maxStepPaces = 32
)

// pace is the progress rate of an attempt.
type pace struct {
	// percent and at are the progress and the time at the latest measurement.
	percent int
	at      Instant
	// rate is the latest measured rate in percent a second.
	rate  float64
	known bool
	// behind is set while the attempt is far behind its siblings, hung while it makes no
	// progress at all.
	behind, hung bool
}

// stepPaces holds the latest progress rates of the attempts of each step.
type stepPaces map[workflow.StepRef][]taskPace

// taskPace is the progress rate of a task's attempt on a worker in percent a second.
type taskPace struct {
	index  uint32
	worker workflow.WorkerID
	rate   float64
}

// record adds a rate, in place of an earlier one of the task if there is one.
func (p stepPaces) record(ref workflow.TaskRef, worker workflow.WorkerID, rate float64) {
	paces := p[ref.StepRef()]
	if i := slices.IndexFunc(paces, func(other taskPace) bool { return other.index == ref.Index }); i >= 0 {
		paces[i] = taskPace{ref.Index, worker, rate}
		return
	}
	if len(paces) >= maxStepPaces {
		paces = paces[1:]
	}
	p[ref.StepRef()] = append(paces, taskPace{ref.Index, worker, rate})
}

// medianElsewhere returns the median rate of a step on workers other than the given one. It
// is not known with less than minSiblingWorkers of them.
func (p stepPaces) medianElsewhere(ref workflow.StepRef, worker workflow.WorkerID) (float64, bool) {
	var rates []float64
	var workers []workflow.WorkerID
	for _, other := range p[ref] {
		if other.worker == worker {
			continue
		}
		rates = append(rates, other.rate)
		if !slices.Contains(workers, other.worker) {
			workers = append(workers, other.worker)
		}
	}
	return median(rates, len(workers) >= minSiblingWorkers)
}

// medianOfOthers returns the median rate of the step of a task on any workers, without the
// task itself. It is not known with less than minSiblings of them, or if a single worker,
// which may be slow, runs all.
func (p stepPaces) medianOfOthers(ref workflow.TaskRef) (float64, bool) {
	var rates []float64
	var worker workflow.WorkerID
	several := false
	for _, other := range p[ref.StepRef()] {
		if other.index != ref.Index {
			several = several || worker != 0 && other.worker != worker
			rates, worker = append(rates, other.rate), other.worker
		}
	}
	return median(rates, several && len(rates) >= minSiblings)
}

func median(rates []float64, enough bool) (float64, bool) {
	if !enough {
		return 0, false
	}
	slices.Sort(rates)
	m := rates[(len(rates)-1)/2]
	return m, m > 0
}

// forgetPaces drops what is kept of the steps of a job that has ended.
func (e *Engine) forgetPaces(job *workflow.Job) {
	for o := range job.Occurrences.Held() {
		for s := range job.Spec.Steps {
			delete(e.paces, workflow.StepRef{Job: job.ID, Occurrence: o, Step: uint32(s)})
		}
	}
}

// forgetDoneTask drops what is kept of a task of a job that repeats, and of its step once all
// of its tasks are done: the job may last for weeks.
func (e *Engine) forgetDoneTask(ref workflow.TaskRef) {
	job := e.state.Job(ref.Job)
	if job == nil || job.Task(ref) == nil || job.Occurrences.Len() == 1 {
		return
	}
	delete(e.lastFailures, ref)
	if job.Occurrences.Done(ref.Occurrence, ref.Step) == job.Spec.Steps[ref.Step].Count {
		delete(e.paces, ref.StepRef())
	}
}

// usualRate returns the progress rate in percent a second that an attempt is compared
// with: the median of its siblings on other workers or, without those, that of the slowest
// run which is still usual by the learned run times.
func (e *Engine) usualRate(v *workerView, a *attempt) (float64, bool) {
	if rate, known := e.paces.medianElsewhere(a.ref.StepRef(), v.worker.ID); known {
		return rate, true
	}
	job := e.state.Job(a.ref.Job)
	if job == nil {
		return 0, false
	}
	key, estimate := runTimeKey(job, a.ref.Step), estimateOf(&job.Spec.Steps[a.ref.Step])
	median, known := e.ready.runTimes.Quantile(key, estimate, 0.5)
	if !known {
		return 0, false
	}
	slowest, _ := e.ready.runTimes.Quantile(key, estimate, slowQuantile)
	usual := max(median, time.Duration(float64(slowest)*slowMargin*slowPace))
	return fullShare / max(usual.Seconds(), 0.001), true
}

// comparablePace reports whether the progress of an attempt may be compared with that of
// others of its step: gangs progress together, and a task away from its data is slow on a
// sound worker.
func comparablePace(v *workerView, step *workflow.Step) bool {
	return !step.Lasting && !step.Gang && (step.DataRack == "" || v.worker.HasLabel(step.DataRack))
}

// updatePace measures the progress rate of an attempt and compares it with the usual one.
func (e *Engine) updatePace(v *workerView, a *attempt) {
	step := e.step(a.ref)
	if step == nil || !comparablePace(v, step) || !e.state.Job(a.ref.Job).Active() {
		return
	}
	// Only scavengers are throttled; of others the applied share may be unknown.
	if step.Scavenger && (a.appliedShare != fullShare || a.wantedShare != fullShare) {
		a.throttled = true
		a.pace = pace{percent: a.percent, at: e.now}
		return
	}
	if a.pace.at == 0 {
		a.pace = pace{percent: a.percent, at: e.now}
		if e.ranInFull(a, step) {
			a.pace = pace{at: a.runningSince}
		}
	}
	elapsed, done := e.since(a.pace.at), a.percent-a.pace.percent
	if elapsed < minPaceWindow {
		return
	}
	usual, comparable := e.usualRate(v, a)
	hung := done <= 0 && elapsed >= max(hungWindow, time.Duration(float64(estimateOf(step))*hungEstimatePart))
	if done < minPacePercent && !hung && (!comparable || usual*elapsed.Seconds() < minPacePercent) {
		return // Too little for a rate.
	}
	rate := (float64(max(done, 0)) + 0.5) / elapsed.Seconds() // Percentages are rounded down.
	limit := slowLimit(step, e.idleProcessors(v))
	a.pace = pace{percent: a.percent, at: e.now, rate: rate, known: true, hung: hung, behind: comparable && rate < usual*limit}
	if !hung {
		e.paces.record(a.ref, v.worker.ID, rate)
	}
	if comparable && !step.Scavenger {
		v.health.recordPace(a, a.pace.behind, e.now)
	}
}

// recordWholePace records the progress rate of an attempt that has done its task.
func (e *Engine) recordWholePace(v *workerView, a *attempt, step *workflow.Step) {
	if !comparablePace(v, step) {
		return
	}
	rate := fullShare / max(e.since(a.runningSince).Seconds(), 0.001)
	if usual, comparable := e.usualRate(v, a); comparable && !step.Scavenger {
		v.health.recordPace(a, rate < usual*slowPace, e.now)
	}
	e.paces.record(a.ref, v.worker.ID, rate)
}

// slowLimit returns the progress rate, as a part of that of its siblings, below which an attempt
// of the step counts as slow on a worker with so many idle processors, in thousandths.
func slowLimit(step *workflow.Step, idleMilliProcessors int64) float64 {
	switch {
	case !step.Scavenger:
		return slowPace
	case idleMilliProcessors < 0:
		return starvedPace
	}
	return scavengerPace
}
