package replica

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/rpcclient"
)

// countedConn counts the bytes in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts before it writes: over a pipe the reply can arrive before Write
// returns, and its bytes would be counted for the next call.
func (c countedConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// acknowledger is a service that answers every Step like a follower that
// accepts all entries.
type acknowledger struct{}

func (acknowledger) Step(args *Packet, reply *Packet) error {
	var e envelope
	if err := decode(args.B, &e); err != nil {
		return err
	}
	m := e.Messages[0]
	answer := consensus.Message{Type: consensus.MessageAppendResponse, Term: m.Term, Index: m.Index + uint64(len(m.Entries)), Round: m.Round}
	data, err := encode([]consensus.Message{answer})
	reply.B = data
	return err
}

// callBytes returns the bytes in both directions of one call with the given
// number of entries, on an established connection.
func callBytes(t *testing.T, entries, dataBytes int) int64 {
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName(serviceName, acknowledger{}))
	var count atomic.Int64
	client := rpcclient.New(rpcclient.Options{Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go server.ServeConn(far)
		return countedConn{near, &count}, nil
	}})
	defer client.Close()
	s := &sender{replica: &Replica{options: Options{Caller: client}}}
	m := consensus.Message{Type: consensus.MessageAppend, Term: 12, Index: 1_000_000, LogTerm: 12, Commit: 999_990, Round: 100_000}
	for range entries {
		m.Entries = append(m.Entries, consensus.Entry{Term: 12, Data: make([]byte, dataBytes)})
	}
	e := envelope{Cluster: 1 << 63, From: 1 << 63, To: 1 << 63, Messages: []consensus.Message{m}}
	for range 1000 { // Raises the sequence number of net/rpc, which takes more bytes the larger it is.
		_, err := s.roundTrip(context.Background(), stepMethod, e)
		require.NoError(t, err)
	}
	before := count.Load()
	_, err := s.roundTrip(context.Background(), stepMethod, e)
	require.NoError(t, err)
	return count.Load() - before
}

// The bytes that replication adds to the data of an entry, in both directions, must
// stay small: at most 160 for an entry sent alone and 16 for each of a batch of 20.
func TestReplicationOverheadOnTheWire(t *testing.T) {
	const dataBytes = 30
	heartbeat := callBytes(t, 0, 0)
	single := callBytes(t, 1, dataBytes)
	batch := callBytes(t, 20, dataBytes)
	t.Logf("heartbeat and answer %d bytes; one entry of %d: %d; batch of 20: %d, %.1f for each entry",
		heartbeat, dataBytes, single, batch, float64(batch)/20)
	assert.LessOrEqual(t, single-dataBytes, int64(160))
	assert.LessOrEqual(t, batch/20-dataBytes, int64(16))
}

// Proposals of many callers must share syncs, at least 20 proposals per sync: one
// sync per proposal would limit the throughput to the disk's sync rate.
func TestConcurrentProposalsShareSyncs(t *testing.T) {
	const proposers, each = 200, 20
	nodes := newNodes(t, 3, slowTicks)
	startGroup(t, nodes)
	leader := leaderOf(nodes)
	before := leader.replica.Status().Syncs
	var group sync.WaitGroup
	var failed atomic.Int64
	for p := range proposers {
		group.Go(func() {
			for i := range each {
				if _, err := leader.replica.Propose(context.Background(), []byte(fmt.Sprint(p, " ", i))); err != nil {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	syncs := leader.replica.Status().Syncs - before
	t.Logf("%d commands, %d failed, in %d syncs: %.1f for each", proposers*each, failed.Load(), syncs, float64(proposers*each)/float64(syncs))
	assert.Zero(t, failed.Load())
	assert.GreaterOrEqual(t, uint64(proposers*each), 20*syncs)
}

// BenchmarkPropose measures commands replicated to three replicas on loopback,
// by the number of concurrent proposers.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 200} {
		b.Run(fmt.Sprint("proposers=", proposers), func(b *testing.B) {
			nodes := newNodes(b, 3, nil)
			startGroup(b, nodes)
			leader := leaderOf(nodes).replica
			before := leader.Status().Syncs
			var next atomic.Int64
			var group sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				group.Go(func() {
					for next.Add(1) <= int64(b.N) {
						if _, err := leader.Propose(context.Background(), make([]byte, 30)); err != nil {
							b.Error(err)
						}
					}
				})
			}
			group.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/float64(leader.Status().Syncs-before), "commands/sync")
		})
	}
}
