package workflow

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangohill.example/mangohill/internal/cborcodec"
)

// fullOccurrences returns the occurrences of a job as earlier versions held and encoded them:
// each in full.
func fullOccurrences(job *Job) []Occurrence {
	var full []Occurrence
	for o := range job.Occurrences.Len() {
		next := newOccurrence(job.Spec.Steps)
		for s := range job.Spec.Steps {
			copy(next.Steps[s], job.Occurrences.Tasks(o, uint32(s)))
			next.Done[s] = job.Occurrences.Done(o, uint32(s))
		}
		full = append(full, *next)
	}
	return full
}

func snapshotOf(t require.TestingT, s *State) []byte {
	data, err := s.Snapshot()
	require.NoError(t, err)
	return data
}

// Guards against a snapshot that another version misreads, and a restored state that differs:
// any course of attempts of a job that repeats is encoded as earlier versions do.
func TestOccurrencesAreEncodedInFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStateWithOneWorker(t)
		times := rapid.Uint32Range(1, 300).Draw(t, "times")
		steps := []Step{{Count: 2}, {Count: 1, After: []uint32{0}, Gang: true, Resumable: true}}
		require.NoError(t, s.Apply(&Op{Accept: &Accept{ID: 2, Queue: "q", Spec: JobSpec{Steps: steps, Schedule: Schedule{Times: times, EveryMs: 5}}}}))
		job, number, open := s.Job(2), uint64(0), times*3
		for range rapid.IntRange(0, 400).Draw(t, "operations") {
			ref := TaskRef{Job: 2, Occurrence: rapid.Uint32Range(0, times-1).Draw(t, "occurrence"), Step: rapid.Uint32Range(0, 1).Draw(t, "step")}
			ref.Index = rapid.Uint32Range(0, steps[ref.Step].Count-1).Draw(t, "index")
			attempt := job.Task(ref).Attempt
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				_ = place(s, ref, 1, attempt+1)
			case 1:
				_ = s.Apply(&Op{Void: &Void{Worker: 1, Task: ref, Attempt: attempt, Checkpoint: "c"}})
			default:
				before := job.Occurrences.Done(ref.Occurrence, ref.Step)
				number++
				require.NoError(t, end(s, number, ref, attempt, EndDone))
				open -= job.Occurrences.Done(ref.Occurrence, ref.Step) - before
			}
		}
		require.Equal(t, open, job.OpenTasks)
		require.Equal(t, uint64(open), job.Occurrences.Open(0)+job.Occurrences.Open(1))
		encoded, err := cborcodec.Encode.Marshal(job.Occurrences)
		require.NoError(t, err)
		full, err := cborcodec.Encode.Marshal(fullOccurrences(job))
		require.NoError(t, err)
		require.Equal(t, full, encoded)
		data := snapshotOf(t, s)
		restored, err := DecodeSnapshot(data)
		require.NoError(t, err)
		require.Equal(t, data, snapshotOf(t, restored))
		require.Equal(t, s.JobBytes(), restored.JobBytes())
		require.Equal(t, s.HeldOccurrences(), restored.HeldOccurrences())
		require.Equal(t, fmt.Sprint(job.Occurrences.done), fmt.Sprint(restored.Job(2).Occurrences.done))
	})
}

// Guards against a member that does not come up with the snapshot of an earlier version, which
// kept the attempts of done occurrences.
func TestDoneOccurrencesOfAnEarlierVersionAreDropped(t *testing.T) {
	s := newStateWithOneWorker(t)
	require.NoError(t, s.Apply(&Op{Accept: &Accept{ID: 2, Queue: "q", Spec: JobSpec{Steps: []Step{{Count: 1}}, Schedule: Schedule{Times: 5, EveryMs: 5}}}}))
	held := s.Job(2).Occurrences.hold(1)
	held.Steps[0][0], held.Done[0] = Task{State: TaskDone, Attempt: 3, Worker: 1}, 1
	s.Job(2).OpenTasks--
	restored, err := DecodeSnapshot(snapshotOf(t, s))
	require.NoError(t, err)
	assert.Zero(t, restored.Job(2).Occurrences.find(1))
	assert.EqualValues(t, 1, restored.Job(2).Occurrences.Done(1, 0))
	assert.Equal(t, TaskDone, restored.Job(2).Task(TaskRef{Job: 2, Occurrence: 1}).State)
	assert.EqualValues(t, 2, restored.Job(2).Occurrences.Next(1))
}

// Guards against an occurrence that is dropped while a later attempt of a task runs: the leader
// stops it by what is recorded of the task.
func TestAnOccurrenceIsHeldWhileAttemptsAreRecorded(t *testing.T) {
	s := newStateWithOneWorker(t)
	require.NoError(t, s.Apply(&Op{Accept: &Accept{ID: 2, Queue: "q", Spec: JobSpec{Steps: []Step{{Count: 1}}, Schedule: Schedule{Times: 5}}}}))
	ref := TaskRef{Job: 2, Occurrence: 3}
	require.NoError(t, place(s, ref, 1, 1))
	require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 1, Task: ref, Attempt: 1}}))
	require.NoError(t, place(s, ref, 1, 2))
	require.NoError(t, end(s, 1, ref, 1, EndDone))
	assert.Equal(t, Task{State: TaskDone, Attempt: 2, Worker: 1}, *s.Job(2).Task(ref))
	assert.Error(t, place(s, ref, 1, 3))
	require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 1, Task: ref, Attempt: 2}}))
	assert.Zero(t, s.HeldOccurrences()-1, "only the job with one occurrence is held")
	assert.Error(t, place(s, ref, 1, 3), "it is done")
	require.NoError(t, end(s, 2, ref, 2, EndDone))
	assert.EqualValues(t, 4, s.Job(2).OpenTasks, "a task is done once")
}

