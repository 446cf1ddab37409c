package registry

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/rpcclient"
	"mangohill.example/mangohill/types"
)

// meteredConn counts the bytes in both directions.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// TestBytesOfARefresh limits the net/rpc bytes of one refresh with 11 targets:
// the share of one of 8 entry hosts when 65 targets announce themselves every
// 1.5 seconds.
func TestBytesOfARefresh(t *testing.T) {
	const targets, rounds, bound = 11, 20, 200
	g := newGroup("b")
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Peer", g.members["b"].PeerService()))
	var bytes atomic.Int64
	client := rpcclient.New(rpcclient.Options{Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go server.ServeConn(far)
		return meteredConn{Conn: near, bytes: &bytes}, nil
	}})
	defer client.Close()
	args := RefreshArgs{From: "entry-1"}
	for i := range targets {
		record := newTarget(1, types.TargetReady)
		record.Name = fmt.Sprintf("booking-%02d", i)
		_, err := g.members["b"].apply(record, false)
		require.NoError(t, err)
		args.Packed = pack(args.Packed, record)
	}
	call := func() {
		var reply RefreshReply
		require.NoError(t, client.Call(context.Background(), "b", methodRefresh, &args, &reply))
		require.Empty(t, reply.Want)
	}
	call() // The first call also carries the gob type descriptions.
	before := bytes.Load()
	for range rounds {
		call()
	}
	each := (bytes.Load() - before) / rounds
	t.Logf("%d bytes a refresh of %d targets", each, targets)
	assert.Less(t, each, int64(bound))
}
