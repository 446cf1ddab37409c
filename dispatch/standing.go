package dispatch

import "time"

// standingAge is how long what placements see of a worker holds: the load of its
// jobs changes by a few percent in that time.
const standingAge = 200 * time.Millisecond

// standing is what placements see of a worker.
type standing struct {
	at      Instant
	idle    int64
	victims []victim
}

// standingOf returns what placements see of a worker now. It is computed again
// when the worker's attempts have changed or their load may have.
func (e *Engine) standingOf(v *view) *standing {
	if v.standing != nil && e.since(v.standing.at) < standingAge {
		return v.standing
	}
	victims, scavengers := e.neighbours(v)
	for _, s := range scavengers {
		e.disturb(victims, s, max(s.attempt.wantShare, 0))
	}
	v.standing = &standing{at: e.now, idle: e.idleProcessors(v), victims: victims}
	return v.standing
}
