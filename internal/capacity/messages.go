package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"mangohill.example/mangohill/burn"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/membership"
	"mangohill.example/mangohill/state"
	"mangohill.example/mangohill/types"
	"mangohill.example/mangohill/workerapi"
)

const (
	gib = int64(1) << 30
	// nowMs is the time in the messages, in milliseconds since the Unix epoch.
	nowMs = int64(1_796_000_000_000)
	// batch is the number of operations in a log entry at peak load.
	batch = StartsPerSecond / 10
	// payloadBytes is the size of the payload of a job.
	payloadBytes = 64
	// configVersion is the configuration version after a day of changes.
	configVersion = 260
)

// Messages returns the encoded sizes of messages and log entries in bytes. They depend
// only on the code, not on the machine.
func Messages() ([]Slope, error) {
	parts := []struct {
		name    string
		measure func() (float64, error)
	}{
		{"log entry: start, alone", func() (float64, error) { return entryBytes(start, 1) }},
		{"log entry: start, in a batch", func() (float64, error) { return entryBytes(start, batch) }},
		{"log entry: report, alone", func() (float64, error) { return entryBytes(running, 1) }},
		{"log entry: report, in a batch", func() (float64, error) { return entryBytes(running, batch) }},
		{"log entry: declaration, alone", func() (float64, error) { return entryBytes(declare, 1) }},
		{"log entry: claim, alone", func() (float64, error) { return entryBytes(claim, 1) }},
		{"exchange: request without renewals", func() (float64, error) { return exchangeRequest(0) }},
		{"exchange: each renewal", renewalBytes},
		{"exchange: idle answer", exchangeAnswer},
		{"usage of a task, entry host to leader", usageBytes},
		{"usage of a task, worker to entry host", usageSampleBytes},
		{"start of a task, leader to entry host", startCommandBytes},
		{"idle sync: request", syncRequestBytes},
		{"idle sync: answer", syncAnswerBytes},
		{"heartbeat among entry hosts", heartbeatBytes},
		{"burn counts of a service", burnBytes},
	}
	var slopes []Slope
	for _, part := range parts {
		value, err := part.measure()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", part.name, err)
		}
		slopes = append(slopes, Slope{part.name, value, UnitBytes})
	}
	return slopes, nil
}

func workerName(i int) string { return fmt.Sprintf("worker-%03d", i) }

func start(i int) state.Op {
	return state.Start{Task: types.TaskID(5000 + i), Worker: types.WorkerID(i % Workers), Epoch: 2, Reason: "best score"}
}

func running(i int) state.Op {
	return state.Report{
		Worker: types.WorkerID(i % Workers), Incarnation: 3, Task: types.TaskID(5000 + i), Epoch: 2, State: state.AttemptRunning,
	}
}

func declare(i int) state.Op {
	return state.Declare{Spec: types.JobSpec{
		Name: fmt.Sprintf("route-%05d", i), Kind: types.KindBatch, Class: "routing", Team: fmt.Sprintf("team-%d", i%Teams), Replicas: 1,
		ExpectedMs: 2_400_000, Request: types.Resources{MilliProcessors: 2000, MemoryBytes: 4 * gib}, Payload: make([]byte, payloadBytes),
	}}
}

func claim(int) state.Op { return state.Claim{Digest: 1 << 60, Token: 1 << 60} }

// entryBytes returns the bytes per operation of a log entry with count operations.
func entryBytes(op func(i int) state.Op, count int) (float64, error) {
	ops := make([]state.Op, 0, count)
	for i := range count {
		ops = append(ops, op(i))
	}
	data, err := state.Encode(nowMs, ops...)
	return float64(len(data)) / float64(count), err
}

func exchangeRequest(renewals int) (float64, error) {
	args := &controlapi.ExchangeArgs{Entry: "entry-1", ConfigVersion: configVersion, HoldMs: 1000}
	for i := range renewals {
		args.Renewals = append(args.Renewals, controlapi.Renewal{Worker: workerName(i), Incarnation: 3})
	}
	size, err := requestBytes("Control.Exchange", args)
	return float64(size), err
}

func renewalBytes() (float64, error) {
	without, err := exchangeRequest(0)
	if err != nil {
		return 0, err
	}
	with, err := exchangeRequest(workersPerEntry)
	return (with - without) / workersPerEntry, err
}

func exchangeAnswer() (float64, error) {
	reply := &controlapi.ExchangeReply{LeaseMs: 10_000, HoldMs: 3000, UsageMs: 10_000, ConfigVersion: configVersion, Term: 7}
	size, err := answerBytes("Control.Exchange", reply)
	return float64(size), err
}

