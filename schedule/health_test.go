package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/types"
)

// healthFixture is a cluster in which the function fails decides which attempts fail.
type healthFixture struct {
	s       *Scheduler
	now     time.Time
	workers map[types.WorkerID]types.Worker
	tasks   map[types.TaskID]*types.Task
	fails   func(types.Task) bool

	starts      map[types.WorkerID]int
	quarantined map[types.WorkerID]int
	parked      map[types.TaskID]string
}

func newHealthFixture(workers int, fails func(types.Task) bool) *healthFixture {
	w := &healthFixture{
		s: New(Options{Seed: 1}), now: epoch0, fails: fails,
		workers: map[types.WorkerID]types.Worker{}, tasks: map[types.TaskID]*types.Task{},
		starts: map[types.WorkerID]int{}, quarantined: map[types.WorkerID]int{}, parked: map[types.TaskID]string{},
	}
	for i := range workers {
		worker := testWorker(i + 1)
		w.workers[worker.ID] = worker
		w.s.UpsertWorker(worker)
	}
	return w
}

func (w *healthFixture) submit(jobs int) {
	for range jobs {
		task := testTask(len(w.tasks)+1, types.KindBatch, 1000)
		task.ChangedMs = w.now.UnixMilli()
		w.tasks[task.ID] = &task
		w.s.UpsertTask(task)
	}
}

// step advances by one second, ends the attempts that fail or have run long enough,
// and applies a plan.
func (w *healthFixture) step(t *testing.T) {
	w.now = w.now.Add(time.Second)
	for id := range types.TaskID(len(w.tasks)) {
		w.advance(w.tasks[id+1])
	}
	for _, action := range w.s.Plan(w.now) {
		switch a := action.(type) {
		case Start:
			require.Equal(t, types.WorkerReady, w.workers[a.Worker].State, "start on worker %d", a.Worker)
			w.starts[a.Worker]++
			w.tasks[a.Task].Epoch, w.tasks[a.Task].Worker = a.Epoch, a.Worker
			w.set(w.tasks[a.Task], types.TaskRunning)
		case Quarantine:
			w.quarantined[a.Worker]++
			w.setWorker(a.Worker, types.WorkerQuarantined)
		case Release:
			w.setWorker(a.Worker, types.WorkerReady)
		case Park:
			w.parked[a.Task] = a.Reason
			w.set(w.tasks[a.Task], types.TaskParked)
		}
	}
}

func (w *healthFixture) advance(task *types.Task) {
	age := w.now.UnixMilli() - task.ChangedMs
	switch {
	case task.State != types.TaskRunning:
	case w.fails(*task):
		task.Failures++
		task.FailedOn = append(append([]types.WorkerID(nil), task.FailedOn...), task.Worker)
		task.Worker = 0
		w.set(task, types.TaskWaiting)
	case age > 70_000:
		task.Worker = 0
		w.set(task, types.TaskFinished)
	}
}

func (w *healthFixture) set(task *types.Task, state types.TaskState) {
	task.State = state
	task.ChangedMs = w.now.UnixMilli()
	w.s.UpsertTask(*task)
}

func (w *healthFixture) setWorker(id types.WorkerID, state types.WorkerState) {
	worker := w.workers[id]
	worker.State = state
	w.workers[id] = worker
	w.s.UpsertWorker(worker)
}

func TestBadWorkerIsQuarantinedAndReturnsAfterProbation(t *testing.T) {
	broken := true
	w := newHealthFixture(8, func(task types.Task) bool { return broken && task.Worker == 3 })
	for i := range 1200 {
		if i%10 == 0 {
			w.submit(8)
		}
		w.step(t)
	}
	assert.Equal(t, []types.WorkerID{3}, workerIDs(w.quarantined))
	assert.Empty(t, w.parked, "the worker's failures park no job")
	assert.Less(t, w.starts[3], 2*8, "one burst that fills the worker, then single tasks on probation")
	broken = false
	before := w.starts[3]
	for i := range 1800 {
		if i%10 == 0 {
			w.submit(8)
		}
		w.step(t)
	}
	assert.Greater(t, w.starts[3]-before, 40, "the repaired worker gets tasks again")
}

func TestBadJobsAreParkedAndQuarantineNoWorker(t *testing.T) {
	w := newHealthFixture(8, func(task types.Task) bool { return task.ID%5 == 0 })
	for i := range 600 {
		if i%10 == 0 {
			w.submit(5)
		}
		w.step(t)
	}
	assert.Empty(t, w.quarantined)
	assert.Greater(t, len(w.parked), 40)
	for id, reason := range w.parked {
		assert.Zero(t, id%5, "task %d: %s", id, reason)
		assert.Contains(t, reason, "healthy workers")
	}
}

func TestOnlyWorkerIsNotQuarantinedForBadJobs(t *testing.T) {
	w := newHealthFixture(1, func(task types.Task) bool { return task.ID%2 == 0 })
	mostWaiting := 0
	for i := range 300 {
		if i%15 == 0 {
			w.submit(2)
		}
		w.step(t)
		mostWaiting = max(mostWaiting, w.goodTasksWaiting())
	}
	assert.Empty(t, w.quarantined)
	assert.Zero(t, mostWaiting, "attempts that run on show that the worker is healthy, so that it is not suspended for long")
}

func (w *healthFixture) goodTasksWaiting() int {
	n := 0
	for _, task := range w.tasks {
		if task.State == types.TaskWaiting && !w.fails(*task) {
			n++
		}
	}
	return n
}

func TestSeveralBadWorkersParkNoJob(t *testing.T) {
	w := newHealthFixture(8, func(task types.Task) bool { return task.Worker <= 4 })
	for i := range 900 {
		if i%10 == 0 {
			w.submit(8)
		}
		w.step(t)
	}
	assert.Empty(t, w.parked)
	assert.Len(t, w.quarantined, 4)
}

func workerIDs(m map[types.WorkerID]int) []types.WorkerID {
	var list []types.WorkerID
	for id := range m {
		list = append(list, id)
	}
	return list
}

func TestFailuresOnSuspectWorkersDoNotParkAJob(t *testing.T) {
	w := newHealthFixture(4, nil)
	w.submit(4)
	fail := func(id types.TaskID, worker types.WorkerID) {
		task := w.tasks[id]
		task.Worker = worker
		task.Epoch++
		w.set(task, types.TaskRunning)
		w.now = w.now.Add(time.Second)
		task.Failures++
		task.FailedOn = append(task.FailedOn, worker)
		task.Worker = 0
		w.set(task, types.TaskWaiting)
	}
	for worker := range types.WorkerID(3) {
		fail(1, worker+1)
		fail(types.TaskID(worker)+2, worker+1)
	}
	w.now = w.now.Add(10 * time.Second)
	actions := w.s.Plan(w.now)
	assert.Zero(t, count[Park](actions), "other jobs failed on each of these workers too")
	assert.Positive(t, count[Start](actions))
}

func TestThreeBadJobsInARowDoNotQuarantineAWorker(t *testing.T) {
	w := newHealthFixture(6, func(types.Task) bool { return true })
	w.submit(3)
	for range 300 {
		w.step(t)
	}
	assert.Empty(t, w.quarantined)
	assert.Len(t, w.parked, 3)
}
