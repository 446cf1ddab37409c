package control

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/lease"
	"mangohill.example/mangohill/state"
	"mangohill.example/mangohill/types"
)

const (
	// tick is the step of virtual time.
	tick = 100 * time.Millisecond
	// syncIntervalTicks is the number of ticks between two syncs of a worker.
	syncIntervalTicks = 10
)

// simTask is an attempt that a simulated worker runs.
type simTask struct {
	epoch    uint64
	progress int
}

// simWorker simulates a worker: it renews its lease, starts no epoch twice and reports
// state changes of its attempts.
type simWorker struct {
	name         string
	domain       string
	incarnation  uint64
	held         lease.WorkerLease
	full         bool // the next sync is a full one
	partitioned  bool // all messages from and to the worker are lost
	tasks        map[string]*simTask
	highestEpoch map[string]uint64
	changes      []controlapi.TaskReport
	// delayed holds commands that the entry host has not delivered yet.
	delayed []controlapi.WorkerCommand
}

// simCluster runs the leader on a real store in virtual time, with simulated workers
// and entry hosts.
type simCluster struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	ticks   int
	store   *state.Store
	replica *singleReplica
	service *Service
	leader  *leader
	workers map[string]*simWorker
	// resumedFrom records the checkpoint from which each epoch of a task started.
	resumedFrom map[string]map[uint64]string
	lossy       bool
	// finishAfter is the number of ticks after which a batch attempt finishes, zero for
	// never.
	finishAfter int
}

func newSimCluster(t *testing.T, workers int, seed uint64) *simCluster {
	t.Helper()
	c := &simCluster{
		t:           t,
		random:      rand.New(rand.NewPCG(seed, 0)),
		now:         time.UnixMilli(1_800_000_000_000),
		store:       state.New(),
		workers:     make(map[string]*simWorker),
		resumedFrom: make(map[string]map[uint64]string),
	}
	c.replica = newSingleReplica(c.store)
	c.replica.now = func() time.Time { return c.now }
	c.replica.injectLoss = func() (drop, loseAnswer bool) {
		if !c.lossy {
			return false, false
		}
		draw := c.random.IntN(10)
		return draw == 0, draw == 1
	}
	c.service = New(Options{Replica: c.replica, Store: c.store, Logger: zerolog.Nop(), Now: c.replica.now})
	for i := range workers {
		name := fmt.Sprintf("w%d", i+1)
		c.workers[name] = &simWorker{name: name, incarnation: 1, full: true, tasks: make(map[string]*simTask), highestEpoch: make(map[string]uint64)}
	}
	c.elect()
	return c
}

// elect replaces the leader by one of the next term, which has only the replicated
// state.
func (c *simCluster) elect() {
	term := uint64(1)
	if c.leader != nil {
		term = c.leader.term + 1
	}
	c.store.Track()
	c.leader = newLeader(c.service, term)
	c.service.setLeader(c.leader)
}

func (c *simCluster) virtualTime() time.Duration { return time.Duration(c.ticks) * tick }

func (c *simCluster) command(text string) controlapi.CommandReply {
	c.t.Helper()
	args := controlapi.CommandArgs{ID: fmt.Sprintf("%d-%s", c.ticks, text), Text: text}
	for {
		reply, err := c.leader.execute(context.Background(), args)
		if err == nil {
			return reply
		}
	}
}

func (c *simCluster) names() []string { return slices.Sorted(maps.Keys(c.workers)) }

// runUntil advances virtual time until done, and fails the test after limit.
func (c *simCluster) runUntil(limit time.Duration, done func() bool) {
	c.t.Helper()
	for startTick := c.ticks; !done(); c.step() {
		if time.Duration(c.ticks-startTick)*tick >= limit {
			require.Fail(c.t, "time limit exceeded", "the condition did not hold within %s of virtual time", limit)
		}
	}
}

func (c *simCluster) advance(d time.Duration) {
	for range d / tick {
		c.step()
	}
}

func (c *simCluster) step() {
	c.ticks++
	c.now = c.now.Add(tick)
	ctx := context.Background()
	for range maxConsecutivePlans {
		if !c.leader.planOnce(ctx) {
			break
		}
	}
	c.leader.expireLeases(ctx)
	for i, name := range c.names() {
		w := c.workers[name]
		c.advanceAttempts(w)
		if len(w.changes) > 0 || (c.ticks+i)%syncIntervalTicks == 0 || w.full {
			c.sync(w)
		}
	}
	c.checkInvariants()
}

// advanceAttempts advances the worker's attempts, or stops them all if its lease expired.
func (c *simCluster) advanceAttempts(w *simWorker) {
	if w.held.Expired(c.virtualTime()) {
		for name, task := range w.tasks {
			w.endAttempt(name, task.epoch, "stopped", "")
		}
	}
	for name, task := range w.tasks {
		task.progress++
		if c.finishAfter > 0 && task.progress > c.finishAfter && !strings.Contains(name, "/") {
			w.endAttempt(name, task.epoch, "finished", "")
		}
	}
}

func (w *simWorker) reportState(task string, epoch uint64, state, checkpoint string) {
	w.changes = slices.DeleteFunc(w.changes, func(r controlapi.TaskReport) bool { return r.Task == task })
	w.changes = append(w.changes, controlapi.TaskReport{Task: task, Epoch: epoch, State: state, Checkpoint: checkpoint})
}

func (w *simWorker) endAttempt(task string, epoch uint64, state, checkpoint string) {
	delete(w.tasks, task)
	w.reportState(task, epoch, state, checkpoint)
}

func (c *simCluster) drawLoss() bool { return c.lossy && c.random.IntN(5) == 0 }

