package coordinator

import (
	"sync"
	"time"
)

// standstill notices times in which the process did not run, or hardly: it was stopped, or its
// machine was. What it reads just after that may have been sent long before.
type standstill struct {
	mu      sync.Mutex
	roundAt time.Time
	endedAt time.Time
	lasted  time.Duration
}

const (
	// shortestStandstill is the least time between two rounds of the client's polls that counts.
	// A round takes some 0.3 s, and no more than 0.6 s without answers.
	shortestStandstill = time.Second
	// backlogTime is how long it takes to read what has waited in the sockets of the process.
	backlogTime = 5 * time.Second
)

// round records a round of the client's polls.
func (s *standstill) round(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lasted := now.Sub(s.roundAt); !s.roundAt.IsZero() && lasted >= shortestStandstill {
		s.endedAt, s.lasted = now, lasted
	}
	s.roundAt = now
}

// within reports whether a request that is read now may have waited for a standstill of at least
// the given time to end.
func (s *standstill) within(now time.Time, atLeast time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roundAt.IsZero() {
		return false
	}
	ending := now.Sub(s.roundAt) >= max(atLeast, shortestStandstill)
	ended := !s.endedAt.IsZero() && s.lasted >= atLeast && now.Sub(s.endedAt) < backlogTime
	return ending || ended
}
