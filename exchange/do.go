package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Errors of an exchange, wrapped in an Error.
var (
	// ErrSilenceTimeout means that no byte arrived for Params.SilenceTimeout.
	ErrSilenceTimeout = errors.New("no data arrived within the silence timeout")
	// ErrMismatch means that the answer carries the ID of another request.
	ErrMismatch = errors.New("the answer belongs to another request")
	// ErrNoLength means that only the end of the connection delimits the
	// answer, so that a truncated answer cannot be detected (RFC 9112, 6.3).
	ErrNoLength = errors.New("the answer has neither a length nor chunks")
	// ErrNotPermitted means that Params.Permit withheld the request. Nothing was sent.
	ErrNotPermitted = errors.New("the permission to send ended during the wait for a connection")
	// ErrProtocolSwitch means that the peer switched protocols without a
	// request to do so.
	ErrProtocolSwitch = errors.New("the peer switched the protocol")
)

// Error is the error of a failed exchange.
type Error struct {
	// Sent is false only if no byte of the request can have reached the peer.
	Sent bool
	// Reused is true if the connection had carried an earlier exchange.
	Reused bool
	cause  error
}

// Error returns the cause and whether the request was sent.
func (e *Error) Error() string {
	return fmt.Sprintf("sent=%t reused=%t: %v", e.Sent, e.Reused, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Params are the parameters of one exchange.
type Params struct {
	// Reuse allows a connection that carried an earlier exchange. It must be
	// false for a request that must not run twice.
	Reuse bool
	// Permit is asked once the exchange has its connection, just before anything is sent:
	// the wait for a connection may have outlasted the sender's permission. Nil permits.
	Permit func() bool
	// SilenceTimeout is the time without a byte from the peer after which the
	// exchange fails; zero means no such timeout.
	SilenceTimeout time.Duration
	// Echo is the value that the header EchoHeader of an answer must have, if
	// the answer has that header.
	Echo       string
	EchoHeader string
}

// maxInformational limits the 1xx answers before the final one.
const maxInformational = 8

// maxInlineBodyBytes is the size up to which a body is written before the
// answer is read: it fits into the buffers of the two sockets, so that the
// write does not block.
const maxInlineBodyBytes = 16 << 10

// Answer is the peer's answer. Close must be called: it returns the connection
// to the pool if the body was read to its end, and closes the connection
// otherwise.
type Answer struct {
	*http.Response
	client *Client
	conn   *connection
	// stop ends the wait for a cancellation and returns false if there was one.
	stop   func() bool
	whole  bool
	failed bool
	wrote  *write
}

// Do sends the request once and reads the header of the answer. The body is
// written by req.Write; GetBody is never called. Errors are of type *Error.
func (c *Client) Do(ctx context.Context, req *http.Request, params Params) (*Answer, error) {
	conn, err := c.acquire(ctx, params.Reuse)
	if err != nil {
		return nil, &Error{cause: err}
	}
	if params.Permit != nil && !params.Permit() {
		c.put(conn, true, true)
		return nil, &Error{Reused: conn.reused, cause: ErrNotPermitted}
	}
	deadline, _ := ctx.Deadline()
	if err := conn.begin(deadline, params.SilenceTimeout); err != nil {
		c.put(conn, false, false)
		return nil, &Error{Reused: conn.reused, cause: err}
	}
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) { // The connection has the same deadline.
			conn.cancel()
		}
	})
	wrote := conn.startSend(req)
	answer, err := conn.receive(req, params)
	if err != nil {
		stop()
		c.put(conn, false, false)
		wrote.wait() // The closed connection ends the write; then the body is no longer in use.
		return nil, &Error{Sent: conn.writtenBytes.Load() > 0, Reused: conn.reused, cause: conn.causeOf(ctx, err)}
	}
	return &Answer{Response: answer, client: c, conn: conn, stop: func() bool { return stop() || errors.Is(ctx.Err(), context.DeadlineExceeded) }, wrote: wrote}, nil
}

// write is the state of writing a request, which may continue while the answer
// is read.
type write struct {
	err  error
	done chan struct{} // nil for a synchronous write
}

// ended reports whether the write has ended, with or without an error.
func (w *write) ended() bool {
	if w.done == nil {
		return true
	}
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

func (w *write) wait() {
	if w.done != nil {
		<-w.done
	}
}

// startSend writes a small request synchronously. A larger one is written in a
// goroutine while the answer is read, because the peer may answer before it has
// read the whole request.
func (c *connection) startSend(req *http.Request) *write {
	w := &c.writing
	*w = write{}
	if req.ContentLength <= maxInlineBodyBytes {
		w.err = c.send(req)
		return w
	}
	w.done = make(chan struct{})
	go func() {
		defer close(w.done)
		w.err = c.send(req)
	}()
	return w
}

func (c *connection) send(req *http.Request) error {
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// receive reads the header of the final answer.
func (c *connection) receive(req *http.Request, params Params) (*http.Response, error) {
	for range maxInformational {
		answer, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrProtocolSwitch
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if echo := answer.Header.Get(params.EchoHeader); params.EchoHeader != "" && echo != "" && echo != params.Echo {
			return nil, ErrMismatch
		}
		if hasNoLength(req, answer) {
			return nil, ErrNoLength
		}
		c.headerBytesLeft = unlimited
		return answer, nil
	}
	return nil, fmt.Errorf("more than %d informational answers", maxInformational)
}

// hasNoLength reports whether only the end of the connection delimits the body.
func hasNoLength(req *http.Request, answer *http.Response) bool {
	if req.Method == http.MethodHead || answer.StatusCode == http.StatusNoContent || answer.StatusCode == http.StatusNotModified {
		return false
	}
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}

// causeOf returns the cause of a failed read: the context, the silence timeout,
// or err.
func (c *connection) causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if c.silenceExpired {
		return ErrSilenceTimeout
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Read reads the body. A premature end is io.ErrUnexpectedEOF or another error,
// never io.EOF.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
		return n, io.EOF
	}
	if err != nil {
		a.failed = true
	}
	return n, err
}

// Silent reports whether the body ended by the silence timeout.
func (a *Answer) Silent() bool { return a.conn.silenceExpired }

// Close ends the exchange and returns or closes its connection.
func (a *Answer) Close() {
	stopped := a.stop()
	whole := stopped && a.whole && !a.failed
	if !a.wrote.ended() {
		// The peer answered before it had read the whole request.
		a.client.put(a.conn, false, false)
		a.wrote.wait()
		return
	}
	a.client.put(a.conn, whole && a.wrote.err == nil, !a.Response.Close)
}
