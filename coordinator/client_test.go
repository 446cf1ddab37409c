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

// silent is a caller whose peers do not answer.
type silent struct{}

func (silent) Call(context.Context, string, string, any, any) error {
	return kind.Errorf(kind.NoQuorum, "no answer")
}

// TestCallsAreRefusedAtOnceWithoutAQuorum: waiting helps while a leader is being
// elected, and later only keeps the caller from its answer.
func TestCallsAreRefusedAtOnceWithoutAQuorum(t *testing.T) {
	c := NewClient(ClientOptions{Seeds: []string{"a:1"}, Caller: silent{}, Logger: zerolog.Nop()})
	waits := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*retryPause)
		defer cancel()
		_, err := c.Do(ctx, &Call{ReadCatalog: true})
		require.True(t, kind.Is(err, kind.NoQuorum), "%v", err)
		return ctx.Err() != nil
	}
	assert.True(t, waits(), "a leader may be elected")
	c.lostAt = boottime.Now().Add(-2 * electionTime)
	assert.False(t, waits())
	c.follow("a:1")
	c.forget("a:1")
	assert.True(t, waits(), "the leader was lost just now")
}
