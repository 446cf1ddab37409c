package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// runningIn returns the number of runs on workers of a domain.
func (s *sim) runningIn(domain string) int {
	n := 0
	for _, w := range s.workers {
		if w.domain == domain && !w.dead {
			n += len(w.running)
		}
	}
	return n
}

// twoDomains starts workers of 8 processors in two domains, with lasting tasks in the first.
func twoDomains(t *testing.T, seed uint64, tasks uint32, maxUnavailable int32) *sim {
	s := newSim(t, seed)
	s.setCatalog()
	s.addWorkerIn("a", "a1", 8)
	s.addWorkerIn("a", "a2", 8)
	s.run(time.Second)
	s.serve(1, tasks, maxUnavailable)
	require.Zero(t, s.notRunning(1, int(tasks)))
	return s
}

// Guards against more tasks unavailable than their step allows, and against a domain that never
// becomes empty although there is capacity elsewhere.
func TestLastingTasksLeaveAnEvacuatedDomain(t *testing.T) {
	s := twoDomains(t, 51, 6, 2)
	s.addWorkerIn("b", "b1", 8)
	s.run(2 * time.Second)
	worst := 0
	s.every(5*time.Millisecond, func() { worst = max(worst, s.notRunning(1, 6)) })
	s.evacuate("a")
	require.True(t, s.runUntil(15*time.Second, func() bool { return s.runningIn("a") == 0 && s.notRunning(1, 6) == 0 }))
	assert.LessOrEqual(t, worst, 2)
	assert.Equal(t, 12, s.starts, "each task moves once")
	s.run(2 * time.Second)
	domains, remaining := s.engine.EvacuationStats()
	assert.Equal(t, 1, domains)
	assert.Zero(t, remaining)
	assert.Empty(t, s.engine.moves)
	assert.Empty(t, s.violations)
}

// Guards against a task that is stopped only to wait, and against capacity that is counted
// twice: there is room for three of six tasks, and other tasks want it as well.
func TestTasksWithoutCapacityElsewhereRunOn(t *testing.T) {
	s := twoDomains(t, 52, 6, 0)
	b := s.addWorkerIn("b", "b1", 3)
	s.run(2 * time.Second)
	s.evacuate("a")
	lowest := 6
	s.every(5*time.Millisecond, func() { lowest = min(lowest, 6-s.notRunning(1, 6)) })
	require.True(t, s.runUntil(time.Second, func() bool { return s.engine.movesInProgress() == 3 }))
	s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + workflow.JobID(2).String(), Job: &workflow.JobSpec{Steps: []workflow.Step{step(3)}}}, func(Reply) {})
	s.run(10 * time.Second)
	assert.Len(t, b.running, 3)
	assert.Equal(t, 3, s.runningIn("a"))
	assert.Zero(t, s.notRunning(1, 6))
	assert.Equal(t, 9, s.starts, "three tasks move, the others run on, and the other job finds no capacity")
	assert.GreaterOrEqual(t, lowest, 3)
	_, remaining := s.engine.EvacuationStats()
	assert.Equal(t, RemainingAttempts{Running: 3}, remaining)
	assert.Empty(t, s.violations)
}

// Guards against progress that is lost: short tasks and nearly done ones finish where they run,
// resumable ones move.
func TestOnlyResumableTasksWithWorkLeftMove(t *testing.T) {
	s := newSim(t, 53)
	s.setCatalog()
	s.addWorkerIn("a", "a1", 8)
	s.run(time.Second)
	resumable, short := step(2), step(2)
	resumable.EstimatedMs, resumable.Resumable = 20_000, true
	short.EstimatedMs = 3000
	s.submit(1, resumable, short)
	s.run(time.Second)
	s.addWorkerIn("b", "b1", 8)
	s.run(time.Second)
	s.evacuate("a")
	s.run(2 * time.Second)
	for ref, runs := range s.runs {
		require.LessOrEqual(t, len(runs), 1)
		if len(runs) == 1 {
			assert.Equal(t, ref.Step == 1, runs[0].worker.domain == "a", "task %s", ref)
		}
	}
	assert.EqualValues(t, 2, s.engine.Counters().Stopped)

	assert.Empty(t, s.violations)
}

