package schedule

// capacityFilter rules out hosts on which the declared request does not fit
// beside what is committed and reserved.
type capacityFilter struct{}

func (capacityFilter) name() string { return "capacity" }

func (capacityFilter) allows(_ *Scheduler, t *task, h *host) bool {
	return t.Job.Request.Fits(h.free())
}
