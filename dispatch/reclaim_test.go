package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// fillWithLong submits short tasks that do not end, so many that some of them wait.
func (s *sim) fillWithLong(id workflow.JobID, count uint32) {
	s.runTime = func(*simRun) time.Duration { return time.Hour }
	s.submit(id, step(count))
	s.run(time.Second)
}

// runsLasting reports whether the only task of job 1 runs.
func (s *sim) runsLasting() bool { return len(s.runs[workflow.TaskRef{Job: 1}]) > 0 }

// Guards against a lasting task that waits for its test without an end: all workers are full of
// short tasks that do not end, and nothing is stopped for a task that is to be tested.
func TestALastingTaskThatIsToBeTestedGetsTheRoomOfShortTasks(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	a := s.addWorker("a", 4)
	s.run(time.Second)
	s.submit(1, lastingStep(1, 1500))
	require.True(t, s.runsLasting())
	s.addWorker("b", 4)
	s.run(500 * time.Millisecond)
	a.crash()
	a = s.startUnreported("a", a)
	a.capacity.MilliProcessors = 1000
	a.report()
	s.fillWithLong(2, 8)
	endedAt := s.now
	ref := workflow.TaskRef{Job: 1}
	require.True(t, s.runUntil(s.settings.MaxLease+2*time.Second, func() bool {
		job := s.committed.Job(1)
		return job.Task(ref).State == workflow.TaskPending && needsTest(job.Suspect(ref))
	}))
	assert.True(t, s.runUntil(returnBound, s.runsLasting), "waits for %v", s.now.Sub(endedAt))
	assert.Empty(t, s.violations)
}

// Guards against a lasting task that is given to a worker that refuses it, again and again, while
// the others are full of short tasks that do not end.
func TestALastingTaskIsNotKeptByAWorkerThatRefusesIt(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	a := s.addWorker("a", 4)
	s.run(time.Second)
	s.submit(1, lastingStep(1, 1500))
	s.run(10 * time.Second)
	require.True(t, s.runsLasting())
	s.addWorker("b", 4)
	s.run(time.Second)
	s.fillWithLong(2, 12)
	s.addWorker("c", 4).sheds = true
	a.crash()
	require.True(t, s.runUntil(2*s.settings.MaxLease, func() bool {
		return s.committed.Job(1).Task(workflow.TaskRef{Job: 1}).State == workflow.TaskPending || s.committed.Job(1).Task(workflow.TaskRef{Job: 1}).Attempt > 1
	}))
	endedAt := s.now
	assert.True(t, s.runUntil(returnBound, s.runsLasting), "waits for %v, %d attempts", s.now.Sub(endedAt), s.committed.Job(1).LastAttempt(workflow.TaskRef{Job: 1}))
	assert.Empty(t, s.violations)
}

// Guards against short tasks that are stopped for the first run of a lasting task, although all of
// them end in time by themselves.
func TestNothingIsStoppedForFirstRunsBesideShortTasksThatEndInTime(t *testing.T) {
	s := newSim(t, 7)
	s.setCatalog()
	for i := range 20 {
		s.addWorker(fmt.Sprint("w", i), 16)
	}
	s.run(time.Second)
	id := workflow.JobID(1000)
	submit := func(step workflow.Step) {
		id++
		s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + id.String(), Job: &workflow.JobSpec{Payload: "p", Steps: []workflow.Step{step}}}, func(Reply) {})
	}
	s.every(15*time.Millisecond, func() { submit(step(10)) }) // Some more than the fleet can run.
	s.run(3 * time.Second)
	var lasting []workflow.JobID
	for range 40 {
		submit(lastingStep(1, 4000))
		lasting = append(lasting, id)
		s.run(500 * time.Millisecond)
	}
	s.run(firstRunBound)
	for _, job := range lasting {
		assert.Len(t, s.runs[workflow.TaskRef{Job: job}], 1)
	}
	assert.Less(t, s.engine.Counters().LongestWaitsMs.NeverRan, firstRunBound.Milliseconds())
	assert.Zero(t, s.engine.Counters().StoppedForLasting)
	assert.Empty(t, s.violations)
}

