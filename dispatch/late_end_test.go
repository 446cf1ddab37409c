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
