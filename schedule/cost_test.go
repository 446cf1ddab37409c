package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/interference"
)

// evaluationsPerStart runs the load of BenchmarkDecision for six seconds and returns
// the number of host evaluations for each start.
func evaluationsPerStart(workers int) float64 {
	c := newFullCluster(workers, nil)
	before, begun := c.s.evaluations, 0
	for range 60 {
		c.now = c.now.Add(100 * time.Millisecond)
		c.report(workers * tasksPerWorker / 100)
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
	t.Logf("host evaluations for each start: %.1f at 65 workers, %.1f at 560", small, large)
	assert.Less(t, large/small, 560.0/65/2)
}

func TestStartAllocatesLittle(t *testing.T) {
	c := newFullCluster(65, nil)
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
	t.Logf("%.1f allocations for each start, including its job", perStart)
	assert.Less(t, perStart, 20.0)
}

func TestSearchOfFreedHostsMissesNone(t *testing.T) {
	c := newFullCluster(40, fixedModel{interference.NewModel()}) // No trials: they would wait for other hosts.
	for range 300 {
		c.submit(false)
	}
	c.settle()
	for range 200 {
		c.now = c.now.Add(20 * time.Millisecond) // Less than batchSearchInterval in total.
		c.finish(3)
		c.settle()
		c.s.scratch.softFilters = true
		for _, g := range c.s.queue.groups {
			saved := g.tasks[0].decision
			host := c.s.search(g.tasks[0])
			g.tasks[0].decision = saved
			if host != nil && g.tasks[0].team.allows(g.key.placement.request) {
				t.Fatalf("task %d waits although worker %s has room", g.tasks[0].ID, host.worker.Name)
			}
		}
		if c.s.queue.length < 50 { // Keep some tasks waiting.
			for range 100 {
				c.submit(false)
			}
		}
	}
}
