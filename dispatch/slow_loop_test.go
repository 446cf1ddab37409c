package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// Guards against leases that lapse on all workers of a leader that is behind: answers wait for its
// loop, and the clock of the worker in them was taken for that of the time at which they were handled,
// so that each lease was granted shorter by this wait.
func TestLeasesLastBesideAnswersThatWaitForTheLoop(t *testing.T) {
	for _, wait := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second} {
		s := newSim(t, 71)
		s.setCatalog()
		w := s.addWorker("w1", 4)
		lasting := step(2)
		lasting.Lasting = true
		s.submit(1, lasting)
		s.run(time.Second)
		require.Len(t, w.running, 2)
		s.loopWait = wait
		s.run(time.Minute)
		assert.Zero(t, w.leaseExpiredAt, "answers wait %v, the lease lasts %v", wait, s.settings.Lease)
		assert.Len(t, w.running, 2)
		s.loopWait = 0
		s.run(10 * time.Second)
		assert.Zero(t, s.engine.counters.Lapsed)
		assert.Len(t, w.running, 2)
		assert.Empty(t, s.violations)
	}
}

// Guards against a lease that is taken for over too early because answers wait for the loop: tasks of a
// worker that is cut off would run twice, on clocks that are 2% slow.
func TestALeaseIsNotOverTooEarlyBesideAnswersThatWaitForTheLoop(t *testing.T) {
	for phase := range 40 {
		s := newSim(t, uint64(phase))
		s.setCatalog()
		w := s.addWorker("w1", 4)
		lasting := step(4)
		lasting.Lasting = true
		s.submit(1, lasting)
		s.run(time.Second)
		s.loopWait = time.Duration(phase%5) * time.Second
		s.run(10*time.Second + time.Duration(phase)*27*time.Millisecond)
		other := s.addWorker("w2", 4)
		w.partitioned = true
		s.run(30 * time.Second)
		assert.Len(t, other.running, 4, "phase %d", phase)
		assert.Empty(t, s.violations, "phase %d", phase)
	}
}

// Guards against leases that lapse on all workers while one batch is committed slowly, such as one with
// a large configuration: each poll waited for the commit, although it rested on nothing in it.
func TestLeasesLastBesideASlowCommit(t *testing.T) {
	s := newSim(t, 72)
	s.setCatalog()
	idle, ending := s.addWorker("w1", 2), s.addWorker("w2", 2)
	lasting, short := step(2), step(1)
	lasting.Lasting, lasting.MaxPerWorker = true, 1
	s.submit(1, lasting)
	s.submit(2, short)
	s.run(20 * time.Millisecond)
	s.commitDelay = 20 * time.Second
	s.engine.SetCatalog(&workflow.Catalog{Version: 2, Services: []workflow.Service{{Name: "pool"}}}, func(*kind.Error) {})
	orders := 0
	inner := s.send
	s.send = func(engine *Engine, order Order) {
		orders++
		if inner != nil {
			inner(engine, order)
			return
		}
		s.deliver(engine, order)
	}
	s.run(18 * time.Second)
	for _, w := range []*simWorker{idle, ending} {
		assert.Zero(t, w.leaseExpiredAt, w.life.Name)
		assert.NotEmpty(t, w.running, w.life.Name)
	}
	t.Logf("%d orders in 18 s", orders)
	assert.Less(t, orders, 100, "a worker that lists an end answers at once")
	s.commitDelay = commitDelay
	s.run(10 * time.Second)
	assert.Zero(t, s.engine.counters.Lapsed)
	assert.Empty(t, s.violations)
}

// Guards against ends of the next incarnation that are acknowledged unseen: while a commit is slow, each
// poll repeats an acknowledgement that the worker has answered already, and each of them may reach the
// next incarnation, whose ends have the same numbers.
func TestPollsBesideASlowCommitRepeatNoAcknowledgement(t *testing.T) {
	s := newSim(t, 72)
	s.setCatalog()
	w := s.addWorker("w1", 2)
	s.submit(1, step(1))
	require.True(t, s.runUntil(5*time.Second, func() bool { return s.engine.views[s.engine.state.WorkerNamed("w1").ID].lastEndAcked == 1 }))
	s.run(2 * time.Second)
	s.submit(2, step(1))
	require.True(t, s.runUntil(time.Second, func() bool { return len(w.running) == 1 }))
	s.commitDelay = 20 * time.Second
	repeated := 0
	s.send = func(engine *Engine, order Order) {
		if order.Verb == Poll && order.AckedThrough == 1 {
			repeated++
		}
		s.deliver(engine, order)
	}
	s.run(18 * time.Second)
	assert.Zero(t, repeated, "polls that acknowledge end 1, which was acknowledged before the commit began")
	s.commitDelay = commitDelay
	s.run(10 * time.Second)
	assert.Empty(t, s.violations)
}

// Guards against a task that runs again although it is done: the next incarnation carries out a late start,
// and a poll that repeats an acknowledgement discards its end unseen.
func TestAPollBesideASlowCommitDiscardsNoEndOfTheNextIncarnation(t *testing.T) {
	s := newSim(t, 72)
	s.setCatalog()
	w := s.addWorker("w1", 2)
	s.submit(1, step(1))
	v := s.engine.views[s.engine.state.WorkerNamed("w1").ID]
	require.True(t, s.runUntil(5*time.Second, func() bool { return v.lastEndAcked == 1 }))
	s.run(2 * time.Second)
	s.submit(2, step(1))
	require.True(t, s.runUntil(time.Second, func() bool { return len(w.running) == 1 }))
	var late []Order
	reported := false
	s.send = func(engine *Engine, order Order) {
		if order.Verb == Start && order.Task.Job == 3 && !reported {
			late = append(late, order)
			s.after(order.Timeout(), func() { engine.HandleAnswer(&Answer{Order: order}) })
			return
		}
		s.deliver(engine, order)
	}
	s.submit(3, step(1))
	require.True(t, s.runUntil(time.Second, func() bool { return len(late) == 1 }))
	s.run(100 * time.Millisecond)
	s.commitDelay = 20 * time.Second
	require.True(t, s.runUntil(5*time.Second, func() bool { return v.lastEndSeen == 2 }))
	w.crash()
	next := s.startUnreported("w1", w)
	next.handleOrder(late[0], func(Answer) {})
	require.Len(t, next.running, 1)
	s.run(6 * time.Second)
	s.commitDelay = commitDelay
	reported = true
	next.report()
	s.run(60 * time.Second)
	assert.Empty(t, s.violations)
}
