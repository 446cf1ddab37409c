package runtimes

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave gives buckets 9% wide, so that a quantile is off by less than 5%.
	bucketsPerOctave = 8
	// octaves is the range of ratios on either side of 1. Estimates are off by a factor of
	// two to three, and stragglers take several times as long.
	octaves = 5
	buckets = 2 * octaves * bucketsPerOctave
	// retainedWeight is the weight that a sample keeps when the next one is added: the
	// latest 256 samples make up most of the distribution.
	retainedWeight = 1 - 1.0/256
	// halfLife is the time in which the weight of a sample halves.
	halfLife = 10 * time.Minute
)

// distribution is a histogram of ratios with exponential ageing.
type distribution struct {
	weights [buckets]float64
	// total is the sum of weights, sum that of the weighted ratios, both as at updatedAt.
	total, sum float64
	updatedAt  time.Duration
}

// bucketOf returns the bucket of a ratio; those outside of the range go to the outermost ones.
func bucketOf(ratio float64) int {
	return min(max(int(math.Floor((math.Log2(ratio)+octaves)*bucketsPerOctave)), 0), buckets-1)
}

// lowerBound returns the least ratio of a bucket.
func lowerBound(bucket float64) float64 {
	return math.Exp2(bucket/bucketsPerOctave - octaves)
}

// position returns the position of a ratio in units of buckets, from 0 to buckets.
func position(ratio float64) float64 {
	if ratio <= 0 {
		return 0
	}
	return min(max((math.Log2(ratio)+octaves)*bucketsPerOctave, 0), buckets)
}

// ageFactor returns the part of its weight that a sample keeps until now.
func (d *distribution) ageFactor(now time.Duration) float64 {
	return math.Exp2(-float64(max(now-d.updatedAt, 0)) / float64(halfLife))
}

func (d *distribution) add(ratio float64, now time.Duration) {
	keep := d.ageFactor(now) * retainedWeight
	for i := range d.weights {
		d.weights[i] *= keep
	}
	d.total, d.sum = d.total*keep+1, d.sum*keep+ratio
	d.weights[bucketOf(ratio)]++
	d.updatedAt = max(d.updatedAt, now)
}

// count returns the weight of the samples at a time.
func (d *distribution) count(now time.Duration) float64 { return d.total * d.ageFactor(now) }

func (d *distribution) mean() float64 { return d.sum / d.total }

// weightAbove returns the weight of the ratios above the given one.
func (d *distribution) weightAbove(ratio float64) float64 {
	at := position(ratio)
	first := int(at)
	if first >= buckets {
		return 0
	}
	above := d.weights[first] * (float64(first+1) - at)
	for _, w := range d.weights[first+1:] {
		above += w
	}
	return above
}

// minTail is the weight of a tail, in samples, below which it says nothing.
const minTail = 0.5

// quantileAbove returns the quantile q of the ratios above the given one. Where fewer
// than minTail samples are above, the tail is taken to fall as the reciprocal of the
// ratio, so that the median of the rest is as long as what has passed.
func (d *distribution) quantileAbove(ratio, q float64) float64 {
	above := d.weightAbove(ratio)
	if above < minTail {
		return ratio / max(1-q, 0.01)
	}
	target, at := above*q, position(ratio)
	for i := int(at); i < buckets; i++ {
		from := max(at, float64(i))
		w := d.weights[i] * (float64(i+1) - from)
		if w >= target && w > 0 {
			return max(lowerBound(from+(float64(i+1)-from)*target/w), ratio)
		}
		target -= w
	}
	return max(lowerBound(buckets), ratio)
}

// shareWithin returns the part of the ratios above from that are at most to.
func (d *distribution) shareWithin(from, to float64) float64 {
	if to <= from {
		return 0
	}
	above := d.weightAbove(from)
	if above < minTail {
		return 1 - from/to
	}
	return 1 - d.weightAbove(to)/above
}

// meanAbove returns the mean of the ratios above the given one.
func (d *distribution) meanAbove(ratio float64) float64 {
	above := d.weightAbove(ratio)
	if above < minTail {
		return 2 * ratio
	}
	at, sum := position(ratio), 0.0
	for i := int(at); i < buckets; i++ {
		from := max(at, float64(i))
		sum += d.weights[i] * (float64(i+1) - from) * lowerBound((from+float64(i+1))/2)
	}
	return max(sum/above, ratio)
}
