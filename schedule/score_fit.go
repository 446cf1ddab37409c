package schedule

import "mangohill.example/mangohill/types"

// fitScorer packs batch tasks onto the fullest hosts (bin packing), which keeps room
// for large tasks, and prefers the emptiest host for services.
type fitScorer struct{}

func (*fitScorer) name() string { return "fit" }

func (*fitScorer) weight(s *Scheduler) float64 { return 1 + s.config.Weights.Throughput }

func (*fitScorer) score(_ *Scheduler, t *task, h *host) float64 {
	used := utilization(h.committed.Add(t.Job.Request), h.worker.Capacity)
	if t.Job.Kind == types.KindBatch {
		return used
	}
	return 1 - used
}

// utilization is the used fraction of processors or of memory, the larger of both.
func utilization(used, capacity types.Resources) float64 {
	return max(
		fraction(used.MilliProcessors, 0, capacity.MilliProcessors),
		fraction(used.MemoryBytes, 0, capacity.MemoryBytes),
	)
}
