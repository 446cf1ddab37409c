package schedule

import "mangohill.example/mangohill/types"

// interferenceFilter rejects hosts on which the task is predicted to slow a service
// down beyond the limit. For a service it also rejects hosts on which the service
// itself would be slowed down beyond the limit.
type interferenceFilter struct{}

func (interferenceFilter) name() string { return "interference" }

func (interferenceFilter) mandatory(t *task) bool { return !t.privileged() }

func (interferenceFilter) allows(s *Scheduler, t *task, h *host) bool {
	s.refreshPredictions(h)
	if t.Job.Kind == types.KindService {
		own := prediction{task: t, load: t.expectedLoad()}
		s.predictSlowdownOfNewcomer(h, &own)
		if own.upperBound() > s.slowdownLimit {
			return false
		}
	}
	return s.withinSlowdownLimit(t, h) || s.allowsTrial(t, h)
}

// withinSlowdownLimit reports whether all services on h are predicted to stay within
// the slowdown limit if t is added.
func (s *Scheduler) withinSlowdownLimit(t *task, h *host) bool {
	share := t.processorShare(h)
	for i := range h.slowdowns {
		sum := s.predictWithTask(h, &h.slowdowns[i], t.job.classID, share)
		if sum.upperBound() > s.slowdownLimit {
			return false
		}
	}
	return true
}
