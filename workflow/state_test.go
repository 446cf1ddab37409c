package workflow

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func catalog(version uint64, source string) *Catalog {
	return &Catalog{
		Version: version, Source: []byte(source), Services: []Service{{Name: "pool"}},
		Queues: []Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "pool", TimeoutMs: 1, MaxAttempts: 2}},
	}
}

// newStateWithOneWorker returns a state with a catalog, a worker with two processors
// and a job with two steps.
func newStateWithOneWorker(t require.TestingT) *State {
	s := NewState()
	for _, op := range []Op{
		{SetCatalog: &SetCatalog{Catalog: *catalog(1, "a")}},
		{Join: &Join{Life: Incarnation{Name: "w", BornMs: 10}, Address: "a:1", Service: "pool", Capacity: Resources{MilliProcessors: 2000, MemoryMB: 100}}},
		{Accept: &Accept{ID: 1, Queue: "q", Spec: JobSpec{Steps: []Step{
			{Count: 3, Resources: Resources{MilliProcessors: 1000}}, {Count: 1, After: []uint32{0}},
		}}}},
	} {
		require.NoError(t, s.Apply(&op))
	}
	return s
}

func task(step, index uint32) TaskRef { return TaskRef{Job: 1, Step: step, Index: index} }

func place(s *State, ref TaskRef, worker WorkerID, attempt uint32) error {
	return s.Apply(&Op{Place: &Place{Task: ref, Worker: worker, Attempt: attempt}})
}

func end(s *State, number uint64, ref TaskRef, attempt uint32, how Ending) error {
	return s.Apply(&Op{End: &End{Worker: 1, Number: number, Task: ref, Attempt: attempt, How: how}})
}

func TestPlaceIsValidatedWhenApplied(t *testing.T) {
	s := newStateWithOneWorker(t)
	assert.Error(t, place(s, task(1, 0), 1, 1), "the step that it depends on is not done")
	assert.Error(t, place(s, task(0, 0), 2, 1), "no such worker")
	assert.Error(t, place(s, TaskRef{Job: 9}, 1, 1), "no such job")
	assert.Error(t, place(s, task(0, 7), 1, 1), "no such task")
	require.NoError(t, place(s, task(0, 0), 1, 1))
	assert.Error(t, place(s, task(0, 0), 1, 2), "the previous attempt has not ended")
	require.NoError(t, place(s, task(0, 1), 1, 1))
	assert.Error(t, place(s, task(0, 2), 1, 1), "the worker has no free capacity")
	require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 1, Task: task(0, 0), Attempt: 1}}))
	assert.Error(t, place(s, task(0, 0), 1, 1), "the attempt number was used before")
	require.NoError(t, place(s, task(0, 0), 1, 2))
	require.NoError(t, s.Apply(&Op{Cancel: &Cancel{ID: 1}}))
	assert.Error(t, place(s, task(0, 2), 1, 1), "the job is cancelled")
}

func TestJobStateFollowsItsTasks(t *testing.T) {
	s := newStateWithOneWorker(t)
	for i := range uint32(3) {
		require.NoError(t, place(s, task(0, i), 1, 1))
		require.NoError(t, end(s, uint64(i+1), task(0, i), 1, EndDone))
	}
	assert.Equal(t, JobRunning, s.Job(1).State())
	require.NoError(t, place(s, task(1, 0), 1, 1))
	require.NoError(t, end(s, 3, task(1, 0), 1, EndDone))
	assert.Equal(t, JobRunning, s.Job(1).State(), "a repeated sequence number is ignored")
	require.NoError(t, end(s, 4, task(1, 0), 1, EndFailed))
	require.NoError(t, place(s, task(1, 0), 1, 2))
	require.NoError(t, end(s, 5, task(1, 0), 2, EndFailed))
	assert.Equal(t, JobFailed, s.Job(1).State(), "the second failure reaches the queue's MaxAttempts")
	assert.Equal(t, Resources{}, s.Worker(1).Reserved)
}

func TestNewIncarnationTakesOverCarriedAttempts(t *testing.T) {
	s := newStateWithOneWorker(t)
	require.NoError(t, place(s, task(0, 0), 1, 1))
	require.NoError(t, place(s, task(0, 1), 1, 1))
	next := &Join{Life: Incarnation{Name: "w", BornMs: 20}, Address: "a:1", Service: "pool", Capacity: Resources{MilliProcessors: 2000}, Carry: []TaskRef{task(0, 1)}}
	require.NoError(t, s.Apply(&Op{Join: next}))
	assert.Nil(t, s.Worker(1))
	assert.Equal(t, TaskPending, s.Job(1).Task(task(0, 0)).State)
	assert.Equal(t, TaskPlaced, s.Job(1).Task(task(0, 1)).State)
	assert.Equal(t, map[TaskRef]uint32{task(0, 1): 1}, s.Worker(2).Attempts)
	assert.EqualValues(t, 1000, s.Worker(2).Reserved.MilliProcessors)
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := DecodeSnapshot(data)
	require.NoError(t, err)
	assert.Equal(t, map[TaskRef]bool{task(0, 1): true}, restored.Worker(2).Carried, "the next leader must know")
	late := *next
	late.Life.BornMs = 15
	assert.Error(t, s.Apply(&Op{Join: &late}), "a delayed report of an older incarnation")
	require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 2, Task: task(0, 1), Attempt: 1}}))
	assert.Empty(t, s.Worker(2).Carried)
}

