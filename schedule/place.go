package schedule

import (
	"mangohill.example/mangohill/types"
)

// planScratch holds buffers and counters that are reused by the decisions of a plan.
type planScratch struct {
	weights     [maxScorers]float64
	softFilters bool // apply the filters that are not mandatory for the task too
	tasks       []*task
	jobs        []*job
	// searches is the number of searches of all hosts that the plan may still do. At
	// zero, tasks whose last search found no host are tried only on hosts freed since.
	searches int
}

// placePending starts pending tasks in the order of the queue until none can be
// placed or a limit of the plan is reached.
func (s *Scheduler) placePending() {
	s.queue.activateBlocked(s.now)
	s.scratch.searches = s.options.MaxSearches
	starts := 0
	for starts < s.options.MaxStarts {
		t := s.queue.next(s.total)
		if t == nil {
			return
		}
		if s.place(t) {
			starts++
		}
	}
}

// place starts t on the best host and returns true. If there is none, it records the
// reason and parks t, delays it or blocks its group.
func (s *Scheduler) place(t *task) bool {
	if s.parkIfFailing(t) {
		return false
	}
	if t.replacement != nil {
		s.queue.delay(t, s.now.Add(replacedRecheckInterval))
		return false // The replacement runs instead of t.
	}
	if s.cannotFinish(t) {
		t.decision.reset(s.now)
		t.decision.outcome = cannotFinishInTime
		s.queue.delay(t, s.now.Add(deadlineRecheckInterval))
		return false
	}
	if !t.team.allows(t.Job.Request) {
		t.decision.reset(s.now)
		t.decision.outcome = waitsForQuota
		s.queue.close(t.group)
		return false
	}
	if best := s.findHost(t); best != nil {
		s.start(t, best)
		return true
	}
	if t.group != nil {
		s.queue.close(t.group)
	}
	return false
}

// findHost returns the best host for t, or nil. If no host passes, it tries
// preemption, then a throttled start, and last a reservation for a starving task.
func (s *Scheduler) findHost(t *task) *host {
	state := t.group.search
	var best *host
	if state.noHostFound && (s.now.Before(state.fullSearchAt) || s.scratch.searches == 0) {
		best = s.searchFreed(t, state)
	} else {
		best = s.searchAll(t, state)
	}
	if best == nil && t.privileged() {
		s.tryPreemption(t, state)
	}
	if best == nil {
		best = s.searchThrottled(t, state)
	}
	if best == nil {
		s.reserveForStarving(t, state)
	}
	return best
}

// searchAll searches all hosts. If none passes for a privileged task, it searches
// again without the filters that are not mandatory.
func (s *Scheduler) searchAll(t *task, state *searchState) *host {
	s.scratch.searches = max(s.scratch.searches-1, 0)
	s.scratch.softFilters = true
	best := s.search(t)
	if best == nil && t.privileged() {
		s.scratch.softFilters = false
		best = s.search(t)
	}
	state.noHostFound = best == nil
	if best == nil {
		t.decision.outcome = waitsForHost
		state.recordNoHost(s, &t.decision, true)
	}
	return best
}

// tryPreemption preempts other tasks to make room for t. If that is possible on no
// host, the next try for interchangeable tasks waits privilegedSearchInterval.
func (s *Scheduler) tryPreemption(t *task, state *searchState) {
	if t.reservation != nil || s.options.FirstFit || s.now.Before(state.nextPreemptionAt) {
		return
	}
	if !s.preempt(t) {
		state.nextPreemptionAt = s.now.Add(privilegedSearchInterval)
		return
	}
	t.decision.outcome = waitsForPreemption
	t.group.search.recordNoHost(s, &t.decision, true)
}

// searchFreed searches the hosts that were freed since the last search for tasks
// interchangeable with t.
func (s *Scheduler) searchFreed(t *task, state *searchState) *host {
	t.decision.reset(s.now)
	s.scratch.softFilters = !t.privileged()
	r := searchResult{}
	for i := len(s.freedLog) - 1; i >= 0 && s.freedLog[i].sequence > state.searchedSequence; i-- {
		h := s.freedLog[i].host
		if h.freedSequence == s.freedLog[i].sequence {
			s.evaluate(t, h, &r)
		}
	}
	if r.best == nil {
		state.recordNoHost(s, &t.decision, false)
		t.decision.outcome = undecided
	}
	return r.best
}

// searchResult is the intermediate result of a search.
type searchResult struct {
	best     *host
	score    float64
	feasible int
}

// evaluate filters and scores one host and updates the result.
func (s *Scheduler) evaluate(t *task, h *host, r *searchResult) {
	s.evaluations++
	if !s.passes(t, h) {
		return
	}
	r.feasible++
	score := s.scoreHost(t, h)
	if r.best == nil || score > r.score {
		r.best, r.score = h, score
	}
}

// search returns the host with the highest score among those that pass the filters,
// or nil. For batch tasks it stops after feasibleHostsToFind hosts.
func (s *Scheduler) search(t *task) *host {
	t.decision.reset(s.now)
	wanted := len(s.hosts)
	if t.Job.Kind == types.KindBatch {
		wanted = feasibleHostsToFind
		if s.options.FirstFit {
			wanted = 1
		}
	}
	r := searchResult{}
	first := s.firstHost(len(s.hosts))
	for i := range s.hosts {
		s.evaluate(t, s.hosts[(first+i)%len(s.hosts)], &r)
		if r.feasible == wanted {
			break
		}
	}
	return r.best
}

// firstHost returns the index at which a search begins. It is random, so that the
// limited searches for batch tasks reach all hosts equally.
func (s *Scheduler) firstHost(n int) int {
	if n == 0 || s.options.FirstFit {
		return 0
	}
	return s.random.IntN(n)
}

func (s *Scheduler) passes(t *task, h *host) bool {
	for i, f := range s.filters {
		if !s.scratch.softFilters && !f.mandatory(t) {
			continue
		}
		if !f.allows(s, t, h) {
			t.decision.ruleOut(i, h.worker.ID)
			return false
		}
	}
	return true
}

func (s *Scheduler) scoreHost(t *task, h *host) float64 {
	var parts [maxScorers]float32
	total := 0.0
	for i, sc := range s.scorers {
		part := s.scratch.weights[i] * sc.score(s, t, h)
		parts[i] = float32(part)
		total += part
	}
	t.decision.keepBest(h.worker.ID, float32(total), parts)
	return total
}

// start assumes that t runs on h and emits the action.
func (s *Scheduler) start(t *task, h *host) {
	s.queue.remove(t)
	s.releaseReservation(t)
	t.assumedEpoch = t.Epoch + 1
	t.assumedAt = s.now
	s.assumed = append(s.assumed, t)
	s.beginTrial(t, h)
	s.bind(t, h)
	if t.startShareMilli != 0 {
		s.throttledStarts = append(s.throttledStarts, t)
		s.throttledStartCount[t.job.classID]++
		t.throttledStart = true
	}
	t.decision.outcome = placed
	t.decision.worker = h.worker.ID
	s.emit(Start{Task: t.ID, Worker: h.worker.ID, Epoch: t.assumedEpoch, Reason: "best score of the hosts that passed the filters"})
}
