package descriptor

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// limitPollInterval is the pause after which a full listener checks its limit again, which
// may have risen.
const limitPollInterval = 20 * time.Millisecond

// Listener accepts connections while the budget has descriptors for them. At the limit it
// closes the connection that has been idle longest, or waits until one is closed: new
// connections then wait in the operating system's queue.
type Listener struct {
	net.Listener
	budget *Budget
	use    Use
	freed  chan struct{}

	closing chan struct{}
	once    sync.Once

	mu sync.Mutex
	// idle holds the connections that wait for a request, the one that has waited
	// longest first. positions holds their elements.
	idle      *list.List
	positions map[net.Conn]*list.Element
}

// Listen limits the connections of a listener.
func (b *Budget) Listen(listener net.Listener, use Use) *Listener {
	return &Listener{
		Listener: listener, budget: b, use: use, freed: make(chan struct{}, 1), closing: make(chan struct{}),
		idle: list.New(), positions: make(map[net.Conn]*list.Element),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.awaitRoom() {
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.budget.Opened(l.use)
	return &limitedConn{Conn: conn, listener: l}, nil
}

// awaitRoom waits until another connection may be accepted. It returns false when the
// listener is closed.
func (l *Listener) awaitRoom() bool {
	for l.budget.Used(l.use) >= l.budget.Limit(l.use) {
		if l.closeIdle() {
			continue
		}
		select {
		case <-l.freed:
		case <-time.After(limitPollInterval):
		case <-l.closing:
			return false
		}
	}
	return true
}

// closeIdle closes the connection that has been idle longest, and returns false if none
// is idle.
func (l *Listener) closeIdle() bool {
	l.mu.Lock()
	oldest := l.idle.Front()
	if oldest != nil {
		delete(l.positions, l.idle.Remove(oldest).(net.Conn))
	}
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	_ = oldest.Value.(net.Conn).Close() // No request is in progress on it.
	return true
}

// ConnState is to be called by an http.Server whose listener this is: it tells which
// connections are idle.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element := l.positions[conn]; element != nil {
		l.idle.Remove(element)
		delete(l.positions, conn)
	}
	if state == http.StateIdle {
		l.positions[conn] = l.idle.PushBack(conn)
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closing) })
	return l.Listener.Close()
}

// limitedConn counts its end once.
type limitedConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.listener.budget.Closed(c.listener.use)
		select {
		case c.listener.freed <- struct{}{}:
		default:
		}
	})
	return err
}

// CloseWrite closes the writing side, as net/http does before it closes a connection with
// unread data.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
