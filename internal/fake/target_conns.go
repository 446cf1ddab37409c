package fake

import (
	"net"
	"sync"
)

// countingListener counts the connections that are open at a time.
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

type countedConn struct {
	net.Conn
	target *Target
	once   sync.Once
}

// Close uncounts the connection before the peer can see that it is closed.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.target.countConn(-1) })
	return c.Conn.Close()
}

// CloseWrite is what net/http calls before Close.
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
	t.connPeak = max(t.connPeak, t.conns)
}
