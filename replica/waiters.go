package replica

import (
	"sync"

	"mangohill.example/mangohill/kind"
)

// outcome is the result of a proposal or request.
type outcome struct {
	value any
	err   error
}

// waiter waits until the entry of one term is applied at one index.
type waiter struct {
	term uint64
	done chan outcome
}

// waiters holds the proposals whose entries are not applied yet. The loop adds
// them and the applier resolves them.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64]waiter
}

func (w *waiters) init() { w.byIndex = make(map[uint64]waiter) }

func (w *waiters) add(index, term uint64, done chan outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.byIndex[index]; ok {
		old.done <- outcome{err: overwrittenError(index)}
	}
	w.byIndex[index] = waiter{term: term, done: done}
}

// resolve completes the waiter for index with the result of the applied entry,
// or with an error if that entry is of another term than the waiter's.
func (w *waiters) resolve(index, term uint64, value any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting, ok := w.byIndex[index]
	if !ok {
		return
	}
	delete(w.byIndex, index)
	if waiting.term != term {
		waiting.done <- outcome{err: overwrittenError(index)}
		return
	}
	waiting.done <- outcome{value: value}
}

// failCoveredBySnapshot fails all waiters up to index with unknown_outcome: a
// received snapshot covers their entries, so that their results are not known.
func (w *waiters) failCoveredBySnapshot(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, waiting := range w.byIndex {
		if at <= index {
			delete(w.byIndex, at)
			waiting.done <- outcome{err: kind.Errorf(kind.UnknownOutcome, "entry %d is covered by a received snapshot, its result is not known", at)}
		}
	}
}

// failAfter fails all waiters after index with unknown_outcome: their entries may be on other
// members.
func (w *waiters) failAfter(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, waiting := range w.byIndex {
		if at > index {
			delete(w.byIndex, at)
			waiting.done <- outcome{err: kind.Errorf(kind.UnknownOutcome, "entry %d was not written, since the disk is full: its result is not known", at)}
		}
	}
}

// overwrittenError returns the error for a proposal whose entry was replaced by
// another leader's: the command never runs.
func overwrittenError(uint64) error { return kind.Errorf(kind.NotLeader, "") }
