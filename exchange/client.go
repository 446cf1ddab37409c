package exchange

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"mangohill.example/mangohill/internal/tcpopt"
)

// Options configures a Client.
type Options struct {
	// Address is the peer, host:port.
	Address string
	// MaxConnections bounds the connections that are open at a time.
	MaxConnections int
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// Dial opens connections. Nil dials TCP with the options of package tcpopt.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
}

// Default values of Options.
const (
	DefaultMaxConnections = 64
	DefaultIdleTimeout    = 5 * time.Second
)

// Client keeps the connections to one address. It is safe for concurrent use.
type Client struct {
	options Options
	mu      sync.Mutex
	idle    []*connection
	open    int
	max     int
	freed   chan struct{}
	closed  bool
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
	return &Client{options: options, max: options.MaxConnections, freed: make(chan struct{}, 1)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcpopt.Dialer().DialContext(ctx, "tcp", address)
}

// SetMaxConnections changes the bound. Idle connections beyond it are closed.
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

// CloseIdle closes the unused connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		c.closeOldest()
	}
}

// CloseExpired closes the connections that were unused for the idle age. It is to
// be called now and then.
func (c *Client) CloseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.options.Now().Add(-c.options.IdleTimeout)
	for len(c.idle) > 0 && !c.idle[0].idleSince.After(limit) {
		c.closeOldest()
	}
}

// Close closes the unused connections, and those in use as they are returned.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseIdle()
}

// closeOldest closes the connection that has been idle longest. The caller
// holds the lock.
func (c *Client) closeOldest() {
	oldest := c.idle[0]
	c.idle = c.idle[1:]
	go c.retire(oldest)
}

// retire closes a connection in good order. It counts as open until the peer
// has closed it as well, so that the peer never sees more than the bound.
func (c *Client) retire(conn *connection) {
	half, ok := conn.Conn.(interface{ CloseWrite() error })
	if ok && half.CloseWrite() == nil {
		_ = conn.Conn.SetReadDeadline(time.Now().Add(retireTimeout)) // Close follows either way.
		_, _ = io.Copy(io.Discard, conn.Conn)                        // Until the peer closes.
	}
	_ = conn.Conn.Close() // Nothing is under way on it.
	c.release()
}

// abandon closes a connection in the middle of an exchange at once. The peer may
// need a moment to notice.
func (c *Client) abandon(conn *connection) {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // The reset tells the peer to stop.
	}
	_ = conn.Conn.Close() // The exchange failed.
	time.AfterFunc(abandonTime, c.release)
}

const (
	// retireTimeout bounds the wait for the peer's close.
	retireTimeout = time.Second
	// abandonTime is the time for which a reset connection counts as open.
	abandonTime = 20 * time.Millisecond
)

// acquire returns a connection; a fresh one if reuse is false.
func (c *Client) acquire(ctx context.Context, reuse bool) (conn *connection, err error) {
	for {
		conn, dial := c.reserve(reuse)
		if conn != nil || dial {
			c.wake() // There may be room for the next one that waits.
		}
		if conn != nil {
			return conn, nil
		}
		if dial {
			return c.dial(ctx)
		}
		select {
		case <-c.freed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// reserve takes an idle connection or room for a fresh one.
func (c *Client) reserve(reuse bool) (conn *connection, dial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for reuse && len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if last.usable(c.options.Now(), c.options.IdleTimeout) {
			last.reused = true
			return last, false
		}
		go c.retire(last)
	}
	if c.open >= c.max && len(c.idle) > 0 {
		c.closeOldest()
	}
	if c.open >= c.max {
		return nil, false
	}
	c.open++
	return nil, true
}

func (c *Client) dial(ctx context.Context) (*connection, error) {
	raw, err := c.options.Dial(ctx, c.options.Address)
	if err != nil {
		c.release()
		return nil, err
	}
	return newConnection(raw), nil
}

// release gives back the room of a connection that is closed.
func (c *Client) release() {
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
	c.wake()
}

func (c *Client) wake() {
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

// put returns a connection after a whole answer, or closes it.
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
	c.mu.Unlock()
	c.wake()
}
