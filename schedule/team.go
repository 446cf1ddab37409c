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

func (s *Scheduler) teamOf(name string) *team {
	t := s.teams[name]
	if t != nil {
		return t
	}
	t = &team{name: name}
	t.setQuota(s.config.Teams[name])
	s.teams[name] = t
	return t
}

// setQuota takes over a configured quota. The configuration was validated, so a
// memory amount that does not parse counts as no limit.
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

// allows reports whether the team may hold request besides what it holds.
func (t *team) allows(request types.Resources) bool {
	sum := t.used.Add(request)
	return within(sum.MilliProcessors, t.quota.MilliProcessors) &&
		within(sum.MemoryBytes, t.quota.MemoryBytes) &&
		within(sum.Accelerators, t.quota.Accelerators)
}

func within(used, quota int64) bool { return quota == 0 || used <= quota }

// share is the team's dominant share: the largest part of its quota, or of the
// cluster where it has none, over the dimensions.
func (t *team) share(total types.Resources) float64 {
	return max(
		part(t.used.MilliProcessors, t.quota.MilliProcessors, total.MilliProcessors),
		part(t.used.MemoryBytes, t.quota.MemoryBytes, total.MemoryBytes),
		part(t.used.Accelerators, t.quota.Accelerators, total.Accelerators),
	)
}

func part(used, quota, total int64) float64 {
	if quota > 0 {
		total = quota
	}
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}
