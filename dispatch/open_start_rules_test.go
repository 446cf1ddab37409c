package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// Guards against a lease that is taken for over too early: a poll that was sent just after the
// last time at which the start can be carried out prolongs the run of the incarnation that did so.
func TestAPollSentAfterTheLastArrivalProlongsTheRunOfALateStart(t *testing.T) {
	s := newSim(t, 54)
	s.setCatalog()
	w := s.addWorker("w1", 2)
	s.run(time.Minute)
	lost := s.lostStarts(w)
	long := step(1)
	long.EstimatedMs = 60_000
	s.submit(1, long)
	require.Len(t, *lost, 1)
	s.answerStarts(w, Unhealthy)
	s.addWorker("w2", 2)
	o := func() *openStart { return s.engine.openStartOf(workflow.TaskRef{Job: 1}, "w1") }
	require.True(t, s.runUntil(2*time.Second, func() bool { return o() != nil }))
	end := o().carriedOutBy()
	// Polls sent from 1.9 s before the end on get no answer.
	var polls []Order
	inner := s.send
	s.send = func(engine *Engine, order Order) {
		if order.Life == w.life && order.Verb == Poll && s.now > end.Add(-1500*time.Millisecond) {
			polls = append(polls, order)
			s.after(order.Timeout(), func() { engine.HandleAnswer(&Answer{Order: order}) })
			return
		}
		if order.Life == w.life && order.Verb == Start && s.now > end.Add(-1500*time.Millisecond) {
			s.after(0, func() { engine.HandleAnswer(&Answer{Order: order, Outcome: NotSent}) })
			return
		}
		inner(engine, order)
	}
	s.run(end.Add(-200 * time.Millisecond).Sub(s.now))
	next := s.nextUnreported(w)
	next.partitioned = true
	s.run((*lost)[0].SentAt.Add(maxOrderDelay - time.Millisecond).Sub(s.now))
	next.handleOrder((*lost)[0], func(Answer) {})
	require.Len(t, next.running, 1)
	began := s.now
	s.run(5 * time.Second)
	at := slices.IndexFunc(polls, func(p Order) bool { return p.SentAt >= end && p.ExpiresMs > 0 })
	for _, p := range polls {
		t.Logf("poll sent %v after the last arrival, lease %v", p.SentAt.Sub(end), p.ExpiresMs > 0)
	}
	require.GreaterOrEqual(t, at, 0, "a poll with a lease, sent after the last arrival of the start")
	s.run(next.leaseExpiresAt.Add(-50 * time.Millisecond).Sub(s.now))
	require.Less(t, s.now.Sub(polls[at].SentAt), maxOrderDelay)
	next.handleOrder(polls[at], func(Answer) {})
	s.run(15 * time.Second)
	t.Logf("run began %v, w2 runs %d", began, len(s.workers["w2:1"].running))
	assert.Empty(t, s.violations)
}

// Guards against a wait without bound: leaders change before the time is over for which a start
// may be late, and each counts it anew.
func TestChangesOfLeaderDoNotProlongAWaitForGood(t *testing.T) {
	s := newSim(t, 61)
	s.setCatalog()
	w := s.addWorker("w1", 2)
	s.run(time.Second)
	s.lostStarts(w)
	s.submit(1, step(1))
	s.run(time.Second)
	w.drain()
	s.send = nil
	s.addWorker("w2", 2)
	for i := range 12 {
		s.run(10 * time.Second)
		if s.state(1) == workflow.JobCompleted {
			t.Logf("completed after %d changes", i)
			return
		}
		s.takeOver()
	}
	t.Fatal("not completed in 120 s")
}

// Guards against a wait of a gang for good that was placed just before a change of leader: the
// earlier leader may have sent its starts, so that it waits for these, and no longer.
func TestGangPlacedJustBeforeATakeover(t *testing.T) {
	s := newSim(t, 62)
	s.setCatalog()
	s.addWorker("w1", 2)
	s.addWorker("w2", 2)
	s.run(time.Second)
	s.send = func(engine *Engine, order Order) {
		if order.Verb == Start {
			s.after(0, func() { engine.HandleAnswer(&Answer{Order: order, Outcome: NotSent}) })
			return
		}
		s.deliver(engine, order)
	}
	s.submit(1, gang(2))
	at := s.now
	s.takeOver()
	s.send = nil
	require.True(t, s.runUntil(time.Minute, func() bool { return s.state(1) == workflow.JobCompleted }))
	t.Logf("completed %v after the takeover", s.now.Sub(at))
	assert.Empty(t, s.violations)
	assert.Less(t, s.now.Sub(at), maxOrderDelay+3*time.Second)
}

// Guards against a lease that is taken for over too early after the first poll of a new
// incarnation: an order to the previous one, whose end of lease lies far in the future on
// the new clock, brought a lease of the longest time just before. No further order is to prolong
// it: both starts are carried out, and a batch is in progress, for which the next poll waits.
func TestLateStartsJustBeforeTheFirstPoll(t *testing.T) {
	s, next, starts := restartedSim(t)
	s.run(1890 * time.Millisecond)
	next.partitioned = false
	s.commitDelay = 3 * time.Second // No further order leaves before the worker counts as unreachable.
	s.addWorker("w3", 1)
	next.handleOrder(starts[0], func(Answer) {})
	next.handleOrder(starts[1], func(Answer) {})
	require.True(t, s.runUntil(200*time.Millisecond, func() bool { return s.engine.views[s.engine.state.WorkerNamed("w1").ID].fenced }))
	s.awaitCommitBeforePolls("w1")
	next.partitioned, s.commitDelay = true, commitDelay
	s.run(30 * time.Second)
	assert.Empty(t, s.violations)
	assert.Equal(t, 4, s.starts, "both tasks must run elsewhere in the end")
}

// Guards against a worker that returns to its address: another one had it meanwhile, and the task
// of an open start ran elsewhere.
func TestAWorkerThatReturnsToItsAddressCarriesOutAStart(t *testing.T) {
	s := newSim(t, 57)
	s.setCatalog()
	w := s.addWorker("w1", 2)
	s.run(time.Minute)
	lost := s.lostStarts(w)
	long := step(1)
	long.EstimatedMs = 60_000
	s.submit(1, long)
	require.Len(t, *lost, 1)
	s.addWorker("w2", 2)
	s.run(time.Second)
	w.crash()
	other := s.newWorker("w9", w.address, 1, w.rack)
	other.labels = nil
	other.report()
	s.run(4 * time.Second)
	t.Logf("w2 runs %d, w9 runs %d", len(s.workers["w2:1"].running), len(other.running))
	other.crash()
	back := s.newWorker("w1", w.address, 2, w.rack)
	back.handleOrder((*lost)[len(*lost)-1], func(Answer) {})
	assert.Empty(t, s.violations)
}
