package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/workflow"
)

// Guards against lasting tasks that wait beyond their bound unseen, or under a wrong cause.
func TestOverdueLastingTasksAreCounted(t *testing.T) {
	s := newSim(t, 61)
	s.setCatalog()
	a := s.addWorker("a", 4)
	s.addWorker("b", 4)
	s.run(time.Second)
	lasting := workflow.Step{Count: 8, Lasting: true, Resources: workflow.Resources{MilliProcessors: 1000, MemoryMB: 100}}
	s.submit(1, lasting)
	s.run(time.Second)
	assert.Zero(t, s.engine.Counters().LastingWaiting)
	lasting.Count = 1
	s.submit(2, lasting)
	s.run(firstRunBound - 500*time.Millisecond)
	assert.Equal(t, 1, s.engine.Counters().LastingWaiting)
	assert.Zero(t, s.engine.Counters().Overdue)
	s.run(time.Second)
	assert.Equal(t, OverdueTasks{NeverRan: 1, NoCapacity: 1}, s.engine.Counters().Overdue)

	a.crash()
	s.run(s.settings.MaxLease + 2*time.Second)
	assert.Equal(t, 5, s.engine.Counters().LastingWaiting)
	s.run(returnBound)
	assert.Equal(t, OverdueTasks{NeverRan: 1, Lapsed: 4, NoCapacity: 5}, s.engine.Counters().Overdue)
	s.takeOver()
	s.run(returnBound + time.Second)
	assert.Equal(t, OverdueTasks{NeverRan: 1, EarlierTerm: 4, NoCapacity: 5}, s.engine.Counters().Overdue)
	assert.GreaterOrEqual(t, s.engine.Counters().LongestWaitMs, (s.settings.MaxLease + 2*returnBound).Milliseconds(), "as the state tells, since the job was accepted")

	s.addWorker("c", 8)
	s.run(2 * time.Second)
	assert.Zero(t, s.engine.Counters().LastingWaiting)
	assert.Zero(t, s.engine.Counters().Overdue)
	assert.Empty(t, s.violations)
}
