package interference

import (
	"math"
	"time"
)

const (
	// trendTime is the time over which a trend forgets: several readings of a
	// service with a few tasks, and a small part of the swings of its load.
	trendTime = 1.0
	// slopeRidge, in seconds squared, keeps the slope flat while the readings are
	// close together.
	slopeRidge = 0.1
	// maxSlope bounds the change in a second.
	maxSlope = 1.5
)

// Trend follows a quantity that changes steadily over a few seconds: a weighted
// line through its readings, whose weights decay with their age.
type Trend struct {
	at time.Time
	// Sums over the readings of the weight, and of it times the age, the age
	// squared, the value, and the value times the age. Ages are negative.
	weight, age, age2, value, product float64
}

// Add takes in a reading with a weight.
func (t *Trend) Add(taken time.Time, value, weight float64) {
	t.shift(taken)
	age := min(taken.Sub(t.at).Seconds(), 0)
	weight *= math.Exp(age / trendTime)
	t.weight += weight
	t.age += weight * age
	t.age2 += weight * age * age
	t.value += weight * value
	t.product += weight * age * value
}

// shift moves the origin of the ages to a later time.
func (t *Trend) shift(now time.Time) {
	if t.at.IsZero() {
		t.at = now
	}
	d := now.Sub(t.at).Seconds()
	if d <= 0 {
		return
	}
	t.at = now
	t.age2 += -2*d*t.age + d*d*t.weight
	t.age -= d * t.weight
	t.product -= d * t.value
	decay := math.Exp(-d / trendTime)
	t.weight *= decay
	t.age *= decay
	t.age2 *= decay
	t.value *= decay
	t.product *= decay
}

// Weight returns the weight of the readings at the time of the latest one.
func (t *Trend) Weight() float64 { return t.weight }

// At returns the value of the line at a time. There must have been a reading.
func (t *Trend) At(when time.Time) float64 {
	age, value := t.age/t.weight, t.value/t.weight
	slope := (t.product/t.weight - age*value) / (t.age2/t.weight - age*age + slopeRidge)
	slope = min(max(slope, -maxSlope), maxSlope)
	return value + slope*(when.Sub(t.at).Seconds()-age)
}
