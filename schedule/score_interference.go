package schedule

// interferenceScorer prefers the host whose services the task harms least.
type interferenceScorer struct{}

func (*interferenceScorer) name() string { return "interference" }

func (*interferenceScorer) weigh(s *Scheduler) float64 { return 1 + s.config.Weights.TailLatency }

func (*interferenceScorer) score(s *Scheduler, t *task, h *host) float64 {
	s.refresh(h)
	share := t.shareOf(h)
	harm := 0.0
	for i := range h.exposures {
		sum := s.added(h, &h.exposures[i], t.job.index, share)
		harm += max(sum.mean-h.exposures[i].mean, 0)
	}
	return 1 / (1 + harm/s.slowdownLimit)
}