// Guards against a move that costs more than it saves: a nearly done task finishes where it runs.
func TestNearlyDoneTasksStay(t *testing.T) {
	s := newSim(t, 57)
	s.setCatalog()
	s.addWorkerIn("a", "a1", 8)
	s.run(time.Second)
	resumable := step(4) // Some of them take longer than estimated.
	resumable.EstimatedMs, resumable.Resumable = 20_000, true
	s.submit(1, resumable)
	s.addWorkerIn("b", "b1", 8)
	v := s.engine.views[s.engine.state.WorkerNamed("a1").ID]
	require.True(t, s.runUntil(30*time.Second, func() bool {
		return len(v.attemptList) > 0 && v.attemptList[0].percent >= nearlyDonePercent
	}))
	s.evacuate("a")
	s.run(time.Second)
	assert.Zero(t, s.engine.Counters().Relocated)
	assert.NotZero(t, s.runningIn("a"))
	assert.Empty(t, s.violations)
}

// Guards against a move into a domain that is evacuated as well, to a worker that drains, or to
// a host that is about to go into maintenance.
func TestMovesAvoidWorkersThatTakeNoWork(t *testing.T) {
	s := twoDomains(t, 54, 4, 1)
	s.addWorkerIn("b", "b1", 8)
	drained := s.addWorkerIn("c", "c1", 8)
	closed := s.addWorkerIn("c", "c2", 8)
	s.run(2 * time.Second)
	s.evacuate("b")
	drained.draining = true
	s.engine.maintenance.listings.latest.hosts = map[string]Host{"h": {Worker: closed.life.Name}}
	s.engine.maintenance.preparingSince["h"] = s.now
	s.run(1500 * time.Millisecond)
	starts := s.starts
	s.evacuate("a")
	s.run(5 * time.Second)
	assert.Equal(t, starts, s.starts)
	assert.Equal(t, 4, s.runningIn("a")+len(drained.running)+len(closed.running))
	s.addWorkerIn("d", "d1", 8)
	require.True(t, s.runUntil(20*time.Second, func() bool { return s.runningIn("d") == 4 }))
	assert.Zero(t, s.runningIn("a"))
	assert.Empty(t, s.violations)
}

// Guards against more unavailable tasks than allowed if others of the step are lost or wait while
// their domain is evacuated.
func TestMovesCountTasksThatAreUnavailableForOtherCauses(t *testing.T) {
	s := newSim(t, 55)
	s.setCatalog()
	s.addWorkerIn("a", "a1", 8)
	s.addWorkerIn("a", "a2", 8)
	s.run(time.Second)
	lasting := step(6)
	lasting.Lasting, lasting.MaxUnavailable, lasting.MaxPerWorker = true, 1, 3
	s.submit(1, lasting)
	s.run(2 * time.Second)
	require.Equal(t, 6, s.runningIn("a"))
	s.workers["a1:1"].crash() // Its tasks wait for the end of the lease.
	s.run(staleAfter + pollWait)
	s.addWorkerIn("b", "b1", 8)
	s.run(time.Second)
	s.evacuate("a")
	s.run(2 * time.Second)
	assert.Zero(t, s.engine.Counters().Relocated, "no task may be stopped beside those that are lost")
	require.Len(t, s.workers["a2:1"].running, 3)
	s.addWorkerIn("b", "b2", 8)
	require.True(t, s.runUntil(40*time.Second, func() bool { return s.runningIn("b") == 6 }))
	assert.EqualValues(t, 3, s.engine.Counters().Relocated)
	assert.Empty(t, s.violations)
}

