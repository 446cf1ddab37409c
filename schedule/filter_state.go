package schedule

// stateFilter rules out workers that are draining, leaving, quarantined or lost.
type stateFilter struct{}

func (stateFilter) name() string { return "state" }

func (stateFilter) binds(*task) bool { return true }

func (stateFilter) allows(_ *Scheduler, _ *task, h *host) bool { return h.accepting() }
