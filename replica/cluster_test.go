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

// eventTimeout limits the wait for an expected event. No test result depends on
// how long the event took.
const eventTimeout = 30 * time.Second

// commandRecorder is a state machine that records every command.
type commandRecorder struct {
	mu       sync.Mutex
	Commands []string
}

func (r *commandRecorder) Apply(_ uint64, data []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Commands = append(r.Commands, string(data))
	return len(r.Commands)
}

func (r *commandRecorder) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r.Commands)
}

func (r *commandRecorder) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Commands = nil
	return json.Unmarshal(data, &r.Commands)
}

// forget discards the recorded commands, so that the next snapshot is empty.
func (r *commandRecorder) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Commands = nil
}

func (r *commandRecorder) commands() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.Commands...)
}

// node is one control host: a listener at a fixed address and its replica,
// which can be stopped and restarted.
type node struct {
	t        testing.TB
	options  Options
	network  *network
	recorder *commandRecorder
	replica  *Replica
	server   *listener
}

// listener serves net/rpc and can be closed together with its connections.
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

func (l *listener) closeAll() {
	l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.Close()
	}
}

// freeAddresses returns loopback addresses that are currently free.
func freeAddresses(t testing.TB, count int) []string {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// slowTicks makes timeouts long enough that a busy machine causes no elections,
// for tests that require a stable leader.
func slowTicks(o *Options) { o.Tick = 100 * time.Millisecond }

func newNodes(t testing.TB, count int, change func(*Options)) []*node {
	addresses := freeAddresses(t, count)
	var nodes []*node
	shared := &network{}
	for i, address := range addresses {
		n := &node{t: t, network: shared, options: Options{
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

// network connects the nodes' callers. A call from or to a node in cut gets no
// reply until its context ends, as on a connection that silently drops packets.
type network struct {
	mu  sync.Mutex
	cut map[string]bool
	// perByte is the time that a byte of a call takes on the link of its sender, which all
	// calls of the sender share, zero for none.
	perByte time.Duration
	// freeAt is when the link of each sender is free again.
	freeAt map[string]time.Time
	// carried is the number of bytes of calls from each sender since perByte was set.
	carried map[string]int
}

// setSpeed sets the time that a byte takes on each link.
func (n *network) setSpeed(perByte time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.perByte, n.freeAt, n.carried = perByte, make(map[string]time.Time), make(map[string]int)
}

func (n *network) bytesFrom(sender string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.carried[sender]
}

// occupy reserves the link of a sender for a call and returns for how long the call waits until
// it has passed. A call that its sender gives up meanwhile passes nevertheless.
func (n *network) occupy(from string, args any) time.Duration {
	packet, ok := args.(*Packet)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.perByte == 0 || !ok {
		return 0
	}
	n.carried[from] += len(packet.B)
	start := time.Now()
	if free := n.freeAt[from]; free.After(start) {
		start = free
	}
	n.freeAt[from] = start.Add(time.Duration(len(packet.B)) * n.perByte)
	return time.Until(n.freeAt[from])
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[string]bool)
	}
	n.cut[address] = cut
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[a] || n.cut[b]
}

// networkCaller is the RPC client of one node.
type networkCaller struct {
	*rpcclient.Client
	network *network
	from    string
}

func (c networkCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	if c.network.isCut(c.from, address) {
		<-ctx.Done()
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, ctx.Err())
	}
	err := c.callOverLink(ctx, address, method, args, reply)
	if c.network.isCut(c.from, address) {
		<-ctx.Done()
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, ctx.Err())
	}
	return err
}

// callOverLink makes a call once the link of its sender has carried it, even if the sender does
// not wait for it any more.
func (c networkCaller) callOverLink(ctx context.Context, address, method string, args, reply any) error {
	wait := c.network.occupy(c.from, args)
	if wait <= 0 {
		return c.Client.Call(ctx, address, method, args, reply)
	}
	answer, done := new(Packet), make(chan error, 1)
	time.AfterFunc(wait, func() {
		late, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		done <- c.Client.Call(late, address, method, args, answer)
	})
	select {
	case err := <-done:
		*reply.(*Packet) = *answer
		return err
	case <-ctx.Done():
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, ctx.Err())
	}
}

func (n *node) start() {
	n.recorder = &commandRecorder{}
	n.options.StateMachine = n.recorder
	client := rpcclient.New(rpcclient.Options{})
	n.options.Caller = networkCaller{client, n.network, n.options.Address}
	r, err := Start(n.options)
	require.NoError(n.t, err)
	n.replica = r
	server := rpc.NewServer()
	require.NoError(n.t, r.Register(server))
	l, err := net.Listen("tcp", n.options.Address)
	require.NoError(n.t, err)
	n.server = &listener{Listener: l}
	go n.server.serve(server)
	n.t.Cleanup(func() { n.stop(); client.Close() })
}

// stop stops the replica and the listener. Further calls do nothing.
func (n *node) stop() {
	if n.replica == nil {
		return
	}
	n.replica.Stop()
	n.server.closeAll()
	n.replica = nil
}

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, eventTimeout, 5*time.Millisecond, what)
}

// leaderOf returns the leader of the highest term, nil if there is none.
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

func voterCount(n *node) int {
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
		return leader != nil && voterCount(leader) == size && len(leader.replica.Status().Members) == size
	})
}

// propose retries a command until the leader returns its result.
func propose(t testing.TB, nodes []*node, command string) any {
	t.Helper()
	var result any
	eventually(t, "the command is accepted", func() bool {
		leader := leaderOf(nodes)
		if leader == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		value, err := leader.replica.Propose(ctx, []byte(command))
		result = value
		return err == nil
	})
	return result
}

// quietLogger logs to the test's output. Benchmarks do not log.
func quietLogger(t testing.TB) zerolog.Logger {
	if _, ok := t.(*testing.B); ok {
		return zerolog.Nop()
	}
	return zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.InfoLevel)
}
