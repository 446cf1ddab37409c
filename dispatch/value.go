package dispatch

import (
	"cmp"
	"math"

	"mangohill.example/mangohill/workflow"
)

const (
	// fixedValuePart is the part of a job's value that does not depend on its
	// size, in units of the value of a job of mean size; the rest grows with its
	// work. The platform's rules state both.
	fixedValuePart = 0.3
	// acceleratorMilliProcessors is the work of an accelerator in thousandths of
	// a processor; the platform's rules state it.
	acceleratorMilliProcessors = 8000
	// lateValuePart is the part of its value that a late job keeps; the users'
	// requirements state it for each kind of job.
	lateValuePart = 0.15
	// estimateErrorPart is the error of an estimated time as a part of it while none is
	// learned, minErrorPart the least learned one: a step ends with the slowest of its
	// tasks. waitErrorMs is the further error, in milliseconds, for a step that waits for
	// room.
	estimateErrorPart = 1.0
	minErrorPart      = 0.15
	waitErrorMs       = 1500.0
)

// meanWork adds up the work of the jobs that a queue accepted.
type meanWork struct {
	sum   float64
	count int
}

func (r *readySteps) recordWork(job *workflow.Job) {
	m := r.meanWorkByQueue[job.Queue]
	if m == nil {
		m = new(meanWork)
		r.meanWorkByQueue[job.Queue] = m
	}
	total, _ := r.workOf(job)
	m.sum += total
	m.count++
	r.sizes.record(job, total)
}

// workOf returns the expected work of a job and the part of it that remains, in
// thousandths of a processor times milliseconds.
func (r *readySteps) workOf(job *workflow.Job) (total, left float64) {
	for i := range job.Spec.Steps {
		step := &job.Spec.Steps[i]
		each := float64(r.meanMs(job, uint32(i))) * float64(step.Resources.MilliProcessors+acceleratorMilliProcessors*step.Resources.Accelerators)
		total += each * float64(step.Count) * float64(job.Occurrences.Len())
		left += each * float64(job.Occurrences.Open(uint32(i)))
	}
	return total, left
}

// baseValueDensity returns the value of a job per unit of remaining work,
// relative to the other jobs of its queue.
func (r *readySteps) baseValueDensity(job *workflow.Job) float64 {
	total, left := r.workOf(job)
	mean := total
	if m := r.meanWorkByQueue[job.Queue]; m != nil {
		mean = m.sum / float64(m.count)
	}
	return (fixedValuePart*mean + (1-fixedValuePart)*total) / max(left, 1)
}

// valueDensityAt returns the value density of the step's job if the step is
// started now. The chance that the job still meets its objective falls smoothly
// as its time runs out, the more slowly the more the run times of the step spread.
func (s *readyStep) valueDensityAt(nowMs int64) float64 {
	spare := float64(s.deadlineMs(onTime) - nowMs - s.remainingMs)
	chance := 1 / (1 + math.Exp(-2*spare/(s.errorPart*float64(s.remainingMs)+waitErrorMs)))
	return s.baseValueDensity * (lateValuePart + (1-lateValuePart)*chance)
}

// compareValueDensity puts the steps of jobs with the highest value density
// first, so that under overload the jobs that have begun are completed, and
// most of the others on time. Lasting tasks do not complete and compare as
// equal.
func compareValueDensity(a, b *readyStep) int {
	if a.step.Lasting || b.step.Lasting {
		return 0
	}
	return cmp.Compare(b.valueDensity, a.valueDensity)
}
