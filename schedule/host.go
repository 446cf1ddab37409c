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
	worker    types.Worker
	committed types.Resources // sum of the requests of tasks
	reserved  types.Resources // promised to tasks that wait for room
	tasks     []*task         // bound tasks, sorted by ID
	counted   types.Resources // part of the cluster's total
	freed     uint64          // sequence number at which room last came up
	history   interference.History

	trials int // bound tasks that are trials

	health      health
	drainListed bool

	relieve    bool      // a report came since the last plan
	relievedAt time.Time // last step of relief
	evictedAt  time.Time // last relief eviction

	// What follows is recomputed from the tasks while dirty is set.
	dirty          bool
	expected       float64 // thousandths of processors, services at their peak
	expectedMemory float64 // bytes
	shares         interference.ClassShares
	exposures      []exposure
}

// accepting reports whether new tasks may start on the host.
func (h *host) accepting() bool {
	return h.worker.State == types.WorkerReady && !h.worker.DrainRequested && !h.health.quarantined
}

// noResources is the absence of resources.
var noResources types.Resources

// lasting sums the requests of the tasks that do not end by themselves.
func (h *host) lasting() types.Resources {
	sum := noResources
	for _, t := range h.tasks {
		if t.Job.Kind != types.KindBatch {
			sum = sum.Add(t.Job.Request)
		}
	}
	return sum
}

// free returns what is neither committed nor reserved.
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

// bind commits the request of t on h. A nil host is one that the scheduler does
// not know; nothing is committed there.
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
	t.job.place(h.worker, 1)
}

// unbind releases the commitment of t.
func (s *Scheduler) unbind(t *task) {
	if !t.bound {
		return
	}
	t.bound = false
	t.team.used = t.team.used.Sub(t.Job.Request)
	s.queue.unblock()
	h := t.host
	if h == nil {
		s.orphans--
		return
	}
	t.host = nil
	s.endTrial(t, h)
	s.endThrottledStart(t)
	s.noteFreed(h)
	h.dirty = true
	h.committed = h.committed.Sub(t.Job.Request)
	i, found := slices.BinarySearchFunc(h.tasks, t, compareTasks)
	if found {
		h.tasks = slices.Delete(h.tasks, i, i+1)
	}
	t.job.place(h.worker, -1)
}
