package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// announce passes a report to the leader and returns the error of its answer.
func (s *sim) announce(a Announcement) *kind.Error {
	var result *kind.Error
	answered := false
	s.engine.Announce(&a, func(err *kind.Error) { result, answered = err, true })
	s.run(100 * time.Millisecond)
	require.True(s.t, answered)
	return result
}

// announcement returns the worker's report about itself.
func (w *simWorker) announcement() Announcement {
	return Announcement{
		Life: w.life, Address: w.address, Service: "pool", Zone: w.domain, Labels: w.labels, Rack: w.rack, Capacity: w.capacity, Draining: w.draining, ClockMs: w.clock(), Report: w.reports,
		ColdLeftMs: max(w.coldUntil.Sub(w.sim.now).Milliseconds(), 0),
	}
}

// startLongTasks starts tasks that take a minute and returns their step.
func (s *sim) startLongTasks(count uint32) {
	long := step(count)
	long.EstimatedMs = 60_000
	s.submit(1, long)
	s.run(time.Second)
	require.Equal(s.t, int(count), s.starts)
}

// A report names a new incarnation of w1 at the address of w2, which is newer. The
// refused report must not void what runs on w1.
func TestARefusedReportEndsNoAttempt(t *testing.T) {
	s := newSim(t, 21)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	s.startLongTasks(4)
	w2 := s.addWorker("w2", 4)
	s.run(time.Second)
	report := w1.announcement()
	report.Life.BornMs, report.Address = w2.life.BornMs-1, w2.address
	err := s.announce(report)
	require.NotNil(t, err)
	assert.Equal(t, kind.StaleIncarnation, err.Kind)
	s.run(3 * time.Second)
	assert.Len(t, w1.running, 4)
	assert.Equal(t, 4, s.starts, "nothing may start elsewhere")
	assert.Empty(t, s.violations)
}

// withdraw passes a worker's withdrawal to the leader and returns whether it has been
// answered yet.
func (s *sim) withdraw(w *simWorker) *bool {
	answered := new(bool)
	s.engine.Withdraw(w.life.Name, w.life.BornMs, func() { *answered = true })
	return answered
}

// drain makes the worker report that it drains.
func (w *simWorker) drain() {
	w.draining = true
	require.Nil(w.sim.t, w.sim.announce(w.announcement()))
}

// A worker withdraws while tasks run on it, and the answer gets lost: it runs them on
// until it ends by itself. They must not start elsewhere while they run.
func TestAWithdrawalEndsNoTaskThatRuns(t *testing.T) {
	s := newSim(t, 22)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	s.startLongTasks(4)
	s.addWorker("w2", 4)
	w1.drain()
	answered := s.withdraw(w1)
	require.True(t, s.runUntil(3*time.Second, func() bool { return *answered }), "the withdrawal must be confirmed once nothing runs")
	assert.Empty(t, w1.running)
	require.True(t, s.runUntil(3*time.Second, func() bool { return s.starts == 8 }), "the tasks must run on the other worker")
	assert.Empty(t, s.violations)
	assert.Nil(t, s.committed.WorkerNamed("w1"))
}

// A worker withdraws and ends before it has stopped its tasks. They run elsewhere after
// its lease, and the worker's end is recorded.
func TestAWithdrawnWorkerThatIsGone(t *testing.T) {
	s := newSim(t, 23)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	s.startLongTasks(4)
	s.addWorker("w2", 4)
	w1.drain()
	answered := s.withdraw(w1)
	again := s.withdraw(w1)
	w1.crash()
	require.True(t, s.runUntil(15*time.Second, func() bool { return s.starts == 8 }))
	s.run(time.Second)
	assert.True(t, *answered && *again)
	assert.Nil(t, s.committed.WorkerNamed("w1"))
	assert.Empty(t, s.violations)
}

// A worker without tasks withdraws. The withdrawal must be confirmed once it is
// committed, as must those of workers that are not recorded.
func TestAnEmptyWorkerLeavesAtOnce(t *testing.T) {
	s := newSim(t, 24)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	answered := s.withdraw(w1)
	s.run(tickInterval + 2*commitDelay)
	assert.True(t, *answered)
	assert.Nil(t, s.committed.WorkerNamed("w1"))
	answered = s.withdraw(w1)
	s.run(tickInterval + 2*commitDelay)
	assert.True(t, *answered)
}

