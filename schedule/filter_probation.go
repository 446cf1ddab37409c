package schedule

import "mangohill.example/mangohill/types"

// probationFilter admits one batch task at a time, and no urgent one, to a worker on
// probation, until an attempt has run well. A suspended worker gets no task until its
// running attempts show whether it is at fault.
type probationFilter struct{}

func (probationFilter) name() string { return "probation" }

func (probationFilter) mandatory(*task) bool { return true }

func (probationFilter) allows(_ *Scheduler, t *task, h *host) bool {
	if h.health.suspended {
		return false
	}
	if !h.health.onProbation {
		return true
	}
	return len(h.tasks) == 0 && t.Job.Kind == types.KindBatch && !t.Job.Urgent
}
