package dispatch

import (
	"cmp"
	"math"

	"mangohill.example/mangohill/workflow"
)

const (
	// fixedWorth is the part of a job's worth that does not depend on its size, in
	// units of the worth of a job of mean size; the rest grows with its work. The
	// platform's page on rules states both.
	fixedWorth = 0.3
	// acceleratorWork is the work of an accelerator in thousandths of a processor;
	// the same page states it.
	acceleratorWork = 8000
	// lateWorth is the part of its worth that a late job keeps; the users' sheets
	// state it for each kind of job.
	lateWorth = 0.15
	// estimateError is the part of an estimated time by which it may be off, and
	// waitError, in milliseconds, what a step that waits for room may be off besides.
	estimateError = 1.0
	waitError     = 1500.0
)

// meanWork is the mean work of the jobs that a queue accepted.
type meanWork struct {
	sum   float64
	count int
}

func (r *readySteps) noteWork(job *workflow.Job) {
	m := r.work[job.Queue]
	if m == nil {
		m = new(meanWork)
		r.work[job.Queue] = m
	}
	total, _ := workOf(job)
	m.sum += total
	m.count++
}

// workOf returns the estimated work of a job and what is left of it, in
// thousandths of a processor times milliseconds.
func workOf(job *workflow.Job) (total, left float64) {
	for i := range job.Spec.Steps {
		step := &job.Spec.Steps[i]
		each := float64(step.EstimatedMs) * float64(step.Resources.MilliProcessors+acceleratorWork*step.Resources.Accelerators)
		for o := range job.Occurrences {
			total += each * float64(step.Count)
			left += each * float64(step.Count-job.Occurrences[o].Done[i])
		}
	}
	return total, left
}

// density is what a job is worth for each unit of the work left, relative to the
// other jobs of its queue.
func (r *readySteps) density(job *workflow.Job) float64 {
	total, left := workOf(job)
	mean := total
	if m := r.work[job.Queue]; m != nil {
		mean = m.sum / float64(m.count)
	}
	return (fixedWorth*mean + (1-fixedWorth)*total) / max(left, 1)
}

// value is what a step's job is worth for each unit of the work left if the step
// is started now. The chance that the job still meets its objective falls smoothly
// as its time runs out, since estimates are rough.
func (s *readyStep) value(nowMs int64) float64 {
	spare := float64(s.deadline(inTime) - nowMs - s.leftMs)
	chance := 1 / (1 + math.Exp(-2*spare/(estimateError*float64(s.leftMs)+waitError)))
	return s.density * (lateWorth + (1-lateWorth)*chance)
}

// compareValues puts the steps first whose jobs are worth most for the work left:
// when more is asked for than fits, jobs that are begun are completed, and most of
// the others in time. Tasks that last have no such end.
func compareValues(a, b *readyStep) int {
	if a.step.Lasting || b.step.Lasting {
		return 0
	}
	return cmp.Compare(b.worth, a.worth)
}
