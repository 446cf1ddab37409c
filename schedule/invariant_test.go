package schedule

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// stateModel is a small replicated state: it applies the scheduler's actions, passes
// the changes back late, and checks the invariants of every action.
type stateModel struct {
	t       *rapid.T
	s       *Scheduler
	now     time.Time
	workers []types.Worker
	tasks   []types.Task
	queue   []types.Task // changed tasks that were not passed back yet

	throttled map[types.TaskID]time.Time
}

func newStateModel(t *rapid.T) *stateModel {
	m := &stateModel{t: t, s: New(Options{Seed: 1}), now: epoch0, throttled: map[types.TaskID]time.Time{}}
	for i := range 6 {
		w := testWorker(i + 1)
		w.Capacity.Accelerators = int64(i % 2)
		m.workers = append(m.workers, w)
		m.s.UpsertWorker(w)
	}
	return m
}

// committed sums the requests of the attempts on a worker.
func (m *stateModel) committed(id types.WorkerID) types.Resources {
	var sum types.Resources
	for i := range m.tasks {
		if m.tasks[i].State.Placed() && m.tasks[i].Worker == id {
			sum = sum.Add(m.tasks[i].Job.Request)
		}
	}
	return sum
}

func (m *stateModel) plan(refuse bool) {
	for i, a := range m.s.Plan(m.now) {
		if refuse && i%2 == 0 {
			m.s.Rejected(a, kind.Errorf(kind.StaleEpoch, "refused by the test"))
			continue
		}
		if m.outdated(a) {
			m.s.Rejected(a, kind.Errorf(kind.StaleEpoch, "the task has changed since"))
			continue
		}
		m.apply(a)
	}
}

// outdated reports whether the action concerns a task with a change that was not
// passed back yet: the replicated state refuses actions that no longer fit.
func (m *stateModel) outdated(action Action) bool {
	var id types.TaskID
	switch a := action.(type) {
	case Start:
		if state := m.task(a.Task).State; state.Placed() || state.Pending() {
			return false // The scheduler knows its own starts, so a repeated start is a fault.
		}
		id = a.Task
	case Checkpoint:
		id = a.Task
	case Stop:
		id = a.Task
	case Park:
		id = a.Task
	}
	return slices.ContainsFunc(m.queue, func(t types.Task) bool { return t.ID == id })
}

func (m *stateModel) apply(action Action) {
	switch a := action.(type) {
	case Start:
		m.start(a)
	case Checkpoint:
		m.end(a.Task, a.Epoch, types.TaskCheckpointing, types.TaskEvicted)
	case Stop:
		m.end(a.Task, a.Epoch, "", a.Then)
	case Throttle:
		m.share(a.Task, a.Epoch, types.TaskThrottled, a.ShareMilli)
	case Unthrottle:
		m.share(a.Task, a.Epoch, types.TaskRunning, 0)
	case Quarantine:
		m.setWorker(a.Worker, types.WorkerQuarantined)
	case Release:
		m.setWorker(a.Worker, types.WorkerReady)
	case Park:
		m.task(a.Task).State = types.TaskParked
		m.changed(a.Task)
	case Replace:
		m.s.Rejected(a, kind.Errorf(kind.BadRequest, "the test has no replacements"))
	}
}

func (m *stateModel) task(id types.TaskID) *types.Task { return &m.tasks[id-1] }

func (m *stateModel) start(a Start) {
	t := m.task(a.Task)
	if !t.State.Pending() || a.Epoch != t.Epoch+1 {
		m.t.Fatalf("task %d is %s with epoch %d and is started again as epoch %d", a.Task, t.State, t.Epoch, a.Epoch)
	}
	w := &m.workers[a.Worker-1]
	if w.State != types.WorkerReady || w.DrainRequested || w.Evacuated {
		m.t.Fatalf("task %d is started on worker %d, which is %s, drain %v, evacuated %v", a.Task, a.Worker, w.State, w.DrainRequested, w.Evacuated)
	}
	if sum := m.committed(w.ID).Add(t.Job.Request); !sum.Fits(w.Capacity) {
		m.t.Fatalf("worker %d would be committed to %+v of %+v", a.Worker, sum, w.Capacity)
	}
	t.State, t.Worker, t.Epoch = types.TaskStarting, a.Worker, a.Epoch
	m.changed(a.Task)
}

func (m *stateModel) end(id types.TaskID, epoch uint64, state, then types.TaskState) {
	t := m.task(id)
	if !t.State.Placed() || t.Epoch != epoch || t.Stopping != "" && state != "" {
		m.t.Fatalf("task %d is %s with epoch %d and is ended as epoch %d", id, t.State, t.Epoch, epoch)
	}
	t.Stopping = then
	if state != "" {
		t.State = state
	}
	m.changed(id)
}

func (m *stateModel) share(id types.TaskID, epoch uint64, state types.TaskState, share int64) {
	t := m.task(id)
	if t.Epoch != epoch || t.State != types.TaskRunning && t.State != types.TaskThrottled {
		return // An event of the test changed the task first.
	}
	since, ok := m.throttled[id]
	if share == 0 && ok && m.now.Sub(since) < throttleHoldDown {
		m.t.Fatalf("the throttle of task %d is lifted after %s", id, m.now.Sub(since))
	}
	m.throttled[id] = m.now
	t.State, t.ShareMilli = state, share
	m.changed(id)
}

