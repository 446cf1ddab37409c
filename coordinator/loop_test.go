package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/replica"
	"mangohill.example/mangohill/rpcclient"
)

// noWorkers is a WorkerCaller that reaches no worker.
type noWorkers struct{}

func (noWorkers) Do(_ context.Context, order *dispatch.Order) dispatch.Answer {
	return dispatch.Answer{Order: *order}
}

// Guards against an engine that replaces another in the same term: the fencing token in
// its orders would not rule out starts of the other that are carried out late.
func TestAnEngineThatDivergedIsReplacedInALaterTerm(t *testing.T) {
	rpc := rpcclient.New(rpcclient.Options{})
	defer rpc.Close()
	c, err := Start(Options{
		Replica:  replica.Options{Name: "c1", Address: "127.0.0.1:1", DataDir: t.TempDir(), Bootstrap: true, Caller: rpc},
		Dispatch: dispatch.Settings{Lease: 8 * time.Second, MaxLease: 10 * time.Second}, Workers: noWorkers{}, Logger: zerolog.Nop(),
	})
	require.NoError(t, err)
	defer c.Stop()
	require.Eventually(t, c.leads, 30*time.Second, time.Millisecond)
	for _, result := range []commitResult{
		{result: []error{kind.Errorf(kind.NotFound, "worker 1 does not exist")}},
		{err: kind.Errorf(kind.BodyTooLarge, "a command of 2 bytes exceeds the limit of 1 bytes")},
	} {
		result.term = c.replica.Status().Term
		c.commits <- result
		require.Eventually(t, func() bool { return !c.serving.Load() }, 30*time.Second, time.Microsecond, "the engine must be dropped")
		require.Eventually(t, c.leads, 30*time.Second, time.Millisecond, "a member must lead again")
		assert.Greater(t, c.replica.Status().Term, result.term)
	}
}

// Guards against a leader that is behind and works on calls whose senders have left,
// while those that still wait run out of time.
func TestCallsThatNobodyWaitsForAreDropped(t *testing.T) {
	l := &loop{Coordinator: &Coordinator{metrics: newMetrics()}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var got error
	l.handleCall(pendingCall{ctx: ctx, call: &Call{ReadCatalog: true}, done: func(_ Result, err error) { got = err }})
	assert.True(t, kind.Is(got, kind.UnknownOutcome), "%v", got)
	assert.EqualValues(t, 1, l.metrics.expiredCalls.Value())
}

// Guards against a leader that cannot tell that the sender of a call has left.
func TestCallsCarryTheTimeThatIsLeft(t *testing.T) {
	g := newStubGroup(stableViews())
	c := startStubClient(t, g)
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout/2)
	defer cancel()
	go func() { _, _ = c.Do(ctx, &Call{ReadCatalog: true}) }() // The result is that of the stub.
	sent := <-g.calls
	sent.answer <- nil
	assert.Positive(t, sent.call.Budget)
	assert.LessOrEqual(t, sent.call.Budget, tryTimeout/2)
}
