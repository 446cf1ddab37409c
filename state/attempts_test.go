package state

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// The seed and the number of cases are fixed unless flags on the command line set
// them.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
}

// simAttempt is an attempt that runs on a simulated worker.
type simAttempt struct {
	epoch  uint64
	worker types.WorkerID
}

// simWorker simulates a worker. It refuses an epoch that is not above the highest
// that it has seen for the task.
type simWorker struct {
	name          string
	incarnation   uint64
	session       uint64
	leaseExpired  bool              // by the worker's own clock
	highestEpochs map[string]uint64 // highest epoch seen, by task name
	// reports may be applied any number of times, in any order.
	reports []Report
}

// simCommand is a start command in flight to a worker.
type simCommand struct {
	worker      types.WorkerID
	incarnation uint64
	session     uint64
	task        types.Task
}

// cluster applies the same entries to two stores and simulates the workers.
type cluster struct {
	t               *rapid.T
	store           *Store
	replica         *Store
	index           uint64
	nowMs           int64
	workers         map[types.WorkerID]*simWorker
	runningAttempts map[string]simAttempt
	commands        []simCommand
	highestStarted  map[string]uint64 // highest epoch that started on a worker, by task name
}

const simWorkers = 3

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		t:               t,
		store:           New(),
		replica:         New(),
		workers:         make(map[types.WorkerID]*simWorker),
		runningAttempts: make(map[string]simAttempt),
		highestStarted:  make(map[string]uint64),
	}
	for i := types.WorkerID(1); i <= simWorkers; i++ {
		c.workers[i] = &simWorker{name: fmt.Sprintf("w%d", i), highestEpochs: make(map[string]uint64), incarnation: 1}
		c.register(i)
	}
	return c
}

func (c *cluster) apply(ops ...Op) []Result {
	c.index++
	c.nowMs += int64(rapid.IntRange(0, 500).Draw(c.t, "ms"))
	data, err := Encode(c.nowMs, ops...)
	require.NoError(c.t, err)
	results := c.store.Apply(c.index, data).([]Result)
	c.replica.Apply(c.index, data)
	return results
}

func (c *cluster) register(id types.WorkerID) {
	h := c.workers[id]
	op := Register{
		Worker:      h.name,
		Incarnation: h.incarnation,
		Capacity: types.Resources{
			MilliProcessors: int64(rapid.IntRange(2, 8).Draw(c.t, "capacity")) * 1000,
			MemoryBytes:     100,
			Accelerators:    1,
		},
		Leaving: rapid.IntRange(0, 9).Draw(c.t, "leaving") == 0,
	}
	if result := c.apply(op)[0]; result.Err == nil {
		h.session = result.Version
		h.leaseExpired = false
	}
}

func (c *cluster) drawWorker() (types.WorkerID, *simWorker) {
	id := types.WorkerID(rapid.IntRange(1, simWorkers).Draw(c.t, "host"))
	return id, c.workers[id]
}

func (c *cluster) drawTask() (types.Task, bool) {
	tasks := c.store.Tasks()
	if len(tasks) == 0 {
		return types.Task{}, false
	}
	return rapid.SampledFrom(tasks).Draw(c.t, "task"), true
}

func (c *cluster) declare() {
	kinds := []types.TaskKind{types.KindBatch, types.KindService, types.KindWatcher}
	spec := types.JobSpec{
		Name:     fmt.Sprintf("job-%d", rapid.IntRange(0, 2).Draw(c.t, "job")),
		Kind:     rapid.SampledFrom(kinds).Draw(c.t, "kind"),
		Replicas: rapid.IntRange(1, 3).Draw(c.t, "replicas"),
		Request: types.Resources{
			MilliProcessors: int64(rapid.IntRange(1, 8).Draw(c.t, "processors")) * 1000,
			MemoryBytes:     int64(rapid.IntRange(1, 60).Draw(c.t, "memory")),
			Accelerators:    int64(rapid.IntRange(0, 1).Draw(c.t, "accelerators")),
		},
	}
	c.apply(Declare{Spec: spec})
}

// propose applies an operation that a planner might propose, maybe from a stale view
// of the state.
func (c *cluster) propose() {
	task, ok := c.drawTask()
	if !ok {
		return
	}
	worker, _ := c.drawWorker()
	epoch := task.Epoch + uint64(rapid.IntRange(0, 1).Draw(c.t, "behind"))
	ops := []Op{
		Start{Task: task.ID, Worker: worker, Epoch: task.Epoch + 1},
		Start{Task: task.ID, Worker: worker, Epoch: task.Epoch + 1},
		Start{Task: task.ID, Worker: worker, Epoch: epoch},
		Checkpoint{Task: task.ID, Epoch: epoch, Reason: "move"},
		Stop{Task: task.ID, Epoch: epoch},
		Stop{Task: task.ID, Epoch: epoch, Then: types.TaskFinished},
		Throttle{Task: task.ID, Epoch: epoch, ShareMilli: int64(rapid.IntRange(0, 999).Draw(c.t, "share"))},
		Replace{Task: task.ID, Epoch: epoch},
		Cancel{Name: task.Job.Name},
		Cancel{Name: task.Job.Name},
		Declare{Spec: *task.Job},
		Park{Task: task.ID},
		Unpark{Task: task.ID},
		Quarantine{Worker: worker},
		EndQuarantine{Worker: worker},
		Drain{Worker: c.workers[worker].name, Undo: rapid.Bool().Draw(c.t, "undo")},
	}
	c.apply(rapid.SampledFrom(ops).Draw(c.t, "op"))
}

