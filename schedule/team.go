package schedule

import (
	"github.com/dustin/go-humanize"

	"mangohill.example/mangohill/types"
)

// team is the scheduler's record of a team: what its tasks hold, and its quota.
type team struct {
	name  string
	used  types.Resources
	quota types.Resources // a zero dimension is unlimited
}

func (s *Scheduler) teamFor(name string) *team {
	t := s.teams[name]
	if t != nil {
		return t
	}
	t = &team{name: name}
	t.setQuota(s.config.Teams[name])
	s.teams[name] = t
	return t
}

// setQuota applies a configured quota. The configuration was validated, so a memory
// amount that does not parse counts as no limit.
func (t *team) setQuota(q types.TeamQuota) {
	memory, err := humanize.ParseBytes(q.Memory)
	if err != nil {
		memory = 0
	}
	t.quota = types.Resources{
		MilliProcessors: int64(q.Processors * types.MilliPerProcessor),
		MemoryBytes:     int64(memory),
		Accelerators:    q.Accelerators,
	}
}

// allows reports whether the team stays within its quota if request is added.
func (t *team) allows(request types.Resources) bool {
	sum := t.used.Add(request)
	return within(sum.MilliProcessors, t.quota.MilliProcessors) &&
		within(sum.MemoryBytes, t.quota.MemoryBytes) &&
		within(sum.Accelerators, t.quota.Accelerators)
}

func within(used, quota int64) bool { return quota == 0 || used <= quota }

// dominantShare is the largest fraction of any resource that the team uses, of its
// quota or, where it has none, of the cluster.
func (t *team) dominantShare(total types.Resources) float64 {
	return max(
		fraction(t.used.MilliProcessors, t.quota.MilliProcessors, total.MilliProcessors),
		fraction(t.used.MemoryBytes, t.quota.MemoryBytes, total.MemoryBytes),
		fraction(t.used.Accelerators, t.quota.Accelerators, total.Accelerators),
	)
}

func fraction(used, quota, total int64) float64 {
	if quota > 0 {
		total = quota
	}
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}
