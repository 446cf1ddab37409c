package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedServer answers the n-th request of each connection with the n-th
// text, and closes the connection after the last.
type scriptedServer struct {
	listener net.Listener
	answers  []string
	mu       sync.Mutex
	seen     []*http.Request
	bodies   []string
	wait     sync.WaitGroup
}

func startScriptedServer(t *testing.T, answers ...string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedServer{listener: listener, answers: answers}
	s.wait.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.wait.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close() // Ends the accept loop.
		s.wait.Wait()
	})
	return s
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // All answers are written.
	reader := bufio.NewReader(conn)
	for _, answer := range s.answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.seen = append(s.seen, request)
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func (s *scriptedServer) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

func newRequest(method, body string, header http.Header) *http.Request {
	request := &http.Request{
		Method: method, URL: &url.URL{Path: "/a", RawPath: "/%61"}, Host: "example", Header: header,
		ContentLength: int64(len(body)), ProtoMajor: 1, ProtoMinor: 1,
	}
	if body != "" {
		request.Body = io.NopCloser(strings.NewReader(body))
	}
	return request
}

func exchangeOnce(c *Client, request *http.Request, params Params) (string, error) {
	answer, err := c.Do(context.Background(), request, params)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestNothingIsReplayed covers the requests that http.Transport retries by
// itself: a request with an idempotency key and GetBody, and a GET without a
// body, each on a connection that dies after its first exchange.
func TestNothingIsReplayed(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			s := startScriptedServer(t, okAnswer, "")
			c := New(Options{Address: s.listener.Addr().String()})
			defer c.Close()
			header := func() http.Header { return http.Header{"Idempotency-Key": {"k1"}} }
			body := map[string]string{http.MethodPost: "booking"}[method]
			_, err := exchangeOnce(c, newRequest(method, body, header()), Params{Reuse: true})
			require.NoError(t, err)
			request := newRequest(method, body, header())
			request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(body)), nil }
			_, err = exchangeOnce(c, request, Params{Reuse: true})
			var fault *Error
			require.ErrorAs(t, err, &fault)
			assert.True(t, fault.Sent)
			assert.True(t, fault.Reused)
			assert.Equal(t, 2, s.requests(), "the request was sent once after the first exchange")
			assert.Equal(t, "k1", s.seen[1].Header.Get("Idempotency-Key"), "the key reaches the target")
			assert.Equal(t, "/%61", s.seen[1].RequestURI)
		})
	}
}

// TestTransportWouldReplay shows that http.Transport has the fault that
// TestNothingIsReplayed guards against.
func TestTransportWouldReplay(t *testing.T) {
	s := startScriptedServer(t, okAnswer, "")
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, "http://"+s.listener.Addr().String(), strings.NewReader("booking"))
		require.NoError(t, err)
		request.Header.Set("Idempotency-Key", "k1")
		response, err := transport.RoundTrip(request)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		_ = response.Body.Close() // The body was read to its end.
	}
	assert.Equal(t, 3, s.requests(), "two requests were sent three times")
}

// A server closes each connection after its answer. A request on such a connection
// would fail, so the client must notice the close and open a new one.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	s := startScriptedServer(t, okAnswer)
	c := New(Options{Address: s.listener.Addr().String()})
	defer c.Close()
	for range 5 {
		_, err := exchangeOnce(c, newRequest(http.MethodGet, "", nil), Params{Reuse: true})
		require.NoError(t, err)
		require.Eventually(t, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return len(c.idle) == 0 || !c.idle[0].usable(time.Now(), time.Hour)
		}, 10*time.Second, time.Millisecond)
	}
	assert.Equal(t, 5, s.requests())
}

// A connection that was idle for IdleTimeout must not be reused.
func TestAgedConnectionIsNotUsed(t *testing.T) {
	s := startScriptedServer(t, okAnswer, okAnswer, okAnswer)
	now := time.Now()
	c := New(Options{Address: s.listener.Addr().String(), Now: func() time.Time { return now }})
	defer c.Close()
	reused := func() bool {
		answer, err := c.Do(context.Background(), newRequest(http.MethodGet, "", nil), Params{Reuse: true})
		require.NoError(t, err)
		defer answer.Close()
		_, err = io.Copy(io.Discard, answer)
		require.NoError(t, err)
		return answer.conn.reused
	}
	assert.False(t, reused())
	assert.True(t, reused())
	now = now.Add(DefaultIdleTimeout)
	assert.False(t, reused())
}

// A malformed or truncated answer must be an error, never a complete answer, and
// must not cause a resend.
func TestBadAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"informational without end": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20),
		"switched protocol":         "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"header too large":          "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxAnswerHeaderBytes) + okAnswer[15:],
		"no length":                 "HTTP/1.1 200 OK\r\n\r\nabc",
		"truncated":                 "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
		"truncated chunk":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"chunks without end":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"two lengths":               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
		"no HTTP":                   "hello\r\n\r\n",
		"empty":                     "",
	} {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, answer)
			c := New(Options{Address: s.listener.Addr().String()})
			defer c.Close()
			_, err := exchangeOnce(c, newRequest(http.MethodPost, "x", nil), Params{})
			require.Error(t, err)
			assert.False(t, errors.Is(err, io.EOF), "an early end is not a complete answer")
			assert.Equal(t, 1, s.requests())
		})
	}
}

func TestDialFailureIsReportedAsNotSent(t *testing.T) {
	c := New(Options{Address: "127.0.0.1:1"})
	_, err := exchangeOnce(c, newRequest(http.MethodPost, "x", nil), Params{})
	var fault *Error
	require.ErrorAs(t, err, &fault)
	assert.False(t, fault.Sent)
}

// FuzzAnswer feeds arbitrary bytes as an answer; the exchange must end.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(okAnswer))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = http.ReadRequest(bufio.NewReader(far)) // The request is known to be valid.
			_, _ = far.Write(data)                        // The client may have closed the connection.
			_ = far.Close()                               // Ends the answer.
		}()
		c := New(Options{Dial: func(context.Context, string) (net.Conn, error) { return near, nil }})
		_, _ = exchangeOnce(c, newRequest(http.MethodGet, "", nil), Params{}) // Success and failure are both allowed.
		c.Close()
		_ = near.Close() // Ends the writer if the client did not read all.
		<-done
	})
}

// TestStrayAnswerEndsTheConnection guards against reuse of a connection whose
// server sent an answer twice.
func TestStrayAnswerEndsTheConnection(t *testing.T) {
	s := startScriptedServer(t, okAnswer+okAnswer, okAnswer)
	c := New(Options{Address: s.listener.Addr().String()})
	defer c.Close()
	answer, err := c.Do(context.Background(), newRequest(http.MethodGet, "", nil), Params{Reuse: true})
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer)
	require.NoError(t, err)
	require.NotZero(t, answer.conn.reader.Buffered(), "the second answer came with the first")
	answer.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Empty(t, c.idle)
}
