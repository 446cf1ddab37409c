package schedule

import (
	"math"

	"mangohill.example/mangohill/types"
)

const (
	// trialLimit is the slowdown that a trial is expected to cause at most.
	trialLimit = 1.5
	// maxTrials bounds the running trials of one class.
	maxTrials = 3
	// unknownDeviation is the deviation of a predicted slowdown, as a logarithm,
	// from which the pair counts as unknown.
	unknownDeviation = 0.03
)

var logTrialLimit = math.Log(trialLimit)

// mayTry reports whether t may run on h to learn how its class affects the
// services there. Without trials a class whose careful prior exceeds the limit
// would never be learned. Trials are few, and alone on their host.
func (s *Scheduler) mayTry(t *task, h *host) bool {
	if t.Job.Kind != types.KindBatch || s.trials[t.job.index] >= maxTrials || h.trials > 0 {
		return false
	}
	share := t.shareOf(h)
	unknown := false
	for i := range h.exposures {
		e := &h.exposures[i]
		sum := s.added(h, e, t.job.index, share)
		if sum.upper() <= s.slowdownLimit {
			continue
		}
		if e.upper() > s.slowdownLimit || sum.mean > logTrialLimit {
			return false
		}
		if sum.variance-e.variance < unknownDeviation*unknownDeviation {
			return false // The harm is known.
		}
		unknown = true
	}
	return unknown
}

// beginTrial counts t as a trial if its start exceeds the limit.
func (s *Scheduler) beginTrial(t *task, h *host) {
	s.refresh(h)
	if t.Job.Kind != types.KindBatch || s.keepsLimit(t, h) {
		return
	}
	t.trial = true
	s.trials[t.job.index]++
	h.trials++
}

func (s *Scheduler) endTrial(t *task, h *host) {
	if !t.trial {
		return
	}
	t.trial = false
	s.trials[t.job.index]--
	h.trials--
}
