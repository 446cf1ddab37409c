package schedule

import (
	"math"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/types"
)

const (
	// slowdownMargin is the predicted slowdown of a service beyond which no batch
	// task is added to its host, less 1, at equal weights of the goals.
	slowdownMargin = 0.14
	// minMarginFactor and maxMarginFactor bound what the weights make of it.
	minMarginFactor = 0.8
	maxMarginFactor = 1.2
	// careful is the number of standard deviations that predictions add.
	careful = 0.5
	// loadAhead is how much more than its recent peak a service is expected to be
	// loaded.
	loadAhead = 1.1
	// minLoad is the load expected of a service that has not reported.
	minLoad = 0.6
)

// limitSlowdown sets the limit for predicted slowdowns, as a logarithm: lower
// where tail latency weighs more than the other goals.
func (s *Scheduler) limitSlowdown() {
	w := s.config.Weights
	factor := 1.0
	if w.TailLatency > 0 {
		factor = math.Sqrt((w.Evictions + w.Throughput) / 2 / w.TailLatency)
	}
	factor = min(max(factor, minMarginFactor), maxMarginFactor)
	s.slowdownLimit = math.Log1p(slowdownMargin * factor)
}

// exposure is the predicted slowdown of one service on a host, as a logarithm.
type exposure struct {
	task     *task
	load     float64
	mean     float64
	variance float64
}

// upper is the careful prediction.
func (e *exposure) upper() float64 { return e.mean + careful*math.Sqrt(e.variance) }

// expectedUse is the number of thousandths of processors that t will use on its
// host.
func (t *task) expectedUse() float64 {
	request := float64(t.Job.Request.MilliProcessors)
	if t.Job.Kind == types.KindService {
		return request * t.expectedLoad()
	}
	if !t.usedAt.IsZero() {
		return t.used
	}
	return request * t.job.learned.expectedUse * t.startShare()
}

// expectedMemory is the number of bytes that t will use on its host.
func (t *task) expectedMemory() float64 {
	if t.usedMemory > 0 {
		return t.usedMemory
	}
	return float64(t.Job.Request.MemoryBytes) * t.job.learned.expectedMemory
}

// startShare is the part of its use that t starts with.
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
		return max(minLoad, t.job.load)
	}
	return t.loadPeak * loadAhead
}

// refresh recomputes what the host expects of its tasks.
func (s *Scheduler) refresh(h *host) {
	if !h.dirty {
		return
	}
	h.dirty = false
	h.shares = interference.ClassShares{}
	h.expected = 0
	h.expectedMemory = 0
	h.exposures = h.exposures[:0]
	capacity := float64(h.worker.Capacity.MilliProcessors)
	for _, t := range h.tasks {
		use := t.expectedUse()
		h.expected += use
		h.expectedMemory += t.expectedMemory()
		if capacity > 0 {
			h.shares[t.job.index] += use / capacity
		}
		if t.Job.Kind == types.KindService {
			h.exposures = append(h.exposures, exposure{task: t, load: t.expectedLoad()})
		}
	}
	for i := range h.exposures {
		s.expose(h, &h.exposures[i])
	}
}

// expose predicts the slowdown of one service by all its neighbours.
func (s *Scheduler) expose(h *host, e *exposure) {
	for c, share := range h.shares {
		if interference.Class(c) == e.task.job.index {
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

// exposeNewcomer predicts the slowdown of a service that is not on the host yet.
func (s *Scheduler) exposeNewcomer(h *host, e *exposure) {
	for c, share := range h.shares {
		if share <= 0 {
			continue
		}
		mean, variance := s.options.Model.LogSlowdown(e.task.job.victim, interference.Class(c), e.load, share)
		e.mean += mean
		e.variance += variance
	}
}

// added returns the exposure e with one more task of the class that uses the
// given share of the host.
func (s *Scheduler) added(h *host, e *exposure, c interference.Class, share float64) exposure {
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

// shareOf is the part of the host's processors that t is expected to use there.
func (t *task) shareOf(h *host) float64 {
	if h.worker.Capacity.MilliProcessors == 0 {
		return 0
	}
	return t.expectedUse() / float64(h.worker.Capacity.MilliProcessors)
}
