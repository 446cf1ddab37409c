package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// Guards against a task that runs again since a late poll to the previous incarnation of its
// worker acknowledged its end at the next one, before a leader had read it.
func TestALatePollDoesNotAcknowledgeAnEndOfTheNextIncarnation(t *testing.T) {
	l := &lateStarts{sim: newSim(t, 37)}
	l.setCatalog()
	l.w1 = l.addWorker("w1", 2)
	l.run(time.Minute)
	var poll *Order
	l.send = func(engine *Engine, order Order) {
		unanswered := func() {
			l.after(order.Timeout(), func() {
				if l.engine == engine {
					engine.HandleAnswer(&Answer{Order: order})
				}
			})
		}
		switch {
		case order.Verb == Poll && order.AckedThrough > 0 && poll == nil:
			poll = &order
			unanswered()
		case order.Verb == Start && order.Task.Job == 2:
			l.kept = append(l.kept, order)
			unanswered()
		default:
			l.deliver(engine, order)
		}
	}
	l.submit(1, step(1))
	require.True(t, l.runUntil(3*time.Second, func() bool { return poll != nil }))
	require.True(t, l.runUntil(3*time.Second, func() bool { return l.state(1) == workflow.JobCompleted }))
	l.run(poll.Timeout()) // Its answer is not awaited any more.
	l.submit(2, step(1))
	require.True(t, l.runUntil(time.Second, func() bool { return len(l.kept) > 0 }))
	l.run(500 * time.Millisecond)

	l.restart(false)
	l.carryOut(l.kept[0])
	task := l.kept[0].Task
	require.True(t, l.runUntil(2*time.Second, func() bool { return l.done[task] }))
	require.Less(t, l.now.Sub(poll.SentAt), maxOrderDelay)
	l.w1.handleOrder(*poll, func(Answer) {})
	l.send = nil
	l.w1.report()
	assert.True(t, l.runUntil(40*time.Second, func() bool { return l.state(2) == workflow.JobCompleted }))
	assert.Empty(t, l.violations)
}
