package workflow

import "sync"

// Store is the state machine that the log replicates. It is safe for concurrent
// use.
type Store struct {
	mu    sync.Mutex
	state *State
}

// NewStore returns a store of a new cluster.
func NewStore() *Store { return &Store{state: NewState()} }

// Apply carries out the batch of an entry and returns the errors of its
// operations, or one error of kind corrupt.
func (s *Store) Apply(_ uint64, data []byte) any {
	batch, err := DecodeBatch(data)
	if err != nil {
		return []error{err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ApplyBatch(batch)
}

// Snapshot returns the encoded state.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Snapshot()
}

// Restore replaces the state.
func (s *Store) Restore(data []byte) error {
	state, err := DecodeSnapshot(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	return nil
}

// Copy returns a copy of the state for a leader to plan on.
func (s *Store) Copy() (*State, error) {
	data, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	return DecodeSnapshot(data)
}
