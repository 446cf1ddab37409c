package replica

import (
	"sync"

	"mangohill.example/mangohill/kind"
)

// outcome ends a proposal or request.
type outcome struct {
	value any
	err   error
}

// waiter waits for the entry of one term at one index.
type waiter struct {
	term uint64
	done chan outcome
}

// waiters are the proposals whose entries are not yet applied. The loop adds
// them, the applier resolves them.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64]waiter
}

func (w *waiters) init() { w.byIndex = make(map[uint64]waiter) }

func (w *waiters) add(index, term uint64, done chan outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.byIndex[index]; ok {
		old.done <- outcome{err: overwritten(index)}
	}
	w.byIndex[index] = waiter{term: term, done: done}
}

// resolve ends the wait for index, whose entry of the given term was applied
// with the given result.
func (w *waiters) resolve(index, term uint64, value any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting, ok := w.byIndex[index]
	if !ok {
		return
	}
	delete(w.byIndex, index)
	if waiting.term != term {
		waiting.done <- outcome{err: overwritten(index)}
		return
	}
	waiting.done <- outcome{value: value}
}

// skip ends the waits up to index, which a snapshot covers.
func (w *waiters) skip(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, waiting := range w.byIndex {
		if at <= index {
			delete(w.byIndex, at)
			waiting.done <- outcome{err: kind.Errorf(kind.UnknownOutcome, "entry %d is covered by a snapshot", at)}
		}
	}
}

// overwritten is the error for a proposal that another leader's entry replaced:
// it never runs.
func overwritten(uint64) error { return kind.Errorf(kind.NotLeader, "") }
