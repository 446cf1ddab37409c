package fleet

import (
	"math"
	"time"

	"mangohill.example/mangohill/interference"
)

const (
	// harm scales pressure on a service into slowdown, batchHarm on a batch task.
	harm      = 3.0
	batchHarm = 1.0
	// crowding is where the processors of a host begin to slow services down, and
	// crowdingHarm how much.
	crowding     = 0.92
	crowdingHarm = 4.0
)

func (p pressure) dot(o pressure) float64 {
	sum := 0.0
	for i := range p {
		sum += p[i] * o[i]
	}
	return sum
}

// loadFactor is the part of the harm that shows at a load of the service.
func loadFactor(load float64) float64 { return 0.25 + 0.75*math.Pow(load, 1.5) }

// excess is the logarithm of the slowdown of a service by one class that uses the
// given share of the host.
func excess(sensitivity, p pressure, load, share float64) float64 {
	return math.Log1p(harm * sensitivity.dot(p) * share * loadFactor(load))
}

// aloneFactor is the latency alone at a load, against that at half load.
func aloneFactor(load float64) float64 { return 0.85 + 0.3*load*load/0.5 }

// Oracle answers as the scheduler's model does, from the truth. A blind one knows
// the services alone, but takes all classes for equal.
type Oracle struct {
	spec  *Spec
	blind float64
}

// Blind models: what they expect of a class that uses a whole host, at full load.
const (
	// BlindBold never refuses a host for interference, and blames by share.
	BlindBold = 0.12
	// BlindCautious expects the average of the true effects.
	BlindCautious = 0.8
)

// NewOracle returns a model that knows the truth.
func NewOracle(spec *Spec) *Oracle { return &Oracle{spec: spec} }

// NewBlind returns a model without knowledge of classes.
func NewBlind(spec *Spec, expected float64) *Oracle { return &Oracle{spec, expected} }

// Class returns the index of a batch class.
func (o *Oracle) Class(name string) interference.Class {
	for i, b := range o.spec.Batch {
		if b.Name == name {
			return interference.Class(i + 1)
		}
	}
	return interference.OtherClass
}

// Acquire returns the index of a service.
func (o *Oracle) Acquire(name string) interference.VictimID {
	for i, s := range o.spec.Services {
		if s.Name == name {
			return interference.VictimID(i + 1)
		}
	}
	return interference.OtherVictim
}

// Baseline returns the true logarithm of the latency alone, in microseconds.
func (o *Oracle) Baseline(v interference.VictimID, load float64) (mean, variance float64) {
	if v == interference.OtherVictim {
		return 0, interference.UnknownVariance
	}
	s := o.spec.Services[v-1]
	return math.Log(float64(s.P99.Microseconds()) * aloneFactor(load)), 0
}

// LogSlowdown returns the true logarithm of the slowdown by a class.
func (o *Oracle) LogSlowdown(v interference.VictimID, c interference.Class, load, share float64) (mean, variance float64) {
	if v == interference.OtherVictim || c == interference.OtherClass {
		return 0, 0
	}
	if o.blind > 0 {
		return o.blind * loadFactor(load) * share, 0
	}
	return excess(o.spec.Services[v-1].Sensitivity, o.spec.Batch[c-1].Pressure, load, share), 0
}

// Release implements the scheduler's model.
func (o *Oracle) Release(interference.VictimID) {}

// Observe implements the scheduler's model. The oracle learns nothing.
func (o *Oracle) Observe(time.Time, interference.VictimID, float64, *interference.ClassShares, float64) {
}
