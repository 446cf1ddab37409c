package state

import (
	"slices"
	"sync"

	"mangohill.example/mangohill/chart"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

var (
	taskChart   = chart.MustLoad("task")
	workerChart = chart.MustLoad("worker")
)

// maxAgeStepMs limits by how much one entry advances Store.ageMs, in milliseconds,
// so that a jump of the leader's clock does not end retentions.
const maxAgeStepMs = 10_000

// Result is the result of one operation. Err is nil if the operation took effect,
// now or when it was applied before.
type Result struct {
	Err *kind.Error
	// Version is the current version of the configuration after a SetConfig, and the
	// worker's new session after a Register.
	Version uint64
	Message string
	Worker  types.WorkerID
	Claim   controlapi.ClaimReply
}

// Failure returns Err as an error; the error is nil if Err is nil.
func (r Result) Failure() error {
	if r.Err == nil {
		return nil
	}
	return r.Err
}

func refuse(k kind.Kind, format string, args ...any) Result {
	return Result{Err: kind.Errorf(k, format, args...)}
}

type worker struct {
	types.Worker
	// attempts holds the IDs of the tasks placed on the worker, in ascending order.
	attempts []types.TaskID
}

type job struct {
	spec  *types.JobSpec
	tasks []types.TaskID
	// nextOrdinal is the ordinal of the next replica that Replace adds.
	nextOrdinal int
}

// Store is the state machine. It is safe for concurrent use. The replica calls Apply,
// Snapshot and Restore.
type Store struct {
	mu sync.RWMutex

	// nowMs is the leader's wall clock at the newest entry. ageMs is the time since the
	// cluster was created, as a sum of the steps between entries: it never goes
	// backwards, and a clock that jumps (also by a change of leader) advances it by
	// maxAgeStepMs at most.
	nowMs      int64
	ageMs      int64
	index      uint64
	nextTask   types.TaskID
	nextWorker types.WorkerID
	epochFloor uint64 // the highest epoch of any removed task

	workers     map[types.WorkerID]*worker
	workerNames map[string]types.WorkerID
	tasks       map[types.TaskID]*types.Task
	taskNames   map[string]types.TaskID
	jobs        map[string]*job
	endedTasks  []types.TaskID // in order of their ends

	configVersion uint64
	configText    string
	// leaseDurationsMs lists the lease durations of the newest configurations, oldest
	// first: leases granted under any of them may not have expired yet.
	leaseDurationsMs []int64

	// evacuations holds the evacuated failure domains with the time of the order, in
	// milliseconds since the Unix epoch.
	evacuations map[string]int64

	claims   claimTable
	commands commandTable
	events   eventRing

	changes changeSet
}

// New returns the state of a new cluster.
func New() *Store {
	return &Store{
		nextTask:         1,
		nextWorker:       1,
		workers:          make(map[types.WorkerID]*worker),
		workerNames:      make(map[string]types.WorkerID),
		tasks:            make(map[types.TaskID]*types.Task),
		taskNames:        make(map[string]types.TaskID),
		jobs:             make(map[string]*job),
		configVersion:    1,
		configText:       types.DefaultConfigText,
		leaseDurationsMs: []int64{defaultLeaseDurationMs},
		evacuations:      make(map[string]int64),
		claims:           newClaimTable(),
		commands:         newCommandTable(),
		changes:          newChangeSet(),
	}
}

// Apply applies a log entry and returns a []Result, one for each operation. An entry
// that cannot be decoded has no effect and a single result of kind corrupt.
func (s *Store) Apply(index uint64, data []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index = index
	nowMs, ops, err := Decode(data)
	if err != nil {
		return []Result{{Err: kind.Errorf(kind.Corrupt, "log index %d: %w", index, err)}}
	}
	s.ageMs += min(max(nowMs-s.nowMs, 0), maxAgeStepMs)
	s.nowMs = nowMs
	s.claims.expire(s.ageMs)
	results := make([]Result, 0, len(ops))
	for _, op := range ops {
		results = append(results, op.apply(s))
	}
	s.changes.notify()
	return results
}

// transitionTask applies an event of the chart "task" to a task. The error is of
// kind invalid_transition.
func (s *Store) transitionTask(t *types.Task, event string) *kind.Error {
	next, err := taskChart.Next(string(t.State), event)
	if err != nil {
		return kind.Errorf(kind.InvalidTransition, "task %q: %w", t.Name, err)
	}
	t.State = types.TaskState(next)
	t.ChangedMs = s.nowMs
	s.changes.task(t.ID)
	return nil
}

func (s *Store) transitionWorker(w *worker, event string) *kind.Error {
	next, err := workerChart.Next(string(w.State), event)
	if err != nil {
		return kind.Errorf(kind.InvalidTransition, "worker %q: %w", w.Name, err)
	}
	w.State = types.WorkerState(next)
	s.changes.worker(w.ID)
	return nil
}

// place commits the resources of the task on the worker.
func (s *Store) place(t *types.Task, w *worker) {
	t.Worker = w.ID
	w.Committed = w.Committed.Add(t.Job.Request)
	at, _ := slices.BinarySearch(w.attempts, t.ID)
	w.attempts = slices.Insert(w.attempts, at, t.ID)
	s.changes.worker(w.ID)
}

// release removes the task from its worker and frees the committed resources.
func (s *Store) release(t *types.Task) {
	w := s.workers[t.Worker]
	w.Committed = w.Committed.Sub(t.Job.Request)
	if at, ok := slices.BinarySearch(w.attempts, t.ID); ok {
		w.attempts = slices.Delete(w.attempts, at, at+1)
	}
	t.Worker = 0
	t.Stopping = ""
	t.ShareMilli = 0
	s.changes.worker(w.ID)
}
