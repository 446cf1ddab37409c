package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// stepsToTakeOver are steps of a task that runs for longer than a lease.
var stepsToTakeOver = map[string]workflow.Step{
	"lasting": lastingStep(1, 1000),
	"long":    {Count: 1, EstimatedMs: 60_000, Resources: workflow.Resources{MilliProcessors: 1000, MemoryMB: 100}},
}

// startOnTheNextLife has the next incarnation of the worker of a task carry out the task's start and
// answer it as if it were the previous one. It is cut off right after that. before is what is done with
// each order that comes first, and reports whether the order is dropped.
func startOnTheNextLife(t *testing.T, step workflow.Step, before func(*sim, Order) bool) (s *sim, next *simWorker) {
	s = newSim(t, 65)
	s.setCatalog()
	a := s.addWorker("a", 4)
	s.run(time.Minute) // So that its clock is far ahead of that of its successor.
	s.send = func(engine *Engine, order Order) {
		switch {
		case next == nil && before != nil && before(s, order):
		case order.Verb != Start || next != nil:
			s.deliver(engine, order)
		default:
			a.crash()
			next = s.startUnreported("a", a)
			next.handleOrder(order, func(answer Answer) { s.after(networkDelay, func() { engine.HandleAnswer(&answer) }) })
		}
	}
	s.run(pollWait + 500*time.Millisecond) // Up to the middle of a poll.
	s.submit(1, step)
	s.runUntil(5*time.Second, func() bool { return next != nil })
	require.NotNil(t, next)
	require.Len(t, next.running, 1)
	next.partitioned = true
	return s, next
}

// requireOneRun requires that the task runs elsewhere once it has ended on the worker.
func requireOneRun(t *testing.T, s *sim, next *simWorker) {
	s.addWorker("b", 4)
	require.True(t, s.runUntil(time.Minute, func() bool { return len(s.workers["b:1"].running) == 1 }))
	require.Empty(t, next.running)
	require.Len(t, s.runs[workflow.TaskRef{Job: 1}], 1)
	require.Empty(t, s.violations)
}

// Guards against a lasting task that runs twice: the run that the next incarnation began has a lease
// of its own, which is not over with that of the previous one.
func TestARunOfTheNextIncarnationIsNotOverWithTheLeaseOfThePreviousOne(t *testing.T) {
	s, next := startOnTheNextLife(t, lastingStep(1, 1000), nil)
	require.Nil(t, s.announce(next.announcement()))
	requireOneRun(t, s, next)
}

// As above, but the next incarnation is cut off before it reports itself.
func TestARunOfTheNextIncarnationBeforeItsReportIsNotOverWithTheLeaseOfThePreviousOne(t *testing.T) {
	for name, step := range stepsToTakeOver {
		t.Run(name, func(t *testing.T) {
			s, next := startOnTheNextLife(t, step, nil)
			requireOneRun(t, s, next)
		})
	}
}

// As above, but an earlier leader placed the task, and its start was lost.
func TestARunOfTheNextIncarnationUnderALaterLeaderIsNotOverWithTheLeaseOfThePreviousOne(t *testing.T) {
	for name, step := range stepsToTakeOver {
		t.Run(name, func(t *testing.T) {
			s, next := startOnTheNextLife(t, step, func(s *sim, order Order) bool {
				if order.Verb != Start || s.term > 1 {
					return false
				}
				s.after(0, s.takeOver)
				return true
			})
			requireOneRun(t, s, next)
		})
	}
}

// Guards against a task that runs twice: a poll of the previous incarnation that is carried out late
// prolongs the lease of the run that the next one began.
func TestALatePollProlongsARunOfTheNextIncarnation(t *testing.T) {
	var poll Order
	s, next := startOnTheNextLife(t, stepsToTakeOver["long"], func(_ *sim, order Order) bool {
		if order.Verb == Poll {
			poll = order
		}
		return order.Verb == Poll
	})
	s.run(9 * time.Second)
	require.Less(t, s.now.Sub(poll.SentAt), maxOrderDelay)
	next.handleOrder(poll, func(Answer) {})
	s.run(5 * time.Second)
	require.Len(t, next.running, 1)
	requireOneRun(t, s, next)
}

// requireNoWaitForOtherLeases requires that the task of a worker that is cut off runs elsewhere once its
// lease is over, which is half of the longest one. up is for how long the worker has run at the start, and
// shown for how long polls show the run.
func requireNoWaitForOtherLeases(t *testing.T, up, shown time.Duration) {
	for name, step := range stepsToTakeOver {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 65)
			s.settings.Lease = s.settings.MaxLease / 2
			s.takeOver()
			s.setCatalog()
			a := s.addWorker("a", 4)
			s.run(up)
			s.submit(1, step)
			require.True(t, s.runUntil(time.Second, func() bool { return len(a.running) == 1 }))
			s.run(2*networkDelay + shown) // For the answer to the start, too.
			a.partitioned = true
			cutAt := s.now
			b := s.addWorker("b", 4)
			require.True(t, s.runUntil(time.Minute, func() bool { return len(b.running) == 1 }))
			t.Logf("runs again %v after the cut", s.now.Sub(cutAt))
			require.Empty(t, a.running)
			require.LessOrEqual(t, s.now.Sub(cutAt), staleAfter+maxRealTime(s.settings.Lease)+time.Second)
			require.Empty(t, s.violations)
		})
	}
}

