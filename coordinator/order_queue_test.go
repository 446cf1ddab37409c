package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/workflow"
)

// Guards against orders that overtake others of their class, and against bulk work before what
// is urgent.
func TestOrdersAreBegunByClass(t *testing.T) {
	q := newOrderQueue()
	order := func(verb dispatch.Verb, urgent bool, index int) dispatch.Order {
		return dispatch.Order{Verb: verb, Urgent: urgent, Task: workflow.TaskRef{Index: uint32(index)}}
	}
	var orders []dispatch.Order
	for i := range 2 * sendBurst {
		orders = append(orders, order(dispatch.Start, false, i), order(dispatch.Poll, false, i), order(dispatch.Start, true, i))
	}
	atOnce := q.add(orders)
	assert.Len(t, atOnce, sendBurst, "as many as one turn begins")
	assert.Equal(t, 5*sendBurst, q.len())
	assert.Empty(t, q.add([]dispatch.Order{order(dispatch.Stop, false, 2*sendBurst)}), "others of its class wait")

	var taken []dispatch.Order
	for o, ok := q.take(); ok; o, ok = q.take() {
		taken = append(taken, o)
	}
	var expected []dispatch.Order
	for i := sendBurst; i < 2*sendBurst; i++ {
		expected = append(expected, order(dispatch.Start, true, i))
	}
	expected = append(expected, order(dispatch.Stop, false, 2*sendBurst))
	for i := range 2 * sendBurst {
		expected = append(expected, order(dispatch.Poll, false, i))
	}
	for i := range 2 * sendBurst {
		expected = append(expected, order(dispatch.Start, false, i))
	}
	assert.Equal(t, expected, taken)
	assert.Zero(t, q.len())
}

// Guards against orders that are sent although what they rest on may have changed meanwhile: a job
// was cancelled, or a worker drains. They waited behind others, or the process stood still.
func TestOrdersThatWaitedTooLongAreNotSent(t *testing.T) {
	workers := &pricedWorkers{}
	c := startLeaderWith(t, workers)
	require.Eventually(t, func() bool { return c.starts.Load() != nil }, 30*time.Second, time.Millisecond)
	start := dispatch.Order{Verb: dispatch.Start, Term: c.starts.Load().term, Task: workflow.TaskRef{Job: 1}}
	start.SentAt = c.now().Add(-start.Timeout() - time.Millisecond)
	c.sendOrder(start)
	start.SentAt, start.Task.Job = c.now(), 2
	c.sendOrder(start)
	require.Eventually(t, func() bool { _, sent := workers.startsSoFar(2); return sent }, 30*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond) // For the first one, if it is sent as well.
	_, sent := workers.startsSoFar(1)
	assert.False(t, sent)
}
