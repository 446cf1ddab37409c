// Package rpcclient calls net/rpc services with a deadline on every call.
//
// net/rpc itself waits for an answer for as long as the connection stands. A
// Client gives up at the context's deadline, drops the connection on which the
// answer did not come, and dials a fresh one for the next call.
package rpcclient

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"mangohill.example/mangohill/internal/tcpopt"
	"mangohill.example/mangohill/kind"
)

// DefaultTimeout bounds a call whose context has no deadline.
const DefaultTimeout = 2 * time.Second

// Options configures a Client.
type Options struct {
	// Dial opens connections. Nil dials TCP with the options of package tcpopt.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client keeps one connection for each address. It is safe for concurrent use.
type Client struct {
	dial  func(ctx context.Context, address string) (net.Conn, error)
	mu    sync.Mutex
	conns map[string]*rpc.Client
	done  bool
}

// New returns a Client without connections.
func New(options Options) *Client {
	dial := options.Dial
	if dial == nil {
		dial = dialTCP
	}
	return &Client{dial: dial, conns: make(map[string]*rpc.Client)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcpopt.Dialer().DialContext(ctx, "tcp", address)
}

// Call invokes method at address and waits for the answer until ctx ends. The
// error is of kind unreachable if nothing was sent, unknown_outcome if the call
// was sent and not answered, and otherwise the kind that the callee gave.
//
// The arguments must not be changed, and the reply not be used, after an error:
// the call may still be under way.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	conn, err := c.connection(ctx, address)
	if err != nil {
		return kind.Errorf(kind.Unreachable, "dial %s for %s: %w", address, method, err)
	}
	done := make(chan *rpc.Call, 1)
	go conn.Go(method, args, reply, done) // It may wait for room in the send buffer.
	select {
	case call := <-done:
		return c.result(address, method, conn, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.drop(address, conn)
		}
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, ctx.Err())
	}
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

func (c *Client) result(address, method string, conn *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		c.drop(address, conn)
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, err)
	}
	if listed := kind.Parse(err.Error()); listed != nil {
		return listed
	}
	return kind.Errorf(kind.Internal, "%s at %s: %w", method, address, err)
}

func (c *Client) connection(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	done := c.done
	c.mu.Unlock()
	if done {
		return nil, net.ErrClosed
	}
	if ok {
		return conn, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.keep(address, rpc.NewClient(raw))
}

// keep stores a fresh connection, or closes it in favour of one that another
// call opened meanwhile.
func (c *Client) keep(address string, fresh *rpc.Client) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		_ = fresh.Close() // Nothing was sent on it.
		return nil, net.ErrClosed
	}
	if other, ok := c.conns[address]; ok {
		_ = fresh.Close() // Nothing was sent on it.
		return other, nil
	}
	c.conns[address] = fresh
	return fresh, nil
}

func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close() // The connection is already given up.
}

// Close closes all connections. Calls under way end with unknown_outcome.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = make(map[string]*rpc.Client)
	c.done = true
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // The process is stopping.
	}
}
