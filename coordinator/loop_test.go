package coordinator

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/kind"
)

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
