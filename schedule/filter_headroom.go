package schedule

const (
	// maxProcessorFraction is the fraction of a host's processors that tasks are
	// expected to use at most, with services at their peak load.
	maxProcessorFraction = 0.86
	// maxMemoryFraction is the same for memory.
	maxMemoryFraction = 0.95
)

// headroomFilter rejects hosts whose expected use, measured or learned, would leave
// the services too little room.
type headroomFilter struct{}

func (headroomFilter) name() string { return "headroom" }

func (headroomFilter) mandatory(t *task) bool { return !t.privileged() }

func (headroomFilter) allows(s *Scheduler, t *task, h *host) bool {
	s.refreshPredictions(h)
	if len(h.tasks) == 0 {
		return true
	}
	return h.expectedUse+t.expectedUse() <= maxProcessorFraction*float64(h.worker.Capacity.MilliProcessors) &&
		h.expectedMemory+t.expectedMemory() <= maxMemoryFraction*float64(h.worker.Capacity.MemoryBytes)
}
