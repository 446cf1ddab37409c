package schedule

// stateFilter rejects workers that are draining, leaving, quarantined, lost or
// in an evacuated failure domain.
type stateFilter struct{}

func (stateFilter) name() string { return "state" }

func (stateFilter) mandatory(*task) bool { return true }

func (stateFilter) allows(_ *Scheduler, _ *task, h *host) bool { return h.accepting() }
