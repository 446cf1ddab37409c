package coordinator

import (
	"maps"

	"mangohill.example/mangohill/dispatch"
)

// startPermission tells which starts of a term may be sent.
type startPermission struct {
	term uint64
	// evacuated holds the failure domains to whose workers none may be sent.
	evacuated map[string]bool
}

// permitStarts publishes which starts may be sent. The orders of a round are sent only after
// it, and an evacuation is confirmed only in a later round.
func (l *loop) permitStarts() {
	evacuated := l.engine.EvacuatedDomains()
	if p := l.starts.Load(); p == nil || p.term != l.term || !maps.Equal(p.evacuated, evacuated) {
		l.starts.Store(&startPermission{term: l.term, evacuated: evacuated})
	}
}

// mayStart reports whether an order may be sent, as far as it is a start: the wait for a
// connection may have outlasted the engine that issued it, or the worker's domain is being
// evacuated.
func (c *Coordinator) mayStart(order *dispatch.Order) bool {
	if order.Verb != dispatch.Start {
		return true
	}
	p := c.starts.Load()
	return p != nil && p.term == order.Term && !p.evacuated[order.Domain]
}