func TestHighestCatalogVersionWins(t *testing.T) {
	s := newStateWithOneWorker(t)
	set := func(version uint64, source string) error {
		return s.Apply(&Op{SetCatalog: &SetCatalog{Catalog: *catalog(version, source)}})
	}
	require.NoError(t, set(5, "b"))
	require.NoError(t, set(5, "b"), "a resend")
	require.NoError(t, set(3, "c"), "a lower version is ignored")
	require.Error(t, set(5, "d"), "other content under the same version")
	assert.Equal(t, "b", string(s.Catalog().Source))
}

func TestGangSharesCheckpointAndEnd(t *testing.T) {
	s := newStateWithOneWorker(t)
	require.NoError(t, s.Apply(&Op{Accept: &Accept{ID: 2, Queue: "q", Spec: JobSpec{Steps: []Step{{Count: 2, Gang: true}}}}}))
	member := func(i uint32) TaskRef { return TaskRef{Job: 2, Index: i} }
	require.NoError(t, place(s, member(0), 1, 1))
	require.NoError(t, place(s, member(1), 1, 1))
	require.NoError(t, s.Apply(&Op{End: &End{Worker: 1, Number: 1, Task: member(0), Attempt: 1, How: EndGangBroken, Checkpoint: "c"}}))
	assert.Equal(t, "c", s.Job(2).Task(member(1)).Checkpoint)
	require.NoError(t, s.Apply(&Op{End: &End{Worker: 1, Number: 2, Task: member(1), Attempt: 1, How: EndDone}}))
	assert.Equal(t, JobCompleted, s.Job(2).State())
}

func TestEndedJobsAreDroppedAfterRetention(t *testing.T) {
	s := newStateWithOneWorker(t)
	s.AdvanceTime(1000)
	require.NoError(t, s.Apply(&Op{Cancel: &Cancel{ID: 1}}))
	s.AdvanceTime(1000 + endedJobRetentionMs - 1)
	assert.NotNil(t, s.Job(1))
	s.AdvanceTime(1000 + endedJobRetentionMs)
	assert.Nil(t, s.Job(1))
}

// After any sequence of operations, a state restored from a snapshot must apply the
// next operation with the same result and encode to the same snapshot.
func TestRestoredStateEqualsTheOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStateWithOneWorker(t)
		require.NoError(t, s.Apply(&Op{Accept: &Accept{ID: 2, Queue: "q", Spec: JobSpec{Steps: []Step{{Count: 2, Duplicable: true}}}}}))
		for range rapid.IntRange(0, 30).Draw(t, "operations") {
			op := drawOp(t)
			data, err := s.Snapshot()
			require.NoError(t, err)
			restored, err := DecodeSnapshot(data)
			require.NoError(t, err)
			first, second := s.Apply(op), restored.Apply(op)
			require.Equal(t, first == nil, second == nil)
			a, err := s.Snapshot()
			require.NoError(t, err)
			b, err := restored.Snapshot()
			require.NoError(t, err)
			require.Equal(t, a, b)
			checkReserved(t, s)
			checkAttempts(t, s)
		}
	})
}

func drawOp(t *rapid.T) *Op {
	ref := TaskRef{Job: JobID(rapid.IntRange(1, 2).Draw(t, "job")), Step: rapid.Uint32Range(0, 1).Draw(t, "step"), Index: rapid.Uint32Range(0, 3).Draw(t, "index")}
	worker := WorkerID(rapid.Uint32Range(1, 3).Draw(t, "worker"))
	attempt := rapid.Uint32Range(1, 4).Draw(t, "attempt")
	switch rapid.IntRange(0, 7).Draw(t, "verb") {
	case 0:
		return &Op{Void: &Void{Worker: worker, Task: ref, Attempt: attempt, Checkpoint: "v"}}
	case 1:
		return &Op{End: &End{Worker: worker, Number: rapid.Uint64Range(1, 9).Draw(t, "number"), Task: ref, Attempt: attempt, How: Ending(rapid.IntRange(1, 6).Draw(t, "how"))}}
	case 2:
		name := rapid.SampledFrom([]string{"w", "x"}).Draw(t, "name")
		return &Op{Join: &Join{Life: Incarnation{Name: name, BornMs: rapid.Int64Range(1, 40).Draw(t, "born")}, Address: name, Service: "pool", Capacity: Resources{MilliProcessors: 2000}, Carry: []TaskRef{ref}}}
	case 3:
		return &Op{Leave: &Leave{Worker: worker, Over: rapid.Bool().Draw(t, "over")}}
	case 4, 5:
		return &Op{PlaceCopy: &PlaceCopy{Task: ref, Worker: worker, Attempt: attempt}}
	}
	return &Op{Place: &Place{Task: ref, Worker: worker, Attempt: attempt}}
}

