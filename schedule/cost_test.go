package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// evaluationsPerStart runs the load of BenchmarkDecision for a while and returns
// how many hosts were asked for each start.
func evaluationsPerStart(workers int) float64 {
	c := newCrowd(workers)
	before, begun := c.s.evaluations, 0
	for range 60 {
		c.now = c.now.Add(100 * time.Millisecond)
		c.report(workers * crowdPerWorker / 100)
		c.finish(20)
		for range 20 {
			c.submit(false)
		}
		begun += c.settle()
	}
	return float64(c.s.evaluations-before) / float64(begun)
}

func TestCostOfAStartGrowsLessThanTheFleet(t *testing.T) {
	small, large := evaluationsPerStart(65), evaluationsPerStart(560)
	t.Logf("hosts asked for a start: %.1f at 65 workers, %.1f at 560", small, large)
	assert.Less(t, large/small, 560.0/65/2)
}

func TestStartAllocatesLittle(t *testing.T) {
	c := newCrowd(65)
	begun := 0
	rounds := 0
	allocations := testing.AllocsPerRun(50, func() {
		rounds++
		c.now = c.now.Add(100 * time.Millisecond)
		c.finish(20)
		for range 20 {
			c.submit(false)
		}
		begun += c.settle()
	})
	perStart := allocations * float64(rounds) / float64(begun)
	t.Logf("%.1f allocations for each start, with its job", perStart)
	assert.Less(t, perStart, 20.0)
}
