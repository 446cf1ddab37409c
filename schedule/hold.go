package schedule

import "time"

const (
	// holdAfter is how long a task waits before a host is held for it.
	holdAfter = 10 * time.Minute
	// holdLimit is how long a host is held.
	holdLimit = time.Hour
	// hostsPerHold is the number of hosts for each hold after the first.
	hostsPerHold = 64
)

// holdRoom keeps the room that comes up on a host for t, which has waited long
// while smaller tasks were started before it. It ends no other task.
func (s *Scheduler) holdRoom(t *task, f *fit) {
	if t.claim != nil || t.privileged() || s.options.FirstFit || s.now.Before(f.holdAt) {
		return
	}
	if s.now.Sub(unixMs(max(t.SubmittedMs, t.ChangedMs))) < holdAfter || s.holds > len(s.hosts)/hostsPerHold {
		return
	}
	f.holdAt = s.now.Add(retryBatch)
	h := s.leastDeficient(t)
	if h == nil {
		return
	}
	s.claim(t, h, holdLimit)
	t.claim.held = true
	s.holds++
	t.decision.outcome = waitsForHold
}

// leastDeficient returns the host without a reservation on which the least is
// missing for t, and on which it would run without harm.
func (s *Scheduler) leastDeficient(t *task) *host {
	var best *host
	var least float64
	for _, h := range s.hosts {
		if h.reserved != noResources || !t.Job.Request.Fits(h.worker.Capacity.Sub(h.lasting())) {
			continue
		}
		if !s.passesButRoom(t, h) {
			continue
		}
		missing := utilization(h.committed.Add(t.Job.Request), h.worker.Capacity)
		if best == nil || missing < least {
			best, least = h, missing
		}
	}
	return best
}

// passesButRoom asks the filters that are not about room.
func (s *Scheduler) passesButRoom(t *task, h *host) bool {
	for _, f := range s.filters {
		switch f.(type) {
		case capacityFilter, headroomFilter:
			continue
		}
		if !f.allows(s, t, h) {
			return false
		}
	}
	return true
}
