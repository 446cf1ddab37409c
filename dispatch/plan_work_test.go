package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// fullFleet returns an engine with as many workers, each of which lasting tasks and scavengers
// fill, and jobs of scavengers of several images that wait for room.
func fullFleet(workers, waiting, images int) *Engine {
	e := New(Settings{Lease: time.Minute, MaxLease: time.Minute}, zerolog.Nop(), 1, workflow.NewState(), 1)
	queue := workflow.Queue{Name: "q", Host: "h", PathPrefix: "/", Service: "s", TimeoutMs: 1000, StretchMilli: 2000, LatencyObjectiveMs: 1000, Priority: 2}
	_ = e.propose(workflow.Op{SetCatalog: &workflow.SetCatalog{Catalog: workflow.Catalog{Version: 1, Queues: []workflow.Queue{queue}, Services: []workflow.Service{{Name: "s"}}}}}) // A wrong one fails the test.
	for i := range workers {
		name := fmt.Sprint("w", i)
		e.Announce(&Announcement{Life: workflow.Incarnation{Name: name, BornMs: 1}, Address: name, Service: "s", Capacity: workflow.Resources{MilliProcessors: 64_000, MemoryMB: 250_000}}, func(*kind.Error) {})
	}
	for _, v := range e.sortedViews {
		v.fenced, v.clockMs, v.pollInFlight = true, 1, true
	}
	next := workflow.JobID(0)
	submit := func(step workflow.Step) {
		next++
		e.submit(&queue, next, &Request{Job: &workflow.JobSpec{Steps: []workflow.Step{step}}}, func(Reply) {})
	}
	for range workers * 4 / 24 {
		submit(workflow.Step{Count: 24, Resources: workflow.Resources{MilliProcessors: 13_000, MemoryMB: 26_000}, Lasting: true, LatencyTargetMs: 125, Image: "serving"})
	}
	for range workers / 4 {
		submit(workflow.Step{Count: 40, EstimatedMs: 1700, Resources: workflow.Resources{MilliProcessors: 7000, MemoryMB: 13_000}, Scavenger: true, Image: "batch-0"})
	}
	commitAll(e)
	for i := range waiting {
		submit(workflow.Step{Count: 40, EstimatedMs: 1700, Resources: workflow.Resources{MilliProcessors: 7000 + int64(i%7)*1000, MemoryMB: 13_000 + int64(i%5)*1000}, Scavenger: true, Image: fmt.Sprint("batch-", i%images)})
	}
	commitAll(e)
	return e
}

func commitAll(e *Engine) {
	for e.TakeBatch() != nil {
		e.Committed()
	}
	e.TakeOrders()
}

// Guards against a leader that is busy with tasks that fit nowhere: each plan, of which there is
// one for each commit, evaluated all workers for all of them. At the price of an evaluation on a
// slow processor, the plans of a second in which tasks end and others take their places may take
// a quarter of it. The fleets are as large as the largest deployment, twice that, and a tenth.
func TestTasksThatFitNowhereCostLittle(t *testing.T) {
	const plansPerSecond, price = 60, time.Microsecond
	for _, workers := range []int{89, 890, 1780} {
		t.Run(fmt.Sprint("workers=", workers), func(t *testing.T) {
			t.Parallel()
			e := fullFleet(workers, 300, 30)
			before, placed := e.counters.Evaluated, e.counters.Placed
			for i := range plansPerSecond {
				e.Advance(e.now.Add(time.Second/plansPerSecond), e.wallMs+int64(time.Second/plansPerSecond/time.Millisecond))
				for _, v := range e.sortedViews {
					v.answeredAt, v.reportedAt = e.now, e.now
				}
				endScavengers(e, e.sortedViews[i*7%workers])
				commitAll(e)
			}
			evaluated := e.counters.Evaluated - before
			t.Logf("%d evaluations, %d placements", evaluated, e.counters.Placed-placed)
			assert.Positive(t, e.counters.Placed-placed, "what becomes free is used")
			assert.LessOrEqual(t, time.Duration(evaluated)*price, time.Second/4)
		})
	}
}

// endScavengers ends the scavengers on a worker.
func endScavengers(e *Engine, v *workerView) {
	for _, a := range v.attemptList {
		if e.isScavenger(a.ref) {
			a.running = true
			e.recordEnds(v, []EndedAttempt{{Number: v.lastEndSeen + 1, Task: a.ref, Attempt: a.number, How: workflow.EndDone}})
		}
	}
}

