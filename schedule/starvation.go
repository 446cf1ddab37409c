package schedule

import "time"

const (
	// starvationAfter is how long a task waits before it counts as starving and a host is
	// reserved for it.
	starvationAfter = 10 * time.Minute
	// starvationReservationTime is how long that reservation lasts.
	starvationReservationTime = time.Hour
	// hostsPerReservation is the number of hosts for each such reservation after the
	// first.
	hostsPerReservation = 64
)

// reserveForStarving reserves the room that is freed on a host for t, which has waited
// long while smaller tasks were started before it. It evicts no task.
func (s *Scheduler) reserveForStarving(t *task, state *searchState) {
	if t.reservation != nil || t.privileged() || s.options.FirstFit || s.now.Before(state.nextReservationAt) {
		return
	}
	if s.now.Sub(unixMs(max(t.SubmittedMs, t.ChangedMs))) < starvationAfter || s.starvationReservations > len(s.hosts)/hostsPerReservation {
		return
	}
	state.nextReservationAt = s.now.Add(batchSearchInterval)
	h := s.hostWithLeastMissing(t)
	if h == nil {
		return
	}
	s.reserve(t, h, starvationReservationTime)
	t.reservation.forStarving = true
	s.starvationReservations++
	t.decision.outcome = waitsForReservation
}

// hostWithLeastMissing returns the host that lacks the least room for t, or nil. The
// host has no reservation, fits t beside its lasting tasks and passes the other
// filters.
func (s *Scheduler) hostWithLeastMissing(t *task) *host {
	var best *host
	var least float64
	for _, h := range s.hosts {
		if h.reserved != noResources || !t.Job.Request.Fits(h.worker.Capacity.Sub(h.lastingRequests())) {
			continue
		}
		if !s.passesExceptRoom(t, h) {
			continue
		}
		missing := utilization(h.committed.Add(t.Job.Request), h.worker.Capacity)
		if best == nil || missing < least {
			best, least = h, missing
		}
	}
	return best
}

// passesExceptRoom reports whether t passes the filters that do not depend on free
// room.
func (s *Scheduler) passesExceptRoom(t *task, h *host) bool {
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
