package exchange

import (
	"bufio"
	"container/list"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connection is one connection to the peer. Its Read has a silence timeout.
type connection struct {
	net.Conn
	client *Client
	// poolElement is the connection's place among the idle ones of the pool, nil while it
	// is in use.
	poolElement    *list.Element
	reader         *bufio.Reader
	writer         *bufio.Writer
	idleSince      time.Time
	reused         bool
	silenceTimeout time.Duration
	deadline       time.Time
	// lateUntil is until when reads may go on after the deadline, zero before it is noticed.
	lateUntil      time.Time
	writtenBytes   atomic.Int64
	canceled       atomic.Bool
	silenceExpired bool
	// headerBytesLeft is the number of bytes that the header of the answer may
	// still take; unlimited while the body is read.
	headerBytesLeft int
	writing         write
}

const (
	// maxAnswerHeaderBytes limits the header of an answer.
	maxAnswerHeaderBytes = 64 << 10
	unlimited            = -1
)

var errHeaderTooLarge = errors.New("the header of the answer exceeds the limit")

func newConnection(raw net.Conn) *connection {
	c := &connection{Conn: raw}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(c)
	return c
}

// Read reads from the connection until the deadline of the exchange, or until
// no byte arrived for the silence timeout.
func (c *connection) Read(p []byte) (int, error) {
	limit := c.deadline
	bounded := false
	if c.silenceTimeout > 0 {
		if end := time.Now().Add(c.silenceTimeout); limit.IsZero() || end.Before(limit) {
			limit, bounded = end, true
		}
	}
	if err := c.Conn.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	if c.canceled.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	if c.headerBytesLeft == 0 {
		return 0, errHeaderTooLarge
	}
	if c.headerBytesLeft > 0 && len(p) > c.headerBytesLeft {
		p = p[:c.headerBytesLeft]
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.canceled.Load() {
		n, err = c.readArrived(p)
	}
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= n
	}
	if bounded && errors.Is(err, os.ErrDeadlineExceeded) && !c.canceled.Load() {
		c.silenceExpired = true
	}
	return n, err
}

// lateReadTime is how long the reads of an exchange may go on after its deadline was noticed, to
// find what has arrived.
const lateReadTime = 5 * time.Millisecond

// readArrived reads what has arrived by the deadline: a process that is short of processor time
// learns of the deadline first.
func (c *connection) readArrived(p []byte) (int, error) {
	if c.lateUntil.IsZero() {
		c.lateUntil = time.Now().Add(lateReadTime)
	}
	if err := c.Conn.SetReadDeadline(c.lateUntil); err != nil {
		return 0, err
	}
	if c.canceled.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// Write writes to the connection and counts the bytes that may have reached the
// peer.
func (c *connection) Write(p []byte) (int, error) {
	c.writtenBytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// begin prepares the connection for an exchange.
func (c *connection) begin(deadline time.Time, silenceTimeout time.Duration) error {
	c.deadline, c.lateUntil = deadline, time.Time{}
	c.silenceTimeout = silenceTimeout
	c.silenceExpired = false
	c.headerBytesLeft = maxAnswerHeaderBytes
	c.writtenBytes.Store(0)
	c.canceled.Store(false)
	return c.Conn.SetDeadline(deadline)
}

// cancel makes pending and later reads and writes of the exchange fail.
func (c *connection) cancel() {
	c.canceled.Store(true)
	_ = c.Conn.SetDeadline(time.Unix(1, 0)) // The connection is closed afterwards anyway.
}

// usable reports whether an idle connection may carry another request: its idle
// timeout has not expired, and the peer has neither closed it nor sent an
// unsolicited byte.
func (c *connection) usable(now time.Time, idleTimeout time.Duration) bool {
	if now.Sub(c.idleSince) >= idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	return nothingToRead(raw)
}

// nothingToRead reports whether a read on the socket would block: neither data
// nor end of file is pending.
func nothingToRead(conn syscall.Conn) bool {
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
