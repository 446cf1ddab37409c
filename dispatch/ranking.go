package dispatch

// ranking holds the scores of the workers for the tasks of one step. A placement on a
// worker changes the score of that worker only.
type ranking struct {
	set     *candidateSet
	step    *readyStep
	among   []*candidate
	entries []rankedCandidate
}

type rankedCandidate struct {
	candidate *candidate
	score     int64
	admitted  bool
}

// rank filters and scores the workers for the tasks of a step.
func (e *Engine) rank(p *candidateSet, s *readyStep) *ranking {
	return e.rankAmong(p, s, p.byService[s.job.Service])
}

// rankAmong filters and scores some of the workers for the tasks of a step.
func (e *Engine) rankAmong(p *candidateSet, s *readyStep, among []*candidate) *ranking {
	r := &ranking{set: p, step: s, among: among}
	if s.step.OneRack {
		s.rack = e.selectRack(p, s)
	}
	r.scoreAll(e)
	return r
}

func (r *ranking) scoreAll(e *Engine) {
	r.set.evaluated += len(r.among)
	r.entries = make([]rankedCandidate, len(r.among))
	for i, c := range r.among {
		r.entries[i] = r.rankCandidate(e, c)
	}
}

func (r *ranking) rankCandidate(e *Engine, c *candidate) rankedCandidate {
	if !e.admits(c, r.step) {
		return rankedCandidate{candidate: c}
	}
	return rankedCandidate{c, e.score(r.set, c, r.step), true}
}

// best returns the best worker for the next pending task of the step, nil if none
// qualifies.
func (r *ranking) best(e *Engine) *candidate {
	if r.step.step.OneRack {
		if rack := e.selectRack(r.set, r.step); rack != r.step.rack {
			r.step.rack = rack
			r.scoreAll(e)
		}
	}
	var best *rankedCandidate
	for i := range r.entries {
		entry := &r.entries[i]
		if entry.admitted && (best == nil || entry.score > best.score) && !e.failedRecentlyOn(r.step, entry.candidate.view) {
			best = entry
		}
	}
	if best == nil {
		return nil
	}
	return best.candidate
}

// update scores a worker again, on which a task of the step was placed.
func (r *ranking) update(e *Engine, c *candidate) {
	for i := range r.entries {
		if r.entries[i].candidate == c {
			r.entries[i] = r.rankCandidate(e, c)
		}
	}
}
