package schedule

import (
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// maxLearnedClasses bounds the classes whose sizes and run times are learned;
	// later ones share one record.
	maxLearnedClasses = 256
	// useQuantile is the quantile of the measured use that is expected of a task
	// that has not reported.
	useQuantile = 0.7
	// usePrior and runtimePrior are the weights of the declared values, in samples.
	usePrior     = 4
	runtimePrior = 2
)

// learned holds what the tasks of one class turned out to be, against what was
// declared.
type learned struct {
	use     sketch // processors
	memory  sketch
	runtime sketch
	// expectedUse and expectedMemory cache the quantiles of use and memory.
	expectedUse    float64
	expectedMemory float64
}

func newLearned() *learned { return &learned{expectedUse: 1, expectedMemory: 1} }

func (l *learned) addMemory(ratio float64) {
	l.memory.add(ratio)
	l.expectedMemory = l.memory.quantile(useQuantile, usePrior)
}

func (l *learned) addUse(ratio float64) {
	l.use.add(ratio)
	l.expectedUse = l.use.quantile(useQuantile, usePrior)
}

// learnedOf returns the record of a class.
func (s *Scheduler) learnedOf(class string) *learned {
	l := s.learned[class]
	if l != nil {
		return l
	}
	if len(s.learned) >= maxLearnedClasses {
		return s.learnedRest
	}
	l = newLearned()
	s.learned[class] = l
	return l
}

// expectedRuntime returns the run time that t needs with the given quantile,
// zero if nothing was declared.
func (t *task) expectedRuntime(quantile float64) time.Duration {
	declared := time.Duration(t.Job.ExpectedMs) * time.Millisecond
	return time.Duration(float64(declared) * t.job.learned.runtime.quantile(quantile, runtimePrior))
}

// learnRuntime takes in the run time of a finished task.
func (t *task) learnRuntime(finished time.Time) {
	if t.Job.Kind != types.KindBatch || t.Job.ExpectedMs <= 0 || t.runningSince.IsZero() {
		return
	}
	run := t.ranBefore + finished.Sub(t.runningSince)
	declared := time.Duration(t.Job.ExpectedMs) * time.Millisecond
	t.job.learned.runtime.add(run.Seconds() / declared.Seconds())
}
