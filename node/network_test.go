package node

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/rpcclient"
	"mangohill.example/mangohill/settings"
	"mangohill.example/mangohill/workerapi"
)

const (
	// hangTimeout ends a test that hangs; no assertion depends on it.
	hangTimeout  = 90 * time.Second
	pollInterval = 10 * time.Millisecond
)

// network carries the calls between all nodes of a test and simulates a silent
// partition: a call between hosts that are cut off from each other gets no answer until
// its deadline.
type network struct {
	mu  sync.Mutex
	cut map[[2]string]bool
}

func newNetwork() *network { return &network{cut: make(map[[2]string]bool)} }

// partition cuts off every host of one side from every host of the other.
func (n *network) partition(one, other []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range one {
		for _, b := range other {
			n.cut[[2]string{a, b}] = true
			n.cut[[2]string{b, a}] = true
		}
	}
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

// hostCaller makes the calls of one host through the network.
type hostCaller struct {
	network *network
	address string
	client  *rpcclient.Client
}

// Call implements controlapi.Caller. A call is also lost if the partition begins before
// its answer.
func (h hostCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	if h.network.isCut(h.address, address) {
		<-ctx.Done()
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, ctx.Err())
	}
	err := h.client.Call(ctx, address, method, args, reply)
	if h.network.isCut(h.address, address) {
		<-ctx.Done()
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, ctx.Err())
	}
	return err
}

// testCluster is a cluster of control and entry processes in the test's process.
type testCluster struct {
	t       *testing.T
	subnet  string
	network *network
	control []*Control
	entries []*Entry
}

var subnets atomic.Int64

func newTestCluster(t *testing.T, controls, entries int) *testCluster {
	g := &testCluster{t: t, network: newNetwork()}
	g.subnet = fmt.Sprintf("127.%d.%d", 1+os.Getpid()%60, subnets.Add(1))
	folder := t.TempDir()
	for i := range controls {
		s := g.settings(fmt.Sprintf("control-%d", i+1), g.controlHost(i), controls, entries)
		s.Data = filepath.Join(folder, s.Name)
		control, err := StartControl(ControlOptions{Settings: s, Bootstrap: i == 0, Logger: zerolog.Nop(), Caller: g.host(s)})
		require.NoError(t, err)
		t.Cleanup(control.Stop)
		g.control = append(g.control, control)
	}
	g.eventually("all control processes vote", func() bool { return g.voters() == controls })
	for i := range entries {
		s := g.settings(fmt.Sprintf("entry-%d", i+1), g.entryHost(i), controls, entries)
		entry, err := StartEntry(EntryOptions{Settings: s, Logger: zerolog.Nop(), Caller: g.host(s)})
		require.NoError(t, err)
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
			defer cancel()
			_ = entry.Stop(ctx) // An entry host that is cut off cannot announce its departure.
		})
		g.entries = append(g.entries, entry)
	}
	return g
}

func (g *testCluster) controlHost(i int) string { return fmt.Sprintf("%s.%d", g.subnet, 21+i) }
func (g *testCluster) entryHost(i int) string   { return fmt.Sprintf("%s.%d", g.subnet, 11+i) }

func (g *testCluster) host(s *settings.Settings) hostCaller {
	client := rpcclient.New(rpcclient.Options{})
	g.t.Cleanup(client.Close)
	return hostCaller{network: g.network, address: s.Listen.Peers, client: client}
}

func (g *testCluster) settings(name, address string, controls, entries int) *settings.Settings {
	s := &settings.Settings{
		Cluster: "test", Name: name, FailureDomain: "d1", StopTimeout: hangTimeout,
		Listen: settings.Listen{Callers: address + ":8080", Platform: address + ":8081", Operators: address + ":8082", Peers: address + ":7400"},
	}
	for i := range controls {
		s.Control = append(s.Control, g.controlHost(i)+":7400")
	}
	for i := range entries {
		s.Entries = append(s.Entries, g.entryHost(i)+":7400")
	}
	return s
}

func (g *testCluster) eventually(what string, condition func() bool) {
	g.t.Helper()
	deadline := time.Now().Add(hangTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			g.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(pollInterval) // The condition alone decides the result.
	}
}

func (g *testCluster) voters() int {
	leader := g.leader()
	if leader < 0 {
		return 0
	}
	voters := 0
	for _, member := range g.control[leader].Status().Members {
		if member.Role != "learner" {
			voters++
		}
	}
	return voters
}

// leader returns the index of the control process that leads in the highest
// term, -1 if none does.
func (g *testCluster) leader() int {
	index, term := -1, uint64(0)
	for i, c := range g.control {
		if status := c.Status(); status.Role == "leader" && status.Term > term {
			index, term = i, status.Term
		}
	}
	return index
}

func (g *testCluster) command(entry int, text, file string) (controlapi.CommandReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return g.entries[entry].Execute(ctx, controlapi.CommandArgs{ID: uuid.NewString(), Text: text, File: file})
}

func (g *testCluster) mustCommand(entry int, text, file string) {
	g.t.Helper()
	reply, err := g.command(entry, text, file)
	require.NoError(g.t, err)
	require.EqualValues(g.t, kind.OutcomeDone, reply.Outcome, "%s: %s", text, reply.Message)
}

// worker starts a fake worker that knows only one entry host.
func (g *testCluster) worker(journal *fake.Journal, name string, entry int) {
	g.workerIn("", journal, name, entry)
}

// workerIn is like worker, in a failure domain.
func (g *testCluster) workerIn(domain string, journal *fake.Journal, name string, entry int) {
	ctx, cancel := context.WithCancel(context.Background())
	worker := fake.NewWorker(fake.WorkerOptions{
		Name: name, Incarnation: 1, FailureDomain: domain, Rack: name, Journal: journal,
		Capacity: workerapi.Capacity{Processors: 8, MemoryBytes: 64 << 30},
		Entries:  []string{"http://" + g.entryHost(entry) + ":8081"},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		worker.Run(ctx)
	}()
	g.t.Cleanup(func() {
		cancel()
		<-done
	})
}
