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
}

// placePending starts pending tasks in the order of the queue until none fits or
// the bounds of one plan are reached.
func (s *Scheduler) placePending() {
	starts := 0
	for range s.options.MaxTrials {
		if starts == s.options.MaxStarts {
			return
		}
		t := s.queue.next(s.total, s.now)
		if t == nil {
			return
		}
		if s.place(t) {
			starts++
		}
	}
}

// place starts t on the best host. Where there is none it records the reason,
// blocks the group of t until room may have come up, and returns false.
func (s *Scheduler) place(t *task) bool {
	t.decision.reset(s.now)
	if s.mayPark(t) {
		return false
	}
	if t.replacement != nil {
		s.queue.delay(t, s.now.Add(replacedRecheck))
		return false // The replacement takes its place.
	}
	if s.tooLate(t) {
		t.decision.outcome = waitsInVain
		s.queue.delay(t, s.now.Add(horizonRecheck))
		return false
	}
	if !t.team.allows(t.Job.Request) {
		t.decision.outcome = waitsForQuota
		s.queue.block(t.group, s.now)
		return false
	}
	if best := s.findHost(t); best != nil {
		s.start(t, best)
		return true
	}
	t.decision.outcome = waitsForHost
	if t.privileged() && t.claim == nil && !s.options.FirstFit && s.makeRoom(t) {
		t.decision.outcome = waitsForRoom
	}
	s.queue.block(t.group, s.now)
	return false
}

// findHost searches with all filters and, for a privileged task that finds none,
// with those that bind it.
func (s *Scheduler) findHost(t *task) *host {
	s.scratch.all = true
	best := s.search(t)
	if best != nil || !t.privileged() {
		return best
	}
	s.scratch.all = false
	t.decision.reset(s.now)
	return s.search(t)
}

// search returns the host with the highest score among those that pass the
// filters, nil if there is none.
func (s *Scheduler) search(t *task) *host {
	var best *host
	var bestScore float64
	found := 0
	n := len(s.hosts)
	first := s.firstHost(n)
	for i := range n {
		h := s.hosts[(first+i)%n]
		if !s.passes(t, h) {
			continue
		}
		found++
		if s.options.FirstFit && t.Job.Kind == types.KindBatch {
			return h
		}
		score := s.rate(t, h)
		if best == nil || score > bestScore {
			best, bestScore = h, score
		}
		if found == enoughHosts && t.Job.Kind == types.KindBatch {
			break
		}
	}
	return best
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
	var parts [maxScorers]float64
	total := 0.0
	for i, sc := range s.scorers {
		parts[i] = s.scratch.weights[i] * sc.score(s, t, h)
		total += parts[i]
	}
	t.decision.keep(h.worker.ID, total, parts)
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
	t.decision.outcome = placed
	t.decision.worker = h.worker.ID
	s.emit(Start{Task: t.ID, Worker: h.worker.ID, Epoch: t.assumedEpoch, Reason: "best score of the hosts that passed the filters"})
}
