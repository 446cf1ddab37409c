package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// One of four workers fails all that it starts. Jobs whose tasks may fail twice
// must still complete, since the worker is quarantined.
func TestAWorkerThatFailsEverythingGetsLittle(t *testing.T) {
	s := newSim(t, 7)
	s.setCatalog()
	failing := s.addWorker("w1", 8)
	failing.fails = true
	for _, name := range []string{"w2", "w3", "w4"} {
		s.addWorker(name, 8)
	}
	s.run(time.Second)
	for id := workflow.JobID(1); id <= 30; id++ {
		s.submit(id, step(4))
		s.run(200 * time.Millisecond)
	}
	require.True(t, s.runUntil(10*time.Second, func() bool { return s.allEnded(30) }))
	for id := workflow.JobID(1); id <= 30; id++ {
		assert.Equal(t, workflow.JobCompleted, s.state(id))
	}
	assert.Less(t, len(failing.endedAt), 20, "a worker that fails everything must get only a fraction of 120 tasks")
	assert.Empty(t, s.violations)
}

// The tasks of a worker on which nothing makes progress must move to another
// worker.
func TestAHungTaskIsRelocated(t *testing.T) {
	s := newSim(t, 8)
	s.setCatalog()
	hung := s.addWorker("w1", 8)
	hung.hangs = true
	s.run(time.Second)
	s.submit(1, step(4))
	s.addWorker("w2", 8)
	require.True(t, s.runUntil(10*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	assert.Empty(t, s.violations)
}

// A lasting task runs wherever there is room, also on a quarantined worker that
// gets no other work.
func TestATaskThatLastsTakesASuspectedWorker(t *testing.T) {
	s := newSim(t, 9)
	s.setCatalog()
	s.addWorker("w1", 8)
	s.run(time.Second)
	s.engine.sortedViews[0].quarantinedUntil = s.now.Add(time.Minute)
	lasting := step(1)
	lasting.Lasting = true
	s.submit(1, lasting)
	s.submit(2, step(1))
	s.run(time.Second)
	assert.Equal(t, workflow.JobRunning, s.state(1))
	assert.Equal(t, workflow.JobPending, s.state(2))
}

// A leader without confirmation from its quorum sends no orders for a moment.
// This must neither void placements nor quarantine the worker.
func TestAnOrderThatWasNotSentSaysNothingOfTheWorker(t *testing.T) {
	s := newSim(t, 51)
	s.setCatalog()
	s.addWorker("w1", 8)
	s.run(time.Second)
	s.notSent = true
	s.submit(1, step(4))
	heard := s.engine.sortedViews[0].answeredAt
	s.run(time.Second)
	v := s.engine.sortedViews[0]
	assert.LessOrEqual(t, v.answeredAt, heard.Add(time.Second/2), "an order that was not sent must not count as an answer")
	assert.Len(t, v.attemptList, 4, "the placements must be kept")
	assert.LessOrEqual(t, v.quarantinedUntil, s.now, "the worker must not be quarantined")
	s.notSent = false
	require.True(t, s.runUntil(5*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	assert.Equal(t, 4, s.starts)
	assert.Empty(t, s.violations)
}
