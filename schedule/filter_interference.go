package schedule

import "mangohill.example/mangohill/types"

// interferenceFilter rules out hosts on which the task would slow a service down
// beyond the limit, and for a service those on which it would be slow itself.
type interferenceFilter struct{}

func (interferenceFilter) name() string { return "interference" }

func (interferenceFilter) binds(t *task) bool { return !t.privileged() }

func (interferenceFilter) allows(s *Scheduler, t *task, h *host) bool {
	s.refresh(h)
	if t.Job.Kind == types.KindService {
		own := exposure{task: t, load: t.expectedLoad()}
		s.exposeNewcomer(h, &own)
		if own.upper() > s.slowdownLimit {
			return false
		}
	}
	return s.keepsLimit(t, h) || s.mayTry(t, h)
}

// keepsLimit reports whether no service on h is expected to exceed the limit with t.
func (s *Scheduler) keepsLimit(t *task, h *host) bool {
	share := t.shareOf(h)
	for i := range h.exposures {
		sum := s.added(h, &h.exposures[i], t.job.index, share)
		if sum.upper() > s.slowdownLimit {
			return false
		}
	}
	return true
}
