package capacity

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/rpc"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/burn"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/membership"
	"mangohill.example/mangohill/platform"
	"mangohill.example/mangohill/state"
	"mangohill.example/mangohill/types"
)

// Sizes that docs/CAPACITY.md plans for.
const (
	workers         = 560
	tasks           = 11_300
	entryHosts      = 8
	workersPerEntry = workers / entryHosts
	startsPerSecond = 200
	// tasksPerWorker is the mean number of attempts on a worker.
	tasksPerWorker = tasks / workers
)

const (
	gib      = int64(1) << 30
	nowMs    = int64(1_796_000_000_000)
	jobBytes = 64
)

// discard answers like a peer that takes everything, and counts what it gets.
type discard struct{ bytes int }

func (d *discard) Write(p []byte) (int, error) {
	d.bytes += len(p)
	return len(p), nil
}

// rpcBytes returns the bytes of one call in each direction.
func rpcBytes(method string, args, reply any) (sent, received int64) {
	sent = gobBytes(&rpc.Request{ServiceMethod: method, Seq: 100_000}, args)
	received = gobBytes(&rpc.Response{ServiceMethod: method, Seq: 100_000}, reply)
	return sent, received
}

func apply(b *testing.B, store *state.Store, index uint64, ops ...state.Op) int {
	b.Helper()
	data, err := state.Encode(nowMs, ops...)
	require.NoError(b, err)
	results, ok := store.Apply(index, data).([]state.Result)
	require.True(b, ok)
	for _, result := range results {
		require.NoError(b, result.Failure())
	}
	return len(data)
}

func register(i int) state.Register {
	return state.Register{
		Worker: workerName(i), Incarnation: 3, FailureDomain: fmt.Sprintf("domain-%d", i%5), Rack: fmt.Sprintf("rack-%d", i/8),
		Capacity: types.Resources{MilliProcessors: 64_000, MemoryBytes: 250 * gib, Accelerators: 2},
	}
}

func workerName(i int) string { return fmt.Sprintf("worker-%03d", i) }

func declare(i int) state.Declare {
	return state.Declare{Spec: types.JobSpec{
		Name: fmt.Sprintf("route-%05d", i), Kind: types.KindBatch, Class: "routing", Team: fmt.Sprintf("team-%d", i%23), Replicas: 1,
		ExpectedMs: 2_400_000, Request: types.Resources{MilliProcessors: 2000, MemoryBytes: 4 * gib}, Payload: make([]byte, jobBytes),
	}}
}

// fill brings a store to the planned size and returns the heap that it took.
func fill(b *testing.B, store *state.Store) (heapBytes uint64) {
	b.Helper()
	before := heap()
	index := uint64(0)
	next := func(ops ...state.Op) {
		index++
		apply(b, store, index, ops...)
	}
	for i := range workers {
		next(register(i))
	}
	for i := range tasks {
		next(declare(i))
	}
	list := store.Tasks()
	hosts := store.Workers()
	for i, task := range list {
		host := hosts[i%len(hosts)]
		next(state.Start{Task: task.ID, Worker: host.ID, Epoch: 1, Reason: "best score"})
		next(state.Report{Worker: host.ID, Incarnation: 3, Task: task.ID, Epoch: 1, State: state.AttemptRunning})
	}
	return heap() - before
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkState(b *testing.B) {
	for range b.N {
		store := state.New()
		heapBytes := fill(b, store)
		snapshot, err := store.Snapshot()
		require.NoError(b, err)
		b.ReportMetric(float64(heapBytes), "heap-B")
		b.ReportMetric(float64(heapBytes)/tasks, "heap-B/task")
		b.ReportMetric(float64(len(snapshot)), "snapshot-B")
		b.ReportMetric(float64(len(snapshot))/tasks, "snapshot-B/task")
		runtime.KeepAlive(store)
	}
}

// BenchmarkEntryBytes gives the bytes of log entries: one operation alone, and
// its share of a batch of a tenth of a second at the peak.
func BenchmarkEntryBytes(b *testing.B) {
	const batch = startsPerSecond / 10
	ops := map[string]func(i int) state.Op{
		"start": func(i int) state.Op {
			return state.Start{Task: types.TaskID(5000 + i), Worker: types.WorkerID(i % workers), Epoch: 2, Reason: "best score"}
		},
		"running": func(i int) state.Op {
			return state.Report{Worker: types.WorkerID(i % workers), Incarnation: 3, Task: types.TaskID(5000 + i), Epoch: 2, State: state.AttemptRunning}
		},
		"declare": func(i int) state.Op { return declare(i) },
		"claim": func(i int) state.Op {
			return state.Claim{Digest: 1 << 60, Token: 1 << 60}
		},
	}
	for name, op := range ops {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				alone, err := state.Encode(nowMs, op(0))
				require.NoError(b, err)
				list := make([]state.Op, 0, batch)
				for i := range batch {
					list = append(list, op(i))
				}
				together, err := state.Encode(nowMs, list...)
				require.NoError(b, err)
				b.ReportMetric(float64(len(alone)), "B-alone")
				b.ReportMetric(float64(len(together))/batch, "B-in-batch")
			}
		})
	}
}

