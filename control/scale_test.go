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
	// maxLeaderHeap bounds the state and the leader's view of it at full size.
	maxLeaderHeap = 64 << 20
)

// scaleLeader is a leader at full size: every task runs, every worker is reached
// through one of the entry hosts.
func scaleLeader(tb testing.TB) *leader {
	store := state.New()
	service := New(Options{Replica: newSoleReplica(store), Store: store, Logger: zerolog.Nop()})
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
			Worker:       meterWorker(i),
			Incarnation:  1,
			Full:         true,
			Registration: &controlapi.Registration{Worker: meterWorker(i), Incarnation: 1, Rack: fmt.Sprint("rack-", i/8), Capacity: types.Resources{MilliProcessors: 64_000, MemoryBytes: 250 << 30}},
		}}}
		require.NoError(tb, l.report(tb.Context(), args, &controlapi.ReportReply{}))
		l.outbox.setEntry(types.WorkerID(i+1), fmt.Sprint("entry-", i%scaleEntries), 1, 0)
	}
	for i := range scaleEntries {
		l.entry(fmt.Sprint("entry-", i)).seenAt = service.now()
	}
	for i := range scaleTasks {
		task, worker := types.TaskID(i+1), types.WorkerID(i%scaleWorkers+1)
		propose(
			state.Declare{Spec: types.JobSpec{Name: fmt.Sprintf("route-%05d", i), Kind: types.KindBatch, Class: fmt.Sprint("class-", i%20), Team: fmt.Sprint("team-", i%23), Request: types.Resources{MilliProcessors: 2000, MemoryBytes: 8 << 30}, ExpectedMs: 2_400_000}},
			state.Start{Task: task, Worker: worker, Epoch: 1},
			state.Report{Worker: worker, Incarnation: 1, Task: task, Epoch: 1, State: state.AttemptRunning})
		if i%100 == 0 {
			l.feed()
		}
	}
	l.feed()
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

// BenchmarkFeed passes a restart of one task on to the planner and the outbox.
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
		l.feed()
	}
}

// BenchmarkGrant renews the leases that an entry host gathers in a second.
func BenchmarkGrant(b *testing.B) {
	l := scaleLeader(b)
	args := &controlapi.ExchangeArgs{Entry: "entry-0"}
	for i := range renewalsPerSecond {
		args.Renewals = append(args.Renewals, controlapi.Renewal{Worker: meterWorker(i * scaleEntries), Incarnation: 1})
	}
	for b.Loop() {
		l.mu.Lock()
		l.grant(l.service.now(), l.service.now(), args)
		l.mu.Unlock()
	}
}

// BenchmarkPlanIdle plans where nothing is to be done.
func BenchmarkPlanIdle(b *testing.B) {
	l := scaleLeader(b)
	for b.Loop() {
		l.planOnce(b.Context())
	}
}
