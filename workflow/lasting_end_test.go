package workflow

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a leader that does not know for how long a lasting task has waited, and against
// members whose states differ: the attempts of a worker that is over end in no order.
func TestTheEndsOfLastingTasksAreKeptUntilTheyRunAgain(t *testing.T) {
	s := newStateWithOneWorker(t)
	lasting := JobSpec{Steps: []Step{{Count: 2, Lasting: true, Resources: Resources{MilliProcessors: 500}}}}
	require.NoError(t, s.Apply(&Op{Accept: &Accept{ID: 2, Queue: "q", Spec: lasting}}))
	s.AdvanceTime(1000)
	for i := range uint32(2) {
		require.NoError(t, place(s, TaskRef{Job: 2, Index: i}, 1, 1))
	}
	s.AdvanceTime(5000)
	require.NoError(t, s.Apply(&Op{Leave: &Leave{Worker: 1, Over: true}}))
	for i := range uint32(2) {
		at, known := s.Job(2).LastingEndMs(TaskRef{Job: 2, Index: i})
		assert.True(t, known)
		assert.Equal(t, int64(5000), at)
		assert.Equal(t, i, s.Job(2).LastingEnds[i].Task.Index)
	}

	join := &Join{Life: Incarnation{Name: "v", BornMs: 10}, Address: "b:1", Service: "pool", Capacity: Resources{MilliProcessors: 2000, MemoryMB: 100}}
	require.NoError(t, s.Apply(&Op{Join: join}))
	require.NoError(t, place(s, TaskRef{Job: 2, Index: 0}, 2, 2))
	s.AdvanceTime(8000)
	require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 2, Task: TaskRef{Job: 2, Index: 0}, Attempt: 2}}))
	at, known := s.Job(2).LastingEndMs(TaskRef{Job: 2, Index: 0})
	assert.True(t, known)
	assert.Equal(t, int64(5000), at, "the attempt may not have run")
	require.NoError(t, place(s, TaskRef{Job: 2, Index: 0}, 2, 3))
	s.AdvanceTime(60_000)
	require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 2, Task: TaskRef{Job: 2, Index: 0}, Attempt: 3}}))
	at, known = s.Job(2).LastingEndMs(TaskRef{Job: 2, Index: 0})
	assert.True(t, known)
	assert.Equal(t, int64(60_000), at)

	require.NoError(t, s.Apply(&Op{LastingEnd: &LastingEnd{Task: TaskRef{Job: 2, Index: 0}, AtMs: 58_000}}))
	at, _ = s.Job(2).LastingEndMs(TaskRef{Job: 2, Index: 0})
	assert.Equal(t, int64(58_000), at)
	assert.Error(t, s.Apply(&Op{LastingEnd: &LastingEnd{Task: TaskRef{Job: 1, Index: 0}, AtMs: 58_000}}), "the task is not lasting")

	data, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := DecodeSnapshot(data)
	require.NoError(t, err)
	at, known = restored.Job(2).LastingEndMs(TaskRef{Job: 2, Index: 1})
	assert.True(t, known)
	assert.Equal(t, int64(5000), at)
}