// heapBytes returns the memory of live objects after a collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against an estimate that leaves out what jobs take, so that they exhaust a leader's
// memory: for each shape of job it is at least the heap of the leader's two copies of the state
// and of a snapshot, and no more than four times as much.
func TestTheEstimateOfJobsCoversTheirMemory(t *testing.T) {
	name := strings.Repeat("n", maxNameBytes)
	long := Step{Count: 10, Image: name, Label: name, DataRack: name}
	for _, c := range []struct {
		name  string
		jobs  int
		spec  JobSpec
		begin uint32 // The number of occurrences of which a task is placed.
		end   Ending
		text  string
	}{
		{"one small task", 3000, JobSpec{Payload: "p", Steps: []Step{{Count: 1}}}, 1, 0, ""},
		{"one wide step", 10, JobSpec{Steps: []Step{{Count: maxTasks}}}, 1, 0, ""},
		{"many steps", 30, JobSpec{Steps: slices.Repeat([]Step{{Count: 70}}, maxSteps)}, 1, 0, ""},
		{"names at their limit", 30, JobSpec{Payload: strings.Repeat("p", maxPayloadBytes), Steps: slices.Repeat([]Step{long}, maxSteps)}, 0, 0, ""},
		{"many times, none due", 30, JobSpec{Steps: []Step{{Count: 1}}, Schedule: Schedule{Times: maxTasks}}, 0, 0, ""},
		{"many times, some placed", 10, JobSpec{Steps: []Step{{Count: 1}}, Schedule: Schedule{Times: maxTasks}}, 5000, 0, ""},
		{"many times, some done", 10, JobSpec{Steps: []Step{{Count: 1}}, Schedule: Schedule{Times: maxTasks}}, 5000, EndDone, ""},
		{"checkpoints", 10, JobSpec{Steps: []Step{{Count: 1, Resumable: true}}, Schedule: Schedule{Times: maxTasks}}, 500, EndStopped, strings.Repeat("c", 4000)},
		{"checkpoints of a gang", 10, JobSpec{Steps: []Step{{Count: 200, Gang: true, Resumable: true}}}, 1, EndStopped, strings.Repeat("c", 4000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStateWithOneWorker(t)
			before, estimatedBefore, number := heapBytes(), s.JobBytes(), uint64(0)
			for id := JobID(2); id < JobID(2+c.jobs); id++ {
				s.AdvanceTime(s.NowMs() + 60_000) // Earlier placements are forgotten.
				spec := c.spec
				spec.Payload, spec.Steps = strings.Clone(spec.Payload), slices.Clone(spec.Steps)
				for i := range spec.Steps { // Each request has texts of its own.
					step := &spec.Steps[i]
					step.Image, step.Label, step.DataRack = strings.Clone(step.Image), strings.Clone(step.Label), strings.Clone(step.DataRack)
				}
				require.NoError(t, s.Apply(&Op{Accept: &Accept{ID: id, Queue: "q", Spec: spec}}))
				for o := range c.begin {
					ref := TaskRef{Job: id, Occurrence: o}
					require.NoError(t, place(s, ref, 1, 1))
					if c.end == 0 {
						require.NoError(t, s.Apply(&Op{Void: &Void{Worker: 1, Task: ref, Attempt: 1}}))
						continue
					}
					number++
					require.NoError(t, s.Apply(&Op{End: &End{Worker: 1, Number: number, Task: ref, Attempt: 1, How: c.end, Checkpoint: strings.Clone(c.text)}}))
				}
			}
			data := snapshotOf(t, s)
			second, err := DecodeSnapshot(data)
			require.NoError(t, err)
			taken, estimated := heapBytes()-before, s.JobBytes()-estimatedBefore
			t.Logf("%d bytes estimated, %d taken, %d of them a snapshot", estimated, taken, len(data))
			assert.GreaterOrEqual(t, estimated, taken)
			assert.LessOrEqual(t, estimated, 4*taken)
			runtime.KeepAlive(second)
			runtime.KeepAlive(s)
			runtime.KeepAlive(data)
		})
	}
}

// Guards against refusing ordinary jobs: one each minute for two weeks takes little.
func TestAJobThatRepeatsForWeeksTakesLittle(t *testing.T) {
	s := newStateWithOneWorker(t)
	before := s.JobBytes()
	require.NoError(t, s.Apply(&Op{Accept: &Accept{ID: 2, Queue: "q", Spec: JobSpec{Steps: []Step{{Count: 1}}, Schedule: Schedule{Times: maxTasks, EveryMs: 60_000}}}}))
	assert.Less(t, s.JobBytes()-before, int64(1<<20))
}
