package control

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/state"
	"mangohill.example/mangohill/types"
)

const (
	scaleEntries = 8
	scaleWorkers = 560
	scaleTasks   = 11_300
	// maxLeaderHeap bounds the heap of the state and of the leader at full size, in
	// bytes.
	maxLeaderHeap = 64 << 20
)

// scaleLeader returns a leader at full size: all tasks run, and each worker is reached
// through one of the entry hosts.
func scaleLeader(tb testing.TB) *leader {
	store := state.New()
	service := New(Options{Replica: newSingleReplica(store), Store: store, Logger: zerolog.Nop()})
	l := newLeader(service, 1)
	store.Track()
	propose := func(ops ...state.Op) {
		results, err := service.propose(tb.Context(), ops...)
		require.NoError(tb, err)
		for _, r := range results {
			require.NoError(tb, r.Failure())
		}
	}
	for i := range scaleWorkers {
		args := &controlapi.ReportArgs{Entry: "entry", Syncs: []controlapi.WorkerReport{{
			Worker:       meterWorkerName(i),
			Incarnation:  1,
			Full:         true,
			Registration: &controlapi.Registration{Worker: meterWorkerName(i), Incarnation: 1, Rack: fmt.Sprint("rack-", i/8), Capacity: types.Resources{MilliProcessors: 64_000, MemoryBytes: 250 << 30}},
		}}}
		require.NoError(tb, l.report(tb.Context(), args, &controlapi.ReportReply{}))
		l.outbox.setEntryHost(types.WorkerID(i+1), fmt.Sprint("entry-", i%scaleEntries), 1, 0)
	}
	for i := range scaleEntries {
		l.entry(fmt.Sprint("entry-", i)).lastExchangeAt = service.now()
	}
	for i := range scaleTasks {
		task, worker := types.TaskID(i+1), types.WorkerID(i%scaleWorkers+1)
		propose(
			state.Declare{Spec: types.JobSpec{Name: fmt.Sprintf("route-%05d", i), Kind: types.KindBatch, Class: fmt.Sprint("class-", i%20), Team: fmt.Sprint("team-", i%23), Request: types.Resources{MilliProcessors: 2000, MemoryBytes: 8 << 30}, ExpectedMs: 2_400_000}},
			state.Start{Task: task, Worker: worker, Epoch: 1},
			state.Report{Worker: worker, Incarnation: 1, Task: task, Epoch: 1, State: state.AttemptRunning})
		if i%100 == 0 {
			l.propagateChanges()
		}
	}
	l.propagateChanges()
	return l
}

func TestLeaderAtFullSizeFitsItsMemory(t *testing.T) {
	before := heapBytes()
	l := scaleLeader(t)
	heap := heapBytes() - before
	t.Logf("heap %d KiB", heap>>10)
	assert.Less(t, heap, uint64(maxLeaderHeap))
	runtime.KeepAlive(l)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkFeed measures the propagation of a restart of one task to the planner and
// the outbox.
func BenchmarkFeed(b *testing.B) {
	l := scaleLeader(b)
	epoch := uint64(1)
	for b.Loop() {
		_, err := l.service.propose(b.Context(),
			state.Report{Worker: 1, Incarnation: 1, Task: 1, Epoch: epoch, State: state.AttemptCheckpointed},
			state.Start{Task: 1, Worker: 1, Epoch: epoch + 1})
		if err != nil {
			b.Fatal(err)
		}
		epoch++
		l.propagateChanges()
	}
}

// BenchmarkGrant measures the renewal of the leases that an entry host collects in one
// second.
func BenchmarkGrant(b *testing.B) {
	l := scaleLeader(b)
	args := &controlapi.ExchangeArgs{Entry: "entry-0"}
	for i := range renewalsPerSecond {
		args.Renewals = append(args.Renewals, controlapi.Renewal{Worker: meterWorkerName(i * scaleEntries), Incarnation: 1})
	}
	for b.Loop() {
		l.mu.Lock()
		l.renewLeases(l.service.now(), l.service.now(), args)
		l.mu.Unlock()
	}
}

// BenchmarkPlanIdle measures a plan that has nothing to do.
func BenchmarkPlanIdle(b *testing.B) {
	l := scaleLeader(b)
	for b.Loop() {
		l.planOnce(b.Context())
	}
}
