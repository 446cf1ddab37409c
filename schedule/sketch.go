package schedule

import "math"

const (
	// sketchBuckets divide the ratios from 1/16 to 16 on a log scale.
	sketchBuckets = 48
	sketchPerLog2 = 6
	sketchMiddle  = sketchBuckets / 2
	// sketchMemory is the number of samples after which all are halved, so that
	// old ones are forgotten.
	sketchMemory = 400
)

// sketch estimates quantiles of measured against declared values in fixed space.
type sketch struct {
	counts [sketchBuckets]float32
	total  float32
}

// add takes in one ratio.
func (k *sketch) add(ratio float64) {
	if ratio <= 0 {
		return
	}
	k.counts[bucketOf(ratio)]++
	k.total++
	if k.total < sketchMemory {
		return
	}
	k.total = 0
	for i := range k.counts {
		k.counts[i] /= 2
		k.total += k.counts[i]
	}
}

func bucketOf(ratio float64) int {
	i := sketchMiddle + int(math.Round(math.Log2(ratio)*sketchPerLog2))
	return min(max(i, 0), sketchBuckets-1)
}

// quantile returns the ratio below which the part q of the samples lies, mixed
// with prior samples of the ratio 1.
func (k *sketch) quantile(q float64, prior float32) float64 {
	rank := float32(q) * (k.total + prior)
	sum := float32(0)
	for i, n := range k.counts {
		sum += n
		if i == sketchMiddle {
			sum += prior
		}
		if sum >= rank {
			return math.Exp2(float64(i-sketchMiddle) / sketchPerLog2)
		}
	}
	return 1
}
