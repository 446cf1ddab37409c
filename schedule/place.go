package schedule

import (
	"mangohill.example/mangohill/types"
)

// placement is the working memory of one decision.
type placement struct {
	weights [maxScorers]float64
	all     bool // filters that do not bind the task are asked too
	tasks   []*task
	jobs    []*job
	// searches is the number of searches of all hosts that the plan may still do
	// for tasks of which one has failed.
	searches int
}

// placePending starts pending tasks in the order of the queue until none fits or
// the bounds of one plan are reached.
func (s *Scheduler) placePending() {
	s.queue.reopen(s.now)
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

// place starts t on the best host and returns true. Where there is none it
// records the reason and takes t or its group out of the open ones.
func (s *Scheduler) place(t *task) bool {
	if s.parkIfCondemned(t) {
		return false
	}
	if t.replacement != nil {
		s.queue.delay(t, s.now.Add(replacedRecheck))
		return false // The replacement takes its place.
	}
	if s.tooLate(t) {
		t.decision.reset(s.now)
		t.decision.outcome = waitsInVain
		s.queue.delay(t, s.now.Add(horizonRecheck))
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

// findHost returns the best host for t, nil if there is none. A privileged task
// that finds none has room made for it.
func (s *Scheduler) findHost(t *task) *host {
	f := t.group.fit
	var best *host
	if f.failed && (s.now.Before(f.retryAt) || s.scratch.searches == 0) {
		best = s.searchFreed(t, f)
	} else {
		best = s.searchAll(t, f)
	}
	if best == nil && t.privileged() {
		s.tryPreemption(t, f)
	}
	if best == nil {
		best = s.searchThrottled(t, f)
	}
	if best == nil {
		s.holdRoom(t, f)
	}
	return best
}

// searchAll searches all hosts, for a privileged task once more without the
// filters that it may pass over.
func (s *Scheduler) searchAll(t *task, f *fit) *host {
	s.scratch.searches = max(s.scratch.searches-1, 0)
	s.scratch.all = true
	best := s.search(t)
	if best == nil && t.privileged() {
		s.scratch.all = false
		best = s.search(t)
	}
	f.failed = best == nil
	if best == nil {
		t.decision.outcome = waitsForHost
		f.fail(s, &t.decision, true)
	}
	return best
}

// tryPreemption makes room for t if it can. Where no host has any, the next try for
// tasks like it comes later.
func (s *Scheduler) tryPreemption(t *task, f *fit) {
	if t.claim != nil || s.options.FirstFit || s.now.Before(f.preemptAt) {
		return
	}
	if !s.preempt(t) {
		f.preemptAt = s.now.Add(retryPrivileged)
		return
	}
	t.decision.outcome = waitsForPreemption
	t.group.fit.fail(s, &t.decision, true)
}

// searchFreed searches the hosts that were freed since the last search of f.
func (s *Scheduler) searchFreed(t *task, f *fit) *host {
	t.decision.reset(s.now)
	s.scratch.all = !t.privileged()
	r := ranking{}
	for i := len(s.freed) - 1; i >= 0 && s.freed[i].sequence > f.tried; i-- {
		h := s.freed[i].host
		if h.freed == s.freed[i].sequence {
			s.consider(t, h, &r)
		}
	}
	if r.best == nil {
		f.fail(s, &t.decision, false)
		t.decision.outcome = undecided
	}
	return r.best
}

// ranking is the result of a search so far.
type ranking struct {
	best  *host
	score float64
	found int
}

// consider asks the filters and the scores about one host.
func (s *Scheduler) consider(t *task, h *host, r *ranking) {
	s.evaluations++
	if !s.passes(t, h) {
		return
	}
	r.found++
	score := s.rate(t, h)
	if r.best == nil || score > r.score {
		r.best, r.score = h, score
	}
}

// search returns the host with the highest score among those that pass the
// filters, nil if there is none. For batch tasks it ends after enough hosts.
func (s *Scheduler) search(t *task) *host {
	t.decision.reset(s.now)
	enough := len(s.hosts)
	if t.Job.Kind == types.KindBatch {
		enough = enoughHosts
		if s.options.FirstFit {
			enough = 1
		}
	}
	r := ranking{}
	first := s.firstHost(len(s.hosts))
	for i := range s.hosts {
		s.consider(t, s.hosts[(first+i)%len(s.hosts)], &r)
		if r.found == enough {
			break
		}
	}
	return r.best
}

// firstHost returns where the search begins: anywhere, so that a bounded search
// of batch tasks reaches all hosts alike.
func (s *Scheduler) firstHost(n int) int {
	if n == 0 || s.options.FirstFit {
		return 0
	}
	return s.random.IntN(n)
}

func (s *Scheduler) passes(t *task, h *host) bool {
	for i, f := range s.filters {
		if !s.scratch.all && !f.binds(t) {
			continue
		}
		if !f.allows(s, t, h) {
			t.decision.ruleOut(i, h.worker.ID)
			return false
		}
	}
	return true
}

func (s *Scheduler) rate(t *task, h *host) float64 {
	var parts [maxScorers]float32
	total := 0.0
	for i, sc := range s.scorers {
		part := s.scratch.weights[i] * sc.score(s, t, h)
		parts[i] = float32(part)
		total += part
	}
	t.decision.keep(h.worker.ID, float32(total), parts)
	return total
}

// start reserves the host and emits the action.
func (s *Scheduler) start(t *task, h *host) {
	s.queue.remove(t)
	s.dropClaim(t)
	t.assumedEpoch = t.Epoch + 1
	t.assumedAt = s.now
	s.assumed = append(s.assumed, t)
	s.beginTrial(t, h)
	s.bind(t, h)
	if t.startShareMilli != 0 {
		s.throttledStarts = append(s.throttledStarts, t)
		s.throttledStartCount[t.job.index]++
		t.throttledStart = true
	}
	t.decision.outcome = placed
	t.decision.worker = h.worker.ID
	s.emit(Start{Task: t.ID, Worker: h.worker.ID, Epoch: t.assumedEpoch, Reason: "best score of the hosts that passed the filters"})
}
