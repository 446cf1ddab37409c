package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// Guards against work that is stopped for a lasting task that is owed no room: the workers have room
// for it once beside their lasting tasks, and not twice.
func TestNothingIsStoppedWhereThereIsRoomForALastingTaskOnce(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	s.addWorker("a", 4)
	s.run(time.Second)
	s.fillWithLong(1, 4)
	s.submit(2, lastingStep(1, 3000))
	s.run(3 * returnBound)
	assert.Zero(t, s.engine.counters.Reclaimed)
	s.addWorker("b", 4)
	require.True(t, s.runUntil(3*time.Second, func() bool { return len(s.runs[workflow.TaskRef{Job: 2}]) > 0 }))
	assert.Empty(t, s.violations)
}

// Guards against a short task that is stopped for lasting ones again and again, and never ends: it has
// run for less time than the others each time.
func TestAnotherShortTaskIsStoppedForTheNextLastingOne(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	s.addWorker("a", 4)
	s.addWorker("b", 4)
	s.run(time.Second)
	s.runTime = func(*simRun) time.Duration { return time.Hour }
	long := step(2)
	long.Resources.MilliProcessors = 3000
	s.submit(1, long)
	s.run(time.Second)
	s.submit(101, lastingStep(1, 2000))
	require.True(t, s.runUntil(2*firstRunBound, func() bool { return len(s.runs[workflow.TaskRef{Job: 101}]) > 0 }))
	s.addWorker("c", 4)
	s.run(2 * time.Second)
	require.Len(t, s.workers["c:1"].running, 1, "the task that was stopped")
	s.submit(102, lastingStep(1, 4000))
	require.True(t, s.runUntil(4*firstRunBound, func() bool { return len(s.runs[workflow.TaskRef{Job: 102}]) > 0 }))
	assert.Len(t, s.engine.stopsForLasting, 2)
	assert.Empty(t, s.violations)
}

// Guards against a gang that is stopped for a lasting task: the stop of one member ends all.
func TestNoMemberOfAGangIsStoppedForALastingTask(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	s.addWorker("a", 4)
	s.addWorker("b", 4)
	s.run(time.Second)
	long := gang(2)
	long.Resources.MilliProcessors, long.EstimatedMs = 3000, 3_600_000
	s.submit(1, long)
	s.run(time.Second)
	require.Len(t, s.workers["a:1"].running, 1)
	s.submit(2, lastingStep(1, 3000))
	s.run(3 * returnBound)
	assert.Zero(t, s.engine.counters.StoppedForLasting)
	assert.Len(t, s.workers["a:1"].running, 1)
	assert.Empty(t, s.violations)
}
