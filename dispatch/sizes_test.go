package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Jobs are large by the jobs that their queue accepted lately, not by all that it ever did.
func TestSizeClassesFollowTheQueue(t *testing.T) {
	var r recentWorks
	for work := range 100 {
		r.add(float64(work))
	}
	for work, class := range map[float64]sizeClass{0: otherSizes, 69: otherSizes, 70: fifthBelow, 89: fifthBelow, 90: largestTenth, 1000: largestTenth} {
		assert.Equal(t, class, r.classOf(work), "work %v", work)
	}
	for work := range maxRecentWorks {
		r.add(1000 + float64(work))
	}
	assert.Equal(t, otherSizes, r.classOf(1000))
	assert.Equal(t, largestTenth, r.classOf(1500))
}
