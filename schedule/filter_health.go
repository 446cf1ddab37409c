package schedule

import "slices"

// healthFilter rejects hosts on which the task failed before.
type healthFilter struct{}

func (healthFilter) name() string { return "failed-before" }

func (healthFilter) mandatory(*task) bool { return true }

func (healthFilter) allows(_ *Scheduler, t *task, h *host) bool {
	return len(t.FailedOn) == 0 || !slices.Contains(t.FailedOn, h.worker.ID)
}