// Guards against a confirmation that waits for the domain to be empty.
func TestTheConfirmationDoesNotWaitForTheDomain(t *testing.T) {
	s := twoDomains(t, 56, 4, 1)
	begin, confirmedAt := s.now, Instant(0)
	s.engine.SetEvacuation(&workflow.SetEvacuation{Domain: "a", Evacuated: true}, func(err *kind.Error) { confirmedAt = s.now })
	s.run(time.Second)
	assert.Less(t, confirmedAt.Sub(begin), 100*time.Millisecond)
	assert.Equal(t, 4, s.runningIn("a"))
}

// Guards against a new leader that stops tasks while those that the previous one has stopped, of
// which it does not know, still look operational.
func TestANewLeaderWaitsForTheMovesOfThePreviousOne(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		s := twoDomains(t, seed, 6, 1)
		s.addWorkerIn("b", "b1", 8)
		s.run(2 * time.Second)
		short := step(10) // Their ends end the polls early.
		short.EstimatedMs = 2000
		s.submit(2, short)
		s.faults.slowStop, s.faults.slow = 1, 0.5
		worst := 0
		s.every(5*time.Millisecond, func() { worst = max(worst, s.notRunning(1, 6)) })
		s.evacuate("a")
		for range 3 {
			require.True(t, s.runUntil(10*time.Second, func() bool { return s.engine.Counters().Relocated > 0 }), "seed %d", seed)
			s.takeOver()
			s.run(maxStop + pollWait)
			require.Zero(t, s.engine.Counters().Relocated, "seed %d: a stop and a poll may take this long", seed)
		}
		require.True(t, s.runUntil(40*time.Second, func() bool { return s.runningIn("a") == 0 && s.notRunning(1, 6) == 0 }), "seed %d", seed)
		assert.LessOrEqual(t, worst, 1, "seed %d", seed)
		assert.Empty(t, s.violations, "seed %d", seed)
	}
}

// Guards against moves that take the capacity outside an evacuated domain from tasks that wait,
// while the moved ones could run on: with a third of the fleet evacuated and more work than the
// rest takes, nothing is stopped.
func TestWaitingTasksComeBeforeMoves(t *testing.T) {
	s := twoDomains(t, 58, 6, 0)
	s.addWorkerIn("b", "b1", 8)
	s.addWorkerIn("b", "b2", 8)
	s.run(2 * time.Second)
	for id := workflow.JobID(2); id < 22; id++ {
		s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + id.String(), Job: &workflow.JobSpec{Steps: []workflow.Step{step(12)}}}, func(Reply) {})
	}
	s.evacuate("a")
	s.run(2 * time.Second)
	assert.Zero(t, s.notRunning(1, 6))
	assert.Equal(t, 6, s.runningIn("a"), "what is short has ended")
	assert.Zero(t, s.engine.Counters().Stopped)
	require.True(t, s.runUntil(30*time.Second, func() bool { return s.runningIn("a") == 0 }), "the domain is emptied once nothing waits")
	assert.Empty(t, s.violations)
}

// Guards against more unavailable tasks than allowed, or a wave that stops, if hosts of an evacuated
// domain are maintained meanwhile.
func TestAWaveInAnEvacuatedDomain(t *testing.T) {
	s := newSim(t, 58)
	s.setCatalog()
	newSimPool(s, 4)
	s.run(time.Second)
	const tasks = 8
	s.serve(1, tasks, 2)
	s.addWorkerIn("b", "b1", 6)
	s.run(2 * time.Second)
	worst := 0
	s.every(5*time.Millisecond, func() { worst = max(worst, s.notRunning(1, tasks)) })
	s.startWave(1, "h0", "h1", "h2", "h3")
	s.evacuate("z")
	require.True(t, s.runUntil(30*time.Second, s.waveCompleted))
	s.run(10 * time.Second)
	assert.LessOrEqual(t, worst, 2)
	assert.Len(t, s.workers["b1:1"].running, 6)
	assert.Empty(t, s.violations)
}

