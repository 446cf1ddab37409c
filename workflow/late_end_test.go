package workflow

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A late start runs an attempt after it was voided. If the run is done, its task must not
// run again, since the worker is told that the end was taken note of. Its failure counts
// for nothing.
func TestTheEndOfAVoidedAttemptCounts(t *testing.T) {
	s := newStateWithOneWorker(t)
	void := func(ref TaskRef, attempt uint32) {
		require.NoError(t, place(s, ref, 1, attempt))
		require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 1, Task: ref, Attempt: attempt}}))
	}
	void(task(0, 0), 1)
	void(task(0, 0), 2)
	require.NoError(t, end(s, 1, task(0, 0), 1, EndDone))
	assert.Equal(t, TaskDone, s.Job(1).Task(task(0, 0)).State)
	require.NoError(t, end(s, 2, task(0, 0), 2, EndDone))
	assert.EqualValues(t, 1, s.Job(1).Occurrences.Done(0, 0), "a task is done once")
	assert.EqualValues(t, 3, s.Job(1).OpenTasks)

	require.NoError(t, end(s, 3, task(0, 1), 1, EndDone))
	assert.Equal(t, TaskPending, s.Job(1).Task(task(0, 1)).State, "there was no such attempt")

	void(task(0, 1), 1)
	void(task(0, 1), 2)
	require.NoError(t, end(s, 4, task(0, 1), 1, EndFailed))
	require.NoError(t, end(s, 5, task(0, 1), 2, EndFailed))
	assert.Equal(t, JobRunning, s.Job(1).State(), "the lease may have expired before these ends were acknowledged")
	checkReserved(t, s)
}

// The next attempt is placed when the voided one turns out to be done.
func TestALateEndKeepsTheReservationOfTheNextAttempt(t *testing.T) {
	s := newStateWithOneWorker(t)
	require.NoError(t, s.Apply(&Op{Join: &Join{Life: Incarnation{Name: "x", BornMs: 10}, Address: "b:1", Service: "pool", Capacity: Resources{MilliProcessors: 2000}}}))
	require.NoError(t, place(s, task(0, 0), 1, 1))
	require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 1, Task: task(0, 0), Attempt: 1}}))
	require.NoError(t, place(s, task(0, 0), 2, 2))
	require.NoError(t, end(s, 1, task(0, 0), 1, EndDone))
	assert.Equal(t, map[TaskRef]uint32{task(0, 0): 2}, s.Worker(2).Attempts, "it may run until it is stopped")
	require.NoError(t, s.Apply(&Op{End: &End{Worker: 2, Number: 1, Task: task(0, 0), Attempt: 2, How: EndStopped}}))
	assert.Equal(t, TaskDone, s.Job(1).Task(task(0, 0)).State)
	assert.Equal(t, Resources{}, s.Worker(2).Reserved)
}