// sendStarts puts the start commands of the current state in flight.
func (c *cluster) sendStarts() {
	for id := types.WorkerID(1); id <= simWorkers; id++ {
		w, _ := c.store.Worker(id)
		for _, task := range c.store.Attempts(id) {
			if task.State == types.TaskStarting && task.Stopping == "" {
				c.commands = append(c.commands, simCommand{worker: id, incarnation: w.Incarnation, session: w.Session, task: task})
			}
		}
	}
}

// deliverStart delivers one start command to its worker, maybe late or repeatedly.
// The worker accepts it only under a valid lease of the command's session.
func (c *cluster) deliverStart() {
	if len(c.commands) == 0 {
		return
	}
	command := rapid.SampledFrom(c.commands).Draw(c.t, "command")
	h := c.workers[command.worker]
	if h.leaseExpired || command.incarnation != h.incarnation || command.session != h.session {
		return
	}
	name, epoch := command.task.Name, command.task.Epoch
	if epoch <= h.highestEpochs[name] {
		return
	}
	if running, ok := c.runningAttempts[name]; ok {
		c.t.Fatalf("task %q: epoch %d starts on worker %d while epoch %d runs on worker %d", name, epoch, command.worker, running.epoch, running.worker)
	}
	if epoch <= c.highestStarted[name] {
		c.t.Fatalf("task %q: epoch %d starts although epoch %d started before", name, epoch, c.highestStarted[name])
	}
	h.highestEpochs[name] = epoch
	c.highestStarted[name] = epoch
	c.runningAttempts[name] = simAttempt{epoch: epoch, worker: command.worker}
	h.report(command.task, AttemptRunning)
}

func (h *simWorker) report(task types.Task, state AttemptState) {
	h.reports = append(h.reports, Report{
		Worker:      task.Worker,
		Incarnation: h.incarnation,
		Task:        task.ID,
		Epoch:       task.Epoch,
		State:       state,
		Checkpoint:  fmt.Sprintf("%s@%d", task.Name, task.Epoch),
	})
}

// advanceAttempt ends an attempt on a simulated worker or changes its state, and adds
// the worker's report. For an attempt that the state stops before its start arrived,
// the worker reports it as stopped.
func (c *cluster) advanceAttempt() {
	id, h := c.drawWorker()
	for _, task := range c.store.Attempts(id) {
		running, ok := c.runningAttempts[task.Name]
		isRunning := ok && running.worker == id && running.epoch == task.Epoch
		if !isRunning && task.Stopping != "" && !h.leaseExpired {
			h.highestEpochs[task.Name] = max(h.highestEpochs[task.Name], task.Epoch)
			h.report(task, AttemptStopped)
			return
		}
		if !isRunning || rapid.Bool().Draw(c.t, "skip") {
			continue
		}
		reported := AttemptState(rapid.IntRange(int(AttemptRunning), int(AttemptStopped)).Draw(c.t, "reported"))
		if reported >= AttemptCheckpointed {
			delete(c.runningAttempts, task.Name)
		}
		h.report(task, reported)
		return
	}
}

// applyReport applies one report of a worker, maybe late or repeatedly.
func (c *cluster) applyReport() {
	_, h := c.drawWorker()
	if len(h.reports) > 0 {
		c.apply(rapid.SampledFrom(h.reports).Draw(c.t, "report"))
	}
}

// runOneAttempt proposes an operation, delivers a start, advances an attempt and
// applies a report.
func (c *cluster) runOneAttempt() {
	c.propose()
	c.sendStarts()
	c.deliverStart()
	c.advanceAttempt()
	c.applyReport()
}

// registerOldIncarnation requires that a registration of an earlier incarnation is
// refused.
func (c *cluster) registerOldIncarnation() {
	_, h := c.drawWorker()
	op := Register{Worker: h.name, Incarnation: h.incarnation - 1, Capacity: types.Resources{MilliProcessors: 8000}}
	if result := c.apply(op)[0]; !kind.Is(result.Failure(), kind.StaleIncarnation) {
		c.t.Fatalf("worker %q: incarnation %d was registered after %d", h.name, op.Incarnation, h.incarnation)
	}
}

