package schedule

import (
	"time"

	"mangohill.example/mangohill/types"
)

// liftThrottle lifts one throttle on a host whose services are calm, if the hold of
// the throttle is over and the prediction allows the full use.
func (s *Scheduler) liftThrottle(h *host) {
	if !s.calm(h) {
		return
	}
	s.refresh(h)
	for _, t := range h.tasks {
		if t.State != types.TaskThrottled || !s.relievable(t) || s.now.Before(t.throttledAt.Add(t.hold())) {
			continue
		}
		if s.keepsLimitUnthrottled(t, h) {
			s.unthrottle(h, t)
			return
		}
	}
}

// calm reports whether all services of the host are calm by reports that were
// taken after the last step.
func (s *Scheduler) calm(h *host) bool {
	for _, t := range h.tasks {
		if t.Job.Kind != types.KindService || t.usedAt.IsZero() {
			continue
		}
		if !t.slowness.calm(s.slowdownLimit) {
			return false
		}
	}
	return true
}

// hold is the least time between a throttle and its end. It doubles with each
// throttle of the attempt, against flapping.
func (t *task) hold() time.Duration {
	hold := throttleHold
	for range t.throttles - 1 {
		hold *= 2
		if hold >= maxThrottleHold {
			return maxThrottleHold
		}
	}
	return hold
}

// keepsLimitUnthrottled reports whether the services on h keep within the limit when
// t uses what it used before the throttle.
func (s *Scheduler) keepsLimitUnthrottled(t *task, h *host) bool {
	capacity := float64(h.worker.Capacity.MilliProcessors)
	more := max(t.unthrottledUse()-t.expectedUse(), 0)
	if h.expected+more > headroomLimit*capacity {
		return false
	}
	for i := range h.exposures {
		sum := s.added(h, &h.exposures[i], t.job.index, more/capacity)
		if sum.upper() > s.slowdownLimit {
			return false
		}
	}
	return true
}

// unthrottledUse is the number of thousandths of processors that t uses without
// a throttle.
func (t *task) unthrottledUse() float64 {
	if t.fullUse > 0 {
		return t.fullUse
	}
	return float64(t.Job.Request.MilliProcessors) * t.job.learned.expectedUse
}

func (s *Scheduler) unthrottle(h *host, t *task) {
	t.await(s)
	s.stepped(h)
	s.emit(Unthrottle{Task: t.ID, Epoch: t.Epoch, Reason: "the services on " + h.worker.Name + " are calm"})
}
