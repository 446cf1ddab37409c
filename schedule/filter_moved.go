package schedule

// movedFilter rejects the host from which the task was recently evicted.
type movedFilter struct{}

func (movedFilter) name() string { return "moved-away" }

func (movedFilter) mandatory(*task) bool { return true }

func (movedFilter) allows(s *Scheduler, t *task, h *host) bool {
	return t.avoidHost != h.worker.ID || !s.now.Before(t.avoidUntil)
}
