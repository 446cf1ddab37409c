package schedule

import (
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// maxProfiles bounds the classes with a profile of their own; later ones share one.
	maxProfiles = 256
	// useQuantile is the quantile of the measured use that is expected of a task that has
	// not reported.
	useQuantile = 0.7
	// usePriorSamples and runtimePriorSamples are the weights of the declared values, in
	// samples.
	usePriorSamples     = 4
	runtimePriorSamples = 2
)

// classProfile holds the measured use and run time of the tasks of one class, as
// ratios to the declared values.
type classProfile struct {
	use     sketch // processors
	memory  sketch
	runtime sketch
	// expectedUse and expectedMemory cache the quantiles of use and memory.
	expectedUse    float64
	expectedMemory float64
}

func newClassProfile() *classProfile { return &classProfile{expectedUse: 1, expectedMemory: 1} }

func (p *classProfile) addMemory(ratio float64) {
	p.memory.add(ratio)
	p.expectedMemory = p.memory.quantile(useQuantile, usePriorSamples)
}

func (p *classProfile) addUse(ratio float64) {
	p.use.add(ratio)
	p.expectedUse = p.use.quantile(useQuantile, usePriorSamples)
}

// profileFor returns the profile of a class.
func (s *Scheduler) profileFor(class string) *classProfile {
	p := s.profiles[class]
	if p != nil {
		return p
	}
	if len(s.profiles) >= maxProfiles {
		return s.overflowProfile
	}
	p = newClassProfile()
	s.profiles[class] = p
	return p
}

// expectedRuntime returns the given quantile of the whole run time of t, zero if none
// was declared.
func (t *task) expectedRuntime(quantile float64) time.Duration {
	declared := time.Duration(t.Job.ExpectedMs) * time.Millisecond
	return time.Duration(float64(declared) * t.job.profile.runtime.quantile(quantile, runtimePriorSamples))
}

// learnRuntime adds the run time of a finished task to the profile of its class.
func (t *task) learnRuntime(finished time.Time) {
	if t.Job.Kind != types.KindBatch || t.Job.ExpectedMs <= 0 || t.runningSince.IsZero() {
		return
	}
	run := t.keptRuntime + finished.Sub(t.runningSince)
	declared := time.Duration(t.Job.ExpectedMs) * time.Millisecond
	t.job.profile.runtime.add(run.Seconds() / declared.Seconds())
}
