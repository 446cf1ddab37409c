package schedule

import "time"

// avoidFor is how long an evicted task does not return to the host that it left.
const avoidFor = 10 * time.Minute

// await notes that an action on t is under way, so that it is not decided again
// before the state has answered.
func (t *task) await(s *Scheduler) {
	t.awaitUntil = s.now.Add(s.options.ConfirmTimeout)
}

// awaits reports whether an action on t is under way.
func (s *Scheduler) awaits(t *task) bool { return s.now.Before(t.awaitUntil) }

// settleAwait ends the wait for an answer.
func (t *task) settleAwait() { t.awaitUntil = time.Time{} }

// avoid keeps t from the host for a while.
func (t *task) avoid(h *host, now time.Time) {
	t.avoidHost = h.worker.ID
	t.avoidUntil = now.Add(avoidFor)
}
