package coordinator

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/workflow"
)

// pricedWorkers answers each order after it has used the processor for price, and notes the
// starts in order.
type pricedWorkers struct {
	price  time.Duration
	mu     sync.Mutex
	starts []workflow.TaskRef
}

func (w *pricedWorkers) CallLimit() int { return 0 }

func (w *pricedWorkers) Forget(string) {}

func (w *pricedWorkers) Do(ctx context.Context, order *dispatch.Order, permit func() bool) dispatch.Answer {
	if !permit() {
		return dispatch.Answer{Order: *order, Outcome: dispatch.NotSent}
	}
	if order.Verb == dispatch.Start {
		w.mu.Lock()
		w.starts = append(w.starts, order.Task)
		w.mu.Unlock()
	}
	for begun := time.Now(); time.Since(begun) < w.price; {
	}
	if order.Verb == dispatch.Poll { // Held open, as no attempt ends.
		select {
		case <-time.After(order.Wait):
		case <-ctx.Done():
		}
	}
	return dispatch.Answer{Order: *order, Outcome: dispatch.Done, ClockMs: 1}
}

// startsSoFar returns the number of starts, and whether one of them is of the job.
func (w *pricedWorkers) startsSoFar(id workflow.JobID) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, ref := range w.starts {
		if ref.Job == id {
			return i, true
		}
	}
	return len(w.starts), false
}

// Guards against urgent tasks that start late while thousands of batch tasks are started: their
// submission, its commit and their own start each waited until all starts before them were sent,
// as all share one processor. What is sent in between may take 0.4 of the objective.
func TestUrgentStartsDoNotWaitForThoseOfBatchTasks(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const batchTasks, objective = 5000, 250 * time.Millisecond
	workers := &pricedWorkers{price: 80 * time.Microsecond}
	c := startLeaderWith(t, workers)
	catalog := catalogOf(2, 1)
	catalog.Queues[0].LatencyObjectiveMs = objective.Milliseconds()
	require.Nil(t, call(t, c, &Call{SetCatalog: catalog}).Err)
	for i := range 100 {
		name := workflow.JobID(i + 1).String()
		announcement := dispatch.Announcement{Life: workflow.Incarnation{Name: name, BornMs: 1}, Address: name, Service: "pool", Capacity: workflow.Resources{MilliProcessors: 1_000_000, MemoryMB: 1_000_000}}
		require.Nil(t, call(t, c, &Call{Announce: &announcement}).Err)
	}
	need := workflow.Resources{MilliProcessors: 1000, MemoryMB: 1}
	batch := workflow.Step{Count: batchTasks, Resources: need, EstimatedMs: 1000, Scavenger: true}
	require.Nil(t, call(t, c, submission(1, workflow.JobSpec{Steps: []workflow.Step{batch}})).Reply.Err)
	require.Eventually(t, func() bool { n, _ := workers.startsSoFar(0); return n > 0 }, 30*time.Second, time.Millisecond)

	before, _ := workers.startsSoFar(0)
	require.Less(t, before, batchTasks/2, "batch tasks still wait to be started")
	urgent := workflow.Step{Count: 1, Resources: need, EstimatedMs: 1000}
	require.Nil(t, call(t, c, submission(2, workflow.JobSpec{Steps: []workflow.Step{urgent}})).Reply.Err)
	var at int
	require.Eventually(t, func() (started bool) { at, started = workers.startsSoFar(2); return started }, 30*time.Second, time.Millisecond)
	t.Logf("%d starts of batch tasks, %d before the submission and %d until the urgent one", batchTasks, before, at)
	assert.LessOrEqual(t, time.Duration(at-before)*workers.price, objective*2/5)
}
