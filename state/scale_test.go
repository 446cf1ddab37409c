package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/types"
)

const (
	scaleWorkers  = 560
	scaleBatch    = 10_000
	scaleServices = 26
	scaleReplicas = 50
	scaleTasks    = scaleBatch + scaleServices*scaleReplicas

	// maxStartBytes limits the mean encoded size of a start in entries of 20 starts.
	maxStartBytes = 24
	// maxSnapshotBytes and maxHeapBytes limit the state at the size that the system is
	// designed for: 560 workers and 11,300 tasks.
	maxSnapshotBytes = 4 << 20
	maxHeapBytes     = 24 << 20
)

// scaleStore returns a state with scaleWorkers workers and scaleTasks tasks, all of
// them running, and the sum of the sizes of the entries with the starts.
func scaleStore(tb testing.TB) (*Store, int) {
	s := New()
	index, now := uint64(0), int64(testNowMs)
	apply := func(ops ...Op) int {
		index++
		now += 5
		data, err := Encode(now, ops...)
		require.NoError(tb, err)
		for _, result := range s.Apply(index, data).([]Result) {
			require.NoError(tb, result.Failure())
		}
		return len(data)
	}
	for i := range scaleWorkers {
		apply(Register{
			Worker:        fmt.Sprintf("worker-%03d", i),
			Incarnation:   uint64(now),
			FailureDomain: fmt.Sprintf("domain-%d", i%5),
			Rack:          fmt.Sprintf("rack-%d", i/8),
			Capacity:      types.Resources{MilliProcessors: 64_000, MemoryBytes: 250 << 30, Accelerators: 2},
		})
	}
	for i := range scaleBatch {
		apply(Declare{Spec: scaleJob(fmt.Sprintf("route-%05d", i), types.KindBatch, 1)})
	}
	for i := range scaleServices {
		apply(Declare{Spec: scaleJob(fmt.Sprintf("quote-%02d", i), types.KindService, scaleReplicas)})
	}
	tasks := s.Tasks()
	require.Len(tb, tasks, scaleTasks)
	startBytes := 0
	for i := 0; i < len(tasks); i += 20 {
		var ops, reports []Op
		for _, task := range tasks[i:min(i+20, len(tasks))] {
			w, ok := s.Worker(types.WorkerID(int(task.ID)%scaleWorkers + 1))
			require.True(tb, ok)
			ops = append(ops, Start{Task: task.ID, Worker: w.ID, Epoch: 1})
			reports = append(reports, Report{Worker: w.ID, Incarnation: w.Incarnation, Task: task.ID, Epoch: 1, State: AttemptRunning})
		}
		startBytes += apply(ops...)
		apply(reports...)
	}
	return s, startBytes
}

func scaleJob(name string, taskKind types.TaskKind, replicas int) types.JobSpec {
	return types.JobSpec{
		Name:       name,
		Kind:       taskKind,
		Class:      "routing",
		Team:       "team-17",
		Replicas:   replicas,
		Request:    types.Resources{MilliProcessors: 2000, MemoryBytes: 8 << 30},
		ExpectedMs: 2_400_000,
		Payload:    []byte(`{"depot":"pt-norte"}`),
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func TestStateSizeAtFullScale(t *testing.T) {
	before := heapBytes()
	s, startBytes := scaleStore(t)
	heap := heapBytes() - before
	data, err := s.Snapshot()
	require.NoError(t, err)
	t.Logf("heap %d KiB, snapshot %d KiB, %.1f bytes a start", heap>>10, len(data)>>10, float64(startBytes)/scaleTasks)
	assert.Less(t, heap, uint64(maxHeapBytes))
	assert.Less(t, len(data), maxSnapshotBytes)
	assert.Less(t, startBytes, maxStartBytes*scaleTasks)

	restored := New()
	require.NoError(t, restored.Restore(data))
	require.NoError(t, restored.CheckInvariants())
	again, err := restored.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, data, again)
	runtime.KeepAlive(s)
}

func BenchmarkSnapshot(b *testing.B) {
	s, _ := scaleStore(b)
	for b.Loop() {
		if _, err := s.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRestore(b *testing.B) {
	s, _ := scaleStore(b)
	data, err := s.Snapshot()
	require.NoError(b, err)
	for b.Loop() {
		if err := New().Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyStartAndEnd(b *testing.B) {
	s, _ := scaleStore(b)
	task := s.Tasks()[0]
	index, epoch := s.index, task.Epoch
	w, _ := s.Worker(task.Worker)
	for b.Loop() {
		index++
		data, _ := Encode(testNowMs,
			Report{Worker: w.ID, Incarnation: w.Incarnation, Task: task.ID, Epoch: epoch, State: AttemptCheckpointed, Checkpoint: "c"},
			Start{Task: task.ID, Worker: w.ID, Epoch: epoch + 1})
		epoch++
		for _, result := range s.Apply(index, data).([]Result) {
			if result.Err != nil {
				b.Fatal(result.Err)
			}
		}
	}
}
