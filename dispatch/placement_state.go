package dispatch

import "time"

// maxPlacementStateAge bounds the age of a cached placementState: the load of the
// jobs changes by a few percent in that time.
const maxPlacementStateAge = 200 * time.Millisecond

// placementState is what placements use of a worker's state.
type placementState struct {
	at                  Instant
	idleMilliProcessors int64
	victims             []victim
	// paused is set while the scavengers are paused.
	paused bool
}

// roomGrew records that there may be more room on the worker than before.
func (v *workerView) roomGrew() {
	v.placementState = nil
	*v.roomChanges++
	v.roomGrewAt = *v.roomChanges
}

// placementStateOf returns the cached placement state of a worker. It computes it
// again if the attempts on the worker have changed or the cache is too old.
func (e *Engine) placementStateOf(v *workerView) *placementState {
	if v.placementState != nil && e.since(v.placementState.at) < maxPlacementStateAge {
		return v.placementState
	}
	victims, scavengers := e.servingAndScavengers(v)
	for _, s := range scavengers {
		e.subtractLoss(victims, s, max(s.attempt.wantedShare, 0))
	}
	v.placementState = &placementState{at: e.now, idleMilliProcessors: e.idleProcessors(v), victims: victims, paused: e.scavengersPaused(v)}
	return v.placementState
}
