package capacity

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/replica"
	"mangohill.example/mangohill/rpcclient"
	"mangohill.example/mangohill/rpcserver"
	"mangohill.example/mangohill/state"
)

const (
	// formTimeout is the time within which all members must become voters.
	formTimeout = 20 * time.Second
	// formInterval is the interval at which the roles of the members are polled.
	formInterval = 20 * time.Millisecond
	// startsPerEntry is the number of starts in each proposed log entry.
	startsPerEntry = 10
)

// Replication runs a control group of the given size in this process and measures the
// calls and bytes, without TCP and IP headers, between its leader and each follower.
// The group is idle for the duration and then starts StartsPerSecond tasks a second
// for the duration.
func Replication(ctx context.Context, members int, duration time.Duration) ([]Slope, error) {
	folder, err := os.MkdirTemp("", "mangohill-capacity-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	g, err := startGroup(ctx, members, folder)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	idle, err := g.measure("idle", func() error { return pause(ctx, duration) })
	if err != nil {
		return nil, err
	}
	loaded, err := g.measure("200 starts/s", func() error { return g.proposeStarts(ctx, duration) })
	return append(idle, loaded...), err
}

// countingCaller counts the calls made through it and their bytes.
type countingCaller struct {
	caller   controlapi.Caller
	calls    atomic.Int64
	sent     atomic.Int64
	received atomic.Int64
}

// Call implements controlapi.Caller.
func (c *countingCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	err := c.caller.Call(ctx, address, method, args, reply)
	sent, _ := requestBytes(method, args)     // Cannot fail: the message was already sent.
	received, _ := answerBytes(method, reply) // As above.
	c.calls.Add(1)
	c.sent.Add(int64(sent))
	c.received.Add(int64(received))
	return err
}

// group is a control group. The calls of its first member, the leader, are counted.
type group struct {
	members []*replica.Replica
	servers []*rpcserver.Server
	serving sync.WaitGroup
	count   *countingCaller
}

func startGroup(ctx context.Context, size int, folder string) (*group, error) {
	g := &group{count: &countingCaller{caller: rpcclient.New(rpcclient.Options{})}}
	var addresses []string
	for range size {
		server, err := rpcserver.Listen("127.0.0.1:0")
		if err != nil {
			g.stop()
			return nil, err
		}
		g.servers = append(g.servers, server)
		addresses = append(addresses, server.Address())
	}
	for i := range size {
		if err := g.startMember(i, addresses, folder); err != nil {
			g.stop()
			return nil, err
		}
	}
	if err := g.awaitVoters(ctx, size); err != nil {
		g.stop()
		return nil, err
	}
	return g, nil
}

func (g *group) startMember(i int, addresses []string, folder string) error {
	var caller controlapi.Caller = rpcclient.New(rpcclient.Options{})
	if i == 0 {
		caller = g.count
	}
	name := fmt.Sprintf("control-%d", i+1)
	member, err := replica.Start(replica.Options{
		Name: name, Address: addresses[i], ControlAddresses: addresses, DataDir: folder + "/" + name,
		Bootstrap: i == 0, StateMachine: state.New(), Logger: zerolog.Nop(), Caller: caller,
	})
	if err != nil {
		return err
	}
	g.members = append(g.members, member)
	if err := member.Register(g.servers[i].RPC()); err != nil {
		return err
	}
	g.serving.Go(g.servers[i].Serve)
	return nil
}

func (g *group) awaitVoters(ctx context.Context, size int) error {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	for g.voters() < size {
		if err := pause(ctx, formInterval); err != nil {
			return fmt.Errorf("%d of %d members became voters: %w", g.voters(), size, err)
		}
	}
	return nil
}

func (g *group) voters() int {
	n := 0
	for _, m := range g.members[0].Status().Members {
		if m.Role != "learner" {
			n++
		}
	}
	return n
}

func (g *group) stop() {
	for _, member := range g.members {
		member.Stop()
	}
	for _, server := range g.servers {
		server.Close()
	}
	g.serving.Wait()
}

func (g *group) measure(name string, load func() error) ([]Slope, error) {
	begin := time.Now()
	calls, sent, received := g.count.calls.Load(), g.count.sent.Load(), g.count.received.Load()
	if err := load(); err != nil {
		return nil, err
	}
	perFollower := func(total, before int64) float64 {
		return float64(total-before) / time.Since(begin).Seconds() / float64(len(g.members)-1)
	}
	prefix := fmt.Sprintf("replication, %d members, %s: ", len(g.members), name)
	return []Slope{
		{prefix + "calls to each follower", perFollower(g.count.calls.Load(), calls), UnitPerSecond},
		{prefix + "sent to each follower", perFollower(g.count.sent.Load(), sent), UnitBytesPerSecond},
		{prefix + "received from each follower", perFollower(g.count.received.Load(), received), UnitBytesPerSecond},
	}, nil
}

// proposeStarts proposes task starts at the planned peak rate. The tasks are unknown,
// so the state refuses the starts, but the cost in log and network is the same.
func (g *group) proposeStarts(ctx context.Context, duration time.Duration) error {
	const interval = time.Second * startsPerEntry / StartsPerSecond
	for i := range int(duration / interval) {
		ops := make([]state.Op, 0, startsPerEntry)
		for j := range startsPerEntry {
			ops = append(ops, start(i*startsPerEntry+j))
		}
		data, err := state.Encode(nowMs, ops...)
		if err != nil {
			return err
		}
		if _, err := g.members[0].Propose(ctx, data); err != nil {
			return err
		}
		if err := pause(ctx, interval); err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
