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

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/rpcclient"
	"mangohill.example/mangohill/workflow"
)

// slowConn takes what is written at once, like a socket with a large buffer, and passes it on at a
// time per byte.
type slowConn struct {
	net.Conn
	perByte time.Duration
	buffer  chan []byte
	carried *atomic.Int64
	closing sync.Once
	closed  chan struct{}
}

func newSlowConn(conn net.Conn, perByte time.Duration, carried *atomic.Int64) *slowConn {
	c := &slowConn{Conn: conn, perByte: perByte, buffer: make(chan []byte, 1<<10), carried: carried, closed: make(chan struct{})}
	go c.pass()
	return c
}

func (c *slowConn) Write(p []byte) (int, error) {
	select {
	case c.buffer <- append([]byte(nil), p...):
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *slowConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *slowConn) pass() {
	for {
		select {
		case data := <-c.buffer:
			time.Sleep(time.Duration(len(data)) * c.perByte)
			if _, err := c.Conn.Write(data); err != nil {
				return // The connection is closed.
			}
			c.carried.Add(int64(len(data)))
		case <-c.closed:
			return
		}
	}
}

// stubLeader serves the methods of a leader.
type stubLeader struct{ catalogs, others atomic.Int64 }

func (s *stubLeader) Call(call *Call, _ *Result) error {
	if call.SetCatalog != nil {
		s.catalogs.Add(1)
	} else {
		s.others.Add(1)
	}
	return nil
}

func (s *stubLeader) Members(_ *MembersArgs, reply *MembersReply) error {
	*reply = leaderView("a:1", 1, true)
	return nil
}

// Guards against a configuration that never arrives because it takes longer on its way than a poll
// may: the polls wait behind it on its connection, which is replaced and closed under it, and it is
// sent whole again; and against one that is sent again because it takes longer than tryTimeout.
func TestAConfigurationOnASlowConnectionArrivesOnce(t *testing.T) {
	for _, takes := range []time.Duration{600 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			catalog := catalogOf(1, 4200)
			compressed, err := catalog.Compressed()
			require.NoError(t, err)
			const bytes = 270 << 10 // Of the configuration, roughly.
			leader, server := new(stubLeader), rpc.NewServer()
			require.NoError(t, server.RegisterName(serviceName, leader))
			var carried atomic.Int64
			caller := rpcclient.New(rpcclient.Options{Dial: func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go server.ServeConn(far)
				return newSlowConn(near, takes/bytes, &carried), nil
			}})
			c := NewClient(ClientOptions{Seeds: []string{"a:1"}, Caller: caller, Logger: zerolog.Nop(), Now: time.Now})
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				caller.Close()
				time.Sleep(10 * takes) // What is on its way ends.
			}()
			go c.Run(ctx)
			time.Sleep(time.Second)
			require.Equal(t, "a:1", c.Leader())

			result := make(chan error, 1)
			go func() {
				callCtx, cancelCall := context.WithTimeout(ctx, callTimeout)
				defer cancelCall()
				_, err := c.Do(callCtx, &Call{SetCatalog: compressed})
				result <- err
			}()
			time.Sleep(takes / 4)
			startedAt := time.Now()
			reportCtx, cancelReport := context.WithTimeout(ctx, callTimeout)
			defer cancelReport()
			_, err = c.Do(reportCtx, &Call{Announce: &dispatch.Announcement{Life: workflow.Incarnation{Name: "w"}}})
			require.NoError(t, err)
			assert.Less(t, time.Since(startedAt), takes/4, "a report beside the configuration")
			assert.NoError(t, <-result)
			assert.EqualValues(t, 1, leader.catalogs.Load())
			assert.Less(t, carried.Load(), int64(2*bytes), "bytes on all connections")
			assert.True(t, c.ConfirmedWithin(pollInterval+pollTimeout))
		})
	}
}
