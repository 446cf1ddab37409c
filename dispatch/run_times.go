package dispatch

import (
	"time"

	"mangohill.example/mangohill/runtimes"
	"mangohill.example/mangohill/workflow"
)

// runTimeKey returns the key under which the run times of a job's step are learned.
func runTimeKey(job *workflow.Job, step uint32) runtimes.Key {
	return runtimes.Key{Queue: job.Queue, Image: job.Spec.Steps[step].Image, Step: step}
}

func estimateOf(step *workflow.Step) time.Duration {
	return time.Duration(step.EstimatedMs) * time.Millisecond
}

// meanMs returns the mean run time of a step's tasks in milliseconds, the estimate unless
// it is learned.
func (r *readySteps) meanMs(job *workflow.Job, step uint32) int64 {
	if mean, known := r.runTimes.Mean(runTimeKey(job, step), estimateOf(&job.Spec.Steps[step])); known {
		return mean.Milliseconds()
	}
	return job.Spec.Steps[step].EstimatedMs
}

// errorPart returns the error of a step's expected time as a part of it.
func (r *readySteps) errorPart(job *workflow.Job, step uint32) float64 {
	if spread, known := r.runTimes.Spread(runTimeKey(job, step)); known {
		return max(spread, minErrorPart)
	}
	return estimateErrorPart
}

// learnRunTime records the run time of an attempt that ended successfully. Attempts that
// were throttled are censored, and those whose start this leader did not see or that
// continue from a checkpoint.
func (e *Engine) learnRunTime(v *workerView, a *attempt) {
	job := e.state.Job(a.ref.Job)
	if job == nil || !a.running || !e.ranInFull(a, &job.Spec.Steps[a.ref.Step]) {
		return
	}
	e.ready.runTimes.Observe(runTimeKey(job, a.ref.Step), estimateOf(&job.Spec.Steps[a.ref.Step]), e.since(a.runningSince), time.Duration(e.now))
	if job.Active() {
		e.recordWholePace(v, a, &job.Spec.Steps[a.ref.Step])
	}
}

// ranInFull reports whether an attempt has done all of its task's work at full share since
// runningSince.
func (e *Engine) ranInFull(a *attempt, step *workflow.Step) bool {
	return !a.adopted && !a.throttled && !step.Lasting && (!step.Resumable || a.number == 1)
}

// progressOf returns what is known of the progress of an attempt for its remaining time.
func (e *Engine) progressOf(a *attempt, step *workflow.Step) runtimes.Progress {
	p := runtimes.Progress{Elapsed: e.since(a.runningSince)}
	if !a.running {
		p.Elapsed = 0
	}
	if a.running && e.ranInFull(a, step) && a.gaugeReadAt.Sub(a.runningSince) >= minPaceWindow {
		p.Percent, p.ReadAt = a.percent, a.gaugeReadAt.Sub(a.runningSince)
	}
	return p
}

// remainingQuantile returns the quantile q of the remaining time of an attempt, false if
// nothing is known of it.
func (e *Engine) remainingQuantile(a *attempt, q float64) (time.Duration, bool) {
	job := e.state.Job(a.ref.Job)
	if job == nil || job.Spec.Steps[a.ref.Step].Lasting {
		return 0, false
	}
	step := &job.Spec.Steps[a.ref.Step]
	return e.ready.runTimes.RemainingQuantile(runTimeKey(job, a.ref.Step), estimateOf(step), e.progressOf(a, step), q)
}

// endsWithin returns the probability that an attempt ends within t, false if nothing is
// known of it.
func (e *Engine) endsWithin(a *attempt, t time.Duration) (float64, bool) {
	job := e.state.Job(a.ref.Job)
	if job == nil || job.Spec.Steps[a.ref.Step].Lasting {
		return 0, false
	}
	step := &job.Spec.Steps[a.ref.Step]
	return e.ready.runTimes.EndsWithin(runTimeKey(job, a.ref.Step), estimateOf(step), e.progressOf(a, step), t)
}

// freshRun returns the median time of a fresh run of a task: by the other attempts of its
// step, which share an estimate, else by what is learned; false if neither is known.
func (e *Engine) freshRun(ref workflow.TaskRef, worker workflow.WorkerID, job *workflow.Job) (time.Duration, bool) {
	rate, known := e.paces.medianElsewhere(ref.StepRef(), worker)
	if !known {
		rate, known = e.paces.medianOfOthers(ref)
	}
	if known {
		return time.Duration(fullShare / rate * float64(time.Second)), true
	}
	return e.ready.runTimes.Quantile(runTimeKey(job, ref.Step), estimateOf(&job.Spec.Steps[ref.Step]), 0.5)
}
