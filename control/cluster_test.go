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
	// syncEvery is the number of ticks between two syncs of a worker.
	syncEvery = 10
)

// simTask is an attempt that a simulated worker runs.
type simTask struct {
	epoch    uint64
	progress int
}

// simWorker keeps its lease, refuses epochs that it has seen, and reports.
type simWorker struct {
	name        string
	incarnation uint64
	held        lease.WorkerLease
	full        bool
	cut         bool // its messages are lost, both ways
	tasks       map[string]*simTask
	seen        map[string]uint64
	changes     []controlapi.TaskReport
	// heldBack are commands that the entry host has not handed over yet.
	heldBack []controlapi.WorkerCommand
}

// simCluster is the leader's code over a real store in virtual time, with
// simulated workers. It plays the entry host.
type simCluster struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	ticks   int
	store   *state.Store
	replica *soleReplica
	service *Service
	leader  *leader
	workers map[string]*simWorker
	// resumes notes the checkpoint from which each epoch of a task began.
	resumes map[string]map[uint64]string
	lossy   bool
	// finishAfter is the number of ticks after which a batch attempt finishes, zero
	// for never.
	finishAfter int
}

func newSimCluster(t *testing.T, workers int, seed uint64) *simCluster {
	t.Helper()
	c := &simCluster{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 0)),
		now:     time.UnixMilli(1_800_000_000_000),
		store:   state.New(),
		workers: make(map[string]*simWorker),
		resumes: make(map[string]map[uint64]string),
	}
	c.replica = newSoleReplica(c.store)
	c.replica.now = func() time.Time { return c.now }
	c.replica.lose = func() (drop, loseAnswer bool) {
		if !c.lossy {
			return false, false
		}
		draw := c.random.IntN(10)
		return draw == 0, draw == 1
	}
	c.service = New(Options{Replica: c.replica, Store: c.store, Logger: zerolog.Nop(), Now: c.replica.now})
	for i := range workers {
		name := fmt.Sprintf("w%d", i+1)
		c.workers[name] = &simWorker{name: name, incarnation: 1, full: true, tasks: make(map[string]*simTask), seen: make(map[string]uint64)}
	}
	c.elect()
	return c
}

// elect gives the duties to a leader of the next term, which knows the log only.
func (c *simCluster) elect() {
	term := uint64(1)
	if c.leader != nil {
		term = c.leader.term + 1
	}
	c.store.Track()
	c.leader = newLeader(c.service, term)
	c.service.setLeader(c.leader)
}

func (c *simCluster) clock() time.Duration { return time.Duration(c.ticks) * tick }

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

// run lets virtual time pass until done, at most for limit.
func (c *simCluster) run(limit time.Duration, done func() bool) {
	c.t.Helper()
	for begun := c.ticks; !done(); c.step() {
		if time.Duration(c.ticks-begun)*tick >= limit {
			require.Fail(c.t, "too slow", "not done within %s of virtual time", limit)
		}
	}
}

func (c *simCluster) pass(d time.Duration) {
	for range d / tick {
		c.step()
	}
}

func (c *simCluster) step() {
	c.ticks++
	c.now = c.now.Add(tick)
	ctx := context.Background()
	for range maxPlanRounds {
		if !c.leader.planOnce(ctx) {
			break
		}
	}
	c.leader.endLeases(ctx)
	for i, name := range c.names() {
		w := c.workers[name]
		c.work(w)
		if len(w.changes) > 0 || (c.ticks+i)%syncEvery == 0 || w.full {
			c.sync(w)
		}
	}
	c.check()
}

// work advances the worker's attempts; a lease that is over ends them all.
func (c *simCluster) work(w *simWorker) {
	if w.held.Expired(c.clock()) {
		for name, task := range w.tasks {
			w.end(name, task.epoch, "stopped", "")
		}
	}
	for name, task := range w.tasks {
		task.progress++
		if c.finishAfter > 0 && task.progress > c.finishAfter && !strings.Contains(name, "/") {
			w.end(name, task.epoch, "finished", "")
		}
	}
}

func (w *simWorker) note(task string, epoch uint64, state, checkpoint string) {
	w.changes = slices.DeleteFunc(w.changes, func(r controlapi.TaskReport) bool { return r.Task == task })
	w.changes = append(w.changes, controlapi.TaskReport{Task: task, Epoch: epoch, State: state, Checkpoint: checkpoint})
}

