package schedule

import "math"

const (
	// sketchBuckets is the number of buckets that divide the ratios from 1/16 to 16 on a
	// logarithmic scale. The bucket of ratio 1 is sketchRatioOne.
	sketchBuckets            = 48
	sketchBucketsPerDoubling = 6
	sketchRatioOne           = sketchBuckets / 2
	// maxSketchSamples is the number of samples at which all counts are halved, so that
	// old samples lose weight.
	maxSketchSamples = 400
)

// sketch estimates quantiles of the ratio of measured to declared values, in fixed
// space.
type sketch struct {
	counts [sketchBuckets]float32
	total  float32
}

// add adds one ratio.
func (k *sketch) add(ratio float64) {
	if ratio <= 0 {
		return
	}
	k.counts[bucketOf(ratio)]++
	k.total++
	if k.total < maxSketchSamples {
		return
	}
	k.total = 0
	for i := range k.counts {
		k.counts[i] /= 2
		k.total += k.counts[i]
	}
}

func bucketOf(ratio float64) int {
	i := sketchRatioOne + int(math.Round(math.Log2(ratio)*sketchBucketsPerDoubling))
	return min(max(i, 0), sketchBuckets-1)
}

// quantile returns the ratio below which the fraction q of the samples lies. prior is
// the number of additional samples of ratio 1.
func (k *sketch) quantile(q float64, prior float32) float64 {
	rank := float32(q) * (k.total + prior)
	sum := float32(0)
	for i, n := range k.counts {
		sum += n
		if i == sketchRatioOne {
			sum += prior
		}
		if sum >= rank {
			return math.Exp2(float64(i-sketchRatioOne) / sketchBucketsPerDoubling)
		}
	}
	return 1
}
