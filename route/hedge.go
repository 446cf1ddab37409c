package route

import "time"

const (
	// hedgeServiceTimes is the time, in mean service times, after which an
	// idempotent request is worth a second send.
	hedgeServiceTimes = 3
	// shortestHedge bounds that time from below.
	shortestHedge = 5 * time.Millisecond
	// hedgeSlots is the number of slots of this host for each second send that may
	// be under way. It bounds the work that they cost, whatever the requests are
	// like.
	hedgeSlots = 16
)

// HedgeAfter returns the time after which an idempotent request that is under
// way is worth a second send.
func (p *Pool) HedgeAfter() time.Duration {
	return max(hedgeServiceTimes*p.ServiceTime(), shortestHedge)
}

// MayHedge reports whether the pool has slots enough for any second send.
func (p *Pool) MayHedge() bool { return p.slots >= hedgeSlots }

// Hedge decides on a second send of a request that is under way. It gets a slot
// only if no request waits for one. A hedge that was granted is ended by Done,
// as every send, and by EndHedge.
func (p *Pool) Hedge(now time.Time, r Request) (Decision, bool) {
	if p.queue.len() > 0 || p.hedges >= p.slots/hedgeSlots {
		return Decision{}, false
	}
	d, ok := p.place(now, r, 0)
	if ok {
		p.hedges++
	}
	return d, ok
}

// EndHedge ends a hedge.
func (p *Pool) EndHedge() { p.hedges-- }
