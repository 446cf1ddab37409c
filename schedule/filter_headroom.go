package schedule

// headroomLimit is the part of a host's processors that tasks are expected to use
// at most, with services at their peak.
const headroomLimit = 0.86

// headroomFilter rules out hosts on which the real use, as far as it is known or
// learned, would leave the services too little room.
type headroomFilter struct{}

func (headroomFilter) name() string { return "headroom" }

func (headroomFilter) binds(t *task) bool { return !t.privileged() }

func (headroomFilter) allows(s *Scheduler, t *task, h *host) bool {
	s.refresh(h)
	limit := headroomLimit * float64(h.worker.Capacity.MilliProcessors)
	return h.expected+t.expectedUse() <= limit || len(h.tasks) == 0
}
