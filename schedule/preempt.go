package schedule

import (
	"fmt"
	"slices"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// preemptionGrace is how long preempted tasks may take for a checkpoint before they
	// are stopped without it.
	preemptionGrace = 900 * time.Millisecond
	// preemptionReservationTime is how long the reservation of a preemption lasts before
	// another host is searched.
	preemptionReservationTime = 20 * time.Second
	// maxPreemptionCandidates is the number of hosts that are compared for a preemption.
	maxPreemptionCandidates = 48
)

// reservation is the room on a host that is kept for a task until others release it.
type reservation struct {
	host        *host
	at          time.Time
	lifetime    time.Duration
	forStarving bool // made for a starving task; no other task was preempted
}

// privileged reports whether t may preempt batch tasks that are not urgent.
func (t *task) privileged() bool { return t.band() <= bandService }

// preemption is a possible set of tasks to preempt on a host.
type preemption struct {
	host    *host
	victims []*task
	cost    float64
}

// preempt finds the host on which making room for t costs least, preempts tasks
// there and reserves the room. It reports whether there is such a host.
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
		if found == maxPreemptionCandidates {
			break
		}
	}
	if best.host == nil {
		return false
	}
	s.preemptVictims(t, best)
	return true
}

// preemptionOn selects tasks on h whose eviction makes room for t, the cheapest first.
func (s *Scheduler) preemptionOn(h *host, t *task) (preemption, bool) {
	if !h.accepting() || !t.Job.Request.Fits(h.worker.Capacity) {
		return preemption{}, false
	}
	available := h.free()
	candidates := s.scratch.tasks[:0]
	for _, o := range h.tasks {
		if s.releasing(o) {
			available = available.Add(o.Job.Request)
		} else if s.preemptable(o) {
			candidates = append(candidates, o)
		}
	}
	s.scratch.tasks = candidates
	slices.SortFunc(candidates, s.compareEvictionCost)
	return s.chooseVictims(h, t, available, candidates)
}

// chooseVictims takes candidates in order until t fits, then spares those whose room
// is not needed.
func (s *Scheduler) chooseVictims(h *host, t *task, available types.Resources, candidates []*task) (preemption, bool) {
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
		r.cost += s.evictionCost(candidates[i])
	}
	return r, true
}

func (s *Scheduler) compareEvictionCost(a, b *task) int {
	la, lb := s.evictionCost(a), s.evictionCost(b)
	if la < lb {
		return -1
	}
	if la > lb {
		return 1
	}
	return compareTasks(a, b)
}

// releasing reports whether t is about to release its resources.
func (s *Scheduler) releasing(t *task) bool {
	return t.Stopping != "" || t.State == types.TaskCheckpointing || t.vacating && s.inFlight(t)
}

// preemptable reports whether t may be preempted.
func (s *Scheduler) preemptable(t *task) bool {
	return s.disruptable(t) && !t.Job.Urgent
}

func (s *Scheduler) preemptVictims(t *task, r preemption) {
	for _, victim := range r.victims {
		victim.markInFlight(s)
		victim.vacating = true
		reason := fmt.Sprintf("makes room for task %q", t.Name)
		s.emit(Checkpoint{Task: victim.ID, Epoch: victim.Epoch, Reason: reason})
	}
	s.reserve(t, r.host, preemptionReservationTime)
}

// reserve reserves the request of t, which must be queued, on h.
func (s *Scheduler) reserve(t *task, h *host, limit time.Duration) {
	s.queue.remove(t)
	t.reservation = &reservation{host: h, at: s.now, lifetime: limit}
	h.reserved = h.reserved.Add(t.Job.Request)
	s.reservedTasks = append(s.reservedTasks, t)
	s.queue.add(t)
}

// releaseReservation gives up the reservation of t, if it has one.
func (s *Scheduler) releaseReservation(t *task) {
	if t.reservation == nil {
		return
	}
	h := t.reservation.host
	h.reserved = h.reserved.Sub(t.Job.Request)
	if t.reservation.forStarving {
		s.starvationReservations--
	}
	t.reservation = nil
	s.recordFreed(h)
}

// checkReservations cancels the reservations that have expired or whose host accepts
// no tasks, and stops the preempted attempts that exceed preemptionGrace.
func (s *Scheduler) checkReservations() {
	kept := s.reservedTasks[:0]
	for _, t := range s.reservedTasks {
		if t.reservation == nil {
			continue
		}
		age := s.now.Sub(t.reservation.at)
		if age > t.reservation.lifetime || !t.reservation.host.accepting() {
			s.cancelReservation(t)
			continue
		}
		if age >= preemptionGrace {
			s.stopOverdueCheckpoints(t)
		}
		kept = append(kept, t)
	}
	clear(s.reservedTasks[len(kept):])
	s.reservedTasks = kept
}

// cancelReservation gives up the reservation of t and queues t in its common group.
func (s *Scheduler) cancelReservation(t *task) {
	queued := t.index >= 0
	s.queue.remove(t)
	s.releaseReservation(t)
	if queued {
		s.queue.add(t)
	}
}

// stopOverdueCheckpoints stops the attempts that still write a checkpoint on the host
// reserved for t.
func (s *Scheduler) stopOverdueCheckpoints(t *task) {
	for _, o := range t.reservation.host.tasks {
		if o.State != types.TaskCheckpointing || !o.vacating || s.inFlight(o) {
			continue
		}
		o.markInFlight(s)
		reason := fmt.Sprintf("its checkpoint does not end, and task %q waits for its room", t.Name)
		s.emit(Stop{Task: o.ID, Epoch: o.Epoch, Then: types.TaskEvicted, Reason: reason})
	}
}