// checkReserved requires that Worker.Reserved is the sum over the worker's attempts.
func checkReserved(t require.TestingT, s *State) {
	for _, w := range s.Workers() {
		sum := Resources{}
		for ref := range w.Attempts {
			sum = sum.Add(s.Job(ref.Job).Spec.Steps[ref.Step].Reserved())
		}
		require.Equal(t, sum, w.Reserved)
	}
}

func FuzzDecode(f *testing.F) {
	s := newStateWithOneWorker(f)
	data, err := s.Snapshot()
	require.NoError(f, err)
	f.Add(data)
	batch, err := (&Batch{NowMs: 1, Ops: []Op{{Cancel: &Cancel{ID: 1}}}}).Encode()
	require.NoError(f, err)
	f.Add(batch)
	f.Fuzz(func(t *testing.T, data []byte) {
		if state, err := DecodeSnapshot(data); err == nil {
			_, err = state.Snapshot()
			require.NoError(t, err)
		}
		if batch, err := DecodeBatch(data); err == nil {
			newStateWithOneWorker(t).ApplyBatch(batch)
		}
	})
}

// Guards against a job whose number of tasks overflows, so that every member runs out of
// memory when it is accepted.
func TestAJobWhoseTaskCountOverflowsIsRefused(t *testing.T) {
	spec := &JobSpec{
		Steps:    []Step{{Count: 1 << 31}, {Count: 1 << 31}, {Count: 1 << 31}, {Count: 1 << 31}},
		Schedule: Schedule{Times: 1 << 31},
	}
	require.Error(t, spec.Validate())
}

// Guards against a string that the leader encodes and the other members refuse to decode,
// with the whole batch that it is in.
func TestABatchWithAStringThatIsNotTextIsDecoded(t *testing.T) {
	batch := &Batch{Ops: []Op{{Join: &Join{Life: Incarnation{Name: "w\xff", BornMs: 1}, Address: "a:1", Labels: []string{"\xff"}}}}}
	data, err := batch.Encode()
	require.NoError(t, err)
	decoded, err := DecodeBatch(data)
	require.NoError(t, err)
	assert.Equal(t, batch, decoded)
	s := NewState()
	require.NoError(t, s.Apply(&decoded.Ops[0]))
	copied, err := s.Snapshot()
	require.NoError(t, err)
	_, err = DecodeSnapshot(copied)
	require.NoError(t, err)
}

// Guards against a memory estimate that grows or shrinks for good: it follows the jobs that
// are kept, also in a restored state.
func TestTheMemoryOfJobsFollowsTheJobsThatAreKept(t *testing.T) {
	s := newStateWithOneWorker(t)
	before := s.JobBytes()
	require.Positive(t, before)
	require.NoError(t, s.Apply(&Op{Accept: &Accept{ID: 2, Queue: "q", Spec: JobSpec{Payload: "p", Steps: []Step{{Count: maxTasks}}}}}))
	with := s.JobBytes()
	assert.Greater(t, with, before+int64(maxTasks*32))
	require.NoError(t, s.Apply(&Op{Accept: &Accept{ID: 2, Queue: "q", Spec: JobSpec{Payload: "p", Steps: []Step{{Count: maxTasks}}}}}))
	assert.Equal(t, with, s.JobBytes(), "a repeated job changes nothing")
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := DecodeSnapshot(data)
	require.NoError(t, err)
	assert.Equal(t, with, restored.JobBytes())
	require.NoError(t, restored.Apply(&Op{Cancel: &Cancel{ID: 2}}))
	assert.Equal(t, with, restored.JobBytes(), "an ended job is kept for queries")
	restored.AdvanceTime(restored.NowMs() + endedJobRetentionMs)
	assert.Equal(t, before, restored.JobBytes())
}

// Guards against an attempt that outlasts its job, which is dropped and accepted again
// with fewer steps: its end would be taken for one of the new job, beyond its steps, in
// each member that applies it.
func TestAJobIsKeptWhileAnAttemptOfItIsRecorded(t *testing.T) {
	s := newStateWithOneWorker(t)
	require.NoError(t, place(s, task(0, 2), 1, 1))
	require.NoError(t, s.Apply(&Op{Cancel: &Cancel{ID: 1}}))
	s.AdvanceTime(s.NowMs() + 2*endedJobRetentionMs)
	require.NotNil(t, s.Job(1), "an attempt of the job may run")
	data, err := s.Snapshot()
	require.NoError(t, err)
	s, err = DecodeSnapshot(data)
	require.NoError(t, err)
	require.NoError(t, s.Apply(&Op{Accept: &Accept{ID: 1, Queue: "q", Spec: JobSpec{Steps: []Step{{Count: 1}}}}}))
	require.NoError(t, end(s, 1, task(0, 2), 1, EndStopped))
	assert.Zero(t, s.Worker(1).Reserved)
	s.AdvanceTime(s.NowMs() + 1)
	assert.Nil(t, s.Job(1))
}
