package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// A worker shows an attempt that is not recorded: its start was carried out late. The
// task must not be started, there or elsewhere, before that run has been stopped.
func TestATaskWaitsUntilItsStrayHasStopped(t *testing.T) {
	for _, withOther := range []bool{true, false} {
		s := newSim(t, 31)
		s.setCatalog()
		w := s.addWorker("w1", 4)
		if withOther {
			s.addWorker("w2", 4)
		}
		s.run(time.Second)
		long := step(1)
		long.EstimatedMs = 5000
		scheduled := &workflow.JobSpec{Payload: "p", Steps: []workflow.Step{long}, Schedule: workflow.Schedule{Times: 1, FirstMs: s.wall() + 60_000, EveryMs: 1000}}
		s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + workflow.JobID(1).String(), Job: scheduled}, func(Reply) {})
		s.run(100 * time.Millisecond)
		ref := workflow.TaskRef{Job: 1}
		w.handleOrder(w.startOrder(ref, 1), func(Answer) {})
		require.True(t, s.runUntil(2*time.Second, func() bool { return w.running[ref] != nil && w.running[ref].stopping }))
		s.engine.state.Job(1).Spec.Schedule.FirstMs = 0 // The task is due while its stray still runs.
		require.True(t, s.runUntil(5*time.Second, func() bool { return s.starts == 2 }))
		require.Empty(t, s.violations)
	}
}

// The worker on which a stray runs is lost. Its task must start once the lease is over.
func TestAStrayOnALostWorkerHoldsItsTaskForTheLease(t *testing.T) {
	s := newSim(t, 32)
	s.setCatalog()
	w := s.addWorker("w1", 4)
	s.run(time.Second)
	long := step(1)
	long.EstimatedMs = 60_000
	s.faults.shedding = 1
	s.submit(1, long)
	s.faults.shedding = 0
	ref := workflow.TaskRef{Job: 1}
	w.handleOrder(w.startOrder(ref, 7), func(Answer) {})
	require.True(t, s.runUntil(2*time.Second, func() bool { return len(s.engine.strays) == 1 }))
	w.crash()
	s.addWorker("w2", 4)
	require.True(t, s.runUntil(15*time.Second, func() bool { return s.starts >= 2 }))
	require.Empty(t, s.violations)
}

// A stray does its task, while a later attempt waits for it to stop. That one must not be
// started before the end of the stray is committed.
func TestNoStartBetweenTheEndOfAStrayAndItsCommit(t *testing.T) {
	s := newSim(t, 46)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	lose := true
	s.send = func(engine *Engine, order Order) {
		if lose && order.Verb == Start && order.Worker == 2 || order.Verb == Stop && order.Worker == 1 {
			s.after(order.Timeout(), func() { engine.HandleAnswer(&Answer{Order: order}) })
			return
		}
		s.deliver(engine, order)
	}
	s.faults.shedding = 1
	first := step(1)
	first.EstimatedMs = 2500
	s.submit(1, first, step(1, 0))
	s.run(100 * time.Millisecond)
	s.faults.shedding = 0
	w1.handleOrder(w1.startOrder(workflow.TaskRef{Job: 1}, 1), func(Answer) {})
	require.Len(t, w1.running, 1)
	s.addWorker("w2", 4)
	require.True(t, s.runUntil(3*time.Second, func() bool { return len(s.engine.strays) == 1 }))
	require.Equal(t, workflow.WorkerID(2), s.committed.Job(1).Task(workflow.TaskRef{Job: 1}).Worker)
	s.run(time.Second)
	lose = false
	require.Equal(t, 1, s.starts)
	s.commitDelay = 120 * time.Millisecond
	s.run(10 * time.Second)
	require.Empty(t, s.violations)
	require.Equal(t, 2, s.starts, "the next step alone")
}

