package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/rpcclient"
)

// patience bounds the wait for an event that must come; no verdict depends on
// how long it took.
const patience = 30 * time.Second

// journal is a state machine that keeps every command.
type journal struct {
	mu       sync.Mutex
	Commands []string
}

func (j *journal) Apply(_ uint64, data []byte) any {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Commands = append(j.Commands, string(data))
	return len(j.Commands)
}

func (j *journal) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return json.Marshal(j.Commands)
}

func (j *journal) Restore(data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Commands = nil
	return json.Unmarshal(data, &j.Commands)
}

// forget empties the journal, as a state machine that keeps nothing would.
func (j *journal) forget() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Commands = nil
}

func (j *journal) commands() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.Commands...)
}

// node is one control host: a listener at a fixed address and the replica behind
// it, which can be stopped and started again.
type node struct {
	t       testing.TB
	options Options
	wire    *wire
	journal *journal
	replica *Replica
	server  *listener
}

// listener serves net/rpc and can be closed with its connections.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *listener) serve(server *rpc.Server) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
		go server.ServeConn(conn)
	}
}

func (l *listener) shut() {
	l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.Close()
	}
}

// reserve returns loopback addresses that are free now.
func reserve(t testing.TB, count int) []string {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// patientTicks keeps a busy machine from causing elections where a test counts
// on none.
func patientTicks(o *Options) { o.Tick = 100 * time.Millisecond }

func newNodes(t testing.TB, count int, change func(*Options)) []*node {
	addresses := reserve(t, count)
	var nodes []*node
	shared := &wire{}
	for i, address := range addresses {
		n := &node{t: t, wire: shared, options: Options{
			Name: fmt.Sprintf("control-%d", i+1), Address: address, ControlAddresses: addresses,
			DataDir: t.TempDir(), Logger: quietLogger(t),
			Tick: 10 * time.Millisecond, Bootstrap: i == 0, Seed: uint64(i + 1),
		}}
		if change != nil {
			change(&n.options)
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// wire carries the calls between nodes. A node that is cut reaches nobody and is
// reached by nobody: calls stay without an answer, as on a silent connection.
type wire struct {
	mu  sync.Mutex
	cut map[string]bool
}

func (w *wire) set(address string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut == nil {
		w.cut = make(map[string]bool)
	}
	w.cut[address] = cut
}

func (w *wire) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[a] || w.cut[b]
}

// wiredCaller is the caller of one node.
type wiredCaller struct {
	*rpcclient.Client
	wire *wire
	from string
}

func (c wiredCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	if c.wire.isCut(c.from, address) {
		<-ctx.Done()
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, ctx.Err())
	}
	err := c.Client.Call(ctx, address, method, args, reply)
	if c.wire.isCut(c.from, address) {
		<-ctx.Done()
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, ctx.Err())
	}
	return err
}

func (n *node) start() {
	n.journal = &journal{}
	n.options.StateMachine = n.journal
	client := rpcclient.New(rpcclient.Options{})
	n.options.Caller = wiredCaller{client, n.wire, n.options.Address}
	r, err := Start(n.options)
	require.NoError(n.t, err)
	n.replica = r
	server := rpc.NewServer()
	require.NoError(n.t, r.Register(server))
	l, err := net.Listen("tcp", n.options.Address)
	require.NoError(n.t, err)
	n.server = &listener{Listener: l}
	go n.server.serve(server)
	n.t.Cleanup(func() { n.halt(); client.Close() })
}

// halt stops replica and listener; a second call does nothing.
func (n *node) halt() {
	if n.replica == nil {
		return
	}
	n.replica.Stop()
	n.server.shut()
	n.replica = nil
}

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, patience, 5*time.Millisecond, what)
}

// leaderOf returns the node that leads in the highest term.
func leaderOf(nodes []*node) *node {
	var best *node
	for _, n := range nodes {
		if n.replica == nil || n.replica.Status().Role != "leader" {
			continue
		}
		if best == nil || n.replica.Status().Term > best.replica.Status().Term {
			best = n
		}
	}
	return best
}

func voters(n *node) int {
	count := 0
	for _, m := range n.replica.Status().Members {
		if m.Role != "learner" {
			count++
		}
	}
	return count
}

// startGroup starts all nodes and waits until all are voters.
func startGroup(t testing.TB, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		n.start()
		n.options.Bootstrap = false
	}
	awaitGroup(t, nodes, len(nodes))
}

func awaitGroup(t testing.TB, nodes []*node, size int) {
	t.Helper()
	eventually(t, "all members are voters", func() bool {
		leader := leaderOf(nodes)
		return leader != nil && voters(leader) == size && len(leader.replica.Status().Members) == size
	})
}

// propose repeats a command until the leader answers for it.
func propose(t testing.TB, nodes []*node, command string) any {
	t.Helper()
	var result any
	eventually(t, "the command is accepted", func() bool {
		leader := leaderOf(nodes)
		if leader == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		value, err := leader.replica.Propose(ctx, []byte(command))
		result = value
		return err == nil
	})
	return result
}

// quietLogger logs to tests, and nowhere in benchmarks.
func quietLogger(t testing.TB) zerolog.Logger {
	if _, ok := t.(*testing.B); ok {
		return zerolog.Nop()
	}
	return zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.InfoLevel)
}
