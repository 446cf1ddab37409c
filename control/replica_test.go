package control

import (
	"context"
	"sync"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/state"
)

// soleReplica applies proposals at once. It can lose the answer to a proposal
// before or after applying it.
type soleReplica struct {
	mu         sync.Mutex
	store      *state.Store
	index      uint64
	leading    bool
	leadership chan Leadership
	// lose decides on each proposal: drop it, or apply it and lose the answer.
	lose func() (drop, loseAnswer bool)
	// now is the clock of the quorum contact, nil for time.Now.
	now func() time.Time
	// bytes counts the encoded entries.
	bytes   int
	entries int
}

func newSoleReplica(store *state.Store) *soleReplica {
	r := &soleReplica{store: store, leading: true, leadership: make(chan Leadership, 4)}
	r.leadership <- Leadership{Term: 1, Leading: true}
	return r
}

func (r *soleReplica) Propose(_ context.Context, data []byte) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	drop, loseAnswer := false, false
	if r.lose != nil {
		drop, loseAnswer = r.lose()
	}
	if drop {
		return nil, kind.Errorf(kind.UnknownOutcome, "the proposal was lost")
	}
	r.index++
	r.bytes += len(data)
	r.entries++
	result := r.store.Apply(r.index, data)
	if loseAnswer {
		return nil, kind.Errorf(kind.UnknownOutcome, "the answer was lost")
	}
	return result, nil
}

func (r *soleReplica) Barrier(context.Context) error { return nil }

func (r *soleReplica) Status() Status {
	return Status{
		Name:    "control-1",
		Role:    "leader",
		Leader:  "127.0.0.21:7400",
		Term:    1,
		Members: []controlapi.Member{{Name: "control-1", Address: "127.0.0.21:7400", Role: "leader"}},
	}
}

func (r *soleReplica) Leadership() <-chan Leadership { return r.leadership }

func (r *soleReplica) QuorumContact() time.Time {
	if r.now != nil {
		return r.now()
	}
	return time.Now()
}
