// Package rpcclient calls net/rpc services with a deadline on every call.
//
// net/rpc itself waits for a reply as long as the connection is open. A Client returns
// at the deadline of the context, closes the connection that got no reply, and dials a
// new one for the next call.
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
	// Dial opens a connection. Nil selects TCP with the options of package tcpopt.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client keeps one connection per address. It is safe for concurrent use.
type Client struct {
	dial   func(ctx context.Context, address string) (net.Conn, error)
	mu     sync.Mutex
	conns  map[string]*rpc.Client
	closed bool
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

// Call invokes method at address and waits for the reply until ctx ends. The error is
// of kind unreachable if nothing was sent, unknown_outcome if the call was sent and got
// no reply, and otherwise of the kind that the server returned.
//
// After an error the call may still be in progress: args must not be changed and reply
// must not be used.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	conn, err := c.connection(ctx, address)
	if err != nil {
		return kind.Errorf(kind.Unreachable, "dial %s for %s: %w", address, method, err)
	}
	done := make(chan *rpc.Call, 1)
	go conn.Go(method, args, reply, done) // Go blocks while the send buffer is full.
	select {
	case call := <-done:
		return c.callError(address, method, conn, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.discard(address, conn)
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

func (c *Client) callError(address, method string, conn *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		c.discard(address, conn)
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, err)
	}
	if remoteErr := kind.Parse(err.Error()); remoteErr != nil {
		return remoteErr
	}
	return kind.Errorf(kind.Internal, "%s at %s: %w", method, address, err)
}

func (c *Client) connection(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	if ok {
		return conn, nil
	}
	netConn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.addConnection(address, rpc.NewClient(netConn))
}

// addConnection stores a new connection. If another call has stored one in the
// meantime, it closes conn and returns the other.
func (c *Client) addConnection(address string, conn *rpc.Client) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close() // Nothing was sent on it.
		return nil, net.ErrClosed
	}
	if other, ok := c.conns[address]; ok {
		_ = conn.Close() // Nothing was sent on it.
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) discard(address string, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close() // An error does not matter for a discarded connection.
}

// Close closes all connections. Calls in progress return an error of kind
// unknown_outcome.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = make(map[string]*rpc.Client)
	c.closed = true
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // The process is stopping.
	}
}
