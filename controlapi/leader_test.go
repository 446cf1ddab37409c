package controlapi

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
)

// recordingCaller records the addresses that it is asked to call. The member at leader
// answers, unless held is set; the others refer to it.
type recordingCaller struct {
	leader  string
	held    bool
	arrived chan struct{}
	called  []string
}

func (r *recordingCaller) Call(ctx context.Context, address, _ string, _, _ any) error {
	r.called = append(r.called, address)
	if address != r.leader {
		return kind.Errorf(kind.NotLeader, "%s", r.leader)
	}
	if r.held {
		close(r.arrived)
		<-ctx.Done()
		return kind.Errorf(kind.UnknownOutcome, "%w", ctx.Err())
	}
	return nil
}

// Guards against calls that search for the leader because the caller of another one left.
func TestACallerThatLeavesDoesNotLoseTheLeader(t *testing.T) {
	caller := &recordingCaller{leader: "c:1", arrived: make(chan struct{})}
	c := NewLeaderClient(caller, []string{"a:1", "b:1", "c:1"})
	_, err := Call[struct{}](context.Background(), c, "M", nil)
	require.NoError(t, err)

	caller.held = true
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-caller.arrived
		leave()
	}()
	_, err = Call[struct{}](ctx, c, "M", nil)
	require.True(t, kind.Is(err, kind.UnknownOutcome), "%v", err)

	caller.held, caller.called = false, nil
	_, err = Call[struct{}](context.Background(), c, "M", nil)
	require.NoError(t, err)
	assert.Equal(t, []string{"c:1"}, caller.called)
}
