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

// The seed and the number of cases are fixed unless the flags say otherwise.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
}

// simAttempt is an attempt that truly runs on a worker.
type simAttempt struct {
	epoch  uint64
	worker types.WorkerID
}

// simHost is a worker as it truly is: it refuses epochs that it has seen.
type simHost struct {
	name        string
	incarnation uint64
	session     uint64
	lapsed      bool // its lease is over by its own clock
	seen        map[string]uint64
	// reports may reach the log any number of times, in any order.
	reports []Report
}

// simCommand is a start on its way to a worker.
type simCommand struct {
	worker      types.WorkerID
	incarnation uint64
	session     uint64
	task        types.Task
}

// cluster drives two stores with the same entries, and true workers beside them.
type cluster struct {
	t        *rapid.T
	store    *Store
	other    *Store
	index    uint64
	nowMs    int64
	hosts    map[types.WorkerID]*simHost
	live     map[string]simAttempt
	commands []simCommand
	resumed  map[string]uint64 // last epoch that truly started, by task
}

const simHosts = 3

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		t:       t,
		store:   New(),
		other:   New(),
		hosts:   make(map[types.WorkerID]*simHost),
		live:    make(map[string]simAttempt),
		resumed: make(map[string]uint64),
	}
	for i := types.WorkerID(1); i <= simHosts; i++ {
		c.hosts[i] = &simHost{name: fmt.Sprintf("w%d", i), seen: make(map[string]uint64), incarnation: 1}
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
	c.other.Apply(c.index, data)
	return results
}

func (c *cluster) register(id types.WorkerID) {
	h := c.hosts[id]
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
		h.lapsed = false
	}
}

func (c *cluster) drawHost() (types.WorkerID, *simHost) {
	id := types.WorkerID(rapid.IntRange(1, simHosts).Draw(c.t, "host"))
	return id, c.hosts[id]
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

// decide proposes what a planner might, also on an old view of the state.
func (c *cluster) decide() {
	task, ok := c.drawTask()
	if !ok {
		return
	}
	worker, _ := c.drawHost()
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
		Drain{Worker: c.hosts[worker].name, Undo: rapid.Bool().Draw(c.t, "undo")},
	}
	c.apply(rapid.SampledFrom(ops).Draw(c.t, "op"))
}

// send puts the start commands that the state asks for on their way.
func (c *cluster) send() {
	for id := types.WorkerID(1); id <= simHosts; id++ {
		w, _ := c.store.Worker(id)
		for _, task := range c.store.Attempts(id) {
			if task.State == types.TaskStarting && task.Stopping == "" {
				c.commands = append(c.commands, simCommand{worker: id, incarnation: w.Incarnation, session: w.Session, task: task})
			}
		}
	}
}

// deliver hands one command to its worker, maybe late, maybe again. A worker
// takes commands only with a lease of the command's session.
func (c *cluster) deliver() {
	if len(c.commands) == 0 {
		return
	}
	command := rapid.SampledFrom(c.commands).Draw(c.t, "command")
	h := c.hosts[command.worker]
	if h.lapsed || command.incarnation != h.incarnation || command.session != h.session {
		return
	}
	name, epoch := command.task.Name, command.task.Epoch
	if epoch <= h.seen[name] {
		return
	}
	if running, ok := c.live[name]; ok {
		c.t.Fatalf("task %q: epoch %d starts on worker %d while epoch %d runs on worker %d", name, epoch, command.worker, running.epoch, running.worker)
	}
	if epoch <= c.resumed[name] {
		c.t.Fatalf("task %q: epoch %d starts after epoch %d", name, epoch, c.resumed[name])
	}
	h.seen[name] = epoch
	c.resumed[name] = epoch
	c.live[name] = simAttempt{epoch: epoch, worker: command.worker}
	h.report(command.task, AttemptRunning)
}

func (h *simHost) report(task types.Task, state AttemptState) {
	h.reports = append(h.reports, Report{
		Worker:      task.Worker,
		Incarnation: h.incarnation,
		Task:        task.ID,
		Epoch:       task.Epoch,
		State:       state,
		Checkpoint:  fmt.Sprintf("%s@%d", task.Name, task.Epoch),
	})
}

// progress ends or changes a true attempt, whose worker then reports it. The
// state may also ask it to stop an attempt that never arrived.
func (c *cluster) progress() {
	id, h := c.drawHost()
	for _, task := range c.store.Attempts(id) {
		running, ok := c.live[task.Name]
		ours := ok && running.worker == id && running.epoch == task.Epoch
		if !ours && task.Stopping != "" && !h.lapsed {
			h.seen[task.Name] = max(h.seen[task.Name], task.Epoch)
			h.report(task, AttemptStopped)
			return
		}
		if !ours || rapid.Bool().Draw(c.t, "skip") {
			continue
		}
		reported := AttemptState(rapid.IntRange(int(AttemptRunning), int(AttemptStopped)).Draw(c.t, "reported"))
		if reported >= AttemptCheckpointed {
			delete(c.live, task.Name)
		}
		h.report(task, reported)
		return
	}
}

