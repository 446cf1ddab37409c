package state

import (
	"slices"

	"mangohill.example/mangohill/kind"
)

// maxEvacuations limits the failure domains that are evacuated at a time.
const maxEvacuations = 64

// Evacuation is the evacuation of a failure domain. SinceMs is the leader's wall clock at
// the order, in milliseconds since the Unix epoch.
type Evacuation struct {
	_       struct{} `cbor:",toarray"`
	Domain  string
	SinceMs int64
}

// apply evacuates or restores the domain. An order that is in force already has no effect.
// Each change raises the version of the configuration, with which the evacuations reach the
// entry hosts.
func (op Evacuate) apply(s *Store) Result {
	_, evacuated := s.evacuations[op.Domain]
	if !evacuated && !s.isWorkerDomain(op.Domain) {
		return refuse(kind.NotFound, "failure domain %q does not exist: no worker registered with it", op.Domain)
	}
	if evacuated != op.Undo {
		return Result{}
	}
	if !op.Undo && len(s.evacuations) >= maxEvacuations {
		return refuse(kind.Overloaded, "failure domain %q: %d others are evacuated", op.Domain, len(s.evacuations))
	}
	name := EventDomainEvacuated
	if op.Undo {
		name = EventDomainRestored
		delete(s.evacuations, op.Domain)
	} else {
		s.evacuations[op.Domain] = s.nowMs
	}
	for _, id := range sortedKeys(s.workers) {
		if w := s.workers[id]; w.FailureDomain == op.Domain {
			s.updateEvacuated(w)
		}
	}
	s.configVersion++
	s.changes.config = true
	s.record(name, op.Domain, "")
	return Result{}
}

// updateEvacuated sets whether the worker is in an evacuated domain. Attempts that have not
// begun there are stopped, as on a draining worker.
func (s *Store) updateEvacuated(w *worker) {
	_, evacuated := s.evacuations[w.FailureDomain]
	if evacuated && !w.Evacuated {
		s.stopStarting(w, "failure domain "+w.FailureDomain+" is evacuated")
	}
	w.Evacuated = evacuated
	s.changes.worker(w.ID)
}

// isWorkerDomain reports whether a worker, lost or not, registered with the domain.
func (s *Store) isWorkerDomain(domain string) bool {
	for _, w := range s.workers {
		if domain != "" && w.FailureDomain == domain {
			return true
		}
	}
	return false
}

// Evacuations returns the evacuated failure domains in the order of their names.
func (s *Store) Evacuations() []Evacuation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.listEvacuations()
}

func (s *Store) listEvacuations() []Evacuation {
	out := make([]Evacuation, 0, len(s.evacuations))
	for _, domain := range sortedKeys(s.evacuations) {
		out = append(out, Evacuation{Domain: domain, SinceMs: s.evacuations[domain]})
	}
	return out
}

// ConfigAndEvacuations returns the configuration and the names of the evacuated failure
// domains under one version.
func (s *Store) ConfigAndEvacuations() (version uint64, text string, evacuated []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.evacuations) > 0 {
		evacuated = sortedKeys(s.evacuations)
	}
	return s.configVersion, s.configText, evacuated
}

// loadEvacuations restores the evacuations of a snapshot. The error is of kind corrupt.
func (s *Store) loadEvacuations(list []Evacuation) error {
	sorted := slices.IsSortedFunc(list, func(a, b Evacuation) int {
		if a.Domain < b.Domain {
			return -1
		}
		return 1
	})
	if !sorted || len(list) > maxEvacuations {
		return kind.Errorf(kind.Corrupt, "snapshot: the %d evacuations are not in order, or too many", len(list))
	}
	for _, e := range list {
		s.evacuations[e.Domain] = e.SinceMs
	}
	for _, w := range s.workers {
		_, w.Evacuated = s.evacuations[w.FailureDomain]
	}
	return nil
}
