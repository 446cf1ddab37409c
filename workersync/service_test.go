package workersync

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workerapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stubLeader answers each renewal with session, the first exchange with commands, and
// reports with the result of report.
type stubLeader struct {
	mu       sync.Mutex
	session  uint64
	commands []controlapi.WorkerCommand
	report   func(*controlapi.ReportArgs) (controlapi.ReportReply, error)
	reports  []controlapi.WorkerReport
}

func (l *stubLeader) Call(ctx context.Context, _ string, args, reply any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch args := args.(type) {
	case *controlapi.ExchangeArgs:
		out := controlapi.ExchangeReply{LeaseMs: 8000, HoldMs: 3000, UsageMs: 10_000, Commands: l.commands}
		for range args.Renewals {
			out.Sessions = append(out.Sessions, l.session)
		}
		l.commands = nil
		*reply.(*controlapi.ExchangeReply) = out
	case *controlapi.ReportArgs:
		l.reports = append(l.reports, args.Syncs...)
		if l.report == nil {
			return nil
		}
		out, err := l.report(args)
		*reply.(*controlapi.ReportReply) = out
		return err
	}
	return ctx.Err()
}

func startService(t *testing.T, leader Caller) (*Service, *httptest.Server) {
	t.Helper()
	s := New(Options{Entry: "entry-1", Caller: leader, Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		cancel()
		<-done
		server.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return s, server
}

func post(t *testing.T, server *httptest.Server, request workerapi.SyncRequest) (int, workerapi.SyncResponse) {
	t.Helper()
	body, err := json.Marshal(request)
	require.NoError(t, err)
	response, err := http.Post(server.URL+"/v1/workers/w1/sync", "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var answer workerapi.SyncResponse
	require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
	return response.StatusCode, answer
}

func fullSync(sentMs int64) workerapi.SyncRequest {
	return workerapi.SyncRequest{Incarnation: 3, SentMs: sentMs, Full: true, HoldMs: 5000, Capacity: &workerapi.Capacity{Processors: 8}}
}

func TestFirstSyncIsAnsweredWithItsLease(t *testing.T) {
	_, server := startService(t, &stubLeader{session: 1})
	status, answer := post(t, server, fullSync(100))
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, &workerapi.Lease{CountedFromSentMs: 100, DurationMs: 8000}, answer.Lease)
	assert.Equal(t, int64(10_000), answer.UsageMs)
}

func TestSyncIsAnsweredOnlyAfterItsReport(t *testing.T) {
	leader := &stubLeader{session: 1, report: func(*controlapi.ReportArgs) (controlapi.ReportReply, error) {
		return controlapi.ReportReply{}, kind.Errorf(kind.UnknownOutcome, "no answer")
	}}
	_, server := startService(t, leader)
	status, _ := post(t, server, fullSync(100))
	assert.Equal(t, http.StatusServiceUnavailable, status)
}

func TestStaleAndUnknownIncarnations(t *testing.T) {
	leader := &stubLeader{}
	_, server := startService(t, leader)
	_, answer := post(t, server, workerapi.SyncRequest{Incarnation: 3, SentMs: 1, HoldMs: 5000})
	assert.True(t, answer.Resync, "the leader refuses the renewal of an unknown worker")
	status, _ := post(t, server, workerapi.SyncRequest{Incarnation: 2, SentMs: 1})
	assert.Equal(t, http.StatusConflict, status)
	leader.mu.Lock()
	leader.report = func(args *controlapi.ReportArgs) (controlapi.ReportReply, error) {
		return controlapi.ReportReply{Stale: []string{"w1"}}, nil
	}
	leader.mu.Unlock()
	status, _ = post(t, server, fullSync(2))
	assert.Equal(t, http.StatusConflict, status)
}

func TestMalformedSyncsAreRefused(t *testing.T) {
	_, server := startService(t, &stubLeader{session: 1})
	malformed := []workerapi.SyncRequest{
		{Incarnation: 1, Full: true},
		{Incarnation: 1, State: "asleep"},
		{Incarnation: 1, Full: true, Capacity: &workerapi.Capacity{Processors: -1}},
		{Incarnation: 1, Tasks: []workerapi.TaskStatus{{Task: "t", State: "dreaming"}}},
	}
	for _, request := range malformed {
		status, _ := post(t, server, request)
		assert.Equal(t, http.StatusBadRequest, status)
	}
	response, err := http.Get(server.URL + "/v1/workers/w1/sync")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusMethodNotAllowed, response.StatusCode)
}

func TestLeavingWorkerRegistersAgain(t *testing.T) {
	leader := &stubLeader{session: 1}
	_, server := startService(t, leader)
	post(t, server, fullSync(1))
	leaving := workerapi.SyncRequest{Incarnation: 3, SentMs: 2, State: "leaving", Capacity: &workerapi.Capacity{Processors: 8}}
	post(t, server, leaving)
	require.Len(t, leader.reports, 2)
	assert.True(t, leader.reports[1].Registration.Leaving)
	leaving.SentMs = 3
	post(t, server, leaving)
	assert.Len(t, leader.reports, 2, "the leaving state is registered once")
}

// newWaitingSync returns a service without sockets and a waiting sync of its only worker.
func newWaitingSync(t *testing.T) (*Service, *pendingSync) {
	t.Helper()
	s := New(Options{Entry: "entry-1"})
	waiting, err := s.admit("w1", &workerapi.SyncRequest{Incarnation: 3, SentMs: 100})
	require.NoError(t, err)
	s.recordRenewal(waiting.worker, &workerapi.SyncRequest{SentMs: 100, HoldMs: 1000})
	return s, waiting
}

func exchangeWith(s *Service, session uint64, commands ...controlapi.WorkerCommand) {
	args, sent := s.buildExchange()
	reply := &controlapi.ExchangeReply{LeaseMs: 8000, Commands: commands}
	for range args.Renewals {
		reply.Sessions = append(reply.Sessions, session)
	}
	s.applyReply(sent, reply)
}

func startCommand(session uint64) controlapi.WorkerCommand {
	return controlapi.WorkerCommand{Worker: "w1", Incarnation: 3, Session: session, Task: "t", Epoch: 1, Verb: controlapi.VerbStart}
}

func TestCommandWaitsForTheGrantOfTheSyncThatIsAnswered(t *testing.T) {
	s, waiting := newWaitingSync(t)
	s.deliver(&controlapi.WorkerCommand{Worker: "w1", Incarnation: 3, Session: 1, Task: "t", Epoch: 1, Verb: controlapi.VerbStart})
	assert.False(t, s.canAnswer(waiting))
	exchangeWith(s, 1)
	assert.True(t, s.canAnswer(waiting))
	assert.Len(t, s.answer(waiting).Commands, 1)

	exchangeWith(s, 1, startCommand(1))
	next, err := s.admit("w1", &workerapi.SyncRequest{Incarnation: 3, SentMs: 200})
	require.NoError(t, err)
	s.recordRenewal(next.worker, &workerapi.SyncRequest{SentMs: 200, HoldMs: 1000})
	assert.Empty(t, s.answer(next).Commands, "the lease was granted for an earlier sync")
}

func TestCommandOfAnEarlierSessionIsNotHandedOver(t *testing.T) {
	s, waiting := newWaitingSync(t)
	s.deliver(&controlapi.WorkerCommand{Worker: "w1", Incarnation: 3, Session: 1, Task: "t", Epoch: 1, Verb: controlapi.VerbStart})
	exchangeWith(s, 2)
	assert.Empty(t, s.answer(waiting).Commands)
}

func TestUnchangedUsageIsNotForwarded(t *testing.T) {
	filter := newUsageFilter()
	begin := time.Unix(1000, 0)
	sample := controlapi.UsageReport{Task: "t", Epoch: 1, MilliProcessors: 1000, MemoryBytes: 1 << 30}
	assert.Len(t, filter.selectChanged(begin, []controlapi.UsageReport{sample}), 1)
	sample.MilliProcessors = 1100
	assert.Empty(t, filter.selectChanged(begin.Add(10*time.Second), []controlapi.UsageReport{sample}))
	sample.MilliProcessors = 1200
	assert.Len(t, filter.selectChanged(begin.Add(20*time.Second), []controlapi.UsageReport{sample}), 1)
	assert.Len(t, filter.selectChanged(begin.Add(20*time.Second+usageRefreshInterval), []controlapi.UsageReport{sample}), 1)
	sample.Epoch = 2
	assert.Len(t, filter.selectChanged(begin.Add(21*time.Second+usageRefreshInterval), []controlapi.UsageReport{sample}), 1)
}

// The leader must not hold an exchange with a renewal that a command waits for, or
// with a worker's first renewal.
func TestExchangeThatAWorkerWaitsForIsNotHeld(t *testing.T) {
	s := New(Options{Entry: "entry-1", Logger: zerolog.Nop()})
	lease := &workerapi.Lease{CountedFromSentMs: 1, DurationMs: 8000}
	w := &workerState{incarnation: 1, seenAt: s.now(), lease: lease, session: 1, sentMs: 2, renewalPending: true, wake: make(chan struct{}, 1)}
	s.workers["w1"] = w
	idle, _ := s.buildExchange()
	assert.Equal(t, maxExchangeHold.Milliseconds(), idle.HoldMs)

	w.renewalPending = true
	s.deliver(&controlapi.WorkerCommand{Worker: "w1", Incarnation: 1, Session: 1, Task: "urgent", Epoch: 1, Verb: controlapi.VerbStart})
	waiting, _ := s.buildExchange()
	assert.Zero(t, waiting.HoldMs, "the command is delivered once this renewal is granted")

	s.workers["w2"] = &workerState{incarnation: 1, seenAt: s.now(), sentMs: 2, renewalPending: true, wake: make(chan struct{}, 1)}
	first, _ := s.buildExchange()
	assert.Zero(t, first.HoldMs, "the worker may not start tasks without its first lease")
}

func TestReportedUsageStaysWithinBounds(t *testing.T) {
	sample := workerapi.UsageSample{Task: "t", TakenMs: -1 << 62, Processors: 1e300, MemoryBytes: -5, LatencyP99Ms: -1, Progress: 0.4}
	usage := usageOf(&sample, 1<<62)
	assert.Equal(t, controlapi.UsageReport{Task: "t", MilliProcessors: maxUsageValue, ProgressMilli: 400}, usage)
}

// The interval of usage reports grows with the number of tasks, so that an entry host
// stays within its usage budget.
func TestUsageStaysWithinItsBudget(t *testing.T) {
	s := New(Options{Entry: "entry-1", Logger: zerolog.Nop()})
	s.usageMs = 10_000
	reportUsage := func(tasks int) int64 {
		sync := &workerapi.SyncRequest{Incarnation: 1, SentMs: 1}
		for range tasks {
			sync.Usage = append(sync.Usage, workerapi.UsageSample{Task: "t", Epoch: 1})
		}
		waiting, err := s.admit("w1", sync)
		require.NoError(t, err)
		s.reportOf("w1", waiting.worker, sync)
		s.buildExchange()
		return s.answer(waiting).UsageMs
	}
	assert.EqualValues(t, 10_000, reportUsage(20))
	interval := reportUsage(1413)
	assert.LessOrEqual(t, 1413*usageSampleBytes*1000/interval, int64(usageBudgetBytesPerSecond)+1)
	assert.Equal(t, interval, reportUsage(0), "a sync without usage does not change the interval")
}

func TestSyncThatWaitsIsOrderedAfterOneThatDoesNot(t *testing.T) {
	s, waiting := newWaitingSync(t)
	sync := &workerapi.SyncRequest{SentMs: 200}
	s.recordRenewal(waiting.worker, sync)
	before := waiting.worker.order()
	sync.HoldMs = 1000
	s.recordRenewal(waiting.worker, sync)
	assert.Greater(t, waiting.worker.order(), before)
}