// A report that was delayed arrives after its sender has withdrawn, and the sender has
// not ended yet. It must get no new task, also from the next leader.
func TestALateReportOfAWithdrawnWorker(t *testing.T) {
	s := newSim(t, 25)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	late := w1.announcement()
	w1.drain()
	answered := s.withdraw(w1)
	require.True(t, s.runUntil(time.Second, func() bool { return *answered }))
	w1.silent = true
	assert.NotNil(t, s.announce(late))
	s.submit(1, step(4))
	s.run(2 * time.Second)
	assert.Zero(t, s.starts)
	s.takeOver()
	assert.NotNil(t, s.announce(late))
	s.run(2 * time.Second)
	assert.Zero(t, s.starts)
	next := s.addWorker("w1", 4)
	require.True(t, s.runUntil(5*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }), "the next incarnation must get tasks")
	assert.Len(t, next.endedAt, 4)
	assert.Empty(t, s.violations)
}

// A delayed report of an older incarnation of w1 names a later start than that of the one
// which runs, since the wall clock was set back, and a clock ahead of its own. What runs
// on w1 must not start elsewhere meanwhile, nor get a longer lease by the wrong clock.
func TestAReportOfALaterStartEndsNoTaskThatRuns(t *testing.T) {
	for _, address := range []string{"w1:1", "other:1"} {
		s := newSim(t, 26)
		s.setCatalog()
		w1 := s.addWorker("w1", 4)
		s.run(time.Second)
		s.startLongTasks(4)
		s.addWorker("w2", 4)
		late := w1.announcement()
		late.Life.BornMs, late.Address = late.Life.BornMs+10_000, address
		late.ClockMs += 60_000
		s.announce(late)
		s.run(maxOrderDelay + maxRealTime(s.settings.MaxLease) + time.Second)
		assert.Empty(t, s.violations, address)
		assert.Equal(t, 8, s.starts, "the tasks must run on the other worker once the lease is over")
	}
}

// A delayed report of another worker names the address of w1 and a later start. What
// runs on w1, which answers, must go on.
func TestAReportOfAnotherWorkerEndsNoTaskThatRuns(t *testing.T) {
	for _, later := range []int64{0, 10_000} {
		s := newSim(t, 27)
		s.setCatalog()
		w1 := s.addWorker("w1", 4)
		s.run(time.Second)
		s.startLongTasks(4)
		s.addWorker("w2", 4)
		late := w1.announcement()
		late.Life = workflow.Incarnation{Name: "w0", BornMs: late.Life.BornMs + later}
		s.announce(late)
		s.run(20 * time.Second)
		assert.Empty(t, s.violations)
		assert.Equal(t, 4, s.starts)
		assert.Len(t, w1.running, 4)
		w1.crash()
		next := s.startWorker("w3", w1)
		require.True(t, s.runUntil(4*time.Second, func() bool { return s.starts == 8 }), "the tasks must start again once another worker answers")
		require.True(t, s.runUntil(4*time.Second, func() bool { return s.committed.WorkerNamed("w3") != nil }))
		assert.Equal(t, next.address, s.committed.WorkerNamed("w3").Address)
		assert.Empty(t, s.violations)
	}
}

// A start that was sent long ago is carried out after its attempt is over. Until the run
// has stopped it takes capacity, which must not be given away.
func TestAWorkerWithAnUnknownAttemptGetsNoTask(t *testing.T) {
	s := newSim(t, 28)
	s.setCatalog()
	w := s.addWorker("w1", 4)
	s.run(time.Second)
	lasting := step(1)
	lasting.Lasting = true
	s.submit(1, lasting)
	s.run(time.Second)
	s.engine.HandleRequest(&Request{Verb: CancelJob, Host: "h", Path: "/q/" + workflow.JobID(1).String()}, func(Reply) {})
	s.run(time.Second)
	require.Empty(t, w.running)
	ref := workflow.TaskRef{Job: 1}
	w.handleOrder(w.startOrder(ref, 2), func(Answer) {})
	require.True(t, s.runUntil(2*time.Second, func() bool { return w.running[ref] != nil && w.running[ref].stopping }))
	s.submit(2, step(4))
	require.True(t, s.runUntil(5*time.Second, func() bool { return s.state(2) == workflow.JobCompleted }))
	require.Empty(t, s.violations)
}

