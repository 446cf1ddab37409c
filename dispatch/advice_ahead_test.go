package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// simAdviser is an advice service for the jobs of the queue "advised".
type simAdviser struct {
	sim *sim
	// permits decides on a worker. refuses makes it answer no question, takes is how long an answer
	// takes, valid how long a ticket is valid.
	permits      func(worker string) bool
	refuses      bool
	takes, valid time.Duration
	questions    []Question
	// issued holds when the latest ticket of a step for a worker was issued.
	issued map[workflow.StepRef]map[string]Instant
}

// addAdviser makes the queues "q" and "advised" of one service, the latter with advice.
func (s *sim) addAdviser(valid time.Duration, permits func(worker string) bool) *simAdviser {
	a := &simAdviser{sim: s, permits: permits, takes: 80 * time.Millisecond, valid: valid, issued: make(map[workflow.StepRef]map[string]Instant)}
	queue := workflow.Queue{Name: "q", Host: "h", PathPrefix: "/q/", Service: "pool", TimeoutMs: 3000, MaxAttempts: 3, StretchMilli: 2000, LatencyObjectiveMs: 1000}
	advised := queue
	advised.Name, advised.PathPrefix, advised.Advised, advised.AdviceBaseMs, advised.AdviceEachMs, advised.AdviceValidMs = "advised", "/a/", true, 50, 1, valid.Milliseconds()
	s.engine.SetCatalog(&workflow.Catalog{Version: 1, Queues: []workflow.Queue{queue, advised}, Services: []workflow.Service{{Name: "pool"}}}, func(err *kind.Error) { require.Nil(s.t, err) })
	s.run(100 * time.Millisecond)
	s.every(10*time.Millisecond, func() {
		if q := s.engine.TakeQuestion(); q != nil {
			a.answer(*q)
		}
	})
	return a
}

func (a *simAdviser) answer(q Question) {
	s := a.sim
	a.questions = append(a.questions, q)
	require.LessOrEqual(s.t, len(q.Workers), maxQuestionWorkers)
	advice, takes := Advice{Question: q, Answered: true, Tickets: make(map[string]string)}, a.takes
	if a.refuses || takes > q.Timeout {
		advice, takes = Advice{Question: q}, min(takes, q.Timeout)
	}
	s.after(takes, func() {
		if q.Fence != s.term {
			return
		}
		for _, name := range q.Workers {
			if advice.Answered && a.permits(name) {
				if a.issued[q.Step] == nil {
					a.issued[q.Step] = make(map[string]Instant)
				}
				advice.Tickets[name], a.issued[q.Step][name] = "t", s.now
			}
		}
		s.engine.HandleAdvice(&advice)
	})
}

// asked returns how often a worker was named in questions about a step.
func (a *simAdviser) asked(job workflow.JobID, worker string) int {
	n := 0
	for _, q := range a.questions {
		if q.Step.Job == job && slices.Contains(q.Workers, worker) {
			n++
		}
	}
	return n
}

func (s *sim) submitAdvised(id workflow.JobID, steps ...workflow.Step) {
	s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/a/" + id.String(), Job: &workflow.JobSpec{Payload: "p", Steps: steps}}, func(r Reply) { require.Nil(s.t, r.Err) })
}

// addFullWorkers adds workers that are full of short tasks that do not end.
func (s *sim) addFullWorkers(count int) {
	for i := range count {
		s.addWorker(fmt.Sprintf("w%02d", i), 4)
	}
	s.run(time.Second)
	s.runTime = func(*simRun) time.Duration { return time.Hour }
	long := step(uint32(5 * count))
	long.EstimatedMs = time.Hour.Milliseconds()
	s.submit(1000, long)
	s.run(time.Second)
	for _, w := range s.workers {
		require.Len(s.t, w.running, 4)
	}
}

// runsOn returns the workers on which tasks of a job run.
func (s *sim) runsOn(job workflow.JobID) []string {
	var on []string
	for _, w := range s.workers {
		for ref := range w.running {
			if ref.Job == job {
				on = append(on, w.life.Name)
			}
		}
	}
	slices.Sort(on)
	return on
}

// Guards against stops where the advice service does not permit the task: capacity is reclaimed on
// one of the two workers that it permits, which are in the second question, and in time.
func TestCapacityIsReclaimedWhereTheAdviceServicePermits(t *testing.T) {
	s := newSim(t, 66)
	permitted := []string{"w38", "w39"}
	a := s.addAdviser(time.Minute, func(worker string) bool { return slices.Contains(permitted, worker) })
	s.addFullWorkers(40)
	s.submitAdvised(1, lastingStep(1, 2000))
	assert.True(t, s.runUntil(firstRunBound, s.runsLasting))
	assert.Subset(t, permitted, s.runsOn(1))
	assert.Equal(t, uint64(2), s.engine.counters.StoppedForLasting)
	assert.Len(t, a.questions, 2)
	for name, w := range s.workers {
		assert.GreaterOrEqual(t, len(w.running), 2, name)
	}
	assert.Empty(t, s.violations)
}