// receive applies one report, maybe late, maybe again.
func (c *cluster) receive() {
	_, h := c.drawHost()
	if len(h.reports) > 0 {
		c.apply(rapid.SampledFrom(h.reports).Draw(c.t, "report"))
	}
}

// cycle takes one task through an attempt, on the least loaded path.
func (c *cluster) cycle() {
	c.decide()
	c.send()
	c.deliver()
	c.progress()
	c.receive()
}

// registerOld applies a registration of an incarnation that is gone.
func (c *cluster) registerOld() {
	_, h := c.drawHost()
	op := Register{Worker: h.name, Incarnation: h.incarnation - 1, Capacity: types.Resources{MilliProcessors: 8000}}
	if result := c.apply(op)[0]; !kind.Is(result.Failure(), kind.StaleIncarnation) {
		c.t.Fatalf("worker %q: incarnation %d was registered after %d", h.name, op.Incarnation, h.incarnation)
	}
}

func (c *cluster) stopAll(id types.WorkerID) {
	for name, running := range c.live {
		if running.worker == id {
			delete(c.live, name)
		}
	}
}

// lapse ends a worker's lease by its own clock, and later in the log.
func (c *cluster) lapse() {
	id, h := c.drawHost()
	h.lapsed = true
	c.stopAll(id)
}

func (c *cluster) endLease() {
	id, h := c.drawHost()
	session := h.session
	if !h.lapsed {
		session-- // An end that was decided on before the worker registered again.
	}
	c.apply(LeaseExpired{Worker: id, Incarnation: h.incarnation, Session: session})
}

func (c *cluster) restart() {
	id, h := c.drawHost()
	if rapid.Bool().Draw(c.t, "new incarnation") {
		c.stopAll(id)
		h.incarnation++
		h.lapsed = true
		h.seen = make(map[string]uint64)
	}
	c.register(id)
}

// reload replaces a store by one that loads its snapshot.
func (c *cluster) reload() {
	data, err := c.store.Snapshot()
	require.NoError(c.t, err)
	fresh := New()
	require.NoError(c.t, fresh.Restore(data))
	c.store = fresh
}

// check is the promises: no worker is committed beyond its capacity, a running
// attempt is committed where it runs, and equal entries give equal states.
func (c *cluster) check() {
	require.NoError(c.t, c.store.CheckInvariants())
	for name, running := range c.live {
		task, ok := c.store.TaskNamed(name)
		if !ok || task.Epoch != running.epoch || task.Worker != running.worker {
			c.t.Fatalf("task %q runs on worker %d at epoch %d, the state has worker %d, epoch %d, %s",
				name, running.worker, running.epoch, task.Worker, task.Epoch, task.State)
		}
	}
}

func TestAttemptsStayCommittedAndRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"declare":  func(*rapid.T) { c.declare() },
			"decide":   func(*rapid.T) { c.decide() },
			"decide 2": func(*rapid.T) { c.decide() },
			"decide 3": func(*rapid.T) { c.decide() },
			"send":     func(*rapid.T) { c.send() },
			"deliver":  func(*rapid.T) { c.deliver() },
			"start":    func(*rapid.T) { c.decide(); c.send(); c.deliver() },
			"progress": func(*rapid.T) { c.progress() },
			"cycle":    func(*rapid.T) { c.cycle() },
			"old":      func(*rapid.T) { c.registerOld() },
			"receive":  func(*rapid.T) { c.receive() },
			"lapse":    func(*rapid.T) { c.lapse() },
			"end":      func(*rapid.T) { c.endLease() },
			"restart":  func(*rapid.T) { c.restart() },
			"reload":   func(*rapid.T) { c.reload() },
			"":         func(*rapid.T) { c.check() },
		})
		ours, err := c.store.Snapshot()
		require.NoError(t, err)
		theirs, err := c.other.Snapshot()
		require.NoError(t, err)
		require.Equal(t, theirs, ours)
	})
}

// A start that was decided on an older or newer epoch is refused, so that a
// repeated or late plan entry cannot start an evicted task again.
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
	require.True(t, after.State.Pending(), "a new incarnation runs nothing old: %s", after.State)
	assert.True(t, kind.Is(start(1), kind.StaleEpoch), "a repeat of the first start")
	require.Nil(t, start(2))
}