// A worker on which a stray runs withdraws. Its task must not start elsewhere before the
// stray has stopped.
func TestAWithdrawalWaitsForAStray(t *testing.T) {
	s := newSim(t, 42)
	s.setCatalog()
	w := s.addWorker("w1", 4)
	s.addWorker("w2", 4)
	s.run(time.Second)
	long := step(1)
	long.EstimatedMs = 5000
	scheduled := &workflow.JobSpec{Payload: "p", Steps: []workflow.Step{long}, Schedule: workflow.Schedule{Times: 1, FirstMs: s.wall() + 60_000, EveryMs: 1000}}
	s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + workflow.JobID(1).String(), Job: scheduled}, func(Reply) {})
	s.run(100 * time.Millisecond)
	ref := workflow.TaskRef{Job: 1}
	w.handleOrder(w.startOrder(ref, 1), func(Answer) {})
	require.True(t, s.runUntil(2*time.Second, func() bool { return w.running[ref] != nil && w.running[ref].stopping }))
	s.withdraw(w)
	s.engine.state.Job(1).Spec.Schedule.FirstMs = 0
	s.run(3 * time.Second)
	require.Equal(t, 2, s.starts)
	require.Empty(t, s.violations)
}

// A delayed report with a later start carries the attempts of a worker that runs to another
// address, at which another worker starts. They may still run, so they must not be void.
func TestCarriedAttemptsOutlastAnotherWorkerAtTheAddress(t *testing.T) {
	s := newSim(t, 44)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	s.startLongTasks(4)
	s.addWorker("w2", 4)
	// A report of a dead incarnation of w1 (later by its wall clock) that ran at another address.
	report := w1.announcement()
	report.Life.BornMs, report.Address = s.wall()+1, "x:1"
	require.Nil(t, s.announce(report))
	// Then another worker starts at that address.
	other := w1.announcement()
	other.Life = workflow.Incarnation{Name: "w3", BornMs: s.wall() + 1000}
	other.Address = "x:1"
	s.announce(other)
	s.run(20 * time.Second)
	require.Empty(t, s.violations)
}

// A worker restarts while its answers and reports are lost, and a start to the previous
// incarnation reaches the next one, which runs it for the longest lease from its arrival.
// The task must not start elsewhere within it.
func TestAStartThatTheNextIncarnationTookBeforeItsReport(t *testing.T) {
	s := newSim(t, 41)
	s.setCatalog()
	w := s.addWorker("w1", 4)
	s.run(time.Second)
	w.mute = true
	w.crash()
	s.startWorker("w1", w)
	long := step(1)
	long.EstimatedMs = 60_000
	s.submit(1, long)
	require.Equal(t, 1, s.starts)
	s.addWorker("w2", 4)
	s.run(25 * time.Second)
	require.Empty(t, s.violations)
}

// A task waits for a stray on a worker that is cut off, and the leader changes. The next
// leader knows nothing of the stray and must not start the task beside it.
func TestATaskWaitsForAStrayUnderANewLeader(t *testing.T) {
	s := newSim(t, 43)
	s.setCatalog()
	w := s.addWorker("w1", 4)
	s.addWorker("w2", 4)
	s.run(time.Second)
	long := step(1)
	long.EstimatedMs = 5000
	scheduled := &workflow.JobSpec{Payload: "p", Steps: []workflow.Step{long}, Schedule: workflow.Schedule{Times: 1, FirstMs: s.wall() + 60_000, EveryMs: 1000}}
	s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + workflow.JobID(1).String(), Job: scheduled}, func(Reply) {})
	s.run(100 * time.Millisecond)
	ref := workflow.TaskRef{Job: 1}
	w.handleOrder(w.startOrder(ref, 1), func(Answer) {})
	require.True(t, s.runUntil(2*time.Second, func() bool { return len(s.engine.strays) == 1 }))
	s.committed.Job(1).Spec.Schedule.FirstMs = 0
	w.partitioned = true
	s.takeOver()
	s.run(15 * time.Second)
	require.Empty(t, s.violations)
}