// Guards against a task that waits until each of a large fleet has been asked about, and against
// questions about more workers than it needs: the first ones are permitted.
func TestNoFurtherWorkersAreAskedAboutOnceEnoughArePermitted(t *testing.T) {
	s := newSim(t, 66)
	a := s.addAdviser(time.Minute, func(string) bool { return true })
	s.addFullWorkers(100)
	s.submitAdvised(1, lastingStep(1, 2000))
	assert.True(t, s.runUntil(firstRunBound, s.runsLasting))
	assert.Len(t, a.questions, 1)
	assert.Empty(t, s.violations)
}

// Guards against a task for which nothing is stopped as enough workers are permitted, on which
// nothing may be stopped: gangs run there, which are expected to end sooner than the others.
func TestFurtherWorkersAreAskedAboutIfNothingCanBeStoppedOnThosePermitted(t *testing.T) {
	s := newSim(t, 66)
	s.addAdviser(time.Minute, func(string) bool { return true })
	for i := range 30 {
		s.addWorker(fmt.Sprintf("w%02d", i), 4)
	}
	s.run(time.Second)
	s.runTime = func(*simRun) time.Duration { return time.Hour }
	long := gang(30)
	long.Resources.MilliProcessors, long.EstimatedMs = 3000, time.Hour.Milliseconds()
	s.submit(1001, long)
	s.run(time.Second)
	for i := range 10 {
		s.addWorker(fmt.Sprintf("x%02d", i), 4)
	}
	s.run(time.Second)
	longer := step(80)
	longer.EstimatedMs = 2 * time.Hour.Milliseconds()
	s.submit(1000, longer)
	s.run(time.Second)
	for name, w := range s.workers {
		require.Len(t, w.running, map[bool]int{true: 2, false: 4}[name < "x"], name)
	}
	s.submitAdvised(1, lastingStep(1, 2000))
	assert.True(t, s.runUntil(firstRunBound, s.runsLasting))
	assert.Equal(t, uint64(2), s.engine.counters.StoppedForLasting)
	assert.Empty(t, s.violations)
}

// Guards against questions that leave out the workers that have capacity soonest.
func TestWorkersAreAskedAboutThatHaveCapacitySoonest(t *testing.T) {
	s := newSim(t, 66)
	a := s.addAdviser(time.Minute, func(string) bool { return true })
	s.runTime = func(*simRun) time.Duration { return time.Hour }
	for i, prefix := range []string{"w", "x"} {
		count := 50 - 40*i
		for n := range count {
			s.addWorker(fmt.Sprintf("%s%02d", prefix, n), 4)
		}
		s.run(time.Second)
		short := step(uint32(4 * count))
		short.EstimatedMs = time.Hour.Milliseconds() * int64(2-i)
		s.submit(workflow.JobID(1000+i), short)
		s.run(time.Second)
	}
	s.submitAdvised(1, lastingStep(1, 2000))
	s.run(firstRunBound)
	require.NotEmpty(t, a.questions)
	for n := range 10 {
		assert.Contains(t, a.questions[0].Workers, fmt.Sprintf("x%02d", n))
	}
	assert.Empty(t, s.violations)
}

// Guards against work that is stopped for a lasting task of an advised queue although short tasks
// end in time by themselves: capacity is kept for it where the advice service permits it.
func TestCapacityIsKeptWhereTheAdviceServicePermits(t *testing.T) {
	s := newSim(t, 7)
	permits := func(worker string) bool { return worker >= "w10" }
	s.addAdviser(time.Minute, permits)
	for i := range 20 {
		s.addWorker(fmt.Sprintf("w%02d", i), 16)
	}
	s.run(time.Second)
	id := workflow.JobID(1000)
	s.every(15*time.Millisecond, func() { // Some more than the fleet can run.
		id++
		s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + id.String(), Job: &workflow.JobSpec{Payload: "p", Steps: []workflow.Step{step(10)}}}, func(Reply) {})
	})
	s.run(3 * time.Second)
	for i := range workflow.JobID(20) {
		s.submitAdvised(1+i, lastingStep(1, 4000))
		s.run(500 * time.Millisecond)
	}
	s.run(firstRunBound)
	for i := range workflow.JobID(20) {
		if on := s.runsOn(1 + i); assert.Len(t, on, 1) {
			assert.True(t, permits(on[0]), on[0])
		}
	}
	assert.Less(t, s.engine.Counters().LongestWaitsMs.NeverRan, firstRunBound.Milliseconds())
	assert.Zero(t, s.engine.Counters().StoppedForLasting)
	assert.Empty(t, s.violations)
}

