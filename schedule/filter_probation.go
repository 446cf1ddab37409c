package schedule

import "mangohill.example/mangohill/types"

// probationFilter lets a worker that was released from quarantine run one batch
// task, that is not urgent, until an attempt has run well. A suspended worker
// takes nothing until the attempts under way have told whether it is to blame.
type probationFilter struct{}

func (probationFilter) name() string { return "probation" }

func (probationFilter) binds(*task) bool { return true }

func (probationFilter) allows(_ *Scheduler, t *task, h *host) bool {
	if h.health.suspended {
		return false
	}
	if !h.health.probing {
		return true
	}
	return len(h.tasks) == 0 && t.Job.Kind == types.KindBatch && !t.Job.Urgent
}
