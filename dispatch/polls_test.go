package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// newFleet returns an engine whose workers have all answered their first poll.
func newFleet(t *testing.T, workers, callLimit int) *Engine {
	t.Helper()
	state := workflow.NewState()
	for i := range workers {
		name := fmt.Sprint("w", i)
		require.NoError(t, state.Apply(&workflow.Op{Join: &workflow.Join{Life: workflow.Incarnation{Name: name, BornMs: 1}, Address: name, Service: "s", Capacity: workflow.Resources{MilliProcessors: 64_000, MemoryMB: 250_000}}}))
	}
	e := New(Settings{Lease: time.Minute, MaxLease: time.Minute}, zerolog.Nop(), 1, state, 1)
	e.SetCallLimit(callLimit)
	e.Tick(1, 1)
	for _, order := range e.TakeOrders() {
		e.HandleAnswer(&Answer{Order: order, Outcome: Done, ClockMs: 1})
	}
	return e
}

// Guards against polls that wait at the workers and take every connection of the leader, so
// that no start or stop gets one: more workers than half of the connections. Each worker is
// still polled each second.
func TestPollsLeaveConnectionsToOtherOrders(t *testing.T) {
	const tick, duration = 50 * time.Millisecond, 10 * time.Second
	for _, c := range []struct{ workers, limit int }{{890, 0}, {890, 2000}, {890, 380}, {3000, 1000}, {3000, 5000}} {
		e := newFleet(t, c.workers, c.limit)
		type call struct {
			order Order
			at    Instant
		}
		var open []call
		polls, openTime := 0, time.Duration(0)
		for now := Instant(1); now < Instant(duration); now = now.Add(tick) {
			e.Tick(now, 1)
			remaining := open[:0]
			var due []call
			for _, poll := range open {
				if poll.at > now {
					remaining = append(remaining, poll)
				} else {
					due = append(due, poll)
				}
			}
			open = remaining
			for _, poll := range due {
				e.HandleAnswer(&Answer{Order: poll.order, Outcome: Done, ClockMs: 1})
			}
			for _, order := range e.TakeOrders() {
				polls++
				openTime += order.Wait
				open = append(open, call{order, now.Add(order.Wait)})
			}
		}
		if c.limit > 0 {
			assert.LessOrEqual(t, openTime, duration*time.Duration(c.limit)/2, "%+v", c)
		}
		assert.InDelta(t, float64(c.workers)*duration.Seconds(), float64(polls), 0.15*float64(c.workers)*duration.Seconds(), "%+v", c)
	}
}

// Guards against connections to workers that left, which nobody would use again.
func TestTheAddressesOfWorkersThatLeftAreTold(t *testing.T) {
	e := newFleet(t, 3, 0)
	e.Withdraw("w1", 1, func() {})
	assert.Equal(t, []string{"w1"}, e.TakeDeparted())
	assert.Empty(t, e.TakeDeparted())
}
