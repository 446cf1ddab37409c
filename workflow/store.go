package workflow

import "sync"

// Store is the state machine that the replicated log drives. It is safe for
// concurrent use.
type Store struct {
	mu    sync.Mutex
	state *State
}

// NewStore returns the store of a new cluster.
func NewStore() *Store { return &Store{state: NewState()} }

// Apply applies the batch of a log entry. It returns an []error: one for each
// operation, or a single error of kind corrupt if the entry cannot be decoded.
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

// Restore replaces the state by that of a snapshot. After an error, which is of
// kind corrupt, the state is unchanged.
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

// Copy returns a deep copy of the state, on which a leader plans.
func (s *Store) Copy() (*State, error) {
	data, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	return DecodeSnapshot(data)
}
