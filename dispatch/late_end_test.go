package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// voidFirstAttempt submits a job whose first attempt the worker refuses, and has the
// start carried out after the attempt was voided.
func (s *sim) voidFirstAttempt(w *simWorker, steps ...workflow.Step) {
	s.faults.shedding = 1
	s.submit(1, steps...)
	require.True(s.t, s.runUntil(time.Second, func() bool { return len(s.engine.views[1].attempts) == 0 }))
	s.faults.shedding = 0
	w.handleOrder(w.startOrder(workflow.TaskRef{Job: 1}, 1), func(Answer) {})
	require.Len(s.t, w.running, 1)
}

// A late start runs an attempt that was voided, to its end. The end is acknowledged, so
// the task must not start again.
func TestALateRunThatIsDoneCounts(t *testing.T) {
	s := newSim(t, 31)
	s.setCatalog()
	w := s.addWorker("w1", 4)
	s.run(time.Second)
	s.voidFirstAttempt(w, step(1), step(1, 0))
	require.True(t, s.runUntil(10*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	require.Empty(t, s.violations)
	require.Equal(t, 2, s.starts)
}

// The task has been placed on another worker when the late run is done. It must not
// start there.
func TestALateRunThatIsDoneEndsTheNextAttempt(t *testing.T) {
	s := newSim(t, 32)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	w2 := s.addWorker("w2", 4)
	s.run(time.Second)
	s.voidFirstAttempt(w1, step(1), step(1, 0))
	w2.partitioned = true
	require.True(t, s.runUntil(time.Second, func() bool { return s.committed.Job(1).Task(workflow.TaskRef{Job: 1}).Worker == 2 }))
	s.run(1500 * time.Millisecond)
	w2.partitioned = false
	require.True(t, s.runUntil(10*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	s.run(5 * time.Second)
	require.Empty(t, s.violations)
	require.Equal(t, 2, s.starts)
	require.Empty(t, s.engine.views[2].attempts)
}

// A worker lists the end of a task that does not exist. It must not end the leader.
func TestAnEndOfATaskThatDoesNotExist(t *testing.T) {
	s := newSim(t, 33)
	s.setCatalog()
	w := s.addWorker("w1", 4)
	s.run(time.Second)
	s.submit(1, step(1))
	for i, ref := range []workflow.TaskRef{{Job: 1, Index: 7}, {Job: 1, Step: 7}, {Job: 1, Occurrence: 7}, {Job: 7}} {
		w.lastEndNumber++
		w.ended = append(w.ended, EndedAttempt{Number: w.lastEndNumber, Task: ref, Attempt: uint32(i), How: workflow.EndDone})
	}
	w.answerPolls()
	require.True(t, s.runUntil(5*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	s.run(2 * time.Second)
	require.Empty(t, w.ended)
	require.Empty(t, s.violations)
}

// A worker restarts, and before the leader reaches the next incarnation a late start of an
// earlier attempt runs there. The task must not start elsewhere until that run has
// stopped.
func TestATaskWaitsForAnEarlierAttemptOfItsOwn(t *testing.T) {
	s := newSim(t, 34)
	s.setCatalog()
	w := s.addWorker("w1", 4)
	s.run(time.Second)
	s.faults.shedding = 1
	long := step(1)
	long.EstimatedMs = 20_000
	s.submit(1, long)
	ref := workflow.TaskRef{Job: 1}
	s.run(100 * time.Millisecond)
	s.faults.shedding = 0
	require.True(t, s.runUntil(3*time.Second, func() bool { return w.running[ref] != nil && w.running[ref].attempt > 1 }))
	s.addWorker("w2", 4)
	s.run(time.Second)
	late := w.startOrder(ref, 1)
	w.crash()
	next := s.newWorker("w1", w.address, 4, "r1")
	next.handleOrder(late, func(Answer) {})
	require.Len(t, next.running, 1)
	next.report()
	require.True(t, s.runUntil(60*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	require.Empty(t, s.violations)
}
