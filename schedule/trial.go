package schedule

import (
	"math"

	"mangohill.example/mangohill/types"
)

const (
	// maxTrialSlowdown is the largest slowdown, as a factor, that a trial is expected to
	// cause.
	maxTrialSlowdown = 1.5
	// maxTrialsPerClass bounds the running trials of one class.
	maxTrialsPerClass = 3
	// minUnknownDeviation is the standard deviation of a predicted slowdown, as a natural
	// logarithm, from which the effect of a class on a service counts as unknown.
	minUnknownDeviation = 0.03
)

var logMaxTrialSlowdown = math.Log(maxTrialSlowdown)

// allowsTrial reports whether t may run on h to learn how its class affects the
// services there. Without trials, a class whose cautious prior exceeds the limit would
// never be learned. Trials are few, at most one on a host.
func (s *Scheduler) allowsTrial(t *task, h *host) bool {
	if t.Job.Kind != types.KindBatch || s.trials[t.job.classID] >= maxTrialsPerClass || h.trials > 0 {
		return false
	}
	share := t.processorShare(h)
	unknown := false
	for i := range h.slowdowns {
		e := &h.slowdowns[i]
		sum := s.predictWithTask(h, e, t.job.classID, share)
		if sum.upperBound() <= s.slowdownLimit {
			continue
		}
		if e.upperBound() > s.slowdownLimit || sum.mean > logMaxTrialSlowdown {
			return false
		}
		if sum.variance-e.variance < minUnknownDeviation*minUnknownDeviation {
			return false // The slowdown is known.
		}
		unknown = true
	}
	return unknown
}

// beginTrial counts t as a trial if its start exceeds the slowdown limit.
func (s *Scheduler) beginTrial(t *task, h *host) {
	s.refreshPredictions(h)
	if t.Job.Kind != types.KindBatch || s.withinSlowdownLimit(t, h) {
		return
	}
	t.trial = true
	s.trials[t.job.classID]++
	h.trials++
}

func (s *Scheduler) endTrial(t *task, h *host) {
	if !t.trial {
		return
	}
	t.trial = false
	s.trials[t.job.classID]--
	h.trials--
}
