package fleet

import (
	"math"
	"time"

	"mangohill.example/mangohill/interference"
)

const (
	// interferenceScale converts the pressure on a service to slowdown, and
	// batchInterferenceScale converts the pressure on a batch task.
	interferenceScale      = 3.0
	batchInterferenceScale = 1.0
	// saturationStart is the used share of a host's processors above which services
	// slow down. saturationScale is the increase of the logarithm of the slowdown per
	// unit of use above that share.
	saturationStart = 0.92
	saturationScale = 4.0
)

func (p pressure) dot(o pressure) float64 {
	sum := 0.0
	for i := range p {
		sum += p[i] * o[i]
	}
	return sum
}

// loadFactor returns the share of the interference that takes effect at a load of the
// service.
func loadFactor(load float64) float64 { return 0.25 + 0.75*math.Pow(load, 1.5) }

// logSlowdown returns the logarithm of the slowdown of a service by one batch class
// that uses the given share of the host.
func logSlowdown(sensitivity, p pressure, load, share float64) float64 {
	return math.Log1p(interferenceScale * sensitivity.dot(p) * share * loadFactor(load))
}

// baselineFactor returns the latency without interference at a load, divided by that
// at half load.
func baselineFactor(load float64) float64 { return 0.85 + 0.3*load*load/0.5 }

// Oracle is an interference model for the scheduler that knows the formulas of the
// simulation. A blind one knows the baseline of each service, but expects the same
// slowdown from all batch classes.
type Oracle struct {
	spec          *Spec
	uniformEffect float64 // log slowdown that a blind model expects, zero for an oracle
}

// Expected log slowdown, in a blind model, by a batch class that uses a whole host at
// full load of the service.
const (
	// BlindBold is so small that no host is refused for interference. Slowdown is
	// attributed to classes by their share of the host.
	BlindBold = 0.12
	// BlindCautious is the average of the actual effects.
	BlindCautious = 0.8
)

// NewOracle returns a model that predicts the actual slowdown.
func NewOracle(spec *Spec) *Oracle { return &Oracle{spec: spec} }

// NewBlind returns a model that doesn't distinguish batch classes. expected is the log
// slowdown by a class that uses a whole host at full load of the service.
func NewBlind(spec *Spec, expected float64) *Oracle { return &Oracle{spec, expected} }

// Class returns the ID of a batch class, or interference.OtherClass if it is unknown.
func (o *Oracle) Class(name string) interference.Class {
	for i, b := range o.spec.Batch {
		if b.Name == name {
			return interference.Class(i + 1)
		}
	}
	return interference.OtherClass
}

// Acquire returns the ID of a service, or interference.OtherVictim if it is unknown.
func (o *Oracle) Acquire(name string) interference.VictimID {
	for i, s := range o.spec.Services {
		if s.Name == name {
			return interference.VictimID(i + 1)
		}
	}
	return interference.OtherVictim
}

// Baseline returns the logarithm of the actual p99 latency, in microseconds, without
// interference.
func (o *Oracle) Baseline(v interference.VictimID, load float64) (mean, variance float64) {
	if v == interference.OtherVictim {
		return 0, interference.UnknownVariance
	}
	s := o.spec.Services[v-1]
	return math.Log(float64(s.P99.Microseconds()) * baselineFactor(load)), 0
}

// LogSlowdown returns the logarithm of the slowdown by a class: the actual one, or for
// a blind model the expected one.
func (o *Oracle) LogSlowdown(v interference.VictimID, c interference.Class, load, share float64) (mean, variance float64) {
	if v == interference.OtherVictim || c == interference.OtherClass {
		return 0, 0
	}
	if o.uniformEffect > 0 {
		return o.uniformEffect * loadFactor(load) * share, 0
	}
	return logSlowdown(o.spec.Services[v-1].Sensitivity, o.spec.Batch[c-1].Pressure, load, share), 0
}

// Release implements the scheduler's model interface.
func (o *Oracle) Release(interference.VictimID) {}

// Observe implements the scheduler's model interface. An oracle learns nothing.
func (o *Oracle) Observe(time.Time, interference.VictimID, float64, *interference.ClassShares, float64) {
}
