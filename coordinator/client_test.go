package coordinator

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/boottime"
	"mangohill.example/mangohill/kind"
)

// unreachablePeers is a controlapi.Caller that answers no call.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, string, string, any, any) error {
	return kind.Errorf(kind.NoQuorum, "no answer")
}

// A call waits while an election may still be running. Once the group has been
// leaderless for longer than electionGracePeriod, it must fail without waiting.
func TestCallsAreRefusedAtOnceWithoutAQuorum(t *testing.T) {
	c := NewClient(ClientOptions{Seeds: []string{"a:1"}, Caller: unreachablePeers{}, Logger: zerolog.Nop()})
	waitsForLeader := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*retryDelay)
		defer cancel()
		_, err := c.Do(ctx, &Call{ReadCatalog: true})
		require.True(t, kind.Is(err, kind.NoQuorum), "%v", err)
		return ctx.Err() != nil
	}
	assert.True(t, waitsForLeader(), "the call waits while a leader may be elected")
	c.leaderlessSince = boottime.Now().Add(-2 * electionGracePeriod)
	assert.False(t, waitsForLeader())
	c.followLeader("a:1")
	c.forgetLeader("a:1")
	assert.True(t, waitsForLeader(), "the call waits because the leader was lost only now")
}
