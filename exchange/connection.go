package exchange

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connection is one connection to the peer. Its Read gives up after a silence.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	reused    bool
	silence   time.Duration
	deadline  time.Time
	written   atomic.Int64
	canceled  atomic.Bool
	silent    bool
	// headerLeft is the number of bytes that the header of the answer may still
	// take, unlimited while its body is read.
	headerLeft int
	writing    write
}

const (
	// maxAnswerHeader bounds the header of an answer in bytes.
	maxAnswerHeader = 64 << 10
	unlimited       = -1
)

var errHeaderTooLarge = errors.New("the header of the answer exceeds the limit")

func newConnection(raw net.Conn) *connection {
	c := &connection{Conn: raw}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(c)
	return c
}

// Read reads from the connection until the deadline of the exchange, or until
// nothing arrived for its silence limit.
func (c *connection) Read(p []byte) (int, error) {
	limit := c.deadline
	bounded := false
	if c.silence > 0 {
		if end := time.Now().Add(c.silence); limit.IsZero() || end.Before(limit) {
			limit, bounded = end, true
		}
	}
	if err := c.Conn.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	if c.canceled.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	if c.headerLeft == 0 {
		return 0, errHeaderTooLarge
	}
	if c.headerLeft > 0 && len(p) > c.headerLeft {
		p = p[:c.headerLeft]
	}
	n, err := c.Conn.Read(p)
	if c.headerLeft > 0 {
		c.headerLeft -= n
	}
	if bounded && errors.Is(err, os.ErrDeadlineExceeded) && !c.canceled.Load() {
		c.silent = true
	}
	return n, err
}

// Write writes to the connection and counts the bytes that may reach the peer.
func (c *connection) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// begin prepares the connection for an exchange.
func (c *connection) begin(deadline time.Time, silence time.Duration) error {
	c.deadline = deadline
	c.silence = silence
	c.silent = false
	c.headerLeft = maxAnswerHeader
	c.written.Store(0)
	c.canceled.Store(false)
	return c.Conn.SetDeadline(deadline)
}

// cancel makes the reads and writes under way fail.
func (c *connection) cancel() {
	c.canceled.Store(true)
	_ = c.Conn.SetDeadline(time.Unix(1, 0)) // The connection is given up anyway.
}

// usable reports whether an idle connection may carry another request: it is
// young, and the peer has neither closed it nor sent a byte that no request
// asked for.
func (c *connection) usable(now time.Time, idleAge time.Duration) bool {
	if now.Sub(c.idleSince) >= idleAge || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	return quiet(raw)
}

// quiet reports whether the socket has nothing to read, not even its end.
func quiet(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}