// Guards against tasks that share a rack and are looked for a worker in an evacuated one.
func TestTasksShareARackOutsideTheEvacuatedDomain(t *testing.T) {
	s := newSim(t, 59)
	s.setCatalog()
	s.addWorkerIn("a", "a1", 8)
	s.run(time.Second)
	shared := step(6)
	shared.OneRack, shared.MaxPerWorker, shared.EstimatedMs = true, 2, 30_000
	s.submit(1, shared)
	s.run(time.Second)
	require.Equal(t, 2, s.runningIn("a"))
	s.evacuate("a")
	for _, name := range []string{"b1", "c1", "b2", "c2"} { // Best fit alone would use b1 and c1 first.
		s.addWorkerIn(name[:1], name, map[byte]int64{'1': 4, '2': 8}[name[1]])
	}
	s.run(1500 * time.Millisecond)
	assert.Equal(t, 4, max(s.runningIn("b"), s.runningIn("c")), "those that start later share a rack")
	assert.Empty(t, s.violations)
}

// Guards against moves that take the capacity which becomes free for a wider lasting task that
// waits.
func TestMovesLeaveReservedWorkersAlone(t *testing.T) {
	s := newSim(t, 60)
	s.setCatalog()
	s.addWorkerIn("a", "a1", 4)
	s.run(time.Second)
	s.serve(1, 4, 0)
	s.addWorkerIn("b", "b1", 8)
	s.run(time.Second)
	long, wide := step(6), step(1)
	long.EstimatedMs = 60_000
	wide.Lasting, wide.Resources.MilliProcessors = true, 4000
	s.submit(2, long)
	s.submit(3, wide)
	s.run(time.Second)
	require.Len(t, s.workers["b1:1"].running, 6)
	s.evacuate("a")
	s.run(3 * time.Second)
	assert.Equal(t, 4, s.runningIn("a"))
	assert.Zero(t, s.engine.Counters().Relocated)
	assert.Len(t, s.runs[workflow.TaskRef{Job: 3}], 1, "short tasks were stopped for the wide one")
	assert.Empty(t, s.violations)
}

// evacuateAdvised starts lasting tasks of an advised queue in a domain and evacuates it once their
// tickets have run out. There is room in another domain.
func evacuateAdvised(t *testing.T, permits func(worker string) bool) (*sim, *simAdviser) {
	s := newSim(t, 51)
	a := s.addAdviser(10*time.Second, permits)
	s.addWorkerIn("a", "a1", 8)
	s.addWorkerIn("a", "a2", 8)
	s.run(time.Second)
	step := lastingStep(6, 1000)
	step.MaxUnavailable = 2
	s.submitAdvised(1, step)
	s.run(2 * time.Second)
	require.Len(t, s.runsOn(1), 6)
	s.addWorkerIn("b", "b1", 8)
	s.run(20 * time.Second)
	s.evacuate("a")
	return s, a
}

// Guards against a domain that never becomes empty: the workers outside have room, and the advice
// service, which would permit them, is not asked.
func TestTasksOfAnAdvisedQueueLeaveAnEvacuatedDomain(t *testing.T) {
	s, _ := evacuateAdvised(t, func(string) bool { return true })
	assert.True(t, s.runUntil(15*time.Second, func() bool { return s.runningIn("a") == 0 && len(s.runsOn(1)) == 6 }))
	assert.Empty(t, s.violations)
}

// Guards against tasks that are stopped although they may run nowhere else, and against questions
// without an end.
func TestTasksThatTheAdviceServicePermitsNowhereElseRunOn(t *testing.T) {
	s, a := evacuateAdvised(t, func(worker string) bool { return worker != "b1" })
	s.runAndCheck(15*time.Second, func() { require.Equal(t, 6, s.runningIn("a")) })
	assert.Equal(t, 1, a.asked(1, "b1"))
	assert.Empty(t, s.violations)
}
