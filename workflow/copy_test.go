package workflow

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/cborcodec"
)

// checkAttempts requires that the current attempt of each task that is placed, and its
// copy, are recorded on their workers.
func checkAttempts(t require.TestingT, s *State) {
	for _, job := range s.Jobs() {
		for o, held := range job.Occurrences.Held() {
			for st, tasks := range held.Steps {
				for i, task := range tasks {
					ref := TaskRef{Job: job.ID, Occurrence: o, Step: uint32(st), Index: uint32(i)}
					c := job.CopyOf(ref)
					if task.State == TaskPlaced {
						require.NotNil(t, s.Worker(task.Worker))
						require.Equal(t, task.Attempt, s.Worker(task.Worker).Attempts[ref])
					}
					if c != nil {
						require.NotEqual(t, TaskDone, task.State)
						require.Greater(t, c.Attempt, task.Attempt)
					}
					if c != nil && c.Worker != 0 {
						require.Equal(t, TaskPlaced, task.State)
						require.NotNil(t, s.Worker(c.Worker))
						require.Equal(t, c.Attempt, s.Worker(c.Worker).Attempts[ref])
					}
				}
			}
		}
	}
}

// newStateWithCopy returns a state in which task 0 of job 2 runs on worker 1 with attempt 1
// and on worker 2 with attempt 2. It allows two failures.
func newStateWithCopy(t require.TestingT) (*State, TaskRef) {
	s, ref := newStateWithOneWorker(t), TaskRef{Job: 2}
	for _, op := range []Op{
		{Join: &Join{Life: Incarnation{Name: "x", BornMs: 10}, Address: "b:1", Service: "pool", Capacity: Resources{MilliProcessors: 2000, MemoryMB: 100}}},
		{Accept: &Accept{ID: 2, Queue: "q", Spec: JobSpec{Steps: []Step{{Count: 1, Resources: Resources{MilliProcessors: 1500}, Duplicable: true}}}}},
		{Place: &Place{Task: ref, Worker: 1, Attempt: 1}},
		{PlaceCopy: &PlaceCopy{Task: ref, Worker: 2, Attempt: 2}},
	} {
		require.NoError(t, s.Apply(&op))
	}
	return s, ref
}

func endOn(s *State, worker WorkerID, number uint64, ref TaskRef, attempt uint32, how Ending) error {
	return s.Apply(&Op{End: &End{Worker: worker, Number: number, Task: ref, Attempt: attempt, How: how}})
}

// Guards against copies beyond a worker's capacity, of steps that do not allow them, beside
// another copy, or under a number that was used before.
func TestPlaceCopyIsValidatedWhenApplied(t *testing.T) {
	s, ref := newStateWithCopy(t)
	assert.EqualValues(t, 1500, s.Worker(2).Reserved.MilliProcessors)
	placeCopy := func(ref TaskRef, worker WorkerID, attempt uint32) error {
		return s.Apply(&Op{PlaceCopy: &PlaceCopy{Task: ref, Worker: worker, Attempt: attempt}})
	}
	assert.Error(t, placeCopy(ref, 2, 3), "the task has a copy")
	require.NoError(t, endOn(s, 2, 1, ref, 2, EndStopped))
	assert.Equal(t, TaskPlaced, s.Job(2).Task(ref).State)
	assert.Error(t, placeCopy(ref, 2, 2), "the number was used")
	assert.Error(t, placeCopy(ref, 1, 3), "the first attempt runs there")
	require.NoError(t, place(s, task(0, 0), 2, 1))
	assert.Error(t, placeCopy(ref, 2, 3), "the worker has no capacity")
	assert.Error(t, placeCopy(task(0, 0), 1, 2), "the step is not duplicable")
	require.NoError(t, endOn(s, 2, 2, task(0, 0), 1, EndStopped))
	require.NoError(t, placeCopy(ref, 2, 3))
	require.NoError(t, s.Apply(&Op{Cancel: &Cancel{ID: 2}}))
	assert.Error(t, placeCopy(ref, 2, 4), "the job is cancelled")
}