func (m *stateModel) setWorker(id types.WorkerID, state types.WorkerState) {
	m.workers[id-1].State = state
	m.s.UpsertWorker(m.workers[id-1])
}

func (m *stateModel) changed(id types.TaskID) {
	m.task(id).ChangedMs = m.now.UnixMilli()
	m.queue = append(m.queue, *m.task(id))
}

// feed passes up to n changes back to the scheduler, in their order.
func (m *stateModel) feed(n int) {
	for range min(n, len(m.queue)) {
		m.s.UpsertTask(m.queue[0])
		m.queue = m.queue[1:]
	}
}

func (m *stateModel) submit() {
	id := len(m.tasks) + 1
	k := rapid.SampledFrom([]types.TaskKind{types.KindBatch, types.KindBatch, types.KindBatch, types.KindService, types.KindWatcher}).Draw(m.t, "kind")
	task := testTask(id, k, rapid.Int64Range(500, 9000).Draw(m.t, "processors"))
	task.Job.Request.MemoryBytes = rapid.Int64Range(1, 20).Draw(m.t, "memory") * gib
	task.Job.Request.Accelerators = rapid.Int64Range(0, 9).Draw(m.t, "accelerators") / 9
	task.Job.Urgent = rapid.IntRange(0, 5).Draw(m.t, "urgent") == 0
	task.Job.Class = fmt.Sprintf("class-%d", id%3)
	m.tasks = append(m.tasks, task)
	m.changed(task.ID)
}

// step advances the attempt of one task: it runs, ends or fails.
func (m *stateModel) step(t *types.Task) {
	switch {
	case !t.State.Placed():
		return
	case t.Stopping != "":
		t.State, t.Stopping, t.Worker = t.Stopping, "", 0
	case t.State == types.TaskStarting:
		t.State = types.TaskRunning
	case rapid.Bool().Draw(m.t, "fails"):
		t.FailedOn = append(append([]types.WorkerID(nil), t.FailedOn...), t.Worker)
		t.State, t.Worker = types.TaskWaiting, 0
		t.Failures++
	case t.Job.Kind == types.KindBatch:
		t.State, t.Worker = types.TaskFinished, 0
	}
	m.changed(t.ID)
}

func (m *stateModel) anyTask() *types.Task {
	if len(m.tasks) == 0 {
		m.submit()
	}
	return &m.tasks[rapid.IntRange(0, len(m.tasks)-1).Draw(m.t, "task")]
}

func (m *stateModel) report(t *types.Task) {
	if t.State != types.TaskRunning && t.State != types.TaskThrottled {
		return
	}
	m.s.ObserveUsage(m.now, types.Usage{
		Task: t.ID, Epoch: t.Epoch, Worker: t.Worker, AgeMs: rapid.Int64Range(0, 15_000).Draw(m.t, "age"),
		MilliProcessors: t.Job.Request.MilliProcessors / 2, LatencyP99Us: rapid.Int64Range(1_000, 9_000).Draw(m.t, "latency"),
	})
}

// TestMain fixes the seed, the number and the length of the random walks, unless
// flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "1000", "rapid.steps": "60"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestPlansKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { m.submit() },
			"plan":   func(*rapid.T) { m.plan(false) },
			"refuse": func(*rapid.T) { m.plan(true) },
			"feed":   func(t *rapid.T) { m.feed(rapid.IntRange(1, 8).Draw(t, "changes")) },
			"step":   func(*rapid.T) { m.step(m.anyTask()) },
			"report": func(*rapid.T) { m.report(m.anyTask()) },
			"wait": func(t *rapid.T) {
				// Changes are always passed back before the confirmation timeout.
				m.feed(len(m.queue))
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
			"go on": func(*rapid.T) {
				for i := range m.tasks {
					if m.tasks[i].State == types.TaskStarting || m.tasks[i].Stopping != "" {
						m.step(&m.tasks[i])
					}
				}
				m.feed(len(m.queue))
				m.now = m.now.Add(time.Second)
			},
			"remark": func(*rapid.T) {
				task := m.anyTask()
				task.Reason = "a change that does not concern the scheduler"
				m.changed(task.ID)
			},
			"cancel": func(*rapid.T) {
				task := m.anyTask()
				if task.State.Pending() {
					task.State = types.TaskCancelled
					m.changed(task.ID)
				}
			},
			"worker": func(t *rapid.T) {
				w := &m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				w.DrainRequested = rapid.IntRange(0, 3).Draw(t, "drain") == 0
				w.Evacuated = rapid.IntRange(0, 3).Draw(t, "evacuated") == 0
				w.State = rapid.SampledFrom([]types.WorkerState{types.WorkerReady, types.WorkerReady, types.WorkerLeaving, types.WorkerLost}).Draw(t, "state")
				m.s.UpsertWorker(*w)
			},
		})
	})
}
