package schedule

import (
	"time"

	"mangohill.example/mangohill/types"
)

// liftThrottle lifts one throttle on a host whose services have recovered, if the
// hold-down of the throttle has passed and the prediction allows the full use.
func (s *Scheduler) liftThrottle(h *host) {
	if !s.servicesRecovered(h) {
		return
	}
	s.refreshPredictions(h)
	for _, t := range h.tasks {
		if t.State != types.TaskThrottled || !s.disruptable(t) || s.now.Before(t.throttledAt.Add(t.holdDown())) {
			continue
		}
		if s.withinLimitUnthrottled(t, h) {
			s.unthrottle(h, t)
			return
		}
	}
}

// servicesRecovered reports whether all services of the host have recovered by reports
// that were taken after the last relief step.
func (s *Scheduler) servicesRecovered(h *host) bool {
	for _, t := range h.tasks {
		if t.Job.Kind != types.KindService || t.usedAt.IsZero() {
			continue
		}
		if !t.slowdown.recovered(s.slowdownLimit) {
			return false
		}
	}
	return true
}

// holdDown is the least time between a throttle and its end. It doubles with each
// throttle of the attempt, to prevent flapping.
func (t *task) holdDown() time.Duration {
	hold := throttleHoldDown
	for range t.throttles - 1 {
		hold *= 2
		if hold >= maxThrottleHoldDown {
			return maxThrottleHoldDown
		}
	}
	return hold
}

// withinLimitUnthrottled reports whether the services on h stay within the slowdown
// limit if t returns to its use before the throttle.
func (s *Scheduler) withinLimitUnthrottled(t *task, h *host) bool {
	capacity := float64(h.worker.Capacity.MilliProcessors)
	more := max(t.unthrottledUse()-t.expectedUse(), 0)
	if h.expectedUse+more > maxProcessorFraction*capacity {
		return false
	}
	for i := range h.slowdowns {
		sum := s.predictWithTask(h, &h.slowdowns[i], t.job.classID, more/capacity)
		if sum.upperBound() > s.slowdownLimit {
			return false
		}
	}
	return true
}

// unthrottledUse is the processor use of t without a throttle, in thousandths.
func (t *task) unthrottledUse() float64 {
	if t.usedMilliUnthrottled > 0 {
		return t.usedMilliUnthrottled
	}
	return float64(t.Job.Request.MilliProcessors) * t.job.profile.expectedUse
}

func (s *Scheduler) unthrottle(h *host, t *task) {
	t.markInFlight(s)
	s.recordReliefStep(h)
	s.emit(Unthrottle{Task: t.ID, Epoch: t.Epoch, Reason: "the services on " + h.worker.Name + " are calm"})
}