// Guards against a wait that begins anew with a leader after an attempt that never ran: it was
// placed on a worker that was cut off, and the others are full of short tasks.
func TestANewLeaderKnowsAWaitBesideAnAttemptThatNeverRan(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	a := s.addWorker("a", 4)
	s.run(time.Second)
	s.submit(1, lastingStep(1, 1500))
	s.run(10 * time.Second)
	require.True(t, s.runsLasting())
	s.addWorker("b", 4)
	s.run(time.Second)
	s.fillWithLong(2, 6)
	a.crash()
	ref := workflow.TaskRef{Job: 1}
	task := func() *workflow.Task { return s.committed.Job(1).Task(ref) }
	require.True(t, s.runUntil(2*s.settings.MaxLease, func() bool { return task().State == workflow.TaskPending }))
	endedAt := s.now
	c := s.addWorker("c", 4)
	s.send = func(engine *Engine, order Order) {
		c.partitioned = c.partitioned || order.Verb == Start && order.Task == ref
		s.deliver(engine, order)
	}
	require.True(t, s.runUntil(time.Second, func() bool { return c.partitioned }))
	s.submit(3, step(8))
	s.takeOver()
	tookOverAt := s.now
	require.True(t, s.runUntil(time.Minute, s.runsLasting))
	t.Logf("runs again %v after its end, %v after the new leader took over", s.now.Sub(endedAt), s.now.Sub(tookOverAt))
	assert.LessOrEqual(t, s.now.Sub(tookOverAt), maxRealTime(s.settings.MaxLease)+stopDuration+2*time.Second, "once the lease of the attempt is over")
	assert.Empty(t, s.violations)
}

// Guards against a lasting task of an advised queue that waits without an end: the service is asked
// only about workers that have room, and no room is kept or made for such a task.
func TestALastingTaskOfAnAdvisedQueueGetsTheRoomOfShortTasks(t *testing.T) {
	s := newSim(t, 65)
	queue := workflow.Queue{Name: "q", Host: "h", PathPrefix: "/q/", Service: "pool", TimeoutMs: 3000, MaxAttempts: 3}
	advised := queue
	advised.Name, advised.PathPrefix, advised.Advised, advised.AdviceBaseMs, advised.AdviceEachMs, advised.AdviceValidMs = "advised", "/a/", true, 50, 1, 60_000
	s.engine.SetCatalog(&workflow.Catalog{Version: 1, Queues: []workflow.Queue{queue, advised}, Services: []workflow.Service{{Name: "pool"}}}, func(err *kind.Error) { require.Nil(t, err) })
	s.every(10*time.Millisecond, func() {
		q := s.engine.TakeQuestion()
		if q == nil {
			return
		}
		tickets := make(map[string]string)
		for _, name := range q.Workers {
			tickets[name] = "t"
		}
		s.after(80*time.Millisecond, func() { s.engine.HandleAdvice(&Advice{Question: *q, Answered: true, Tickets: tickets}) })
	})
	a := s.addWorker("a", 4)
	s.run(time.Second)
	s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/a/" + workflow.JobID(1).String(), Job: &workflow.JobSpec{Payload: "p", Steps: []workflow.Step{lastingStep(1, 1500)}}}, func(r Reply) { require.Nil(t, r.Err) })
	s.run(10 * time.Second)
	require.True(t, s.runsLasting())
	s.addWorker("b", 4)
	s.run(time.Second)
	s.fillWithLong(2, 12)
	a.crash()
	task := func() *workflow.Task { return s.committed.Job(1).Task(workflow.TaskRef{Job: 1}) }
	require.True(t, s.runUntil(2*s.settings.MaxLease, func() bool { return task().State == workflow.TaskPending }))
	assert.True(t, s.runUntil(returnBound, s.runsLasting))
	assert.Empty(t, s.violations)
}

// Guards against a lasting task that waits for the memory of tasks that take spare processors.
func TestALastingTaskGetsTheMemoryOfScavengers(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	s.addWorker("a", 8)
	s.run(time.Second)
	s.runTime = func(*simRun) time.Duration { return time.Hour }
	scavengers := step(30)
	scavengers.Scavenger, scavengers.Resources = true, workflow.Resources{MilliProcessors: 100, MemoryMB: 4000}
	s.submit(1000, scavengers)
	s.run(5 * time.Second)
	require.Greater(t, len(s.workers["a:1"].running), 20)
	lasting := lastingStep(2, 1000)
	lasting.Resources.MemoryMB = 30_000
	s.submit(1, lasting)
	assert.True(t, s.runUntil(firstRunBound, func() bool {
		return s.runsLasting() && len(s.runs[workflow.TaskRef{Job: 1, Index: 1}]) > 0
	}))
	assert.Empty(t, s.violations)
}

// Guards against a lasting task that waits for late starts although each start of it was answered:
// its worker has restarted and is cut off before it answers. Nothing runs once the lease is over.
func TestALastingTaskWithoutAnOpenStartWaitsForNoLateOne(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	a := s.addWorker("a", 4)
	s.run(time.Second)
	s.submit(1, lastingStep(1, 1500))
	s.run(time.Second)
	require.True(t, s.runsLasting())
	s.addWorker("b", 4)
	s.run(20 * time.Second) // No order that was sent before the start was answered is under way.
	a.crash()
	next := s.startUnreported("a", a)
	announcement := next.announcement()
	next.partitioned = true
	s.engine.Announce(&announcement, func(*kind.Error) {})
	restartedAt := s.now
	require.True(t, s.runUntil(time.Minute, s.runsLasting))
	t.Logf("runs again %v after the restart", s.now.Sub(restartedAt))
	assert.LessOrEqual(t, s.now.Sub(restartedAt), maxRealTime(s.settings.MaxLease)+time.Second, "there is room for it all the while")
	assert.Empty(t, s.violations)
}