// sync sends a report, renews the lease and receives commands, as a worker does through
// an entry host. In a lossy cluster, messages may be lost or delivered twice.
func (c *simCluster) sync(w *simWorker) {
	if w.partitioned || c.drawLoss() {
		return
	}
	sent := c.virtualTime()
	report := c.report(w)
	if report != nil {
		args := &controlapi.ReportArgs{Entry: "entry-1", Syncs: []controlapi.WorkerReport{*report}}
		reply := new(controlapi.ReportReply)
		if c.lossy && c.random.IntN(5) == 0 {
			_ = c.leader.report(context.Background(), args, reply) // The reply is lost, and the report is repeated.
		}
		if err := c.leader.report(context.Background(), args, reply); err != nil || c.drawLoss() {
			return
		}
		w.full = len(reply.Resync) > 0
		w.changes = nil
	}
	c.exchange(w, sent)
}

func (c *simCluster) report(w *simWorker) *controlapi.WorkerReport {
	if !w.full && len(w.changes) == 0 {
		return nil
	}
	report := &controlapi.WorkerReport{Worker: w.name, Incarnation: w.incarnation, Full: w.full, Tasks: slices.Clone(w.changes)}
	if !w.full {
		return report
	}
	report.Registration = &controlapi.Registration{
		Worker:        w.name,
		Incarnation:   w.incarnation,
		FailureDomain: w.domain,
		Capacity:      types.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30},
	}
	for name, task := range w.tasks {
		report.Tasks = append(report.Tasks, controlapi.TaskReport{Task: name, Epoch: task.epoch, State: "running"})
	}
	return report
}

func (c *simCluster) exchange(w *simWorker, sent time.Duration) {
	args := &controlapi.ExchangeArgs{
		Entry:         "entry of " + w.name,
		ConfigVersion: 1,
		Renewals:      []controlapi.Renewal{{Worker: w.name, Incarnation: w.incarnation}},
	}
	reply := new(controlapi.ExchangeReply)
	if err := c.leader.exchange(context.Background(), args, reply); err != nil || c.drawLoss() {
		return
	}
	session := reply.Sessions[0]
	if session == 0 {
		w.full = true
	} else {
		w.held.Extend(sent, time.Duration(reply.LeaseMs)*time.Millisecond)
	}
	commands := append(w.delayed, reply.Commands...)
	w.delayed = nil
	if c.lossy && c.random.IntN(3) == 0 {
		w.delayed = commands
		return
	}
	for _, command := range commands {
		if command.Session != session || command.Incarnation != w.incarnation {
			continue
		}
		c.executeCommand(w, command)
		if c.lossy && c.random.IntN(3) == 0 {
			c.executeCommand(w, command)
		}
	}
}

func (c *simCluster) executeCommand(w *simWorker, command controlapi.WorkerCommand) {
	name, epoch := command.Task, command.Epoch
	if epoch < w.highestEpoch[name] {
		return
	}
	task := w.tasks[name]
	switch {
	case command.Verb == controlapi.VerbStart:
		if epoch > w.highestEpoch[name] && !w.held.Expired(c.virtualTime()) {
			w.highestEpoch[name] = epoch
			c.startAttempt(w, command)
		}
	case task == nil || task.epoch != epoch:
		w.highestEpoch[name] = epoch
		w.reportState(name, epoch, "stopped", "")
	case command.Verb == controlapi.VerbCheckpoint:
		w.endAttempt(name, epoch, "checkpointed", fmt.Sprintf("%s@%d", name, epoch))
	case command.Verb == controlapi.VerbStop:
		w.endAttempt(name, epoch, "stopped", "")
	case command.Verb == controlapi.VerbThrottle:
		w.reportState(name, epoch, "throttled", "")
	case command.Verb == controlapi.VerbUnthrottle:
		w.reportState(name, epoch, "running", "")
	}
}

func (c *simCluster) startAttempt(w *simWorker, command controlapi.WorkerCommand) {
	if c.resumedFrom[command.Task] == nil {
		c.resumedFrom[command.Task] = make(map[uint64]string)
	}
	if _, twice := c.resumedFrom[command.Task][command.Epoch]; twice {
		require.Fail(c.t, "an epoch started twice", "task %q, epoch %d", command.Task, command.Epoch)
	}
	c.resumedFrom[command.Task][command.Epoch] = command.ResumeFrom
	w.tasks[command.Task] = &simTask{epoch: command.Epoch}
	w.reportState(command.Task, command.Epoch, "running", "")
}

// checkInvariants fails the test if a task is live on two workers, or if a worker is
// committed beyond its capacity.
func (c *simCluster) checkInvariants() {
	require.NoError(c.t, c.store.CheckInvariants())
	live := make(map[string]string)
	for _, name := range c.names() {
		w := c.workers[name]
		if w.held.Expired(c.virtualTime()) {
			continue // The worker checks its lease before it continues.
		}
		for task := range w.tasks {
			if other, ok := live[task]; ok {
				require.Fail(c.t, "task is live twice", "task %q on %s and %s at %s", task, other, name, c.virtualTime())
			}
			live[task] = name
		}
	}
}

func (c *simCluster) taskState(name string) types.TaskState {
	t, ok := c.store.TaskNamed(name)
	if !ok {
		return ""
	}
	return t.State
}

func (c *simCluster) workerOf(name string) string {
	t, _ := c.store.TaskNamed(name)
	w, _ := c.store.Worker(t.Worker)
	return w.Name
}

func (c *simCluster) countRunning(job string) int {
	running := 0
	for _, t := range c.store.JobTasks(job) {
		if t.State == types.TaskRunning && t.Stopping == "" {
			running++
		}
	}
	return running
}

func (c *simCluster) mustExecute(text string) {
	c.t.Helper()
	reply := c.command(text)
	require.Equal(c.t, kind.OutcomeDone, reply.Outcome, reply.Message)
}
