package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// lookAheadObjective is the latency objective of the simulated jobs: one second and twice the
// run time. Up to lateDeadlineFactor times that they keep some value.
const lookAheadObjective = 2 * time.Second

// mixedLoad submits many jobs of small tasks, and large tasks that need a whole worker, to four
// workers of eight processors.
type mixedLoad struct {
	*sim
	next        workflow.JobID
	submittedAt map[workflow.JobID]Instant
	// finishedAfter holds how long each job took that has ended.
	finishedAfter map[workflow.JobID]time.Duration
	large         []workflow.JobID
	estimateError float64
}

func newMixedLoad(t *testing.T, seed uint64) *mixedLoad {
	m := &mixedLoad{sim: newSim(t, seed), submittedAt: make(map[workflow.JobID]Instant), finishedAfter: make(map[workflow.JobID]time.Duration), estimateError: 1}
	m.setCatalog()
	for i := range 4 {
		m.addWorker(fmt.Sprint("w", i), 8)
	}
	m.runTime = func(*simRun) time.Duration {
		return time.Duration(500 * math.Exp(0.1*m.rng.NormFloat64()) * float64(time.Millisecond))
	}
	m.every(10*time.Millisecond, func() {
		for id, at := range m.submittedAt {
			if m.state(id) == workflow.JobCompleted {
				m.finishedAfter[id] = m.now.Sub(at)
				delete(m.submittedAt, id)
			}
		}
	})
	m.run(time.Second)
	return m
}

func (m *mixedLoad) request(s workflow.Step) workflow.JobID {
	m.next++
	s.EstimatedMs = int64(500 * math.Pow(m.estimateError, 2*m.rng.Float64()-1))
	m.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + m.next.String(), Job: &workflow.JobSpec{Payload: "p", Steps: []workflow.Step{s}}}, func(r Reply) { require.Nil(m.t, r.Err) })
	m.submittedAt[m.next] = m.now
	return m.next
}

func (m *mixedLoad) requestLarge() workflow.JobID {
	s := step(1)
	s.Resources.MilliProcessors, s.Image = 8000, "large"
	id := m.request(s)
	m.large = append(m.large, id)
	return id
}

// offerSmall submits small tasks that take 85% of the capacity on average, so that no worker is
// ever whole by itself.
func (m *mixedLoad) offerSmall() {
	m.every(74*time.Millisecond, func() {
		s := step(4)
		s.Image = "small"
		m.request(s)
	})
	m.run(3 * time.Second)
}

// check checks that all jobs submitted before the last bound took no longer than it.
func (m *mixedLoad) check(bound time.Duration) {
	m.run(bound)
	for _, id := range m.large {
		took, finished := m.finishedAfter[id]
		assert.True(m.t, finished && took <= bound, "large job %d took %v", id, took)
	}
	for id, at := range m.submittedAt {
		assert.LessOrEqual(m.t, m.now.Sub(at), bound, "job %d", id)
	}
	longest := time.Duration(0)
	for id, took := range m.finishedAfter {
		assert.LessOrEqual(m.t, took, bound, "job %d", id)
		longest = max(longest, took)
	}
	m.t.Logf("%d jobs, longest %v, %d reservations", len(m.finishedAfter), longest, m.engine.counters.Reserved)
	require.Empty(m.t, m.violations)
}

// Guards against large tasks that wait for as long as small ones take each gap, and against
// small ones that starve beside reservations.
func TestLargeTasksStartBesideManySmallOnes(t *testing.T) {
	t.Parallel()
	first, last := seeds()
	for seed := first; seed <= last; seed++ {
		m := newMixedLoad(t, seed)
		m.offerSmall()
		for range 4 {
			m.requestLarge()
			m.run(4 * time.Second)
		}
		m.check(lookAheadObjective)
	}
}

// Guards against a convoy of large tasks that starve, or behind which small ones starve.
func TestAConvoyOfLargeTasks(t *testing.T) {
	t.Parallel()
	first, last := seeds()
	for seed := first; seed <= last; seed++ {
		m := newMixedLoad(t, seed)
		m.offerSmall()
		for range 3 {
			m.requestLarge()
		}
		m.check(lateDeadlineFactor * lookAheadObjective)
	}
}

// Guards against capacity that stays reserved for large tasks that never come: their jobs are
// cancelled while they wait.
func TestReservationsEndWithTheirJobs(t *testing.T) {
	m := newMixedLoad(t, 1)
	m.offerSmall()
	for range 10 {
		id := m.requestLarge()
		require.True(t, m.runUntil(time.Second, func() bool { return len(m.engine.lookAhead.reservations) > 0 }))
		m.engine.HandleRequest(&Request{Verb: CancelJob, Host: "h", Path: "/q/" + id.String()}, func(Reply) {})
		delete(m.submittedAt, id)
		m.run(100 * time.Millisecond)
		assert.Empty(t, m.engine.lookAhead.reservations)
	}
	m.large = nil
	m.check(lookAheadObjective)
}

// Guards against reservations that help or end only where estimates are right.
func TestReservationsWithEstimatesOffByThree(t *testing.T) {
	first, last := seeds()
	for seed := first; seed <= last; seed++ {
		m := newMixedLoad(t, seed)
		m.estimateError = 3
		m.offerSmall()
		for range 3 {
			m.requestLarge()
			m.run(4 * time.Second)
		}
		m.check(lateDeadlineFactor * lookAheadObjective)
	}
}

// Guards against a new leader that leaves a task waiting for which the one before had a
// reservation.
func TestANewLeaderReservesAgain(t *testing.T) {
	m := newMixedLoad(t, 2)
	m.offerSmall()
	m.requestLarge()
	require.True(t, m.runUntil(time.Second, func() bool { return len(m.engine.lookAhead.reservations) > 0 }))
	m.takeOver()
	require.True(t, m.runUntil(lookAheadObjective, func() bool { return m.engine.counters.Reserved > 0 }))
	m.check(lateDeadlineFactor * lookAheadObjective)
}

// Guards against a reserved worker on which tasks are placed that end too late, on which none
// are placed that end before, which lasting tasks are kept from, or for which a task is held back
// beyond heldBackLimit.
func TestReservedWorkersTakeTasksThatEndBefore(t *testing.T) {
	s := newSim(t, 1)
	s.setCatalog()
	w := s.addWorker("w1", 8)
	s.run(time.Second)
	s.runTime = func(run *simRun) time.Duration { return time.Duration(run.step.EstimatedMs) * time.Millisecond }
	offer := func(id workflow.JobID, milliProcessors, estimatedMs int64, lasting bool) {
		st := step(1)
		st.Resources.MilliProcessors, st.EstimatedMs, st.Lasting = milliProcessors, estimatedMs, lasting
		s.submit(id, st)
	}
	offer(1, 4000, 3000, false)
	offer(2, 7000, 3000, false)
	s.run(passedOverLimit)
	require.Len(t, s.engine.lookAhead.reservations, 1)
	running := func(id workflow.JobID) bool { return w.running[workflow.TaskRef{Job: id}] != nil }
	offer(3, 2000, 4000, false)
	assert.False(t, running(3), "it ends too late")
	offer(4, 1000, 800, false)
	assert.True(t, running(4), "it ends before")
	offer(5, 1000, 4000, false)
	assert.True(t, running(5), "it fits beside the reserved capacity")
	offer(6, 1000, 0, true)
	s.run(heldBackLimit)
	assert.True(t, running(3), "it has been held back for long enough")
	s.run(firstRunWait - heldBackLimit)
	assert.True(t, running(6), "lasting tasks are not held back")
	require.Empty(t, s.violations)
}
