package schedule

// spreadScorer prefers, for services, the failure domain, then the rack, then the
// worker with the fewest replicas of the same job.
type spreadScorer struct{}

const (
	// spreadWeight is the weight of the scorer. The factors split its score between
	// failure domain, rack and worker.
	spreadWeight       = 20
	spreadDomainFactor = 0.6
	spreadRackFactor   = 0.25
	spreadWorkerFactor = 0.15
)

func (*spreadScorer) name() string { return "spread" }

func (*spreadScorer) weight(*Scheduler) float64 { return spreadWeight }

func (*spreadScorer) score(_ *Scheduler, t *task, h *host) float64 {
	j := t.job
	if j.domains == nil {
		return 0
	}
	return spreadDomainFactor*inverseCount(j.domains[h.worker.FailureDomain]) +
		spreadRackFactor*inverseCount(j.racks[h.worker.Rack]) +
		spreadWorkerFactor*inverseCount(j.workers[h.worker.ID])
}

// inverseCount is 1 without replicas and falls with their number.
func inverseCount(replicas int) float64 { return 1 / float64(1+replicas) }
