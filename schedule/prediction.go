package schedule

import (
	"math"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/types"
)

const (
	// slowdownMargin is the predicted slowdown of a service, as a factor less 1, beyond
	// which no batch task is added to its host, at equal weights of the goals.
	slowdownMargin = 0.14
	// minMarginFactor and maxMarginFactor bound the factor that the weights apply to it.
	minMarginFactor = 0.8
	maxMarginFactor = 1.2
	// upperDeviations is the number of standard deviations from the mean of a
	// prediction to its upper bound.
	upperDeviations = 0.5
	// peakLoadFactor is the expected load of a service relative to its recent peak.
	peakLoadFactor = 1.1
	// minInitialLoad is the least load expected of a replica that has not reported.
	minInitialLoad = 0.6
)

// setSlowdownLimit sets the limit for predicted slowdowns. It is lower if tail latency
// weighs more than the other goals.
func (s *Scheduler) setSlowdownLimit() {
	w := s.config.Weights
	factor := 1.0
	if w.TailLatency > 0 {
		factor = math.Sqrt((w.Evictions + w.Throughput) / 2 / w.TailLatency)
	}
	factor = min(max(factor, minMarginFactor), maxMarginFactor)
	s.slowdownLimit = math.Log1p(slowdownMargin * factor)
}

// prediction is the predicted slowdown of one service on a host, as a natural
// logarithm.
type prediction struct {
	task     *task
	load     float64
	mean     float64
	variance float64
}

// upperBound is the slowdown that is compared with slowdownLimit.
func (e *prediction) upperBound() float64 { return e.mean + upperDeviations*math.Sqrt(e.variance) }

// expectedUse is the processor use expected of t on its host, in thousandths.
func (t *task) expectedUse() float64 {
	request := float64(t.Job.Request.MilliProcessors)
	if t.Job.Kind == types.KindService {
		return request * t.expectedLoad()
	}
	if !t.usedAt.IsZero() {
		return t.usedMilli
	}
	return request * t.job.profile.expectedUse * t.startShare()
}

// expectedMemory is the memory use expected of t on its host, in bytes.
func (t *task) expectedMemory() float64 {
	if t.usedMemory > 0 {
		return t.usedMemory
	}
	return float64(t.Job.Request.MemoryBytes) * t.job.profile.expectedMemory
}

// startShare is the fraction of its full use to which t is throttled, 1 without a
// throttle.
func (t *task) startShare() float64 {
	if t.startShareMilli > 0 {
		return float64(t.startShareMilli) / 1000
	}
	if t.State == types.TaskThrottled {
		return float64(t.ShareMilli) / 1000
	}
	return 1
}

// expectedLoad is the load for which a service needs headroom.
func (t *task) expectedLoad() float64 {
	if t.usedAt.IsZero() {
		return max(minInitialLoad, t.job.load)
	}
	return t.loadPeak * peakLoadFactor
}

// refreshPredictions recomputes the expected use and slowdowns of h if it is dirty.
func (s *Scheduler) refreshPredictions(h *host) {
	if !h.dirty {
		return
	}
	h.dirty = false
	h.shares = interference.ClassShares{}
	h.expectedUse = 0
	h.expectedMemory = 0
	h.slowdowns = h.slowdowns[:0]
	capacity := float64(h.worker.Capacity.MilliProcessors)
	for _, t := range h.tasks {
		use := t.expectedUse()
		h.expectedUse += use
		h.expectedMemory += t.expectedMemory()
		if capacity > 0 {
			h.shares[t.job.classID] += use / capacity
		}
		if t.Job.Kind == types.KindService {
			h.slowdowns = append(h.slowdowns, prediction{task: t, load: t.expectedLoad()})
		}
	}
	for i := range h.slowdowns {
		s.predictSlowdown(h, &h.slowdowns[i])
	}
}

// predictSlowdown adds to e the slowdown of its service by all its neighbours.
func (s *Scheduler) predictSlowdown(h *host, e *prediction) {
	for c, share := range h.shares {
		if interference.Class(c) == e.task.job.classID {
			share -= e.task.expectedUse() / float64(h.worker.Capacity.MilliProcessors)
		}
		if share <= 0 {
			continue
		}
		mean, variance := s.options.Model.LogSlowdown(e.task.job.victim, interference.Class(c), e.load, share)
		e.mean += mean
		e.variance += variance
	}
}

// predictSlowdownOfNewcomer adds to e the slowdown that the tasks on h would cause to
// its service, which is not on h yet.
func (s *Scheduler) predictSlowdownOfNewcomer(h *host, e *prediction) {
	for c, share := range h.shares {
		if share <= 0 {
			continue
		}
		mean, variance := s.options.Model.LogSlowdown(e.task.job.victim, interference.Class(c), e.load, share)
		e.mean += mean
		e.variance += variance
	}
}

// predictWithTask returns the prediction e with one more task of class c that uses the
// given share of the host's processors.
func (s *Scheduler) predictWithTask(h *host, e *prediction, c interference.Class, share float64) prediction {
	victim := e.task.job.victim
	before := h.shares[c]
	mean, variance := s.options.Model.LogSlowdown(victim, c, e.load, before+share)
	sum := *e
	sum.mean += mean
	sum.variance += variance
	if before > 0 {
		mean, variance = s.options.Model.LogSlowdown(victim, c, e.load, before)
		sum.mean -= mean
		sum.variance = max(sum.variance-variance, 0)
	}
	return sum
}

// processorShare is the fraction of the host's processors that t is expected to use.
func (t *task) processorShare(h *host) float64 {
	if h.worker.Capacity.MilliProcessors == 0 {
		return 0
	}
	return t.expectedUse() / float64(h.worker.Capacity.MilliProcessors)
}
