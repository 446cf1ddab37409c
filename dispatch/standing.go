package dispatch

import "time"

// maxPlacementStateAge is how long what placements see of a worker holds: the load of its
// jobs changes by a few percent in that time.
const maxPlacementStateAge = 200 * time.Millisecond

// placementState is what placements see of a worker.
type placementState struct {
	at                  Instant
	idleMilliProcessors int64
	victims             []victim
}

// placementStateOf returns what placements see of a worker now. It is computed again
// when the worker's attempts have changed or their load may have.
func (e *Engine) placementStateOf(v *workerView) *placementState {
	if v.placementState != nil && e.since(v.placementState.at) < maxPlacementStateAge {
		return v.placementState
	}
	victims, scavengers := e.servingAndScavengers(v)
	for _, s := range scavengers {
		e.subtractLoss(victims, s, max(s.attempt.wantedShare, 0))
	}
	v.placementState = &placementState{at: e.now, idleMilliProcessors: e.idleProcessors(v), victims: victims}
	return v.placementState
}