func startCommandBytes() (float64, error) {
	reply := &controlapi.ExchangeReply{LeaseMs: 10_000, HoldMs: 3000, UsageMs: 10_000, ConfigVersion: configVersion, Term: 7}
	for i := range batch {
		reply.Commands = append(reply.Commands, controlapi.WorkerCommand{
			Worker: workerName(i), Incarnation: 3, Task: fmt.Sprintf("route-%05d", i), Epoch: 1, Verb: controlapi.VerbStart, Class: "routing",
			Request: types.Resources{MilliProcessors: 2000, MemoryBytes: 4 * gib}, Payload: make([]byte, payloadBytes),
		})
	}
	size, err := answerBytes("Control.Exchange", reply)
	if err != nil {
		return 0, err
	}
	idle, err := exchangeAnswer()
	return (float64(size) - idle) / batch, err
}

func usageBytes() (float64, error) {
	report := &controlapi.ReportArgs{Entry: "entry-1"}
	for i := range workersPerEntry {
		w := controlapi.WorkerReport{Worker: workerName(i), Incarnation: 3}
		for j := range tasksPerWorker {
			w.Usage = append(w.Usage, controlapi.UsageReport{
				Task: fmt.Sprintf("route-%05d", i*tasksPerWorker+j), Epoch: 2, AgeMs: 9000, MilliProcessors: 11_500,
				MemoryBytes: 6 * gib, ProgressMilli: 400,
			})
		}
		report.Syncs = append(report.Syncs, w)
	}
	size, err := requestBytes("Control.Report", report)
	return float64(size) / (workersPerEntry * tasksPerWorker), err
}

func usageSampleBytes() (float64, error) {
	sample := workerapi.UsageSample{
		Task: "route-05000", Epoch: 2, TakenMs: 81_225_000, Processors: 11.5, MemoryBytes: 6 * gib, Progress: 0.4,
	}
	data, err := json.Marshal(sample)
	return float64(len(data) + len(",")), err
}

// syncRequestBytes returns the bytes of a sync request, including the HTTP header.
func syncRequestBytes() (float64, error) {
	body, err := json.Marshal(workerapi.SyncRequest{Incarnation: 3, SentMs: 81_234_000, HoldMs: 3000})
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://10.0.0.11:8081/v1/workers/worker-001/sync", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	var out byteCounter
	err = request.Write(&out)
	return float64(out.bytes), err
}

// syncAnswerBytes returns the bytes of an answer to a sync, including the HTTP header
// with the fields that net/http adds.
func syncAnswerBytes() (float64, error) {
	body, err := json.Marshal(workerapi.SyncResponse{
		Lease: &workerapi.Lease{CountedFromSentMs: 81_234_000, DurationMs: 10_000}, UsageMs: 10_000,
	})
	if err != nil {
		return 0, err
	}
	header := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: " + time.Unix(0, 0).UTC().Format(http.TimeFormat) +
		fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", len(body))
	return float64(len(header) + len(body)), nil
}

func heartbeatBytes() (float64, error) {
	beat := membership.Heartbeat{
		Name: "entry-1", Peers: "10.0.0.11:7400", Callers: "10.0.0.11:8080", Beat: membership.BaseBeat(uint64(nowMs/1000)) + sequence,
		Token: 1 << 60, ConfigVersion: configVersion,
		Loads: []membership.ServiceLoad{{Service: "quote", Slots: 65, Free: 20}, {Service: "booking", Slots: 65, Free: 20}},
	}
	for i := range EntryHosts - 1 {
		beat.Heard = append(beat.Heard, membership.Heard{ID: uint32(1<<31 + i), Beat: beat.Beat})
	}
	data, err := beat.Encode()
	return float64(len(data)), err
}

// burnBytes returns the bytes of the error budget counts of a service that had
// requests in all time windows.
func burnBytes() (float64, error) {
	const (
		requests = 200_000
		interval = 1500 * time.Millisecond
		// latencies is the number of distinct latencies.
		latencies = 200
	)
	now := time.UnixMilli(nowMs)
	recorder := burn.NewRecorder("entry-1", now)
	for i := range requests {
		now = now.Add(interval)
		recorder.Observe(now, "quote", time.Duration(5+i*i%latencies)*time.Millisecond, kind.OutcomeDone, http.StatusOK)
	}
	data, err := recorder.Snapshot(now).Encode()
	return float64(len(data)), err
}
