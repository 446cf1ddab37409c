package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lateConn is the connection of a process that gets no processor time for a while: a read
// begins after the delay.
type lateConn struct {
	net.Conn
	delay time.Duration
}

func (c *lateConn) Read(p []byte) (int, error) {
	time.Sleep(c.delay)
	c.delay = 0
	return c.Conn.Read(p)
}

// exchangeLate sends a request with a deadline of 20 ms through a connection whose first read
// begins after it.
func exchangeLate(t *testing.T, answer string) (string, error) {
	server := startScriptedServer(t, answer)
	client := New(Options{Address: server.listener.Addr().String(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		return &lateConn{conn, 60 * time.Millisecond}, err
	}})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: "h", Path: "/"}, Host: "h", Header: http.Header{}}
	response, err := client.Do(ctx, request, Params{Reuse: true})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// Guards against answers that arrive in time and count as none, since the process that waits
// for them is short of processor time: it learns of the deadline before it reads. The leader
// then repeats orders that were carried out.
func TestAnAnswerThatHasArrivedIsReadAfterTheDeadline(t *testing.T) {
	body, err := exchangeLate(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	require.NoError(t, err)
	assert.Equal(t, "ok", body)
}

// Guards against an exchange without end: of an answer that is incomplete at its deadline, only
// what has arrived is read.
func TestAnIncompleteAnswerEndsAtTheDeadline(t *testing.T) {
	startedAt := time.Now()
	body, err := exchangeLate(t, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok")
	require.Error(t, err)
	assert.Equal(t, "ok", body)
	assert.Less(t, time.Since(startedAt), 2*time.Second)
}