// Guards against a task that becomes pending, and starts a third time, while one of its two
// attempts runs, and against a number that is used twice.
func TestATaskStaysPlacedWhileOneOfTwoAttemptsRuns(t *testing.T) {
	s, ref := newStateWithCopy(t)
	require.NoError(t, endOn(s, 1, 1, ref, 1, EndFailed))
	assert.Equal(t, Task{State: TaskPlaced, Attempt: 2, Failures: 1, Worker: 2}, *s.Job(2).Task(ref), "the copy takes its place")
	assert.Nil(t, s.Job(2).CopyOf(ref))
	require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 2, Task: ref, Attempt: 2}}))
	assert.Equal(t, TaskPending, s.Job(2).Task(ref).State)

	s, ref = newStateWithCopy(t)
	require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 2, Task: ref, Attempt: 2}}))
	assert.EqualValues(t, 1, s.Job(2).Task(ref).Worker)
	require.NoError(t, endOn(s, 1, 1, ref, 1, EndStopped))
	assert.Error(t, place(s, ref, 1, 2), "the copy had this number")
	require.NoError(t, place(s, ref, 1, 3))

	s, ref = newStateWithCopy(t)
	require.NoError(t, endOn(s, 1, 1, ref, 1, EndFailed))
	require.NoError(t, endOn(s, 2, 1, ref, 2, EndFailed))
	assert.Equal(t, JobFailed, s.Job(2).State(), "each failed run counts")
}

// Guards against a task that ends twice or not at all, whichever of its attempts is done
// first, and against a reservation that outlives the other one.
func TestTheFirstOfTwoAttemptsEndsTheTask(t *testing.T) {
	for _, first := range []WorkerID{1, 2} {
		s, ref := newStateWithCopy(t)
		other := 3 - first
		require.NoError(t, endOn(s, first, 1, ref, uint32(first), EndDone))
		assert.Equal(t, JobCompleted, s.Job(2).State())
		assert.EqualValues(t, 1500, s.Worker(other).Reserved.MilliProcessors, "the other one still runs")
		require.NoError(t, endOn(s, other, 1, ref, uint32(other), EndDone))
		assert.EqualValues(t, 0, s.Job(2).OpenTasks)
		assert.Zero(t, s.Worker(other).Reserved)
		s.AdvanceTime(endedJobRetentionMs + 1)
		s.AdvanceTime(endedJobRetentionMs + 2)
		assert.Nil(t, s.Job(2), "no attempt keeps the job")
	}
}

// Guards against a task that runs on for nothing although a copy that was given up has done
// it after all.
func TestACopyThatWasVoidedEndsTheTask(t *testing.T) {
	s, ref := newStateWithCopy(t)
	require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 2, Task: ref, Attempt: 2}}))
	require.NoError(t, endOn(s, 2, 1, ref, 2, EndDone))
	assert.Equal(t, JobCompleted, s.Job(2).State())
	require.NoError(t, endOn(s, 1, 1, ref, 1, EndDone))
	assert.EqualValues(t, 0, s.Job(2).OpenTasks)
}

// Guards against a copy that is lost with the next incarnation of its worker, or with a
// snapshot, and against older programs that misread one.
func TestACopySurvivesIncarnationsAndSnapshots(t *testing.T) {
	s, ref := newStateWithCopy(t)
	require.NoError(t, s.Apply(&Op{Join: &Join{Life: Incarnation{Name: "x", BornMs: 20}, Address: "b:1", Service: "pool", Capacity: Resources{MilliProcessors: 2000}, Carry: []TaskRef{ref}}}))
	assert.EqualValues(t, 3, s.Job(2).CopyOf(ref).Worker)
	version := func() int {
		data, err := s.Snapshot()
		require.NoError(t, err)
		var header struct {
			Version int `cbor:"1,keyasint"`
		}
		require.NoError(t, cborcodec.Decode.Unmarshal(data, &header))
		s, err = DecodeSnapshot(data)
		require.NoError(t, err)
		return header.Version
	}
	assert.Equal(t, copyVersion, version())
	assert.EqualValues(t, 3, s.Job(2).CopyOf(ref).Worker)
	require.NoError(t, endOn(s, 3, 1, ref, 2, EndDone))
	assert.Equal(t, snapshotVersion, version(), "without a copy, older programs read it")
	require.NoError(t, s.Apply(&Op{Leave: &Leave{Worker: 1, Over: true}}))
	assert.Equal(t, JobCompleted, s.Job(2).State())
}
