package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Pattern: many workers are cut off at the same moment. Until they count as unreachable they
// must not be preferred to workers that answer: a task that is placed on one waits for the end
// of its lease, and its step with it.
func TestTasksGoToWorkersThatAnswer(t *testing.T) {
	s := newSim(t, 41)
	s.setCatalog()
	cutOff := s.addWorker("w1", 8)
	s.addWorker("w2", 64)
	s.run(3 * time.Second)
	cutOff.partitioned = true
	view := s.engine.sortedViews[0]
	require.True(t, s.runUntil(2*time.Second, func() bool { return s.engine.now > view.pollDueAt && view.pollDueAt != 0 }))
	require.True(t, s.engine.reachable(view), "the worker must still count as reachable")
	s.submit(1, step(6))
	s.run(2 * time.Second)
	assert.Len(t, s.done, 6)
}

// A worker that answers late, as each does while the leader is behind, still gets tasks when
// no other one has room.
func TestASilentWorkerIsStillUsed(t *testing.T) {
	s := newSim(t, 42)
	s.setCatalog()
	s.addWorker("w1", 8)
	s.run(3 * time.Second)
	s.engine.sortedViews[0].silentSince = s.now
	s.submit(1, step(6))
	require.True(t, s.runUntil(3*time.Second, func() bool { return len(s.done) == 6 }))
}
