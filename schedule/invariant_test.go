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

// ledger is a small replicated state that applies what the scheduler plans, feeds
// it back late, and checks what must hold of every plan.
type ledger struct {
	t       *rapid.T
	s       *Scheduler
	now     time.Time
	workers []types.Worker
	tasks   []types.Task
	queue   []types.Task // changed tasks that were not fed back yet

	throttled map[types.TaskID]time.Time
}

func newLedger(t *rapid.T) *ledger {
	l := &ledger{t: t, s: New(Options{Seed: 1}), now: epoch0, throttled: map[types.TaskID]time.Time{}}
	for i := range 6 {
		w := testWorker(i + 1)
		w.Capacity.Accelerators = int64(i % 2)
		l.workers = append(l.workers, w)
		l.s.UpsertWorker(w)
	}
	return l
}

// committed sums the requests of the attempts on a worker.
func (l *ledger) committed(id types.WorkerID) types.Resources {
	var sum types.Resources
	for i := range l.tasks {
		if l.tasks[i].State.Placed() && l.tasks[i].Worker == id {
			sum = sum.Add(l.tasks[i].Job.Request)
		}
	}
	return sum
}

func (l *ledger) plan(refuse bool) {
	for i, a := range l.s.Plan(l.now) {
		if refuse && i%2 == 0 {
			l.s.Rejected(a, kind.Errorf(kind.StaleEpoch, "refused by the test"))
			continue
		}
		if l.behind(a) {
			l.s.Rejected(a, kind.Errorf(kind.StaleEpoch, "the task has changed since"))
			continue
		}
		l.apply(a)
	}
}

// behind reports whether the action is about a task of which a change was not fed
// back yet: the state refuses those that no longer fit.
func (l *ledger) behind(action Action) bool {
	var id types.TaskID
	switch a := action.(type) {
	case Start:
		if state := l.task(a.Task).State; state.Placed() || state.Pending() {
			return false // Its own start is never news to the scheduler.
		}
		id = a.Task
	case Checkpoint:
		id = a.Task
	case Stop:
		id = a.Task
	case Park:
		id = a.Task
	}
	return slices.ContainsFunc(l.queue, func(t types.Task) bool { return t.ID == id })
}

func (l *ledger) apply(action Action) {
	switch a := action.(type) {
	case Start:
		l.start(a)
	case Checkpoint:
		l.end(a.Task, a.Epoch, types.TaskCheckpointing, types.TaskEvicted)
	case Stop:
		l.end(a.Task, a.Epoch, "", a.Then)
	case Throttle:
		l.share(a.Task, a.Epoch, types.TaskThrottled, a.ShareMilli)
	case Unthrottle:
		l.share(a.Task, a.Epoch, types.TaskRunning, 0)
	case Quarantine:
		l.setWorker(a.Worker, types.WorkerQuarantined)
	case Release:
		l.setWorker(a.Worker, types.WorkerReady)
	case Park:
		l.task(a.Task).State = types.TaskParked
		l.changed(a.Task)
	case Replace:
		l.s.Rejected(a, kind.Errorf(kind.BadRequest, "the test has no replacements"))
	}
}

func (l *ledger) task(id types.TaskID) *types.Task { return &l.tasks[id-1] }

func (l *ledger) start(a Start) {
	t := l.task(a.Task)
	if !t.State.Pending() || a.Epoch != t.Epoch+1 {
		l.t.Fatalf("task %d is %s with epoch %d and is started again as epoch %d", a.Task, t.State, t.Epoch, a.Epoch)
	}
	w := &l.workers[a.Worker-1]
	if w.State != types.WorkerReady || w.DrainRequested {
		l.t.Fatalf("task %d is started on worker %d, which is %s, drain %v", a.Task, a.Worker, w.State, w.DrainRequested)
	}
	if sum := l.committed(w.ID).Add(t.Job.Request); !sum.Fits(w.Capacity) {
		l.t.Fatalf("worker %d would be committed to %+v of %+v", a.Worker, sum, w.Capacity)
	}
	t.State, t.Worker, t.Epoch = types.TaskStarting, a.Worker, a.Epoch
	l.changed(a.Task)
}

func (l *ledger) end(id types.TaskID, epoch uint64, state, then types.TaskState) {
	t := l.task(id)
	if !t.State.Placed() || t.Epoch != epoch || t.Stopping != "" && state != "" {
		l.t.Fatalf("task %d is %s with epoch %d and is ended as epoch %d", id, t.State, t.Epoch, epoch)
	}
	t.Stopping = then
	if state != "" {
		t.State = state
	}
	l.changed(id)
}

func (l *ledger) share(id types.TaskID, epoch uint64, state types.TaskState, share int64) {
	t := l.task(id)
	if t.Epoch != epoch || t.State != types.TaskRunning && t.State != types.TaskThrottled {
		return // Overtaken by an event of the test.
	}
	since, ok := l.throttled[id]
	if share == 0 && ok && l.now.Sub(since) < throttleHold {
		l.t.Fatalf("the throttle of task %d is lifted after %s", id, l.now.Sub(since))
	}
	l.throttled[id] = l.now
	t.State, t.ShareMilli = state, share
	l.changed(id)
}

