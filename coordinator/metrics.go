package coordinator

import (
	"expvar"
	"fmt"
	"sync/atomic"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/internal/latency"
)

// metrics are the counters and histograms of a member.
type metrics struct {
	commit   *latency.Histogram
	calls    *latency.Histogram
	orders   map[dispatch.Verb]*latency.Histogram
	outcomes *expvar.Map
	// decided are the counters of the present engine.
	decided atomic.Pointer[decided]
}

// decided is what the engine counted, and the size of its state.
type decided struct {
	dispatch.Counters
	Term          uint64
	Jobs, Workers int
}

func newMetrics() *metrics {
	m := &metrics{commit: latency.New(), calls: latency.New(), orders: make(map[dispatch.Verb]*latency.Histogram), outcomes: new(expvar.Map)}
	for _, verb := range []dispatch.Verb{dispatch.Poll, dispatch.Start, dispatch.Stop, dispatch.Throttle} {
		m.orders[verb] = latency.New()
	}
	return m
}

// Publish adds the member's variables to a map.
func (c *Coordinator) Publish(vars *expvar.Map) {
	m := c.metrics
	vars.Set("commit_latency", m.commit)
	vars.Set("call_latency", m.calls)
	for verb, histogram := range m.orders {
		vars.Set("order_latency_"+verb.String(), histogram)
	}
	vars.Set("order_outcomes", m.outcomes)
	vars.Set("replica", expvar.Func(func() any { return c.replica.Status() }))
	vars.Set("decided", expvar.Func(func() any { return m.decided.Load() }))
}

// orderDone counts the answer to an order.
func (m *metrics) orderDone(a *dispatch.Answer) {
	m.outcomes.Add(fmt.Sprintf("%s_%s", a.Order.Verb, a.Outcome), 1)
}
