// Package rpcclient calls net/rpc services with a deadline on every call.
//
// net/rpc itself waits for a reply as long as the connection is open. A Client returns
// at the deadline of the context. If nothing at all has come on the connection since the
// call was sent, the next call dials a new one. The other calls stay on the old one until
// they end, unless a reply on the new one shows that only the old connection is silent.
//
// A large call has a connection of its own: others would wait behind it, and take their
// connection for silent.
package rpcclient

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
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

// Client keeps one connection per address, beside those of the large calls in progress. It is
// safe for concurrent use.
type Client struct {
	dial  func(ctx context.Context, address string) (net.Conn, error)
	mu    sync.Mutex
	conns map[string]*connection
	// retired holds, by address, the connection that the next one will replace.
	retired map[string]*connection
	// large holds the connections of large calls.
	large  map[*connection]struct{}
	closed bool
}

// Large is implemented by the arguments of methods whose call or reply may be large.
type Large interface {
	// Large reports whether the call, or its reply, may be large.
	Large() bool
}

// connection is a connection that several calls share. Its fields are guarded by the
// mutex of its Client.
type connection struct {
	*rpc.Client
	heard    *heardConn
	inFlight int
	// retiredAt is when the connection was retired, zero before. A retired connection
	// gets no new calls.
	retiredAt time.Time
	// replaced is the retired connection to the same address that this one replaced, nil
	// once this one has got a reply.
	replaced *connection
}

// heardConn records when data was last read from a connection.
type heardConn struct {
	net.Conn
	at atomic.Pointer[time.Time]
}

func (h *heardConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		h.at.Store(&now)
	}
	return n, err
}

// heardSince reports whether data was read after a time.
func (h *heardConn) heardSince(t time.Time) bool {
	at := h.at.Load()
	return at != nil && at.After(t)
}

// New returns a Client without connections.
func New(options Options) *Client {
	dial := options.Dial
	if dial == nil {
		dial = dialTCP
	}
	return &Client{dial: dial, conns: make(map[string]*connection), retired: make(map[string]*connection), large: make(map[*connection]struct{})}
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
	return c.call(ctx, address, method, args, reply, 0, nil)
}

// CallLate is Call, but a reply that comes after ctx has ended, and within a time after that, is not
// lost: late is called in another goroutine once reply holds it.
func (c *Client) CallLate(ctx context.Context, address, method string, args, reply any, within time.Duration, late func()) error {
	return c.call(ctx, address, method, args, reply, within, late)
}

func (c *Client) call(ctx context.Context, address, method string, args, reply any, within time.Duration, late func()) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	acquire, release := c.acquire, c.release
	if large, ok := args.(Large); ok && large.Large() {
		acquire, release = c.dialLarge, c.closeLarge
	}
	conn, err := acquire(ctx, address)
	if err != nil {
		return kind.Errorf(kind.Unreachable, "dial %s for %s: %w", address, method, err)
	}
	sentAt := time.Now()
	done := make(chan *rpc.Call, 1)
	go conn.Go(method, args, reply, done) // Go blocks while the send buffer is full.
	select {
	case call := <-done:
		defer release(conn)
		return c.callError(address, method, conn, call.Error)
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.retireIfSilent(address, conn, sentAt)
	}
	if late == nil {
		release(conn)
	} else {
		go func() {
			defer release(conn)
			timer := time.NewTimer(within)
			defer timer.Stop()
			select {
			case call := <-done:
				if c.callError(address, method, conn, call.Error) == nil {
					late()
				}
			case <-timer.C:
			}
		}()
	}
	return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, ctx.Err())
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

func (c *Client) callError(address, method string, conn *connection, err error) error {
	var remote rpc.ServerError
	if err != nil && !errors.As(err, &remote) {
		c.discard(address, conn)
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, err)
	}
	c.recordReply(conn)
	if err == nil {
		return nil
	}
	if remoteErr := kind.Parse(err.Error()); remoteErr != nil {
		return remoteErr
	}
	return kind.Errorf(kind.Internal, "%s at %s: %w", method, address, err)
}

// acquire returns the connection to address for one call, which ends with release. It
// dials if there is none.
func (c *Client) acquire(ctx context.Context, address string) (*connection, error) {
	conn, err := c.existing(address)
	if conn != nil || err != nil {
		return conn, err
	}
	conn, err = c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.addConnection(address, conn)
}

func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	netConn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	heard := &heardConn{Conn: netConn}
	return &connection{Client: rpc.NewClient(heard), heard: heard}, nil
}

// dialLarge opens the connection of one large call, which ends with closeLarge.
func (c *Client) dialLarge(ctx context.Context, address string) (*connection, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close() // Nothing was sent on it.
		return nil, net.ErrClosed
	}
	c.large[conn] = struct{}{}
	return conn, nil
}

func (c *Client) closeLarge(conn *connection) {
	c.mu.Lock()
	delete(c.large, conn)
	c.mu.Unlock()
	_ = conn.Close() // An error does not matter: the call is over.
}

// existing returns the connection to address for one call, nil if there is none.
func (c *Client) existing(address string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	conn := c.conns[address]
	if conn != nil {
		conn.inFlight++
	}
	return conn, nil
}

// addConnection stores a new connection and returns it for one call. If another call has
// stored one in the meantime, it closes conn and returns the other.
func (c *Client) addConnection(address string, conn *connection) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close() // Nothing was sent on it.
		return nil, net.ErrClosed
	}
	if other := c.conns[address]; other != nil {
		_ = conn.Close() // Nothing was sent on it.
		conn = other
	} else {
		conn.replaced = c.retired[address]
		delete(c.retired, address)
		c.conns[address] = conn
	}
	conn.inFlight++
	return conn, nil
}

// release ends the use of a connection by one call.
func (c *Client) release(conn *connection) {
	c.mu.Lock()
	conn.inFlight--
	unused := !conn.retiredAt.IsZero() && conn.inFlight == 0
	c.mu.Unlock()
	if unused {
		_ = conn.Close() // An error does not matter for a retired connection.
	}
}

// recordReply closes the connections that conn replaced and on which nothing has come
// since: the peer answers, but not there.
func (c *Client) recordReply(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for old := conn.replaced; old != nil; old = old.replaced {
		if !old.heard.heardSince(old.retiredAt) {
			_ = old.Close() // An error does not matter for a silent connection.
		}
	}
	conn.replaced = nil
}

// retireIfSilent retires a connection on which nothing has come since sentAt.
func (c *Client) retireIfSilent(address string, conn *connection, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn && !conn.heard.heardSince(sentAt) {
		c.retire(address, conn)
		c.retired[address] = conn
	}
}

// retire keeps new calls off a connection. The caller holds c.mu.
func (c *Client) retire(address string, conn *connection) {
	conn.retiredAt = time.Now()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// discard closes a broken connection.
func (c *Client) discard(address string, conn *connection) {
	c.mu.Lock()
	c.retire(address, conn)
	c.mu.Unlock()
	_ = conn.Close() // An error does not matter for a discarded connection.
}

// Close closes all connections. Calls in progress return an error of kind
// unknown_outcome.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.large {
		_ = conn.Close() // The process is stopping.
	}
	for _, conns := range []map[string]*connection{c.conns, c.retired} {
		for address, conn := range conns {
			for ; conn != nil; conn = conn.replaced {
				_ = conn.Close() // The process is stopping.
			}
			delete(conns, address)
		}
	}
}