// Guards against work that is lost, or capacity that is kept, for a task that may start nowhere, and
// against questions without an end: each worker refuses for good.
func TestNothingIsKeptOrStoppedWhereTheAdviceServiceRefuses(t *testing.T) {
	s := newSim(t, 66)
	a := s.addAdviser(time.Second, func(string) bool { return false })
	s.addFullWorkers(40)
	s.submitAdvised(1, lastingStep(3, 2000))
	s.runAndCheck(3*returnBound, func() { require.Empty(t, s.engine.reservations.list) })
	assert.Zero(t, s.engine.counters.StoppedForLasting)
	assert.Len(t, a.questions, 2)
	assert.Equal(t, 1, a.asked(1, "w00"))
	assert.Empty(t, s.violations)
}

// Guards against stops and kept capacity for a task without a ticket while the advice service is
// full or slow, and against questions without a pause between them.
func TestNothingIsKeptOrStoppedWithoutAnAnswerOfTheAdviceService(t *testing.T) {
	for name, fail := range map[string]func(a *simAdviser){
		"full": func(a *simAdviser) { a.refuses = true },
		"slow": func(a *simAdviser) { a.takes = time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 66)
			a := s.addAdviser(time.Minute, func(string) bool { return true })
			fail(a)
			s.addFullWorkers(3)
			s.submitAdvised(1, lastingStep(1, 2000))
			s.runAndCheck(returnBound, func() { require.Empty(t, s.engine.reservations.list) })
			assert.Zero(t, s.engine.counters.StoppedForLasting)
			assert.NotEmpty(t, a.questions)
			assert.LessOrEqual(t, len(a.questions), int(returnBound/adviceRetryDelay))
			a.refuses, a.takes = false, 80*time.Millisecond
			assert.True(t, s.runUntil(firstRunBound, s.runsLasting), "once it answers")
			assert.Empty(t, s.violations)
		})
	}
}

// runAndCheck runs for a while and checks after each tick.
func (s *sim) runAndCheck(d time.Duration, check func()) {
	for range d / tickInterval {
		s.run(tickInterval)
		check()
	}
}

// Guards against starts with tickets that have run out while short tasks were stopped, and against
// a task that is never started as its tickets are short-lived.
func TestTicketsAreRenewedWhileCapacityIsReclaimed(t *testing.T) {
	for _, valid := range []time.Duration{time.Second, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(valid.String(), func(t *testing.T) {
			s := newSim(t, 66)
			a := s.addAdviser(valid, func(string) bool { return true })
			started := false
			s.send = func(engine *Engine, order Order) {
				if order.Verb == Stop {
					s.after(500*time.Millisecond, func() { s.deliver(engine, order) })
					return
				}
				if order.Verb == Start && order.Task.Job == 1 {
					started = true
					assert.Equal(t, "t", order.Ticket)
					issuedAt, issued := a.issued[order.Task.StepRef()][order.Life.Name]
					assert.True(t, issued && s.now.Sub(issuedAt) < valid, "%v old", s.now.Sub(issuedAt))
				}
				s.deliver(engine, order)
			}
			s.addFullWorkers(3)
			s.submitAdvised(1, lastingStep(1, 2000))
			assert.True(t, s.runUntil(firstRunBound, s.runsLasting))
			assert.True(t, started)
			assert.Equal(t, uint64(2), s.engine.counters.StoppedForLasting)
			assert.Empty(t, s.violations)
		})
	}
}

// Guards against stops with a ticket that runs out before they have taken effect: the advice service
// stops answering shortly before they are due.
func TestNothingIsStoppedWithATicketThatRunsOutMeanwhile(t *testing.T) {
	s := newSim(t, 66)
	a := s.addAdviser(1800*time.Millisecond, func(string) bool { return true })
	s.addFullWorkers(3)
	s.submitAdvised(1, lastingStep(1, 2000))
	require.True(t, s.runUntil(firstRunBound, func() bool { return len(a.issued) > 0 }))
	a.refuses = true
	s.run(3 * firstRunBound)
	assert.Zero(t, s.engine.counters.StoppedForLasting)
	assert.False(t, s.runsLasting())
	assert.Empty(t, s.violations)
}

