package control

import (
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/state"
	"mangohill.example/mangohill/types"
)

const (
	workersPerEntryHost = 70
	// renewalsPerSecond is the rate of 70 workers that sync every 3 seconds.
	renewalsPerSecond = 24
	// maxExchangeBytes bounds an idle exchange with the renewals of one second, request
	// and reply.
	maxExchangeBytes = 760
	// maxCommandBytes and maxTaskReportBytes bound the bytes of one start between the
	// leader and an entry host. maxUsageBytes bounds one usage report.
	maxCommandBytes    = 80
	maxTaskReportBytes = 56
	maxUsageBytes      = 64
)

// countingConn counts the bytes that a connection receives and sends.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
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

// byteMeter measures the bytes of calls to a leader over one net/rpc connection.
type byteMeter struct {
	t      *testing.T
	client *rpc.Client
	bytes  atomic.Int64
	leader *leader
}

func newByteMeter(t *testing.T) *byteMeter {
	t.Helper()
	store := state.New()
	service := New(Options{Replica: newSingleReplica(store), Store: store, Logger: zerolog.Nop()})
	l := newLeader(service, 1)
	service.setLeader(l)
	store.Track()
	server := rpc.NewServer()
	require.NoError(t, service.Register(server))
	near, far := net.Pipe()
	go server.ServeConn(far)
	m := &byteMeter{t: t, leader: l}
	m.client = rpc.NewClient(countingConn{Conn: near, bytes: &m.bytes})
	t.Cleanup(func() { _ = m.client.Close() })
	return m
}

// call makes one call and returns the number of bytes received and sent.
func (m *byteMeter) call(method string, args, reply any) int64 {
	m.t.Helper()
	before := m.bytes.Load()
	require.NoError(m.t, m.client.Call(method, args, reply))
	return m.bytes.Load() - before
}

func meterWorkerName(i int) string { return fmt.Sprintf("worker-%03d", i) }

func (m *byteMeter) registerAll() {
	args := &controlapi.ReportArgs{Entry: "entry-1"}
	for i := range workersPerEntryHost {
		args.Syncs = append(args.Syncs, controlapi.WorkerReport{
			Worker:      meterWorkerName(i),
			Incarnation: 1_765_000_000,
			Full:        true,
			Registration: &controlapi.Registration{
				Worker:      meterWorkerName(i),
				Incarnation: 1_765_000_000,
				Capacity:    types.Resources{MilliProcessors: 64_000, MemoryBytes: 250 << 30},
			},
		})
	}
	m.call("Control.Report", args, &controlapi.ReportReply{})
}

func (m *byteMeter) exchange(reply *controlapi.ExchangeReply) int64 {
	args := &controlapi.ExchangeArgs{Entry: "entry-1", ConfigVersion: 1}
	for i := range renewalsPerSecond {
		args.Renewals = append(args.Renewals, controlapi.Renewal{Worker: meterWorkerName(i), Incarnation: 1_765_000_000, Order: 2*86_400_000 + 1})
	}
	return m.call("Control.Exchange", args, reply)
}

func TestExchangesStayWithinByteBudget(t *testing.T) {
	m := newByteMeter(t)
	m.registerAll()
	m.exchange(&controlapi.ExchangeReply{}) // The first call carries gob's type descriptions.
	idle := m.exchange(&controlapi.ExchangeReply{})

	const starts = 20
	for i := range starts {
		results, err := m.leader.service.propose(t.Context(),
			state.Declare{Spec: types.JobSpec{
				Name:    fmt.Sprintf("route-%05d", i),
				Kind:    types.KindBatch,
				Class:   "routing",
				Request: types.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30},
			}},
			state.Start{Task: types.TaskID(i + 1), Worker: types.WorkerID(i + 1), Epoch: 1})
		require.NoError(t, err)
		require.NoError(t, results[1].Failure())
	}
	m.leader.propagateChanges()
	reply := new(controlapi.ExchangeReply)
	busy := m.exchange(reply)
	require.Len(t, reply.Commands, starts)

	reports := &controlapi.ReportArgs{Entry: "entry-1"}
	usage := &controlapi.ReportArgs{Entry: "entry-1"}
	for _, c := range reply.Commands {
		reports.Syncs = append(reports.Syncs, controlapi.WorkerReport{
			Worker:      c.Worker,
			Incarnation: c.Incarnation,
			Tasks:       []controlapi.TaskReport{{Task: c.Task, Epoch: c.Epoch, State: "running"}},
		})
		usage.Syncs = append(usage.Syncs, controlapi.WorkerReport{
			Worker:      c.Worker,
			Incarnation: c.Incarnation,
			Usage:       []controlapi.UsageReport{{Task: c.Task, Epoch: c.Epoch, AgeMs: 1500, MilliProcessors: 900, MemoryBytes: 1 << 29, ProgressMilli: 400}},
		})
	}
	running := m.call("Control.Report", reports, &controlapi.ReportReply{})
	usageBytes := m.call("Control.Report", usage, &controlapi.ReportReply{})
	t.Logf("idle exchange %d bytes; command %d, report of a change %d, usage %d bytes each",
		idle, (busy-idle)/starts, running/starts, usageBytes/starts)
	assert.LessOrEqual(t, idle, int64(maxExchangeBytes))
	assert.LessOrEqual(t, busy-idle, int64(starts*maxCommandBytes))
	assert.LessOrEqual(t, running, int64(starts*maxTaskReportBytes))
	assert.LessOrEqual(t, usageBytes, int64(starts*maxUsageBytes))
}
