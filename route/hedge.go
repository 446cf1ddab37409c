package route

import "time"

const (
	// hedgeDelayFactor is the delay before the second send of an idempotent request, in
	// mean service times.
	hedgeDelayFactor = 3
	// minHedgeDelay is the lower bound of that delay.
	minHedgeDelay = 5 * time.Millisecond
	// slotsPerHedge is the number of slots of this host per second send in flight.
	// It bounds the cost of hedging whatever the distribution of service times.
	slotsPerHedge = 16
)

// HedgeAfter returns the time after which an idempotent request that is still in
// flight should be sent a second time.
func (p *Pool) HedgeAfter() time.Duration {
	return max(hedgeDelayFactor*p.ServiceTime(), minHedgeDelay)
}

// MayHedge reports whether the pool has enough slots for at least one second send.
func (p *Pool) MayHedge() bool { return p.slots >= slotsPerHedge }

// Hedge decides on a second send of a request that is in flight. It is granted
// only if no request is queued. A granted hedge must be ended by Done, like every
// send, and by EndHedge.
func (p *Pool) Hedge(now time.Time, r Request) (Decision, bool) {
	if p.queue.len() > 0 || p.hedges >= p.slots/slotsPerHedge {
		return Decision{}, false
	}
	d, ok := p.place(now, r, 0)
	if ok {
		p.hedges++
	}
	return d, ok
}

// EndHedge releases a hedge that Hedge granted.
func (p *Pool) EndHedge() { p.hedges-- }
