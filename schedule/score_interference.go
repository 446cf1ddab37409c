package schedule

// interferenceScorer prefers the host whose services the task slows down least.
type interferenceScorer struct{}

func (*interferenceScorer) name() string { return "interference" }

func (*interferenceScorer) weight(s *Scheduler) float64 { return 1 + s.config.Weights.TailLatency }

func (*interferenceScorer) score(s *Scheduler, t *task, h *host) float64 {
	s.refreshPredictions(h)
	share := t.processorShare(h)
	slowdown := 0.0
	for i := range h.slowdowns {
		sum := s.predictWithTask(h, &h.slowdowns[i], t.job.classID, share)
		slowdown += max(sum.mean-h.slowdowns[i].mean, 0)
	}
	return 1 / (1 + slowdown/s.slowdownLimit)
}
