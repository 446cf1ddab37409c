package schedule

// capacityFilter rules out hosts on which the declared request does not fit
// beside what is committed and reserved.
type capacityFilter struct{}

func (capacityFilter) binds(*task) bool { return true }

func (capacityFilter) name() string { return "capacity" }

func (capacityFilter) allows(_ *Scheduler, t *task, h *host) bool {
	free := h.free()
	if t.claim != nil && t.claim.host == h {
		free = free.Add(t.Job.Request)
	}
	return t.Job.Request.Fits(free)
}