// BenchmarkApplyStart gives the time to apply a start and the report that it
// runs, at the planned size.
func BenchmarkApplyStart(b *testing.B) {
	store := state.New()
	fill(b, store)
	hosts := store.Workers()
	index := uint64(1_000_000)
	b.ResetTimer()
	for i := range b.N {
		b.StopTimer()
		index++
		apply(b, store, index, state.Declare{Spec: types.JobSpec{
			Name: fmt.Sprintf("extra-%d", i), Kind: types.KindBatch, Replicas: 1, Request: types.Resources{MilliProcessors: 1, MemoryBytes: 1},
		}})
		list := store.JobTasks(fmt.Sprintf("extra-%d", i))
		task, host := list[0], hosts[i%len(hosts)]
		b.StartTimer()
		index++
		apply(b, store, index, state.Start{Task: task.ID, Worker: host.ID, Epoch: 1, Reason: "best score"})
		index++
		apply(b, store, index, state.Report{Worker: host.ID, Incarnation: 3, Task: task.ID, Epoch: 1, State: state.AttemptFinished})
	}
}

// BenchmarkExchangeBytes gives the bytes of an entry host's digest to the
// leader, without TCP and IP.
func BenchmarkExchangeBytes(b *testing.B) {
	for _, renewals := range []int{0, workersPerEntry} {
		b.Run(fmt.Sprintf("renewals=%d", renewals), func(b *testing.B) {
			args := &controlapi.ExchangeArgs{Entry: "entry-1", ConfigVersion: 260, HoldMs: 1000}
			for i := range renewals {
				args.Renewals = append(args.Renewals, controlapi.Renewal{Worker: workerName(i), Incarnation: 3})
			}
			reply := &controlapi.ExchangeReply{LeaseMs: 10_000, HoldMs: 3000, UsageMs: 10_000, ConfigVersion: 260, Term: 7}
			for range b.N {
				sent, received := rpcBytes("Control.Exchange", args, reply)
				b.ReportMetric(float64(sent), "B-sent")
				b.ReportMetric(float64(received), "B-received")
			}
		})
	}
}

// BenchmarkUsageBytes gives the bytes of a worker's usage in a report to the
// leader.
func BenchmarkUsageBytes(b *testing.B) {
	report := &controlapi.ReportArgs{Entry: "entry-1"}
	for i := range workersPerEntry {
		w := controlapi.WorkerReport{Worker: workerName(i), Incarnation: 3}
		for j := range tasksPerWorker {
			w.Usage = append(w.Usage, controlapi.UsageReport{
				Task: fmt.Sprintf("route-%05d", i*tasksPerWorker+j), Epoch: 2, AgeMs: 9000, MilliProcessors: 11_500, MemoryBytes: 6 * gib, ProgressMilli: 400,
			})
		}
		report.Syncs = append(report.Syncs, w)
	}
	for range b.N {
		sent, _ := rpcBytes("Control.Report", report, &controlapi.ReportReply{})
		b.ReportMetric(float64(sent)/(workersPerEntry*tasksPerWorker), "B/task")
	}
}