// Guards against plans that place thousands of batch tasks at once, during which the leader
// looks at no submission, answer or urgent task. At the price of the work on a slow processor, a
// plan may take a tenth of an objective of 250 ms. What is left out must follow.
func TestAPlanOfManyTasksIsDoneInParts(t *testing.T) {
	const workers, jobs, tasks, price, aim = 890, 400, 40, time.Microsecond, 250 * time.Millisecond
	e := fullFleet(workers, 0, 1)
	for _, v := range e.sortedViews {
		endScavengers(e, v)
	}
	queue := &e.state.Catalog().Queues[0]
	for i := range jobs {
		step := workflow.Step{Count: tasks, EstimatedMs: 1700, Resources: workflow.Resources{MilliProcessors: 1, MemoryMB: 1}, Scavenger: true, Image: fmt.Sprint("batch-", i)}
		e.submit(queue, workflow.JobID(1_000_000+i), &Request{Job: &workflow.JobSpec{Steps: []workflow.Step{step}}}, func(Reply) {})
	}
	waiting := func() (n int) {
		for i := range jobs {
			for _, task := range e.state.Job(workflow.JobID(1_000_000+i)).Occurrences.Tasks(0, 0) {
				if task.State == workflow.TaskPending {
					n++
				}
			}
		}
		return n
	}
	plans := 0
	for waiting() > 0 && plans < jobs {
		evaluatedBefore, placedBefore := e.counters.Evaluated, e.counters.Placed
		if e.TakeBatch() != nil {
			e.Committed()
		}
		plans++
		work := e.counters.Evaluated - evaluatedBefore + placementWork*(e.counters.Placed-placedBefore)
		assert.LessOrEqual(t, time.Duration(work)*price, aim/10, "plan %d", plans)
	}
	t.Logf("%d tasks placed in %d plans", jobs*tasks, plans)
	assert.Zero(t, waiting())
}

// Guards against tasks that are never tried, since each plan ends at its limit with those before
// them, which fit nowhere. The last in scheduling order must be placed within a second.
func TestTheLastTasksAreTriedBesideManyThatFitNowhere(t *testing.T) {
	const workers, waiting, plansPerSecond = 890, 600, 60
	e := fullFleet(workers, waiting, waiting)
	catalog := *e.state.Catalog()
	last := workflow.Queue{Name: "last", Host: "h", PathPrefix: "/last/", Service: "s", TimeoutMs: 1000, StretchMilli: 2000, LatencyObjectiveMs: 1000, Priority: 3}
	catalog.Version, catalog.Queues = 2, append(catalog.Queues, last)
	require.NoError(t, e.propose(workflow.Op{SetCatalog: &workflow.SetCatalog{Catalog: catalog}}))
	const job = 1_000_000
	small := workflow.Step{Count: 1, EstimatedMs: 1700, Resources: workflow.Resources{MilliProcessors: 10, MemoryMB: 1}, Scavenger: true, Image: "small"}
	e.submit(&last, job, &Request{Job: &workflow.JobSpec{Steps: []workflow.Step{small}}}, func(Reply) {})
	plans := 0
	for ; plans < plansPerSecond && e.state.Job(job).Occurrences.Tasks(0, 0)[0].State == workflow.TaskPending; plans++ {
		e.Advance(e.now.Add(time.Second/plansPerSecond), e.wallMs+int64(time.Second/plansPerSecond/time.Millisecond))
		for _, v := range e.sortedViews {
			v.answeredAt, v.reportedAt = e.now, e.now
		}
		if e.TakeBatch() != nil {
			e.Committed()
		}
	}
	t.Logf("placed in plan %d", plans)
	assert.Less(t, plans, plansPerSecond)
}

// Guards against the same where the others were tried before, and are tried again in each plan,
// since room has grown on all workers, though too little for any of them.
func TestTasksThatFitNowhereAgainDoNotEndAPlan(t *testing.T) {
	const workers, waiting, plansPerSecond = 890, 200, 60
	e := fullFleet(workers, waiting, waiting)
	tryAgain := func() {
		e.Advance(e.now.Add(time.Second/plansPerSecond), e.wallMs+int64(time.Second/plansPerSecond/time.Millisecond))
		for _, v := range e.sortedViews {
			v.answeredAt, v.reportedAt = e.now, e.now
			v.roomGrew()
		}
		if e.TakeBatch() != nil {
			e.Committed()
		}
	}
	for range plansPerSecond / 3 {
		tryAgain()
	}
	const job = 1_000_000
	small := workflow.Step{Count: 1, EstimatedMs: 1700, Resources: workflow.Resources{MilliProcessors: 10, MemoryMB: 1}, Scavenger: true, Image: "small"}
	last := e.state.Catalog().Queues[0]
	last.Name, last.PathPrefix, last.Priority = "last", "/last/", 3
	catalog := *e.state.Catalog()
	catalog.Version, catalog.Queues = 2, append(catalog.Queues, last)
	require.NoError(t, e.propose(workflow.Op{SetCatalog: &workflow.SetCatalog{Catalog: catalog}}))
	e.submit(&last, job, &Request{Job: &workflow.JobSpec{Steps: []workflow.Step{small}}}, func(Reply) {})
	plans := 0
	for ; plans < plansPerSecond && e.state.Job(job).Occurrences.Tasks(0, 0)[0].State == workflow.TaskPending; plans++ {
		tryAgain()
	}
	t.Logf("placed in plan %d", plans)
	assert.Less(t, plans, plansPerSecond)
}
