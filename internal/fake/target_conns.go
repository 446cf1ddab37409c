package fake

import (
	"net"
	"sync"
)

// countingListener counts the open connections of a target.
type countingListener struct {
	net.Listener
	target *Target
}

// Accept waits for a connection and counts it.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.target.countConn(1)
	return &countedConn{Conn: conn, target: l.target}, nil
}

// countedConn is an accepted connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	target *Target
	once   sync.Once
}

// Close decrements the count before the peer can see the connection close.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.target.countConn(-1) })
	return c.Conn.Close()
}

// CloseWrite decrements the count too: net/http calls it before Close.
func (c *countedConn) CloseWrite() error {
	c.once.Do(func() { c.target.countConn(-1) })
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return nil
}

func (t *Target) countConn(delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns += delta
	t.peakConns = max(t.peakConns, t.conns)
}
