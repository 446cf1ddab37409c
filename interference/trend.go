package interference

import (
	"math"
	"time"
)

const (
	// trendTimeConstant is the time in seconds in which the weight of a measurement
	// decays by the factor e. It covers several measurements of a service with a few
	// tasks, but only a small part of a swing of its load.
	trendTimeConstant = 1.0
	// slopeRegularization, in seconds squared, keeps the slope near zero while the
	// measurements are close together in time (ridge regression).
	slopeRegularization = 0.1
	// maxSlope bounds the change per second.
	maxSlope = 1.5
)

// Trend estimates a quantity that changes steadily over a few seconds by a weighted
// linear regression over time. The weights of its measurements decay exponentially
// with their age.
type Trend struct {
	at time.Time // of the latest measurement, the origin of the ages
	// Sums over the measurements of the weight, and of the weight times the age, the
	// age squared, the value, and the value times the age. Ages are in seconds and
	// not above zero.
	weight, weightedAge, weightedAgeSquared, weightedValue, weightedProduct float64
}

// Add adds a measurement with the given weight.
func (t *Trend) Add(measuredAt time.Time, value, weight float64) {
	t.shiftOrigin(measuredAt)
	age := min(measuredAt.Sub(t.at).Seconds(), 0)
	weight *= math.Exp(age / trendTimeConstant)
	t.weight += weight
	t.weightedAge += weight * age
	t.weightedAgeSquared += weight * age * age
	t.weightedValue += weight * value
	t.weightedProduct += weight * age * value
}

// shiftOrigin moves the origin of the ages to a later time and decays the weights.
func (t *Trend) shiftOrigin(now time.Time) {
	if t.at.IsZero() {
		t.at = now
	}
	d := now.Sub(t.at).Seconds()
	if d <= 0 {
		return
	}
	t.at = now
	t.weightedAgeSquared += -2*d*t.weightedAge + d*d*t.weight
	t.weightedAge -= d * t.weight
	t.weightedProduct -= d * t.weightedValue
	decay := math.Exp(-d / trendTimeConstant)
	t.weight *= decay
	t.weightedAge *= decay
	t.weightedAgeSquared *= decay
	t.weightedValue *= decay
	t.weightedProduct *= decay
}

// Weight returns the sum of the weights at the time of the latest measurement.
func (t *Trend) Weight() float64 { return t.weight }

// At returns the value of the regression line at a time, also a future one. There
// must have been a measurement.
func (t *Trend) At(when time.Time) float64 {
	age, value := t.weightedAge/t.weight, t.weightedValue/t.weight
	slope := (t.weightedProduct/t.weight - age*value) / (t.weightedAgeSquared/t.weight - age*age + slopeRegularization)
	slope = min(max(slope, -maxSlope), maxSlope)
	return value + slope*(when.Sub(t.at).Seconds()-age)
}