func (l *ledger) setWorker(id types.WorkerID, state types.WorkerState) {
	l.workers[id-1].State = state
	l.s.UpsertWorker(l.workers[id-1])
}

func (l *ledger) changed(id types.TaskID) {
	l.task(id).ChangedMs = l.now.UnixMilli()
	l.queue = append(l.queue, *l.task(id))
}

// feed hands up to n changes back to the scheduler, in their order.
func (l *ledger) feed(n int) {
	for range min(n, len(l.queue)) {
		l.s.UpsertTask(l.queue[0])
		l.queue = l.queue[1:]
	}
}

func (l *ledger) submit() {
	id := len(l.tasks) + 1
	k := rapid.SampledFrom([]types.TaskKind{types.KindBatch, types.KindBatch, types.KindBatch, types.KindService, types.KindWatcher}).Draw(l.t, "kind")
	task := testTask(id, k, rapid.Int64Range(500, 9000).Draw(l.t, "processors"))
	task.Job.Request.MemoryBytes = rapid.Int64Range(1, 20).Draw(l.t, "memory") * gib
	task.Job.Request.Accelerators = rapid.Int64Range(0, 9).Draw(l.t, "accelerators") / 9
	task.Job.Urgent = rapid.IntRange(0, 5).Draw(l.t, "urgent") == 0
	task.Job.Class = fmt.Sprintf("class-%d", id%3)
	l.tasks = append(l.tasks, task)
	l.changed(task.ID)
}

// step lets the attempt of one task go on, end or fail.
func (l *ledger) step(t *types.Task) {
	switch {
	case !t.State.Placed():
		return
	case t.Stopping != "":
		t.State, t.Stopping, t.Worker = t.Stopping, "", 0
	case t.State == types.TaskStarting:
		t.State = types.TaskRunning
	case rapid.Bool().Draw(l.t, "fails"):
		t.FailedOn = append(append([]types.WorkerID(nil), t.FailedOn...), t.Worker)
		t.State, t.Worker = types.TaskWaiting, 0
		t.Failures++
	case t.Job.Kind == types.KindBatch:
		t.State, t.Worker = types.TaskFinished, 0
	}
	l.changed(t.ID)
}

func (l *ledger) anyTask() *types.Task {
	if len(l.tasks) == 0 {
		l.submit()
	}
	return &l.tasks[rapid.IntRange(0, len(l.tasks)-1).Draw(l.t, "task")]
}

func (l *ledger) report(t *types.Task) {
	if t.State != types.TaskRunning && t.State != types.TaskThrottled {
		return
	}
	l.s.ObserveUsage(l.now, types.Usage{
		Task: t.ID, Epoch: t.Epoch, Worker: t.Worker, AgeMs: rapid.Int64Range(0, 15_000).Draw(l.t, "age"),
		MilliProcessors: t.Job.Request.MilliProcessors / 2, LatencyP99Us: rapid.Int64Range(1_000, 9_000).Draw(l.t, "latency"),
	})
}

// TestMain fixes the seed and the number of the random walks, unless they are given.
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
		l := newLedger(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { l.submit() },
			"plan":   func(*rapid.T) { l.plan(false) },
			"refuse": func(*rapid.T) { l.plan(true) },
			"feed":   func(t *rapid.T) { l.feed(rapid.IntRange(1, 8).Draw(t, "changes")) },
			"step":   func(*rapid.T) { l.step(l.anyTask()) },
			"report": func(*rapid.T) { l.report(l.anyTask()) },
			"wait": func(t *rapid.T) {
				// The feed is never behind for as long as an assumption lasts.
				l.feed(len(l.queue))
				l.now = l.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
			"go on": func(*rapid.T) {
				for i := range l.tasks {
					if l.tasks[i].State == types.TaskStarting || l.tasks[i].Stopping != "" {
						l.step(&l.tasks[i])
					}
				}
				l.feed(len(l.queue))
				l.now = l.now.Add(time.Second)
			},
			"remark": func(*rapid.T) {
				task := l.anyTask()
				task.Reason = "a change that is none to the scheduler"
				l.changed(task.ID)
			},
			"cancel": func(*rapid.T) {
				task := l.anyTask()
				if task.State.Pending() {
					task.State = types.TaskCancelled
					l.changed(task.ID)
				}
			},
			"worker": func(t *rapid.T) {
				w := &l.workers[rapid.IntRange(0, len(l.workers)-1).Draw(t, "worker")]
				w.DrainRequested = rapid.IntRange(0, 3).Draw(t, "drain") == 0
				w.State = rapid.SampledFrom([]types.WorkerState{types.WorkerReady, types.WorkerReady, types.WorkerLeaving, types.WorkerLost}).Draw(t, "state")
				l.s.UpsertWorker(*w)
			},
		})
	})
}
