package capacity

import (
	"context"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/replica"
	"mangohill.example/mangohill/rpcclient"
	"mangohill.example/mangohill/rpcserver"
	"mangohill.example/mangohill/state"
	"mangohill.example/mangohill/types"
)

// measureFor is the time over which the replication is watched.
const measureFor = 5 * time.Second

// counter counts the gob bytes of the calls that pass through it.
type counter struct {
	caller   controlapi.Caller
	calls    atomic.Int64
	sent     atomic.Int64
	received atomic.Int64
}

// Call implements controlapi.Caller.
func (c *counter) Call(ctx context.Context, address, method string, args, reply any) error {
	err := c.caller.Call(ctx, address, method, args, reply)
	c.calls.Add(1)
	c.sent.Add(gobBytes(&rpc.Request{ServiceMethod: method, Seq: 100_000}, args))
	c.received.Add(gobBytes(&rpc.Response{ServiceMethod: method, Seq: 100_000}, reply))
	return err
}

// gobBytes returns the bytes of the values on a connection that has carried
// their types before.
func gobBytes(values ...any) int64 {
	var out discard
	encoder := gob.NewEncoder(&out)
	for range 2 {
		out.bytes = 0
		for _, value := range values {
			if err := encoder.Encode(value); err != nil {
				return 0
			}
		}
	}
	return int64(out.bytes)
}

// group is a control group in this process. Only the bytes of the first member
// are counted.
type group struct {
	members []*replica.Replica
	servers []*rpcserver.Server
	wait    sync.WaitGroup
	count   *counter
}

func startGroup(b *testing.B, size int) *group {
	b.Helper()
	g := &group{count: &counter{caller: rpcclient.New(rpcclient.Options{})}}
	var addresses []string
	for range size {
		server, err := rpcserver.Listen("127.0.0.1:0")
		require.NoError(b, err)
		g.servers = append(g.servers, server)
		addresses = append(addresses, server.Address())
	}
	for i := range size {
		var caller controlapi.Caller = rpcclient.New(rpcclient.Options{})
		if i == 0 {
			caller = g.count
		}
		member, err := replica.Start(replica.Options{
			Name: fmt.Sprintf("control-%d", i+1), Address: addresses[i], ControlAddresses: addresses, DataDir: b.TempDir(),
			Bootstrap: i == 0, StateMachine: state.New(), Logger: zerolog.Nop(), Caller: caller,
		})
		require.NoError(b, err)
		require.NoError(b, member.Register(g.servers[i].RPC()))
		g.wait.Go(g.servers[i].Serve)
		g.members = append(g.members, member)
	}
	b.Cleanup(g.stop)
	require.Eventually(b, func() bool { return voters(g.members[0]) == size }, 20*time.Second, 10*time.Millisecond)
	return g
}

func voters(r *replica.Replica) int {
	n := 0
	for _, m := range r.Status().Members {
		if m.Role != "learner" {
			n++
		}
	}
	return n
}

func (g *group) stop() {
	for i := range g.members {
		g.members[i].Stop()
		g.servers[i].Close()
	}
	g.wait.Wait()
}

// BenchmarkReplication gives the bytes that the leader exchanges with each
// follower, without TCP and IP: idle, and with log entries of ten starts, twenty
// times a second.
func BenchmarkReplication(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d/idle", size), func(b *testing.B) {
			g := startGroup(b, size)
			b.ResetTimer()
			for range b.N {
				g.measure(b, func() { time.Sleep(measureFor) })
			}
		})
		b.Run(fmt.Sprintf("members=%d/starts", size), func(b *testing.B) {
			g := startGroup(b, size)
			b.ResetTimer()
			for range b.N {
				g.measure(b, func() { g.proposeStarts(b) })
			}
		})
	}
}

func (g *group) measure(b *testing.B, load func()) {
	b.Helper()
	begin := time.Now()
	calls, sent, received := g.count.calls.Load(), g.count.sent.Load(), g.count.received.Load()
	load()
	perFollower := func(total, before int64) float64 {
		return float64(total-before) / time.Since(begin).Seconds() / float64(len(g.members)-1)
	}
	b.ReportMetric(perFollower(g.count.calls.Load(), calls), "calls/s/follower")
	b.ReportMetric(perFollower(g.count.sent.Load(), sent), "B-sent/s/follower")
	b.ReportMetric(perFollower(g.count.received.Load(), received), "B-received/s/follower")
}

// proposeStarts proposes starts at the planned peak. The starts name unknown
// tasks: the state refuses them, which costs the log and the wire the same.
func (g *group) proposeStarts(b *testing.B) {
	b.Helper()
	const perEntry = 10
	const pause = time.Second * perEntry / startsPerSecond
	for i := range int(measureFor / pause) {
		var ops []state.Op
		for j := range perEntry {
			ops = append(ops, state.Start{Task: types.TaskID(5000 + i*perEntry + j), Worker: types.WorkerID(j), Epoch: 2, Reason: "best score"})
		}
		data, err := state.Encode(nowMs, ops...)
		require.NoError(b, err)
		_, err = g.members[0].Propose(b.Context(), data)
		require.NoError(b, err)
		time.Sleep(pause)
	}
}