func (c *cluster) stopAttempts(id types.WorkerID) {
	for name, running := range c.runningAttempts {
		if running.worker == id {
			delete(c.runningAttempts, name)
		}
	}
}

// expireLease lets a worker's lease expire by its own clock, which ends its attempts.
// recordLeaseExpiry applies the expiry to the state.
func (c *cluster) expireLease() {
	id, h := c.drawWorker()
	h.leaseExpired = true
	c.stopAttempts(id)
}

func (c *cluster) recordLeaseExpiry() {
	id, h := c.drawWorker()
	session := h.session
	if !h.leaseExpired {
		session-- // An expiry that was proposed before the worker registered again.
	}
	c.apply(LeaseExpired{Worker: id, Incarnation: h.incarnation, Session: session})
}

func (c *cluster) restart() {
	id, h := c.drawWorker()
	if rapid.Bool().Draw(c.t, "new incarnation") {
		c.stopAttempts(id)
		h.incarnation++
		h.leaseExpired = true
		h.highestEpochs = make(map[string]uint64)
	}
	c.register(id)
}

// restoreFromSnapshot replaces the store by one restored from its snapshot.
func (c *cluster) restoreFromSnapshot() {
	data, err := c.store.Snapshot()
	require.NoError(c.t, err)
	restored := New()
	require.NoError(c.t, restored.Restore(data))
	c.store = restored
}

// checkInvariants requires that no worker is committed beyond its capacity, and that
// every running attempt is committed to the worker on which it runs.
func (c *cluster) checkInvariants() {
	require.NoError(c.t, c.store.CheckInvariants())
	for name, running := range c.runningAttempts {
		task, ok := c.store.TaskNamed(name)
		if !ok || task.Epoch != running.epoch || task.Worker != running.worker {
			c.t.Fatalf("task %q runs on worker %d at epoch %d, but the state has worker %d, epoch %d, state %s",
				name, running.worker, running.epoch, task.Worker, task.Epoch, task.State)
		}
	}
}

// Under late and repeated starts and reports, lease expiry, restarts and restored
// snapshots, a task never runs twice at a time and no epoch starts twice. The second
// store, which applies the same entries, must end with an identical snapshot.
func TestAttemptsStayCommittedAndRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"declare":          func(*rapid.T) { c.declare() },
			"decide":           func(*rapid.T) { c.propose() },
			"decide 2":         func(*rapid.T) { c.propose() },
			"decide 3":         func(*rapid.T) { c.propose() },
			"send":             func(*rapid.T) { c.sendStarts() },
			"deliver":          func(*rapid.T) { c.deliverStart() },
			"start":            func(*rapid.T) { c.propose(); c.sendStarts(); c.deliverStart() },
			"progress":         func(*rapid.T) { c.advanceAttempt() },
			"cycle":            func(*rapid.T) { c.runOneAttempt() },
			"old registration": func(*rapid.T) { c.registerOldIncarnation() },
			"receive":          func(*rapid.T) { c.applyReport() },
			"lease expires":    func(*rapid.T) { c.expireLease() },
			"expiry recorded":  func(*rapid.T) { c.recordLeaseExpiry() },
			"restart":          func(*rapid.T) { c.restart() },
			"reload":           func(*rapid.T) { c.restoreFromSnapshot() },
			"":                 func(*rapid.T) { c.checkInvariants() },
		})
		snapshot, err := c.store.Snapshot()
		require.NoError(t, err)
		replicaSnapshot, err := c.replica.Snapshot()
		require.NoError(t, err)
		require.Equal(t, replicaSnapshot, snapshot)
	})
}

// A start is refused at any epoch but the next, so that a repeated or late entry
// cannot start an evicted task again.
func TestStartIsRefusedAtAnyEpochButTheNext(t *testing.T) {
	s := New()
	worker := Register{Worker: "w1", Incarnation: 1, Capacity: types.Resources{MilliProcessors: 4000, MemoryBytes: 100}}
	job := types.JobSpec{Name: "coat", Kind: types.KindBatch, Replicas: 1, Request: types.Resources{MilliProcessors: 1000}}
	applyOps(t, s, 1, worker, Declare{Spec: job})
	task := s.Tasks()[0]
	start := func(epoch uint64) *kind.Error {
		return applyOps(t, s, 2, Start{Task: task.ID, Worker: 1, Epoch: epoch})[0].Err
	}
	assert.True(t, kind.Is(start(0), kind.StaleEpoch))
	assert.True(t, kind.Is(start(2), kind.StaleEpoch))
	require.Nil(t, start(1))
	worker.Incarnation++
	applyOps(t, s, 3, worker)
	after, _ := s.TaskNamed("coat")
	require.True(t, after.State.Pending(), "a new incarnation runs none of the earlier attempts: state %s", after.State)
	assert.True(t, kind.Is(start(1), kind.StaleEpoch), "a repetition of the first start")
	require.Nil(t, start(2))
}
