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
	// ErrSilenceTimeout: nothing arrived for the silence limit.
	ErrSilenceTimeout = errors.New("the connection went silent")
	// ErrMismatch: the answer names another request.
	ErrMismatch = errors.New("the answer belongs to another request")
	// ErrNoLength: the answer ends only with its connection, so that it cannot be
	// told from a truncated one (RFC 9112, 6.3).
	ErrNoLength = errors.New("the answer has no length")
	// ErrProtocolSwitch: the peer switched the protocol without being asked.
	ErrProtocolSwitch = errors.New("the peer switched the protocol")
)

// Error is the failure of an exchange.
type Error struct {
	// Sent is false only if no byte of the request can have reached the peer.
	Sent bool
	// Reused tells whether the connection had carried an exchange before.
	Reused bool
	cause  error
}

// Error returns the cause and whether the request was sent.
func (e *Error) Error() string {
	return fmt.Sprintf("sent=%t reused=%t: %v", e.Sent, e.Reused, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Params are the terms of one exchange.
type Params struct {
	// Reuse allows a connection that carried an exchange before. It must be false
	// for a request that must not run twice.
	Reuse bool
	// SilenceTimeout is the time without a byte from the peer after which the exchange
	// is given up, zero for none.
	SilenceTimeout time.Duration
	// Echo is the value of the header EchoHeader that an answer must carry if it
	// carries that header at all.
	Echo       string
	EchoHeader string
}

// maxInformational bounds the 1xx answers before the final one.
const maxInformational = 8

// inlineBody is the size in bytes up to which a body is written before the
// answer is read: it fits into the buffers of the two sockets.
const inlineBody = 16 << 10

// Answer is the answer of the peer. Its body must be closed, which returns the
// connection if the answer was read whole and closes it otherwise.
type Answer struct {
	*http.Response
	client *Client
	conn   *connection
	stop   func() bool
	whole  bool
	failed bool
	wrote  *write
}

// Do sends the request once and reads the header of its answer. The request's
// body is written by req.Write; GetBody is never called.
func (c *Client) Do(ctx context.Context, req *http.Request, params Params) (*Answer, error) {
	conn, err := c.acquire(ctx, params.Reuse)
	if err != nil {
		return nil, &Error{cause: err}
	}
	deadline, _ := ctx.Deadline()
	if err := conn.begin(deadline, params.SilenceTimeout); err != nil {
		c.put(conn, false, false)
		return nil, &Error{Reused: conn.reused, cause: err}
	}
	stop := context.AfterFunc(ctx, conn.cancel)
	wrote := conn.startSend(req)
	answer, err := conn.receive(req, params)
	if err != nil {
		stop()
		c.put(conn, false, false)
		wrote.wait() // The closed connection ends the write; after it the body is free.
		return nil, &Error{Sent: conn.written.Load() > 0, Reused: conn.reused, cause: conn.explain(ctx, err)}
	}
	return &Answer{Response: answer, client: c, conn: conn, stop: stop, wrote: wrote}, nil
}

// write is the sending of a request, which may go on beside the reading of its
// answer.
type write struct {
	err  error
	done chan struct{} // nil if it ended at once
}

// ended reports whether the request was written whole.
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

// startSend writes the request: a small one at once, a larger one beside the
// reading of the answer, which may come before the peer has read the request.
func (c *connection) startSend(req *http.Request) *write {
	w := &c.writing
	*w = write{}
	if req.ContentLength <= inlineBody {
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
		if isUnframed(req, answer) {
			return nil, ErrNoLength
		}
		c.headerLeft = unlimited
		return answer, nil
	}
	return nil, fmt.Errorf("more than %d informational answers", maxInformational)
}

// isUnframed reports whether the body ends with the connection only.
func isUnframed(req *http.Request, answer *http.Response) bool {
	if req.Method == http.MethodHead || answer.StatusCode == http.StatusNoContent || answer.StatusCode == http.StatusNotModified {
		return false
	}
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}

// explain names the cause behind a failed read.
func (c *connection) explain(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if c.silent {
		return ErrSilenceTimeout
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Read reads the body of the answer. An early end is io.ErrUnexpectedEOF or
// another error, never io.EOF.
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

// Silent reports whether the body ended because nothing arrived any more.
func (a *Answer) Silent() bool { return a.conn.silent }

// Close ends the exchange.
func (a *Answer) Close() {
	stopped := a.stop()
	whole := stopped && a.whole && !a.failed
	if !a.wrote.ended() {
		// The peer answered before it read the whole request.
		a.client.put(a.conn, false, false)
		a.wrote.wait()
		return
	}
	a.client.put(a.conn, whole && a.wrote.err == nil, !a.Response.Close)
}