// BenchmarkUsageSampleBytes gives the bytes of one task in the usage that a
// worker sends to its entry host.
func BenchmarkUsageSampleBytes(b *testing.B) {
	for range b.N {
		sample := platform.UsageSample{Task: "route-05000", Epoch: 2, TakenMs: 81_225_000, Processors: 11.5, MemoryBytes: 6 * gib, Progress: 0.4}
		data, err := json.Marshal(sample)
		require.NoError(b, err)
		b.ReportMetric(float64(len(data)+1), "B/task")
	}
}

// BenchmarkHeartbeatBytes gives the bytes of a heartbeat among the planned number
// of entry hosts, without UDP and IP.
func BenchmarkHeartbeatBytes(b *testing.B) {
	beat := membership.Heartbeat{
		Name: "entry-1", Peers: "10.0.0.11:7400", Callers: "10.0.0.11:8080", Beat: membership.FirstBeat(uint64(nowMs/1000)) + 100_000,
		Token: 1 << 60, ConfigVersion: 260,
	}
	for i := range entryHosts - 1 {
		beat.Heard = append(beat.Heard, membership.Heard{ID: uint32(1<<31 + i), Beat: beat.Beat})
	}
	beat.Loads = []membership.ServiceLoad{{Service: "quote", Slots: 65, Free: 20}, {Service: "booking", Slots: 65, Free: 20}}
	for range b.N {
		data, err := beat.Encode()
		require.NoError(b, err)
		b.ReportMetric(float64(len(data)), "B")
	}
}

// BenchmarkSyncBytes gives the bytes of a worker's idle sync, HTTP headers
// included, without TCP and IP.
func BenchmarkSyncBytes(b *testing.B) {
	for range b.N {
		body, err := json.Marshal(platform.SyncRequest{Incarnation: 3, SentMs: 81_234_000, HoldMs: 3000})
		require.NoError(b, err)
		request, err := http.NewRequest(http.MethodPost, "http://10.0.0.11:8081/v1/workers/worker-001/sync", bytes.NewReader(body))
		require.NoError(b, err)
		request.Header.Set("Content-Type", "application/json")
		var sent discard
		require.NoError(b, request.Write(&sent))
		answer, err := json.Marshal(platform.SyncAnswer{Lease: &platform.Lease{CountedFromSentMs: 81_234_000, DurationMs: 10_000}, UsageMs: 10_000})
		require.NoError(b, err)
		b.ReportMetric(float64(sent.bytes), "B-request")
		b.ReportMetric(float64(answerBytes(b, answer)), "B-answer")
	}
}

// answerBytes returns the bytes of an answer as net/http writes it.
func answerBytes(b *testing.B, body []byte) int {
	b.Helper()
	response := &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)), Body: http.NoBody,
		Header: http.Header{"Content-Type": {"application/json"}, "Date": {time.Unix(0, 0).UTC().Format(http.TimeFormat)}},
	}
	response.ContentLength = 0
	var out discard
	writer := bufio.NewWriter(&out)
	require.NoError(b, response.Write(writer))
	require.NoError(b, writer.Flush())
	return out.bytes + len(body)
}

// BenchmarkBurnSet gives the bytes of one service's counts in the answer to a
// burn report, and the heap that they take.
func BenchmarkBurnSet(b *testing.B) {
	for range b.N {
		start := time.Unix(nowMs/1000, 0)
		before := heap()
		recorder := burn.NewRecorder("entry-1", start)
		now := start
		for i := range 200_000 {
			now = now.Add(1500 * time.Millisecond)
			recorder.Observe(now, "quote", time.Duration(5+i*i%200)*time.Millisecond, kind.OutcomeDone, http.StatusOK)
		}
		b.ReportMetric(float64(heap()-before), "heap-B/service")
		data, err := recorder.Set(now).Encode()
		require.NoError(b, err)
		b.ReportMetric(float64(len(data)), "B/service")
		runtime.KeepAlive(recorder)
	}
}
