package schedule

import "mangohill.example/mangohill/types"

// fitScorer prefers, for batch tasks, the host that they fill best, which keeps
// room for large tasks; and for services the emptiest.
type fitScorer struct{}

func (*fitScorer) name() string { return "fit" }

func (*fitScorer) weigh(s *Scheduler) float64 { return 1 + s.config.Weights.Throughput }

func (*fitScorer) score(_ *Scheduler, t *task, h *host) float64 {
	used := utilization(h.committed.Add(t.Job.Request), h.worker.Capacity)
	if t.Job.Kind == types.KindBatch {
		return used
	}
	return 1 - used
}

// utilization is the largest used part of capacity over processors and memory.
func utilization(used, capacity types.Resources) float64 {
	return max(
		part(used.MilliProcessors, 0, capacity.MilliProcessors),
		part(used.MemoryBytes, 0, capacity.MemoryBytes),
	)
}
