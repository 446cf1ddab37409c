package schedule

import (
	"cmp"
	"slices"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/types"
)

// host is the scheduler's record of a worker.
type host struct {
	worker          types.Worker
	committed       types.Resources // sum of the requests of the bound tasks
	reserved        types.Resources // sum of the reservations for waiting tasks
	tasks           []*task         // bound tasks, sorted by ID
	countedCapacity types.Resources // capacity included in the cluster's total
	freedSequence   uint64          // Scheduler.freedSequence when room was last freed here
	history         interference.History

	trials int // number of bound tasks that are trials

	health          health
	inDrainingHosts bool // listed in Scheduler.drainingHosts

	reliefQueued bool      // listed in Scheduler.reliefHosts
	reliefStepAt time.Time // time of the last relief step
	evictedAt    time.Time // time of the last eviction for relief

	// The fields below dirty are recomputed from the tasks while it is set.
	dirty          bool
	expectedUse    float64                  // thousandths of processors, services at their peak load
	expectedMemory float64                  // bytes
	shares         interference.ClassShares // expected fraction of the processors, by class
	slowdowns      []prediction             // predicted, one for each service on the host
}

// accepting reports whether new tasks may start on the host.
func (h *host) accepting() bool {
	return h.worker.State == types.WorkerReady && !h.worker.DrainRequested && !h.worker.Evacuated && !h.health.quarantined
}

// noResources is zero of every resource.
var noResources types.Resources

// lastingRequests sums the requests of the lasting tasks, which run until their job
// is cancelled.
func (h *host) lastingRequests() types.Resources {
	sum := noResources
	for _, t := range h.tasks {
		if t.Job.Kind != types.KindBatch {
			sum = sum.Add(t.Job.Request)
		}
	}
	return sum
}

// free returns the capacity that is neither committed nor reserved.
func (h *host) free() types.Resources {
	return h.worker.Capacity.Sub(h.committed).Sub(h.reserved)
}

func compareHosts(a, b *host) int { return cmp.Compare(a.worker.ID, b.worker.ID) }

func compareTasks(a, b *task) int { return cmp.Compare(a.ID, b.ID) }

func (s *Scheduler) insertHost(h *host) {
	i, _ := slices.BinarySearchFunc(s.hosts, h, compareHosts)
	s.hosts = slices.Insert(s.hosts, i, h)
	s.hostByID[h.worker.ID] = h
}

func (s *Scheduler) deleteHost(h *host) {
	i, found := slices.BinarySearchFunc(s.hosts, h, compareHosts)
	if found {
		s.hosts = slices.Delete(s.hosts, i, i+1)
	}
}

// bind commits the request of t on h. If h is nil, the scheduler does not know the
// worker, and only the team's use is counted.
func (s *Scheduler) bind(t *task, h *host) {
	t.team.used = t.team.used.Add(t.Job.Request)
	t.bound = true
	if h == nil {
		s.orphans++
		return
	}
	t.host = h
	h.dirty = true
	h.committed = h.committed.Add(t.Job.Request)
	i, _ := slices.BinarySearchFunc(h.tasks, t, compareTasks)
	h.tasks = slices.Insert(h.tasks, i, t)
	t.job.countReplicas(h.worker, 1)
}

// unbind releases the resources committed to t.
func (s *Scheduler) unbind(t *task) {
	if !t.bound {
		return
	}
	t.bound = false
	t.team.used = t.team.used.Sub(t.Job.Request)
	s.queue.requestRetry()
	h := t.host
	if h == nil {
		s.orphans--
		return
	}
	t.host = nil
	s.endTrial(t, h)
	s.endThrottledStart(t)
	s.recordFreed(h)
	h.dirty = true
	h.committed = h.committed.Sub(t.Job.Request)
	i, found := slices.BinarySearchFunc(h.tasks, t, compareTasks)
	if found {
		h.tasks = slices.Delete(h.tasks, i, i+1)
	}
	t.job.countReplicas(h.worker, -1)
}
