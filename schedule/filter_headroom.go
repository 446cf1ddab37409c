package schedule

const (
	// headroomLimit is the part of a host's processors that tasks are expected to
	// use at most, with services at their peak.
	headroomLimit = 0.86
	// memoryLimit is the same for memory.
	memoryLimit = 0.95
)

// headroomFilter rules out hosts on which the real use, as far as it is known or
// learned, would leave the services too little room.
type headroomFilter struct{}

func (headroomFilter) name() string { return "headroom" }

func (headroomFilter) binds(t *task) bool { return !t.privileged() }

func (headroomFilter) allows(s *Scheduler, t *task, h *host) bool {
	s.refresh(h)
	if len(h.tasks) == 0 {
		return true
	}
	return h.expected+t.expectedUse() <= headroomLimit*float64(h.worker.Capacity.MilliProcessors) &&
		h.expectedMemory+t.expectedMemory() <= memoryLimit*float64(h.worker.Capacity.MemoryBytes)
}
