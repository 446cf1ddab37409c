package schedule

// spreadScorer prefers, for services, the failure domain, then the rack, then the
// worker with the fewest replicas of the same job.
type spreadScorer struct{}

const (
	spreadWeight       = 20
	spreadDomainFactor = 0.6
	spreadRackFactor   = 0.25
	spreadWorkerFactor = 0.15
)

func (*spreadScorer) name() string { return "spread" }

func (*spreadScorer) weigh(*Scheduler) float64 { return spreadWeight }

func (*spreadScorer) score(_ *Scheduler, t *task, h *host) float64 {
	j := t.job
	if j.domains == nil {
		return 0
	}
	return spreadDomainFactor*thinness(j.domains[h.worker.FailureDomain]) +
		spreadRackFactor*thinness(j.racks[h.worker.Rack]) +
		spreadWorkerFactor*thinness(j.workers[h.worker.ID])
}

// thinness falls from 1 with the number of replicas.
func thinness(replicas int) float64 { return 1 / float64(1+replicas) }
