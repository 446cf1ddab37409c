package schedule

// capacityFilter rejects hosts on which the declared request does not fit beside the
// committed and reserved resources. The task's own reservation counts as free.
type capacityFilter struct{}

func (capacityFilter) mandatory(*task) bool { return true }

func (capacityFilter) name() string { return "capacity" }

func (capacityFilter) allows(_ *Scheduler, t *task, h *host) bool {
	free := h.free()
	if t.reservation != nil && t.reservation.host == h {
		free = free.Add(t.Job.Request)
	}
	return t.Job.Request.Fits(free)
}
