package schedule

import (
	"fmt"
	"slices"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// claimGrace is how long tasks that make room for an urgent one may take to
	// checkpoint before they are stopped without it.
	claimGrace = 900 * time.Millisecond
	// claimLimit is how long a claim lasts before another host is sought.
	claimLimit = 20 * time.Second
	// enoughPreemptions is the number of hosts that are compared for making room.
	enoughPreemptions = 48
)

// claim is a host's room that is kept for a task while others leave.
type claim struct {
	host  *host
	at    time.Time
	limit time.Duration
	held  bool // nobody was asked to leave
}

// privileged reports whether t may take the room of batch tasks that are not
// urgent.
func (t *task) privileged() bool { return t.band() <= bandService }

// preemption is a way to make room on a host.
type preemption struct {
	host    *host
	victims []*task
	cost    float64
}

// preempt picks the host on which making room for t loses least, asks the tasks
// there to leave, and claims the room. It reports whether there is such a host.
func (s *Scheduler) preempt(t *task) bool {
	best := preemption{}
	found := 0
	n := len(s.hosts)
	first := s.firstHost(n)
	for i := range n {
		r, ok := s.preemptionOn(s.hosts[(first+i)%n], t)
		if !ok {
			continue
		}
		if best.host == nil || r.cost < best.cost {
			best = r
		}
		found++
		if found == enoughPreemptions {
			break
		}
	}
	if best.host == nil {
		return false
	}
	s.carryOut(t, best)
	return true
}

// preemptionOn finds the tasks on h whose end makes room for t, those that lose least
// first.
func (s *Scheduler) preemptionOn(h *host, t *task) (preemption, bool) {
	if !h.accepting() || !t.Job.Request.Fits(h.worker.Capacity) {
		return preemption{}, false
	}
	available := h.free()
	candidates := s.scratch.tasks[:0]
	for _, o := range h.tasks {
		if s.releasing(o) {
			available = available.Add(o.Job.Request)
		} else if s.displaceable(o) {
			candidates = append(candidates, o)
		}
	}
	s.scratch.tasks = candidates
	slices.SortFunc(candidates, s.compareLoss)
	return s.choose(h, t, available, candidates)
}

func (s *Scheduler) choose(h *host, t *task, available types.Resources, candidates []*task) (preemption, bool) {
	r := preemption{host: h}
	chosen := 0
	for chosen < len(candidates) && !t.Job.Request.Fits(available) {
		available = available.Add(candidates[chosen].Job.Request)
		chosen++
	}
	if !t.Job.Request.Fits(available) {
		return r, false
	}
	for i := chosen - 1; i >= 0; i-- {
		without := available.Sub(candidates[i].Job.Request)
		if t.Job.Request.Fits(without) {
			available = without
			continue
		}
		r.victims = append(r.victims, candidates[i])
		r.cost += s.loss(candidates[i])
	}
	return r, true
}

func (s *Scheduler) compareLoss(a, b *task) int {
	la, lb := s.loss(a), s.loss(b)
	if la < lb {
		return -1
	}
	if la > lb {
		return 1
	}
	return compareTasks(a, b)
}

// releasing reports whether t is about to give up its place.
func (s *Scheduler) releasing(t *task) bool {
	return t.Stopping != "" || t.State == types.TaskCheckpointing || t.leaving && s.awaits(t)
}

// displaceable reports whether t may be ended to make room.
func (s *Scheduler) displaceable(t *task) bool {
	return s.relievable(t) && !t.Job.Urgent
}

func (s *Scheduler) carryOut(t *task, r preemption) {
	for _, victim := range r.victims {
		victim.await(s)
		victim.leaving = true
		reason := fmt.Sprintf("makes room for task %q", t.Name)
		s.emit(Checkpoint{Task: victim.ID, Epoch: victim.Epoch, Reason: reason})
	}
	s.claim(t, r.host, claimLimit)
}

// claim reserves the request of t, which is queued, on h.
func (s *Scheduler) claim(t *task, h *host, limit time.Duration) {
	s.queue.remove(t)
	t.claim = &claim{host: h, at: s.now, limit: limit}
	h.reserved = h.reserved.Add(t.Job.Request)
	s.claims = append(s.claims, t)
	s.queue.add(t)
}

// dropClaim gives the claimed room up.
func (s *Scheduler) dropClaim(t *task) {
	if t.claim == nil {
		return
	}
	h := t.claim.host
	h.reserved = h.reserved.Sub(t.Job.Request)
	if t.claim.held {
		s.holds--
	}
	t.claim = nil
	s.noteFreed(h)
}

// checkClaims drops the claims that are over, and stops the attempts that take
// too long to leave the room that a task waits for.
func (s *Scheduler) checkClaims() {
	kept := s.claims[:0]
	for _, t := range s.claims {
		if t.claim == nil {
			continue
		}
		age := s.now.Sub(t.claim.at)
		if age > t.claim.limit || !t.claim.host.accepting() {
			s.reclaim(t)
			continue
		}
		if age >= claimGrace {
			s.stopOverdue(t)
		}
		kept = append(kept, t)
	}
	clear(s.claims[len(kept):])
	s.claims = kept
}

// reclaim sends t back into its common group.
func (s *Scheduler) reclaim(t *task) {
	queued := t.index >= 0
	s.queue.remove(t)
	s.dropClaim(t)
	if queued {
		s.queue.add(t)
	}
}

// stopOverdue stops the attempts on the claimed host that are still in checkpoint.
func (s *Scheduler) stopOverdue(t *task) {
	for _, o := range t.claim.host.tasks {
		if o.State != types.TaskCheckpointing || !o.leaving || s.awaits(o) {
			continue
		}
		o.await(s)
		reason := fmt.Sprintf("its checkpoint does not end, and task %q waits for its room", t.Name)
		s.emit(Stop{Task: o.ID, Epoch: o.Epoch, Then: types.TaskEvicted, Reason: reason})
	}
}
