package descriptor

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startServer serves an answer to every request on a listener with the given limit.
func startServer(t *testing.T, limit int, serve http.HandlerFunc) (*Budget, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	budget := &Budget{total: limit}
	limited := budget.Listen(listener, Inbound)
	server := &http.Server{Handler: serve, ConnState: limited.ConnState, ReadHeaderTimeout: time.Minute}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(limited) // Ends with ErrServerClosed.
	}()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		<-done
		assert.Zero(t, budget.Used(Inbound))
	})
	return budget, listener.Addr().String()
}

// get sends a request and keeps its connection open.
func get(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // The server may have closed it.
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	return conn
}

// Guards against a process whose callers keep idle connections open until no other one
// can be accepted: many callers, few descriptors.
func TestIdleConnectionsMakeRoomForNewOnes(t *testing.T) {
	budget, address := startServer(t, 16, func(http.ResponseWriter, *http.Request) {})
	limit := budget.Limit(Inbound)
	for range 10 * limit {
		conn := get(t, address)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
		answer := make([]byte, len("HTTP/1.1 200 OK"))
		_, err := io.ReadFull(conn, answer)
		require.NoError(t, err)
		assert.Equal(t, "HTTP/1.1 200 OK", string(answer))
		assert.LessOrEqual(t, budget.Used(Inbound), limit)
	}
}

// A connection whose request is in progress is never closed for another one.
func TestConnectionsInUseAreKeptAtTheLimit(t *testing.T) {
	entered, finish := make(chan struct{}), make(chan struct{})
	budget, address := startServer(t, 16, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-finish
	})
	limit := budget.Limit(Inbound)
	var conns []net.Conn
	for range limit {
		conns = append(conns, get(t, address))
		<-entered
	}
	late := get(t, address)
	select {
	case <-entered:
		t.Fatal("a connection was accepted above the limit")
	case <-time.After(3 * limitPollInterval):
	}
	finish <- struct{}{}
	<-entered
	close(finish)
	for _, conn := range append(conns, late) {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
		answer := make([]byte, len("HTTP/1.1 200 OK"))
		_, err := io.ReadFull(conn, answer)
		require.NoError(t, err)
	}
}
