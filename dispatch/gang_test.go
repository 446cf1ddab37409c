package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// Gangs under the faults of TestNothingRunsTwice: no two runs of a gang overlap in any of
// its members, and none of them starts after the end of one was acknowledged.
func TestNoGangRunsTwice(t *testing.T) { testGangsUnderFaults(t, false) }

// As TestNoGangRunsTwice, under the faults of TestNothingRunsTwiceBeforeTheFirstContact.
func TestNoGangRunsTwiceBeforeTheFirstContact(t *testing.T) { testGangsUnderFaults(t, true) }

func testGangsUnderFaults(t *testing.T, lateBeforeContact bool) {
	t.Parallel()
	first, last := seeds()
	for seed := first; seed <= last; seed++ {
		s := newSim(t, seed)
		s.setCatalog()
		for _, name := range []string{"w1", "w2", "w3", "w4"} {
			s.addWorker(name, 6)
		}
		s.run(time.Second)
		s.faults = faults{lostOrder: 0.05, lostAnswer: 0.05, late: 0.05, slow: 0.1, lateBeforeContact: lateBeforeContact, failing: 0.02, shedding: 0.1, lostReport: 0.2, lateReport: 0.2}
		for id := workflow.JobID(1); id <= 20; id++ {
			bounded := gang(uint32(2 + s.rng.IntN(4)))
			bounded.MaxPerWorker = 2
			saving := gang(uint32(2+s.rng.IntN(6)), 0)
			saving.Resumable, saving.EstimatedMs = true, 1500
			s.submit(id, bounded, saving, step(2), gang(3, 1, 2))
			s.injectFault(int(id))
			s.run(time.Duration(200+s.rng.IntN(1200)) * time.Millisecond)
		}
		s.faults = faults{}
		for _, w := range s.workers {
			w.partitioned, w.deaf, w.mute = false, false, false
		}
		assert.True(t, s.runUntil(90*time.Second, func() bool { return s.allEnded(20) }), "seed %d: not all jobs ended", seed)
		s.run(latestArrival) // Orders that are still under way.
		assert.Empty(t, s.violations, "seed %d", seed)
	}
}

// gangOnTwoWorkers returns a simulation with a gang of two that runs on two workers, which
// the leader's successor has not reached since it took over.
func gangOnTwoWorkers(t *testing.T) (s *sim, w1, w2 *simWorker) {
	s = newSim(t, 1)
	s.setCatalog()
	w1, w2 = s.addWorker("w1", 1), s.addWorker("w2", 1)
	s.run(time.Second)
	s.submit(1, gang(2), step(1, 0))
	require.True(t, s.runUntil(time.Second, func() bool { return len(w1.running) == 1 && len(w2.running) == 1 }))
	w1.partitioned, w2.partitioned = true, true
	s.takeOver()
	require.True(t, s.runUntil(2*time.Second, func() bool { return s.done[workflow.TaskRef{Job: 1}] && s.done[workflow.TaskRef{Job: 1, Index: 1}] }))
	return s, w1, w2
}

// A worker returns under its name after another one's end has made the gang done: its own
// member, still recorded there, must not start again.
func TestNoMemberStartsAfterItsGangIsDone(t *testing.T) {
	s, w1, w2 := gangOnTwoWorkers(t)
	w2.partitioned = false
	require.True(t, s.runUntil(5*time.Second, func() bool { return s.gangs.acknowledged[workflow.StepRef{Job: 1}] }))
	w1.crash()
	s.addWorker("w1", 1)
	require.True(t, s.runUntil(10*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	require.Empty(t, s.violations)
}

// A worker returns under its name while the end that makes its gang done is still unheard:
// its member must not start again, since the end may be acknowledged later.
func TestNoMemberStartsAgainOnTheNextIncarnation(t *testing.T) {
	s, w1, w2 := gangOnTwoWorkers(t)
	w1.crash()
	s.addWorker("w1", 1)
	s.run(time.Second)
	w2.partitioned = false
	require.True(t, s.runUntil(10*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	require.Empty(t, s.violations)
}

// The same, and the leader changes before the next incarnation has answered it.
func TestNoMemberStartsAgainUnderANewLeader(t *testing.T) {
	s, w1, w2 := gangOnTwoWorkers(t)
	w1.crash()
	w1 = s.addWorker("w1", 1)
	w1.partitioned = true
	s.run(2 * commitDelay)
	s.takeOver()
	w1.partitioned = false
	s.run(time.Second)
	w2.partitioned = false
	require.True(t, s.runUntil(10*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	require.Empty(t, s.violations)
}
