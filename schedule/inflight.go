package schedule

import "time"

// avoidTime is how long an evicted task is not placed on the host that it left.
const avoidTime = 10 * time.Minute

// markInFlight records that an action on t is in flight, so that it is not decided
// again before the replicated state confirms or rejects it.
func (t *task) markInFlight(s *Scheduler) {
	t.inFlightUntil = s.now.Add(s.options.ConfirmTimeout)
}

// inFlight reports whether an action on t is in flight.
func (s *Scheduler) inFlight(t *task) bool { return s.now.Before(t.inFlightUntil) }

// clearInFlight records that the action on t was confirmed or rejected.
func (t *task) clearInFlight() { t.inFlightUntil = time.Time{} }

// avoid keeps t off the host for avoidTime.
func (t *task) avoid(h *host, now time.Time) {
	t.avoidHost = h.worker.ID
	t.avoidUntil = now.Add(avoidTime)
}