// Guards against capacity that is kept on one worker for two tasks of a step that allows one of them
// there: the second is not searched another worker for.
func TestCapacityIsKeptOnSeparateWorkersForTasksThatMayNotShareOne(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	s.addWorker("a", 4)
	s.addWorker("b", 4)
	s.addWorker("c", 4)
	s.run(time.Second)
	s.runTime = func(*simRun) time.Duration { return time.Hour }
	s.submit(2, step(8))
	s.run(500 * time.Millisecond)
	s.submit(3, step(8)) // The stops of its tasks lose the least work; they share a worker.
	s.run(100 * time.Millisecond)
	lasting := lastingStep(2, 1000)
	lasting.MaxPerWorker = 1
	lines := s.recordLog()
	s.submit(1, lasting)
	run := func() bool {
		return len(s.runs[workflow.TaskRef{Job: 1}]) > 0 && len(s.runs[workflow.TaskRef{Job: 1, Index: 1}]) > 0
	}
	assert.True(t, s.runUntil(firstRunBound, run))
	first, second := logged(t, lines, "capacity reclaimed", workflow.TaskRef{Job: 1}), logged(t, lines, "capacity reclaimed", workflow.TaskRef{Job: 1, Index: 1})
	require.Len(t, first, 1)
	require.Len(t, second, 1)
	assert.NotEqual(t, first[0]["worker"], second[0]["worker"])
	assert.Empty(t, s.violations)
}

// Guards against short tasks that are stopped although all of them end in time by themselves: the
// capacity that is kept for the lasting task is whole as soon as stops would make it.
func TestNothingIsStoppedBesideAReservationThatComesTrueInTime(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	a := s.addWorker("a", 4)
	s.run(time.Second)
	s.submit(1, lastingStep(1, 1500))
	s.run(10 * time.Second)
	require.True(t, s.runsLasting())
	s.addWorker("b", 4)
	s.run(time.Second)
	ref := workflow.TaskRef{Job: 1}
	task := func() *workflow.Task { return s.committed.Job(1).Task(ref) }
	// No lasting task takes this room before the lease is over.
	short := step(6)
	short.EstimatedMs = 15_200
	s.runTime = func(*simRun) time.Duration { return estimateOf(&short) }
	s.submit(2, short)
	s.run(500 * time.Millisecond)
	require.Len(t, s.workers["b:1"].running, 4)
	a.crash()
	require.True(t, s.runUntil(2*s.settings.MaxLease, func() bool { return task().State == workflow.TaskPending }))
	endedAt := s.now
	assert.True(t, s.runUntil(returnBound, s.runsLasting), "waits for %v", s.now.Sub(endedAt))
	assert.Zero(t, s.engine.Counters().StoppedForLasting)
	assert.Empty(t, s.violations)
}

// Guards against short tasks that a new leader stops on the first workers that answer it, although
// another one, which answers a moment later, has the capacity free.
func TestANewLeaderStopsNothingBeforeItsWorkersHaveAnswered(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	a := s.addWorker("a", 4)
	s.run(time.Second)
	s.submit(1, lastingStep(1, 1500))
	s.run(10 * time.Second)
	require.True(t, s.runsLasting())
	s.addWorker("b", 4)
	c := s.addWorker("c", 4)
	s.run(time.Second)
	ref := workflow.TaskRef{Job: 1}
	task := func() *workflow.Task { return s.committed.Job(1).Task(ref) }
	short := step(10)
	short.EstimatedMs = 14_800
	s.runTime = func(run *simRun) time.Duration {
		if run.worker == c {
			return estimateOf(&short)
		}
		return time.Hour
	}
	s.submit(2, short)
	s.run(500 * time.Millisecond)
	require.Len(t, s.workers["b:1"].running, 4)
	require.Len(t, c.running, 4)
	a.crash()
	require.True(t, s.runUntil(2*s.settings.MaxLease, func() bool { return task().State == workflow.TaskPending }))
	require.True(t, s.runUntil(returnBound, func() bool { return s.engine.reclaimDue(ref) }))
	c.partitioned = true
	require.True(t, s.runUntil(reclaimPatience, func() bool { return len(c.running) == 0 }))
	require.Zero(t, s.engine.Counters().StoppedForLasting)
	c.partitioned = false
	s.takeOver()
	s.send = func(engine *Engine, order Order) {
		delay := time.Duration(0)
		if order.Life.Name == "c" {
			delay = 600 * time.Millisecond
		}
		s.after(delay, func() { s.deliver(engine, order) })
	}
	assert.True(t, s.runUntil(returnBound, s.runsLasting))
	assert.Zero(t, s.engine.Counters().StoppedForLasting)
	assert.Empty(t, s.violations)
}