func (w *simWorker) end(task string, epoch uint64, state, checkpoint string) {
	delete(w.tasks, task)
	w.note(task, epoch, state, checkpoint)
}

func (c *simCluster) lost() bool { return c.lossy && c.random.IntN(5) == 0 }

// sync reports, renews the lease and takes commands, as a worker does through an
// entry host. Any message may be lost or come twice.
func (c *simCluster) sync(w *simWorker) {
	if w.cut || c.lost() {
		return
	}
	sent := c.clock()
	report := c.report(w)
	if report != nil {
		args := &controlapi.ReportArgs{Entry: "entry-1", Syncs: []controlapi.WorkerReport{*report}}
		reply := new(controlapi.ReportReply)
		if c.lossy && c.random.IntN(5) == 0 {
			_ = c.leader.report(context.Background(), args, reply) // The answer is lost, and the report repeated.
		}
		if err := c.leader.report(context.Background(), args, reply); err != nil || c.lost() {
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
		Worker:      w.name,
		Incarnation: w.incarnation,
		Capacity:    types.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30},
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
	if err := c.leader.exchange(context.Background(), args, reply); err != nil || c.lost() {
		return
	}
	session := reply.Sessions[0]
	if session == 0 {
		w.full = true
	} else {
		w.held.Extend(sent, time.Duration(reply.LeaseMs)*time.Millisecond)
	}
	commands := append(w.heldBack, reply.Commands...)
	w.heldBack = nil
	if c.lossy && c.random.IntN(3) == 0 {
		w.heldBack = commands
		return
	}
	for _, command := range commands {
		if command.Session != session || command.Incarnation != w.incarnation {
			continue
		}
		c.obey(w, command)
		if c.lossy && c.random.IntN(3) == 0 {
			c.obey(w, command)
		}
	}
}

func (c *simCluster) obey(w *simWorker, command controlapi.WorkerCommand) {
	name, epoch := command.Task, command.Epoch
	if epoch < w.seen[name] {
		return
	}
	task := w.tasks[name]
	switch {
	case command.Verb == controlapi.VerbStart:
		if epoch > w.seen[name] && !w.held.Expired(c.clock()) {
			w.seen[name] = epoch
			c.begin(w, command)
		}
	case task == nil || task.epoch != epoch:
		w.seen[name] = epoch
		w.note(name, epoch, "stopped", "")
	case command.Verb == controlapi.VerbCheckpoint:
		w.end(name, epoch, "checkpointed", fmt.Sprintf("%s@%d", name, epoch))
	case command.Verb == controlapi.VerbStop:
		w.end(name, epoch, "stopped", "")
	case command.Verb == controlapi.VerbThrottle:
		w.note(name, epoch, "throttled", "")
	case command.Verb == controlapi.VerbUnthrottle:
		w.note(name, epoch, "running", "")
	}
}

func (c *simCluster) begin(w *simWorker, command controlapi.WorkerCommand) {
	if c.resumes[command.Task] == nil {
		c.resumes[command.Task] = make(map[uint64]string)
	}
	if _, twice := c.resumes[command.Task][command.Epoch]; twice {
		require.Fail(c.t, "an epoch began twice", "task %q, epoch %d", command.Task, command.Epoch)
	}
	c.resumes[command.Task][command.Epoch] = command.ResumeFrom
	w.tasks[command.Task] = &simTask{epoch: command.Epoch}
	w.note(command.Task, command.Epoch, "running", "")
}

// check is the promises: no task is live on two workers, none beyond capacity.
func (c *simCluster) check() {
	require.NoError(c.t, c.store.CheckInvariants())
	live := make(map[string]string)
	for _, name := range c.names() {
		w := c.workers[name]
		if w.held.Expired(c.clock()) {
			continue // It looks at its clock before it goes on.
		}
		for task := range w.tasks {
			if other, ok := live[task]; ok {
				require.Fail(c.t, "live twice", "task %q on %s and %s at %s", task, other, name, c.clock())
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

func (c *simCluster) done(text string) {
	c.t.Helper()
	reply := c.command(text)
	require.Equal(c.t, kind.OutcomeDone, reply.Outcome, reply.Message)
}
