package control

import (
	"context"
	"time"

	"mangohill.example/mangohill/controlapi"
)

// Leadership says whether this process leads in a term.
type Leadership struct {
	Term    uint64
	Leading bool
}

// Status is a replica's view of the group.
type Status struct {
	Name    string
	Role    string
	Term    uint64
	Leader  string // peers address, empty when unknown
	Commit  uint64
	Applied uint64
	Members []controlapi.Member
}

// Replica is the replicated log under the state.
type Replica interface {
	// Propose replicates an entry and returns the result of its application. The
	// error is of kind not_leader, or unknown_outcome if the entry may still be
	// applied.
	Propose(ctx context.Context, data []byte) (any, error)
	// Barrier returns once the state holds everything that was acknowledged before
	// the call.
	Barrier(ctx context.Context) error
	// Status returns the current view of the group.
	Status() Status
	// Leadership delivers the changes of leadership in order.
	Leadership() <-chan Leadership
	// QuorumContact returns the latest time at which a quorum was known to follow
	// this leader: the time at which the acknowledged messages were sent.
	QuorumContact() time.Time
}
