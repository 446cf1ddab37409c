package coordinator

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/rpcclient"
)

// latentConn passes on what is written after a delay, or nothing while it is mute.
type latentConn struct {
	net.Conn
	delay   time.Duration
	mute    *atomic.Bool
	buffer  chan latentBytes
	closing sync.Once
	closed  chan struct{}
}

type latentBytes struct {
	data []byte
	at   time.Time
}

func newLatentConn(conn net.Conn, delay time.Duration, mute *atomic.Bool) *latentConn {
	c := &latentConn{Conn: conn, delay: delay, mute: mute, buffer: make(chan latentBytes, 1<<10), closed: make(chan struct{})}
	go c.pass()
	return c
}

func (c *latentConn) Write(p []byte) (int, error) {
	select {
	case c.buffer <- latentBytes{append([]byte(nil), p...), time.Now().Add(c.delay)}:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *latentConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *latentConn) pass() {
	for {
		select {
		case b := <-c.buffer:
			time.Sleep(time.Until(b.at))
			if c.mute.Load() {
				continue
			}
			if _, err := c.Conn.Write(b.data); err != nil {
				return // The connection is closed.
			}
		case <-c.closed:
			return
		}
	}
}

// Guards against entry hosts that are all not ready, and know no leader, although one leads and is
// confirmed: its answers to polls take longer than pollTimeout, as it is short of processor time, and
// were thrown away.
func TestALeaderThatAnswersPollsSlowlyIsKept(t *testing.T) {
	for _, delay := range []time.Duration{100, 290, 310, 400, 700} {
		synctest.Test(t, func(t *testing.T) {
			leader, server := new(stubLeader), rpc.NewServer()
			require.NoError(t, server.RegisterName(serviceName, leader))
			dials, mute := new(atomic.Int64), new(atomic.Bool)
			caller := rpcclient.New(rpcclient.Options{Dial: func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				dials.Add(1)
				go server.ServeConn(far)
				return newLatentConn(near, delay*time.Millisecond, mute), nil
			}})
			c := NewClient(ClientOptions{Seeds: []string{"a:1"}, Caller: caller, Logger: zerolog.Nop(), Now: time.Now})
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				caller.Close()
				time.Sleep(10 * time.Second) // What is on its way ends.
			}()
			go c.Run(ctx)
			time.Sleep(3 * time.Second)
			unconfirmed, leaderless := 0, 0
			const checks = 1000
			for range checks {
				time.Sleep(10 * time.Millisecond)
				if !c.ConfirmedWithin(electionGracePeriod) {
					unconfirmed++
				}
				if c.Leader() == "" {
					leaderless++
				}
			}
			t.Logf("answers take %v ms: not confirmed in %d and no leader in %d of %d checks, %d dials", int64(delay), unconfirmed, leaderless, checks, dials.Load())
			assert.Zero(t, unconfirmed)
			assert.Zero(t, leaderless)
			mute.Store(true)
			startedAt := time.Now()
			for c.Leader() != "" && time.Since(startedAt) < 5*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			assert.Less(t, time.Since(startedAt), delay*time.Millisecond+pollInterval+pollTimeout+searchInterval, "a leader that answers nothing is lost soon")
			assert.Empty(t, c.Leader(), "a leader that answers nothing is lost as soon as before")
		})
	}
}
