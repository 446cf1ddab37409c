package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a burst of starts on workers that are slow after their start: they get work
// while no other worker has capacity, and like others once they are warm. Best fit alone would
// choose the worker with the least free processors.
func TestColdWorkersRankAfterOthers(t *testing.T) {
	for _, preferWarm := range []bool{true, false} {
		s := newSim(t, 61)
		s.settings.PreferWarm = preferWarm
		s.takeOver()
		s.setCatalog()
		cold := s.newWorker("a1", "a1:1", 4, "r1")
		cold.coldUntil = s.now.Add(6 * time.Second)
		cold.report()
		warm := s.addWorkerIn("b", "b1", 8)
		s.run(time.Second)
		s.startLongTasks(4)
		assert.Equal(t, preferWarm, len(cold.running) == 0)
		if !preferWarm {
			continue
		}
		s.submit(2, step(6))
		s.run(100 * time.Millisecond)
		require.Len(t, warm.running, 8)
		assert.Len(t, cold.running, 2, "what finds no other worker runs on a cold one")
		s.run(6 * time.Second)
		require.False(t, s.engine.cold(s.engine.views[s.engine.state.WorkerNamed("a1").ID]))
		s.submit(3, step(4))
		s.run(50 * time.Millisecond)
		assert.Len(t, cold.running, 4, "best fit, as for any worker")
		assert.Empty(t, s.violations)
	}
}
