package schedule

// movedFilter rules out the host that the task was moved away from lately.
type movedFilter struct{}

func (movedFilter) name() string { return "moved-away" }

func (movedFilter) binds(*task) bool { return true }

func (movedFilter) allows(s *Scheduler, t *task, h *host) bool {
	return t.avoidHost != h.worker.ID || !s.now.Before(t.avoidUntil)
}