// Guards against jobs that wait for advice behind lasting tasks that are asked for again and again:
// their tickets are short-lived, and gangs keep the room that they wait for.
func TestQuestionsForLastingTasksLeaveTurnsToOthers(t *testing.T) {
	s := newSim(t, 66)
	a := s.addAdviser(700*time.Millisecond, func(string) bool { return true })
	a.takes = 100 * time.Millisecond
	for i := range 40 {
		s.addWorker(fmt.Sprintf("w%02d", i), 4)
	}
	s.run(time.Second)
	s.runTime = func(*simRun) time.Duration { return time.Hour }
	long := gang(40)
	long.Resources.MilliProcessors, long.EstimatedMs = 3000, 3_600_000
	s.submit(1000, long)
	s.run(time.Second)
	for i := range workflow.JobID(40) {
		s.submitAdvised(1+i, lastingStep(1, 2000))
	}
	s.run(returnBound)
	before := len(a.questions)
	require.Greater(t, before, 20, "it is asked again and again")
	s.runTime = func(*simRun) time.Duration { return 500 * time.Millisecond }
	for i := range workflow.JobID(10) {
		s.submitAdvised(2000+i, step(1))
	}
	require.True(t, s.runUntil(10*time.Second, func() bool { return s.state(2009) == workflow.JobCompleted }))
	others := 0
	for _, q := range a.questions[before:] {
		if q.Step.Job >= 2000 {
			others++
		}
	}
	assert.GreaterOrEqual(t, others, 10)
	assert.LessOrEqual(t, len(a.questions)-before, 2*others+4, "every other question is theirs")
	assert.Empty(t, s.violations)
}

// Guards against work that is lost for a task that is to be tested where the advice service refuses
// it, and against a test that never begins.
func TestCapacityForATestIsReclaimedWhereTheAdviceServicePermits(t *testing.T) {
	s := newSim(t, 66)
	a := s.addAdviser(time.Minute, func(worker string) bool { return worker == "a" || worker == "d" })
	w := s.addWorker("a", 4)
	s.run(time.Second)
	s.submitAdvised(1, lastingStep(1, 1500))
	require.True(t, s.runUntil(time.Second, s.runsLasting))
	for _, name := range []string{"b", "c", "d"} {
		s.addWorker(name, 4)
	}
	s.run(500 * time.Millisecond)
	w.crash()
	w = s.startUnreported("a", w)
	w.capacity.MilliProcessors = 1000
	w.report()
	s.fillWithLong(2, 16)
	ref := workflow.TaskRef{Job: 1}
	require.True(t, s.runUntil(s.settings.MaxLease+2*time.Second, func() bool {
		job := s.committed.Job(1)
		return job.Task(ref).State == workflow.TaskPending && needsTest(job.Suspect(ref))
	}))
	assert.True(t, s.runUntil(returnBound, s.runsLasting))
	assert.Equal(t, []string{"d"}, s.runsOn(1))
	assert.Len(t, s.workers["b:1"].running, 4)
	assert.Len(t, s.workers["c:1"].running, 4)
	assert.NotZero(t, a.asked(1, "d"))
	assert.Empty(t, s.violations)
}

// Guards against a task that gets no capacity as one of an advised queue, no larger, has found none:
// the advice service permits that one nowhere.
func TestATaskWithoutATicketTellsNothingOfOthers(t *testing.T) {
	s := newSim(t, 66)
	s.addAdviser(time.Minute, func(string) bool { return false })
	s.addFullWorkers(3)
	s.submitAdvised(2, lastingStep(1, 1500))
	s.run(2 * firstRunBound)
	s.submit(1, lastingStep(1, 2000))
	assert.True(t, s.runUntil(firstRunBound, s.runsLasting))
	assert.Empty(t, s.violations)
}

// Guards against a wait that begins anew with a leader: it has no tickets.
func TestANewLeaderAsksForLastingTasksThatWait(t *testing.T) {
	s := newSim(t, 66)
	a := s.addAdviser(time.Minute, func(worker string) bool { return worker != "w02" })
	w := s.addWorker("a", 4)
	s.run(time.Second)
	s.submitAdvised(1, lastingStep(1, 2000))
	s.run(10 * time.Second)
	require.True(t, s.runsLasting())
	s.addFullWorkersBeside(3)
	w.crash()
	ref := workflow.TaskRef{Job: 1}
	require.True(t, s.runUntil(2*s.settings.MaxLease, func() bool { return s.committed.Job(1).Task(ref).State == workflow.TaskPending }))
	endedAt := s.now
	s.run(time.Second)
	s.takeOver()
	asked := len(a.questions)
	assert.True(t, s.runUntil(endedAt.Add(returnBound).Sub(s.now), s.runsLasting))
	assert.Greater(t, len(a.questions), asked)
	assert.NotContains(t, s.runsOn(1), "w02")
	assert.Empty(t, s.violations)
}

// addFullWorkersBeside does so beside others that have room, which fill up too.
func (s *sim) addFullWorkersBeside(count int) {
	for i := range count {
		s.addWorker(fmt.Sprintf("w%02d", i), 4)
	}
	s.run(time.Second)
	s.fillWithLong(1000, uint32(8*count))
}
