package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/state"
	"mangohill.example/mangohill/workerapi"
	"mangohill.example/mangohill/workersync"
)

// rpcCaller calls a Service over a real net/rpc connection.
type rpcCaller struct{ client *rpc.Client }

func (c rpcCaller) Call(ctx context.Context, method string, args, reply any) error {
	call := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return kind.Errorf(kind.UnknownOutcome, "%s: %w", method, ctx.Err())
	}
}

// fixture runs a control service and one entry host.
type fixture struct {
	t       *testing.T
	store   *state.Store
	replica *singleReplica
	service *Service
	caller  rpcCaller
	entry   *httptest.Server
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	store := state.New()
	b := &fixture{t: t, store: store, replica: newSingleReplica(store)}
	b.service = New(Options{Replica: b.replica, Store: store, Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { b.service.Run(ctx); close(done) }()
	server := rpc.NewServer()
	require.NoError(t, b.service.Register(server))
	near, far := net.Pipe()
	go server.ServeConn(far)
	b.caller = rpcCaller{client: rpc.NewClient(near)}
	sync := workersync.New(workersync.Options{Entry: "entry-1", Caller: b.caller, Logger: zerolog.Nop()})
	syncDone := make(chan struct{})
	go func() { sync.Run(ctx); close(syncDone) }()
	b.entry = httptest.NewServer(sync.Handler())
	t.Cleanup(func() {
		cancel()
		<-syncDone
		b.entry.Close()
		<-done
		_ = b.caller.client.Close()
	})
	require.Eventually(t, func() bool { _, err := b.service.currentLeader(); return err == nil }, 10*time.Second, time.Millisecond)
	return b
}

func (b *fixture) command(text, file string) controlapi.CommandReply {
	b.t.Helper()
	var reply controlapi.CommandReply
	args := &controlapi.CommandArgs{ID: uuid.NewString(), Text: text, File: file}
	require.NoError(b.t, b.caller.client.Call("Control.Command", args, &reply))
	return reply
}

func (b *fixture) sync(worker string, request workerapi.SyncRequest) workerapi.SyncResponse {
	b.t.Helper()
	body, err := json.Marshal(request)
	require.NoError(b.t, err)
	response, err := http.Post(b.entry.URL+"/v1/workers/"+worker+"/sync", "application/json", bytes.NewReader(body))
	require.NoError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(b.t, http.StatusOK, response.StatusCode)
	var answer workerapi.SyncResponse
	require.NoError(b.t, json.NewDecoder(response.Body).Decode(&answer))
	return answer
}

// syncUntil repeats a sync until the answer contains a command with the given verb.
func (b *fixture) syncUntil(worker string, request workerapi.SyncRequest, verb string) (workerapi.SyncResponse, workerapi.Command) {
	b.t.Helper()
	for range 100 {
		answer := b.sync(worker, request)
		for _, c := range answer.Commands {
			if c.Verb == verb {
				return answer, c
			}
		}
		request.Full, request.Tasks = false, nil
		request.SentMs++
	}
	require.Fail(b.t, "no sync was answered with the command", "verb %s", verb)
	return workerapi.SyncResponse{}, workerapi.Command{}
}

func capacity(processors float64) *workerapi.Capacity {
	return &workerapi.Capacity{Processors: processors, MemoryBytes: 64 << 30}
}

func TestBatchJobRunsFromDeclarationToItsEnd(t *testing.T) {
	b := newFixture(t)
	require.Equal(t, kind.OutcomeDone, b.command("declare batch route-7 { processors 4 memory 8GiB }", "").Outcome)
	registration := workerapi.SyncRequest{Incarnation: 3, SentMs: 1000, FailureDomain: "pt-norte", Full: true, Capacity: capacity(16), HoldMs: 1000}
	answer, start := b.syncUntil("w1", registration, "start")
	assert.Equal(t, workerapi.Command{Task: "route-7", Epoch: 1, Verb: "start", Processors: 4, MemoryBytes: 8 << 30}, start)
	require.NotNil(t, answer.Lease)
	assert.GreaterOrEqual(t, answer.Lease.CountedFromSentMs, registration.SentMs)
	assert.Equal(t, int64(10_000), answer.Lease.DurationMs)

	b.sync("w1", workerapi.SyncRequest{Incarnation: 3, SentMs: 3000, Tasks: []workerapi.TaskStatus{{Task: "route-7", Epoch: 1, State: "running"}}})
	rows := b.command("show tasks where task = route-7", "").Rows
	require.Len(t, rows, 1)
	assert.Equal(t, "running", rows[0].Get("state"))
	assert.Equal(t, "w1", rows[0].Get("worker"))
	assert.NotEmpty(t, b.command("why route-7", "").Rows)

	b.sync("w1", workerapi.SyncRequest{Incarnation: 3, SentMs: 4000, Tasks: []workerapi.TaskStatus{{Task: "route-7", Epoch: 1, State: "finished"}}})
	why := fmt.Sprint(b.command("why route-7", "").Rows)
	assert.Contains(t, why, "finished after 1 attempts")
	assert.Contains(t, why, "last start: host w1 scored", "the explanation is kept after the task ends")
	assert.Equal(t, "finished", b.command("show tasks", "").Rows[0].Get("state"))
	assert.Equal(t, float64(0), b.command("show workers", "").Rows[0].Get("processors_committed"))
	assert.NotEmpty(t, b.command("show events since 10m", "").Rows)
}

func TestConfigurationIsSetByCompareAndSet(t *testing.T) {
	b := newFixture(t)
	text := "weights: {tail_latency: 5, evictions: 2, throughput: 1}\n"
	reply := b.command("set config from policy.yaml if version 1", text)
	assert.Equal(t, kind.OutcomeDone, reply.Outcome)
	assert.Equal(t, uint64(2), reply.Version)
	reply = b.command("set config from policy.yaml if version 1", text)
	assert.Equal(t, kind.VersionConflict, reply.Kind)
	assert.Equal(t, kind.OutcomeRefused, reply.Outcome)
	assert.Equal(t, kind.BadConfig, b.command("set config from policy.yaml if version 2", "weights: [").Kind)
	var current controlapi.ConfigReply
	require.NoError(t, b.caller.client.Call("Control.Config", &controlapi.ConfigArgs{}, &current))
	assert.Equal(t, controlapi.ConfigReply{Version: 2, Text: text}, current)
}

func TestClaimIsGrantedOnce(t *testing.T) {
	b := newFixture(t)
	claim := func(token string, digest uint64) controlapi.ClaimState {
		var reply controlapi.ClaimReply
		args := &controlapi.ClaimArgs{Service: "booking", Key: "k1", Token: token, Digest: digest}
		require.NoError(t, b.caller.client.Call("Control.Claim", args, &reply))
		return reply.State
	}
	assert.Equal(t, controlapi.ClaimGranted, claim("a", 7))
	assert.Equal(t, controlapi.ClaimGranted, claim("a", 7))
	assert.Equal(t, controlapi.ClaimHeld, claim("b", 7))
	assert.Equal(t, controlapi.ClaimMismatch, claim("b", 8))
	resolve := &controlapi.ResolveArgs{Service: "booking", Key: "k1", Token: "a", Result: controlapi.ClaimResult{Outcome: "done", Kept: true, Status: 201}}
	require.NoError(t, b.caller.client.Call("Control.Resolve", resolve, &controlapi.ResolveReply{}))
	assert.Equal(t, controlapi.ClaimResolved, claim("b", 7))
}