// Guards against waits for a lease that no incarnation holds: the clock in the answer to the start
// tells which one has carried it out.
func TestARunThatNoPollShowedEndsWithTheLeaseOfItsIncarnation(t *testing.T) {
	requireNoWaitForOtherLeases(t, time.Minute, 0)
}

// As above, but polls have shown a run whose start came too early for that.
func TestARunThatAPollShowedEndsWithTheLeaseOfItsIncarnation(t *testing.T) {
	requireNoWaitForOtherLeases(t, 500*time.Millisecond, 2*time.Second)
}

// Guards against a task that runs twice: the next incarnation answers a start to an earlier leader, and a
// late poll of that leader prolongs the lease of its run beyond the one that the later leader waits for.
func TestALatePollOfAnEarlierLeaderProlongsARunOfTheNextIncarnation(t *testing.T) {
	for _, after := range []time.Duration{1, 3, 5, 7} {
		t.Run((after * time.Second).String(), func(t *testing.T) {
			var poll Order
			s, next := startOnTheNextLife(t, stepsToTakeOver["long"], func(_ *sim, order Order) bool {
				if order.Verb == Poll {
					poll = order
				}
				return order.Verb == Poll
			})
			c := s.addWorker("c", 4)
			s.run(after * time.Second)
			s.submit(2, stepsToTakeOver["long"])
			require.True(t, s.runUntil(time.Second, func() bool { return len(c.running) == 1 }))
			s.takeOver()
			s.run(poll.SentAt.Add(maxOrderDelay - time.Second).Sub(s.now))
			next.handleOrder(poll, func(Answer) {})
			s.run(5 * time.Second)
			require.Len(t, next.running, 1)
			s.run(40 * time.Second)
			require.Empty(t, next.running)
			require.Len(t, s.runs[workflow.TaskRef{Job: 1}], 1, "the task runs elsewhere in the end")
			require.Empty(t, s.violations)
		})
	}
}

// Guards against a task that runs twice: an order may leave as late as its answer would be awaited, and be
// carried out as long after that.
func TestAStartThatLeavesLateIsOnTheNextIncarnation(t *testing.T) {
	for name, step := range stepsToTakeOver {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 65)
			s.setCatalog()
			a := s.addWorker("a", 4)
			s.run(time.Minute)
			var next *simWorker
			s.send = func(engine *Engine, order Order) {
				switch {
				case order.Verb != Start || next != nil:
					s.deliver(engine, order)
				default:
					a.crash()
					next = s.startUnreported("a", a)
					next.mute = true
					s.after(2*order.Timeout()-50*time.Millisecond, func() {
						next.handleOrder(order, func(answer Answer) { s.after(networkDelay, func() { engine.HandleAnswer(&answer) }) })
						next.partitioned = true
					})
				}
			}
			s.run(pollWait + 500*time.Millisecond)
			s.submit(1, step)
			require.True(t, s.runUntil(5*time.Second, func() bool { return next != nil && len(next.running) == 1 }))
			requireOneRun(t, s, next)
		})
	}
}

// Guards against a task that runs twice: the clock of a next incarnation that has run for a while without
// a report is taken for that of the previous one. handledLate is how long the latest answer of the previous
// one, after which it crashes, waits for the loop.
func TestTheClockOfAnIncarnationThatIsNotReportedYetConfirmsNoRun(t *testing.T) {
	for _, handledLate := range []time.Duration{0, 1500 * time.Millisecond} {
		for name, step := range stepsToTakeOver {
			t.Run(name+" "+handledLate.String(), func(t *testing.T) {
				s := newSim(t, 65)
				s.setCatalog()
				a := s.addWorker("a", 4)
				s.run(time.Minute)
				var next *simWorker
				started, handled := false, false
				s.send = func(engine *Engine, order Order) {
					switch {
					case started:
						s.deliver(engine, order)
					case order.Verb == Start:
						started = true
						next.handleOrder(order, func(answer Answer) { s.after(networkDelay, func() { engine.HandleAnswer(&answer) }) })
					case next == nil:
						a.handleOrder(order, func(answer Answer) {
							a.crash()
							next = s.startUnreported("a", a)
							s.after(handledLate, func() {
								handled = true
								engine.HandleAnswer(&answer)
							})
						})
					}
				}
				require.True(t, s.runUntil(10*time.Second, func() bool { return handled }))
				if handledLate == 0 {
					s.run(1100 * time.Millisecond)
				}
				s.submit(1, step)
				require.True(t, s.runUntil(time.Second, func() bool { return started }))
				require.Len(t, next.running, 1)
				next.partitioned = true
				requireOneRun(t, s, next)
			})
		}
	}
}
