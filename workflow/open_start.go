package workflow

import "slices"

// OpenStart records that a start of a task which was sent to an incarnation of a worker may
// still be carried out by a later one, or with Running that a run of the task is known there
// which is not recorded. Address is where the start was sent. Settled withdraws the record.
// There is one for a task and the name of a worker, with the earliest incarnation.
type OpenStart struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	Life    Incarnation
	Address string
	Running bool
	Settled bool
}

// RecentPlacement is a placement of the last seconds. The start of its attempt may have been
// sent without an answer that is known to the next leader.
type RecentPlacement struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	Attempt uint32
	AtMs    int64
}

// recentPlacementMs is how long placements are kept as recent. A leader sends the first start
// without a record of it within a second of the placement, waits 0.7 s for the answer, and
// records a start without one. The rest is for the wait of a batch in a slow log.
const recentPlacementMs = 5000

// OpenStarts returns the recorded open starts, in the order of their records. The caller must
// not modify them.
func (s *State) OpenStarts() []OpenStart { return s.openStarts }

// RecentPlacements returns the placements of the last seconds, oldest first. The caller must
// not modify them.
func (s *State) RecentPlacements() []RecentPlacement { return s.recentPlacements }

func (s *State) setOpenStart(o *OpenStart) {
	at := slices.IndexFunc(s.openStarts, func(other OpenStart) bool { return other.Task == o.Task && other.Life.Name == o.Life.Name })
	switch {
	case o.Settled && at >= 0:
		s.openStarts = slices.Delete(s.openStarts, at, at+1)
	case o.Settled:
	case at >= 0:
		s.openStarts[at].Running = o.Running
	default:
		s.openStarts = append(s.openStarts, *o)
	}
}

func (s *State) recordPlacement(p *Place) {
	old := 0
	for old < len(s.recentPlacements) && s.nowMs-s.recentPlacements[old].AtMs > recentPlacementMs {
		old++
	}
	s.recentPlacements = append(s.recentPlacements[old:], RecentPlacement{Task: p.Task, Attempt: p.Attempt, AtMs: s.nowMs})
}
