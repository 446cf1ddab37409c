package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var quick = Key{Queue: "quick", Image: "a", Step: 1}

// learned returns a model of runs that take twice their estimate, with a deviation of
// 0.3; stragglers of them take 7 times as long.
func learned(runs int, stragglers float64) *Model {
	m, rng := New(DefaultMaxKeys), rand.New(rand.NewPCG(1, 2))
	for i := range runs {
		ratio := 2 * math.Exp(0.3*rng.NormFloat64())
		if rng.Float64() < stragglers {
			ratio *= 7
		}
		estimate := time.Duration(200+rng.IntN(2000)) * time.Millisecond
		m.Observe(quick, estimate, scale(estimate, ratio), time.Duration(i)*10*time.Millisecond)
	}
	return m
}

// Guards against an opinion that rests on a few samples.
func TestFewSamplesGiveNoOpinion(t *testing.T) {
	m := learned(MinCount, 0)
	_, known := m.Mean(quick, time.Second)
	assert.False(t, known, "the first samples have lost some weight")
	m = learned(MinCount+5, 0)
	_, known = m.Mean(quick, time.Second)
	assert.True(t, known)
	_, known = m.Mean(Key{Queue: "other"}, time.Second)
	assert.False(t, known)
}

// Guards against quantiles that are off by more than the width of a bucket and the noise
// of the samples.
func TestQuantilesMatchTheSamples(t *testing.T) {
	m := learned(2000, 0)
	for q, want := range map[float64]float64{0.1: 2 * math.Exp(-0.384), 0.5: 2, 0.9: 2 * math.Exp(0.384)} {
		got, known := m.Quantile(quick, time.Second, q)
		require.True(t, known)
		assert.InEpsilon(t, want, got.Seconds(), 0.12, "quantile %v", q)
	}
	mean, _ := m.Mean(quick, time.Second)
	assert.InEpsilon(t, 2*math.Exp(0.045), mean.Seconds(), 0.1)
	spread, _ := m.Spread(quick)
	assert.InDelta(t, 0.39, spread, 0.1)
}

// Guards against a remaining time that shrinks to nothing although the run has outlived
// nearly all others.
func TestRemainingTimeOfALongRun(t *testing.T) {
	m := learned(2000, 0.05)
	remaining := func(elapsed time.Duration) time.Duration {
		left, known := m.RemainingQuantile(quick, time.Second, Progress{Elapsed: elapsed}, 0.5)
		require.True(t, known)
		return left
	}
	assert.InEpsilon(t, 1.0, remaining(time.Second).Seconds(), 0.2, "most runs end after 2 s")
	assert.Greater(t, remaining(5*time.Second), 5*time.Second, "only stragglers run for 5 s, and those take some 14 s")
	assert.InEpsilon(t, 60, remaining(time.Minute).Seconds(), 0.01, "beyond all samples")
}

// Guards against a learned time that outweighs the progress of the very run.
func TestProgressDecides(t *testing.T) {
	m := learned(200, 0)
	p := Progress{Elapsed: 1200 * time.Millisecond, Percent: 10, ReadAt: time.Second}
	left, known := m.ExpectedRemaining(quick, time.Second, p)
	require.True(t, known)
	assert.InDelta(t, 8.35, left.Seconds(), 0.1, "10 to 11 percent after 1 s")
	low, _ := m.RemainingQuantile(quick, time.Second, p, 0)
	high, _ := m.RemainingQuantile(quick, time.Second, p, 1)
	assert.Less(t, low, high)
	chance, _ := m.EndsWithin(quick, time.Second, p, 5*time.Second)
	assert.Zero(t, chance)
	chance, _ = m.EndsWithin(quick, time.Second, p, 9*time.Second)
	assert.Equal(t, 1.0, chance)
	left, known = New(1).ExpectedRemaining(quick, time.Second, p)
	assert.True(t, known && left > 8*time.Second, "progress needs no learned distribution")
}

// Guards against probabilities that do not agree with the quantiles.
func TestEndsWithinAgreesWithTheQuantile(t *testing.T) {
	m := learned(2000, 0.05)
	for _, elapsed := range []time.Duration{0, 700 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		for _, q := range []float64{0.1, 0.5, 0.9} {
			p := Progress{Elapsed: elapsed}
			left, known := m.RemainingQuantile(quick, time.Second, p, q)
			require.True(t, known)
			chance, _ := m.EndsWithin(quick, time.Second, p, left)
			assert.InDelta(t, q, chance, 0.02, "quantile %v after %v", q, elapsed)
		}
	}
}

// Guards against a distribution that never follows a change of the run times.
func TestSamplesAge(t *testing.T) {
	m := learned(1000, 0)
	now := 10 * time.Second
	for range 512 {
		m.Observe(quick, time.Second, 5*time.Second, now)
	}
	median, _ := m.Quantile(quick, time.Second, 0.5)
	assert.InEpsilon(t, 5, median.Seconds(), 0.1)
	m.Observe(Key{Queue: "other"}, time.Second, time.Second, now+5*halfLife)
	_, known := m.Mean(quick, time.Second)
	assert.False(t, known, "samples of long ago give no opinion")
	weight, age := m.Count(quick)
	assert.Less(t, weight, float64(MinCount))
	assert.Equal(t, 5*halfLife, age)
}

// Guards against a model that grows with the number of images that callers name.
func TestTheLeastRecentlyUsedKeyIsEvicted(t *testing.T) {
	m := New(2)
	observe := func(step uint32) {
		for range MinCount + 5 {
			m.Observe(Key{Step: step}, time.Second, time.Second, 0)
		}
	}
	known := func(step uint32) bool {
		_, known := m.Mean(Key{Step: step}, time.Second)
		return known
	}
	observe(1)
	observe(2)
	require.True(t, known(1))
	observe(3)
	assert.Equal(t, 2, m.Keys())
	assert.True(t, known(1) && known(3))
	assert.False(t, known(2))
}

// Guards against a division by zero or a panic at the bounds of the range.
func TestExtremeTimes(t *testing.T) {
	m := New(1)
	m.Observe(quick, 0, time.Second, 0)
	m.Observe(quick, time.Second, 0, 0)
	assert.Zero(t, m.Keys())
	for range MinCount + 5 {
		m.Observe(quick, time.Millisecond, time.Hour, 0)
		m.Observe(quick, time.Hour, time.Millisecond, 0)
	}
	for _, q := range []float64{0, 0.5, 1} {
		left, known := m.RemainingQuantile(quick, time.Second, Progress{Elapsed: time.Hour}, q)
		assert.True(t, known && left >= 0)
	}
	chance, known := m.EndsWithin(quick, time.Second, Progress{}, time.Second)
	assert.True(t, known)
	assert.InDelta(t, 0.5, chance, 0.05)
}

// Guards against look-ups of a frozen model that keep a key from being evicted.
func TestLookupsOfAFrozenModelDoNotCount(t *testing.T) {
	m := New(2)
	for _, image := range []string{"a", "b"} {
		for range 2 * MinCount {
			m.Observe(Key{Image: image}, time.Second, time.Second, 0)
		}
	}
	_, known := m.Frozen().Mean(Key{Image: "a"}, time.Second)
	assert.True(t, known)
	m.Observe(Key{Image: "c"}, time.Second, time.Second, 0)
	_, known = m.Mean(Key{Image: "a"}, time.Second)
	assert.False(t, known)
	_, known = m.Mean(Key{Image: "b"}, time.Second)
	assert.True(t, known)
}
