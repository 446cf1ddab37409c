package coordinator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// slowLink passes calls to a leader one after the other over the link of their sender. A
// configuration takes catalogTime.
type slowLink struct {
	catalogTime time.Duration
	mu          sync.Mutex
	freeAt      time.Time
	catalogs    int
}

func (l *slowLink) Call(ctx context.Context, _, _ string, args, reply any) error {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Millisecond)
	if call, ok := args.(*Call); ok && call.SetCatalog != nil {
		l.catalogs++
		l.freeAt = l.freeAt.Add(l.catalogTime)
	}
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return kind.Errorf(kind.UnknownOutcome, "%w", ctx.Err())
	}
	if reply, ok := reply.(*MembersReply); ok {
		*reply = MembersReply{Leader: "a:1", Term: 1, Addresses: []string{"a:1", "b:1"}, HasCatalog: true}
	}
	return nil
}

// Guards against a configuration that ends its own transmission: the polls of the members wait
// behind it, the leader is taken for lost, and all calls to it are cancelled and repeated.
func TestALargeConfigurationIsNotCancelledByItsOwnTransmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &slowLink{catalogTime: tryTimeout - minTryTime/2}
		c := NewClient(ClientOptions{Seeds: []string{"a:1", "b:1"}, Caller: link, Logger: zerolog.Nop(), Now: time.Now})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.Run(ctx)
		time.Sleep(time.Second)
		require.Equal(t, "a:1", c.Leader())
		for range 5 {
			callCtx, cancelCall := context.WithTimeout(ctx, 900*time.Millisecond)
			_, err := c.Do(callCtx, &Call{SetCatalog: &workflow.Catalog{Version: 1}})
			cancelCall()
			assert.NoError(t, err)
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, 5, link.catalogs, "each configuration is sent once")
	})
}
