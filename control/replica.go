package control

import (
	"context"
	"time"

	"mangohill.example/mangohill/controlapi"
)

// Leadership is one change of leadership: whether this process leads in Term.
type Leadership struct {
	Term    uint64
	Leading bool
}

// Status is a replica's view of the group.
type Status struct {
	Name    string
	Role    string
	Term    uint64
	Leader  string // the leader's address for peers, empty if unknown
	Commit  uint64
	Applied uint64
	Members []controlapi.Member
}

// Replica is the replicated log whose entries are applied to the state.
type Replica interface {
	// Propose replicates an entry and returns the result of applying it. The error is
	// of kind not_leader, or unknown_outcome if the entry may still be applied.
	Propose(ctx context.Context, data []byte) (any, error)
	// Barrier returns once the state includes all entries that were acknowledged before
	// the call.
	Barrier(ctx context.Context) error
	// Status returns the current view of the group.
	Status() Status
	// Leadership returns the channel that delivers the changes of leadership in order.
	Leadership() <-chan Leadership
	// QuorumContact returns the latest time at which a quorum is known to have followed
	// this leader. It is the sending time of the messages that a quorum acknowledged.
	QuorumContact() time.Time
}
