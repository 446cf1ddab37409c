package workersync

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workerapi"
)

const (
	// maxIdleSyncBytes bounds the bytes of an idle sync over HTTP/1.1: request and
	// answer, with headers.
	maxIdleSyncBytes    = 460
	workersPerEntryHost = 70
)

// countingListener counts the bytes that its connections receive and send.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: l.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func TestIdleSyncsStayWithinByteBudget(t *testing.T) {
	s, plain := startService(t, &stubLeader{session: 1})
	post(t, plain, fullSync(1))
	var total atomic.Int64
	server := httptest.NewUnstartedServer(s.Handler())
	server.Listener = countingListener{Listener: server.Listener, bytes: &total}
	server.Start()
	defer server.Close()
	defer http.DefaultClient.CloseIdleConnections()

	const syncs = 10
	for i := range int64(syncs) {
		body, err := json.Marshal(workerapi.SyncRequest{Incarnation: 3, SentMs: 81_234_000 + i, State: "ready", HoldMs: 0})
		require.NoError(t, err)
		response, err := http.Post(server.URL+"/v1/workers/w1/sync", "application/json", bytes.NewReader(body))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	each := total.Load() / syncs
	t.Logf("%d bytes per idle sync: %d bytes per second for %d workers at a hold of 3 s, %d at 5 s", each, each*workersPerEntryHost/3, workersPerEntryHost, each*workersPerEntryHost/5)
	assert.LessOrEqual(t, each, int64(maxIdleSyncBytes))
}
