package fleet

import (
	"math/rand/v2"
	"time"

	"mangohill.example/mangohill/schedule"
	"mangohill.example/mangohill/types"
)

// Planner is the decision code under measurement.
type Planner interface {
	SetConfig(types.Config)
	UpsertWorker(types.Worker)
	UpsertTask(types.Task)
	RemoveTask(types.TaskID)
	ObserveUsage(now time.Time, usage types.Usage)
	Plan(now time.Time) []schedule.Action
	Rejected(schedule.Action, error)
}

// worker is a host of the fleet.
type worker struct {
	types.Worker
	rack     int
	bad      bool // fails every task
	reportAt time.Time
	tasks    []*task
}

// task is a task of the fleet: the record as the replicated state would hold it,
// and its true nature.
type task struct {
	types.Task
	service   int // index of its service, -1 for batch
	class     int // index of its batch class, -1 for services
	work      time.Duration
	useFactor float64 // true use against the request
	fails     bool

	since    time.Time // when it began to wait
	activeAt time.Time // when its command takes effect
	done     time.Duration
	saved    time.Duration // progress in the last checkpoint
}

// report is a usage report on its way.
type report struct {
	arrives time.Time
	taken   time.Time
	usage   types.Usage
}

// Fleet is a fleet in virtual time.
type Fleet struct {
	spec    *Spec
	planner Planner
	random  *rand.Rand
	start   time.Time
	now     time.Time
	workers []*worker
	tasks   map[types.TaskID]*task
	order   []*task // the tasks in the order of their IDs
	reports []report
	nextID  types.TaskID
	waiting int     // waiting batch tasks
	owed    float64 // demand that has not been submitted, in thousandths of processor-minutes
	loads   []float64
	Result  Result
}

const (
	startDelay      = 300 * time.Millisecond
	checkpointDelay = 600 * time.Millisecond
	stopDelay       = 200 * time.Millisecond
	failDelay       = 3 * time.Second
	leaseOver       = 15 * time.Second
	rackRepair      = 20 * time.Minute
)

// New returns a fleet at the beginning of its run.
func New(spec *Spec, planner Planner) *Fleet {
	f := &Fleet{
		spec: spec, planner: planner,
		random: rand.New(rand.NewPCG(spec.Seed, 7)),
		start:  time.UnixMilli(1_800_000_000_000),
		tasks:  map[types.TaskID]*task{},
		loads:  make([]float64, len(spec.Services)),
	}
	f.now = f.start
	f.Result.init(spec)
	planner.SetConfig(types.Config{Weights: spec.Weights})
	f.addWorkers()
	f.addServices()
	return f
}

func (f *Fleet) addWorkers() {
	racks := (f.spec.Workers + f.spec.WorkersPerRack - 1) / f.spec.WorkersPerRack
	for i := range f.spec.Workers {
		rack := i / f.spec.WorkersPerRack
		w := &worker{rack: rack, bad: i%7 == 3 && i/7 < f.spec.Faults.BadWorkers}
		w.Worker = types.Worker{
			ID: types.WorkerID(i + 1), Name: name("w", i+1), Incarnation: 1, State: types.WorkerReady,
			FailureDomain: name("domain-", rack*f.spec.FailureDomains/racks+1), Rack: name("rack-", rack+1),
			Capacity: f.spec.Capacity,
		}
		w.reportAt = f.now.Add(time.Duration(f.random.Int64N(int64(f.spec.ReportEvery))))
		f.workers = append(f.workers, w)
		f.planner.UpsertWorker(w.Worker)
	}
}

func (f *Fleet) addServices() {
	for i, s := range f.spec.Services {
		job := &types.JobSpec{Name: s.Name, Kind: types.KindService, Team: "front", Request: s.Request, Replicas: s.Replicas}
		for range s.Replicas {
			f.submit(job, i, -1, time.Duration(1<<62), 1)
		}
	}
}

func (f *Fleet) submit(job *types.JobSpec, service, class int, work time.Duration, useFactor float64) *task {
	f.nextID++
	t := &task{service: service, class: class, work: work, useFactor: useFactor, since: f.now}
	t.Task = types.Task{
		ID: f.nextID, Name: name(job.Name+"-", int(f.nextID)), Job: job, State: types.TaskWaiting,
		SubmittedMs: f.now.UnixMilli(), ChangedMs: f.now.UnixMilli(),
	}
	f.tasks[t.ID] = t
	f.order = append(f.order, t)
	if service < 0 {
		f.waiting++
	}
	f.planner.UpsertTask(t.Task)
	return t
}

// Run runs the fleet to the end of its duration.
func (f *Fleet) Run() {
	end := f.start.Add(f.spec.Duration)
	for f.now.Before(end) {
		f.Step()
	}
}

// Step moves the fleet on by one tick.
func (f *Fleet) Step() {
	f.now = f.now.Add(f.spec.Tick)
	f.arrive()
	f.disturb()
	f.setLoads()
	f.takeEffect()
	for _, w := range f.workers {
		f.stepWorker(w)
	}
	f.deliver()
	for _, a := range f.planner.Plan(f.now) {
		if err := f.Apply(a); err != nil {
			f.Result.Rejected++
			f.planner.Rejected(a, err)
		}
	}
}

// change moves t to a state and tells the planner.
func (f *Fleet) change(t *task, state types.TaskState) {
	if t.service < 0 {
		f.waiting += pending(state) - pending(t.State)
	}
	t.State = state
	t.ChangedMs = f.now.UnixMilli()
	f.planner.UpsertTask(t.Task)
	if state.Terminal() {
		f.planner.RemoveTask(t.ID)
		delete(f.tasks, t.ID)
	}
}

func pending(s types.TaskState) int {
	if s.Pending() {
		return 1
	}
	return 0
}

// takeEffect completes the commands whose delay is over.
func (f *Fleet) takeEffect() {
	kept := f.order[:0]
	for _, t := range f.order {
		if t.State.Terminal() {
			continue
		}
		kept = append(kept, t)
		if t.activeAt.IsZero() || t.activeAt.After(f.now) {
			continue
		}
		f.complete(t)
	}
	clear(f.order[len(kept):])
	f.order = kept
}

func (f *Fleet) complete(t *task) {
	t.activeAt = time.Time{}
	switch {
	case t.Stopping != "":
		f.stop(t)
	case t.State == types.TaskStarting && (t.fails || f.workers[t.Worker-1].bad):
		f.fail(t)
	case t.State == types.TaskStarting:
		f.Result.started(f, t)
		f.change(t, types.TaskRunning)
	}
}

// stop ends the attempt of t in the state that was decided.
func (f *Fleet) stop(t *task) {
	if t.State == types.TaskCheckpointing {
		t.saved = t.done
		t.Checkpoint = name("progress-", int(t.saved/time.Second))
	}
	f.Result.lose(t, t.done-t.saved)
	t.done = t.saved
	next := t.Stopping
	f.release(t)
	f.change(t, next)
}

func (f *Fleet) fail(t *task) {
	t.Failures++
	t.FailedOn = append(append([]types.WorkerID(nil), t.FailedOn...), t.Worker)
	f.Result.Failures++
	f.Result.lose(t, t.done-t.saved)
	t.done = t.saved
	f.release(t)
	f.change(t, types.TaskWaiting)
}

func (f *Fleet) release(t *task) {
	w := f.workers[t.Worker-1]
	for i, o := range w.tasks {
		if o == t {
			w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
			break
		}
	}
	w.Committed = w.Committed.Sub(t.Job.Request)
	t.Worker = 0
	t.Stopping = ""
	t.ShareMilli = 0
	t.since = f.now
}
