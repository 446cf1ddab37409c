package fleet

import (
	"math/rand/v2"
	"time"

	"mangohill.example/mangohill/schedule"
	"mangohill.example/mangohill/types"
)

// Planner is the scheduler under measurement.
type Planner interface {
	SetConfig(types.Config)
	UpsertWorker(types.Worker)
	UpsertTask(types.Task)
	RemoveTask(types.TaskID)
	ObserveUsage(now time.Time, usage types.Usage)
	Plan(now time.Time) []schedule.Action
	Rejected(schedule.Action, error)
}

// worker is a simulated worker.
type worker struct {
	types.Worker
	rack     int
	failsAll bool      // fails every task
	reportAt time.Time // time of its next usage report
	tasks    []*task
}

// task is a simulated task: its record as the replicated state would hold it, and its
// true properties, which the planner doesn't know.
type task struct {
	types.Task
	service    int // index of its service, -1 for batch tasks
	batchClass int // index of its batch class, -1 for serving tasks
	work       time.Duration
	useFactor  float64 // actual use of processors divided by the request
	fails      bool

	waitingSince  time.Time // when it last became pending
	activeAt      time.Time // when its last command takes effect, zero if none is pending
	progress      time.Duration
	savedProgress time.Duration // progress at the last checkpoint
}

// report is a usage report that has not arrived yet.
type report struct {
	arrives time.Time
	taken   time.Time
	usage   types.Usage
}

// Fleet is the state of a simulation.
type Fleet struct {
	spec       *Spec
	planner    Planner
	random     *rand.Rand
	start      time.Time
	now        time.Time
	workers    []*worker
	tasks      map[types.TaskID]*task
	order      []*task // the tasks by ID
	reports    []report
	nextID     types.TaskID
	waiting    int       // number of pending batch tasks
	owedDemand float64   // demand not yet submitted, in thousandths of processor-minutes
	loads      []float64 // load of each service, at most 1
	Result     Result
}

// Delays from a decision or fault to its effect.
const (
	startDelay      = 300 * time.Millisecond
	checkpointDelay = 600 * time.Millisecond
	stopDelay       = 200 * time.Millisecond
	failDelay       = 3 * time.Second  // from the start of an attempt to its failure
	leaseExpiry     = 15 * time.Second // from the loss of a rack
	rackRepair      = 20 * time.Minute // from the loss of a rack
)

// New returns a fleet at the start of its run and gives its workers and services to
// planner.
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
		w := &worker{rack: rack, failsAll: i%7 == 3 && i/7 < f.spec.Faults.BadWorkers}
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
	t := &task{service: service, batchClass: class, work: work, useFactor: useFactor, waitingSince: f.now}
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

// Run runs the simulation for the duration of its Spec.
func (f *Fleet) Run() {
	end := f.start.Add(f.spec.Duration)
	for f.now.Before(end) {
		f.Step()
	}
}

// Step advances the simulation by one tick and applies the planner's decisions.
func (f *Fleet) Step() {
	f.now = f.now.Add(f.spec.Tick)
	f.submitArrivals()
	f.injectFaults()
	f.setLoads()
	f.completeCommands()
	for _, w := range f.workers {
		f.stepWorker(w)
	}
	f.deliverReports()
	for _, a := range f.planner.Plan(f.now) {
		if err := f.Apply(a); err != nil {
			f.Result.Rejected++
			f.planner.Rejected(a, err)
		}
	}
}

// setState changes the state of t and informs the planner.
func (f *Fleet) setState(t *task, state types.TaskState) {
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

// completeCommands completes the commands whose delay has passed.
func (f *Fleet) completeCommands() {
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
		f.endAttempt(t)
	case t.State == types.TaskStarting && (t.fails || f.workers[t.Worker-1].failsAll):
		f.failAttempt(t)
	case t.State == types.TaskStarting:
		f.Result.recordStart(f, t)
		f.setState(t, types.TaskRunning)
	}
}

// endAttempt ends the attempt of t and puts t in the state t.Stopping. Progress since
// the last checkpoint is lost.
func (f *Fleet) endAttempt(t *task) {
	if t.State == types.TaskCheckpointing {
		t.savedProgress = t.progress
		t.Checkpoint = name("progress-", int(t.savedProgress/time.Second))
	}
	f.Result.addLost(t, t.progress-t.savedProgress)
	t.progress = t.savedProgress
	next := t.Stopping
	f.release(t)
	f.setState(t, next)
}

func (f *Fleet) failAttempt(t *task) {
	t.Failures++
	t.FailedOn = append(append([]types.WorkerID(nil), t.FailedOn...), t.Worker)
	f.Result.Failures++
	f.Result.addLost(t, t.progress-t.savedProgress)
	t.progress = t.savedProgress
	f.release(t)
	f.setState(t, types.TaskWaiting)
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
	t.waitingSince = f.now
}