// A worker restarts after the wall clock was set back, so that the next incarnation names
// an earlier start. It must get tasks once the recorded one is certainly over.
func TestAnIncarnationWithAnEarlierStartIsUsed(t *testing.T) {
	for _, name := range []string{"w1", "w2"} {
		s := newSim(t, 29)
		s.setCatalog()
		w1 := s.addWorker("w1", 4)
		s.run(time.Second)
		s.startLongTasks(4)
		w1.crash()
		next := s.newWorker(name, w1.address, 4, "r1")
		next.life.BornMs = w1.life.BornMs - 10_000
		next.report()
		require.True(t, s.runUntil(25*time.Second, func() bool { return len(next.running) == 4 }), name)
		require.Empty(t, s.violations)
	}
}

// A delayed report of an older incarnation arrives while the recorded one is silent. The
// latter must be used again when it answers.
func TestAReportOfAnEarlierStartDoesNoHarm(t *testing.T) {
	s := newSim(t, 30)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	late := w1.announcement()
	late.Life.BornMs -= 10_000
	require.NotNil(t, s.announce(late))
	w1.partitioned = true
	s.run(15 * time.Second)
	s.announce(late)
	w1.partitioned = false
	s.startLongTasks(4)
	require.Len(t, w1.running, 4)
	require.NotNil(t, s.announce(late))
	s.run(2 * time.Second)
	require.Len(t, w1.running, 4)
	require.Empty(t, s.violations)
}

// A delayed report of an older incarnation of w1 names a later start, and an address where
// another worker answers by now. That answer tells nothing of the incarnation that runs.
func TestAnAnswerFromAFormerAddressEndsNoTaskThatRuns(t *testing.T) {
	s := newSim(t, 35)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	s.startLongTasks(4)
	w2 := s.addWorker("w2", 4)
	s.run(time.Second)
	late := w1.announcement()
	late.Life.BornMs, late.Address = late.Life.BornMs+10_000, w2.address
	w1.silent = true
	s.announce(late)
	s.run(25 * time.Second)
	require.Empty(t, s.violations)
	require.Equal(t, 8, s.starts, "the tasks must run on the other worker once the lease is over")
}

// A worker withdraws with tasks on it and ends at once. No process listens at its address
// any more: its tasks must not wait for the lease.
func TestAWithdrawnWorkerWithoutAListenerIsOver(t *testing.T) {
	s := newSim(t, 29)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	s.startLongTasks(4)
	s.addWorker("w2", 4)
	w1.drain()
	answered := s.withdraw(w1)
	w1.crash()
	v := s.engine.views[s.engine.state.WorkerNamed("w1").ID]
	s.engine.HandleAnswer(&Answer{Order: Order{Verb: Poll, Worker: v.worker.ID}, Outcome: NoListener})
	s.run(time.Second)
	assert.True(t, *answered)
	assert.Nil(t, s.committed.WorkerNamed("w1"))
	assert.Equal(t, 8, s.starts)
	assert.Empty(t, s.violations)
}

// A network that refuses connections to a worker which runs and did not withdraw says
// nothing about what runs there.
func TestARefusedConnectionEndsNoTaskThatRuns(t *testing.T) {
	s := newSim(t, 30)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	s.startLongTasks(4)
	s.addWorker("w2", 4)
	v := s.engine.views[s.engine.state.WorkerNamed("w1").ID]
	s.engine.HandleAnswer(&Answer{Order: Order{Verb: Poll, Worker: v.worker.ID}, Outcome: NoListener})
	s.run(3 * time.Second)
	assert.Len(t, w1.running, 4)
	assert.Equal(t, 4, s.starts)
}
