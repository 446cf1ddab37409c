package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"mangohill.example/mangohill/internal/tcpopt"
)

// Options configures a Client.
type Options struct {
	// Address is the address of the peer, host:port.
	Address string
	// MaxConnections limits the number of open connections.
	MaxConnections int
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// Dial opens connections; nil means TCP with the options of package tcpopt.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// pool limits the connections of several clients together, nil for no such limit.
	pool *Pool
}

// Default values of Options, used for fields that are zero.
const (
	DefaultMaxConnections = 64
	DefaultIdleTimeout    = 5 * time.Second
)

// ErrNoConnection means that the limit of connections was reached until the context
// ended. Nothing was sent.
var ErrNoConnection = errors.New("no connection became free")

// Client pools the connections to one address. It is safe for concurrent use.
type Client struct {
	options   Options
	pool      *Pool
	mu        sync.Mutex
	idle      []*connection
	open      int
	max       int
	roomFreed chan struct{}
	closed    bool
}

// New returns a Client without connections.
func New(options Options) *Client {
	if options.MaxConnections == 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Client{options: options, pool: options.pool, max: options.MaxConnections, roomFreed: make(chan struct{}, 1)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcpopt.Dialer().DialContext(ctx, "tcp", address)
}

// SetMaxConnections changes the limit and closes idle connections above it.
func (c *Client) SetMaxConnections(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.max = max(limit, 1)
	for excess := c.open - c.max; excess > 0 && len(c.idle) > 0; excess-- {
		c.closeOldest()
	}
}

// OpenConnections returns the number of open connections.
func (c *Client) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		c.closeOldest()
	}
}

// CloseExpired closes the connections that were idle for IdleTimeout. It must
// be called periodically.
func (c *Client) CloseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.options.Now().Add(-c.options.IdleTimeout)
	for len(c.idle) > 0 && !c.idle[0].idleSince.After(limit) {
		c.closeOldest()
	}
}

// Close closes the idle connections, and the others when their exchanges end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseIdle()
}

// closeOldest closes the connection that has been idle longest. The caller must
// hold c.mu.
func (c *Client) closeOldest() {
	oldest := c.idle[0]
	c.idle = c.idle[1:]
	c.pool.removeIdle(oldest)
	go c.retire(oldest)
}

// retire shuts a connection down gracefully. It counts as open until the peer
// has closed it too, so that the peer never sees more connections than the
// limit.
func (c *Client) retire(conn *connection) {
	half, ok := conn.Conn.(interface{ CloseWrite() error })
	if ok && half.CloseWrite() == nil {
		_ = conn.Conn.SetReadDeadline(time.Now().Add(retireTimeout)) // Close follows in any case.
		_, _ = io.Copy(io.Discard, conn.Conn)                        // Waits for the peer to close.
	}
	_ = conn.Conn.Close() // No exchange uses it.
	c.release()
}

// abandon resets a connection in the middle of an exchange. It counts as open
// for resetGrace, because the peer may notice the reset late.
func (c *Client) abandon(conn *connection) {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close then sends a reset, which stops the peer.
	}
	_ = conn.Conn.Close() // The exchange has failed already.
	time.AfterFunc(resetGrace, c.release)
}

const (
	// retireTimeout limits the wait for the peer to close.
	retireTimeout = time.Second
	// resetGrace is the time for which a reset connection still counts as open.
	resetGrace = 20 * time.Millisecond
)

// acquire returns a connection, a new one if reuse is false. It waits while the limit of
// the client, or that of its pool, is reached.
func (c *Client) acquire(ctx context.Context, reuse bool) (conn *connection, err error) {
	for {
		conn, state := c.reserve(reuse)
		if conn != nil || state == available {
			c.wakeWaiter() // Lets the next waiter check for room too.
		}
		if conn != nil {
			return conn, nil
		}
		var poolFreed <-chan struct{}
		switch state {
		case available:
			return c.dial(ctx)
		case poolFull:
			if c.pool.evict() {
				continue
			}
			poolFreed = c.pool.roomFreed
		}
		select {
		case <-c.roomFreed:
		case <-poolFreed:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrNoConnection, ctx.Err())
		}
	}
}

// availability tells whether a connection may be opened.
type availability uint8

const (
	available availability = iota
	// clientFull and poolFull mean that the limit of the client or of its pool is reached.
	clientFull
	poolFull
)

// reserve returns a usable idle connection, or counts a new one as open if there is room
// for it.
func (c *Client) reserve(reuse bool) (*connection, availability) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool != nil {
		c.max = c.pool.connectionsPerAddress()
	}
	for reuse && len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		c.pool.removeIdle(last)
		if last.usable(c.options.Now(), c.options.IdleTimeout) {
			last.reused = true
			return last, available
		}
		go c.retire(last)
	}
	if c.open >= c.max && len(c.idle) > 0 {
		c.closeOldest()
	}
	if c.open >= c.max {
		return nil, clientFull
	}
	if !c.pool.count() {
		return nil, poolFull
	}
	c.open++
	return nil, available
}

func (c *Client) dial(ctx context.Context) (*connection, error) {
	raw, err := c.options.Dial(ctx, c.options.Address)
	if err != nil {
		c.release()
		return nil, err
	}
	conn := newConnection(raw)
	conn.client = c
	return conn, nil
}

// release counts a closed connection as no longer open.
func (c *Client) release() {
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
	c.pool.uncount()
	c.wakeWaiter()
}

// closeNow closes an idle connection without waiting for the peer, so that its place is
// free when it returns. It does nothing if the connection is in use again.
func (c *Client) closeNow(conn *connection) {
	c.mu.Lock()
	at := slices.Index(c.idle, conn)
	if at >= 0 {
		c.idle = slices.Delete(c.idle, at, at+1)
	}
	c.mu.Unlock()
	if at >= 0 {
		_ = conn.Conn.Close() // No exchange uses it.
		c.release()
	}
}

func (c *Client) wakeWaiter() {
	select {
	case c.roomFreed <- struct{}{}:
	default:
	}
}

// put returns a connection to the pool after a complete exchange (whole) if it
// may be reused (keep); otherwise it closes the connection.
func (c *Client) put(conn *connection, whole, keep bool) {
	if !whole {
		c.abandon(conn)
		return
	}
	c.mu.Lock()
	if !keep || c.closed || c.open > c.max || conn.reader.Buffered() > 0 {
		c.mu.Unlock()
		go c.retire(conn)
		return
	}
	conn.idleSince = c.options.Now()
	c.idle = append(c.idle, conn)
	c.pool.addIdle(conn)
	c.mu.Unlock()
	c.wakeWaiter()
}
