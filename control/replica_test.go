package control

import (
	"context"
	"sync"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/state"
)

// singleReplica applies proposals immediately. It can drop a proposal, or apply it and
// lose the answer.
type singleReplica struct {
	mu         sync.Mutex
	store      *state.Store
	index      uint64
	leading    bool
	leadership chan Leadership
	// injectLoss decides the fault of each proposal: drop it, or apply it and lose the
	// answer. Nil injects no faults.
	injectLoss func() (drop, loseAnswer bool)
	// now is the clock of the quorum contact, nil for time.Now.
	now func() time.Time
	// bytes is the total size of the applied log entries, and entries their number.
	bytes   int
	entries int
}

func newSingleReplica(store *state.Store) *singleReplica {
	r := &singleReplica{store: store, leading: true, leadership: make(chan Leadership, 4)}
	r.leadership <- Leadership{Term: 1, Leading: true}
	return r
}

func (r *singleReplica) Propose(_ context.Context, data []byte) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	drop, loseAnswer := false, false
	if r.injectLoss != nil {
		drop, loseAnswer = r.injectLoss()
	}
	if drop {
		return nil, kind.Errorf(kind.UnknownOutcome, "the proposal was dropped")
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

func (r *singleReplica) Barrier(context.Context) error { return nil }

func (r *singleReplica) Status() Status {
	return Status{
		Name:    "control-1",
		Role:    "leader",
		Leader:  "127.0.0.21:7400",
		Term:    1,
		Members: []controlapi.Member{{Name: "control-1", Address: "127.0.0.21:7400", Role: "leader"}},
	}
}

func (r *singleReplica) Leadership() <-chan Leadership { return r.leadership }

func (r *singleReplica) QuorumContact() time.Time {
	if r.now != nil {
		return r.now()
	}
	return time.Now()
}
