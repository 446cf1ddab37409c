package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// startOnTheNextLife has the next incarnation of the worker of a lasting task carry out the task's
// start and answer it as if it were the previous one. It is cut off right after that.
func startOnTheNextLife(t *testing.T) (s *sim, next *simWorker) {
	s = newSim(t, 65)
	s.setCatalog()
	a := s.addWorker("a", 4)
	s.run(time.Minute) // So that its clock is far ahead of that of its successor.
	s.send = func(engine *Engine, order Order) {
		if order.Verb != Start || next != nil {
			s.deliver(engine, order)
			return
		}
		a.crash()
		next = s.startUnreported("a", a)
		next.handleOrder(order, func(answer Answer) { s.after(networkDelay, func() { engine.HandleAnswer(&answer) }) })
	}
	s.submit(1, lastingStep(1, 1000))
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
	s, next := startOnTheNextLife(t)
	require.Nil(t, s.announce(next.announcement()))
	requireOneRun(t, s, next)
}

// As above, but the next incarnation is cut off before it reports itself.
func TestARunOfTheNextIncarnationBeforeItsReportIsNotOverWithTheLeaseOfThePreviousOne(t *testing.T) {
	s, next := startOnTheNextLife(t)
	requireOneRun(t, s, next)
}
