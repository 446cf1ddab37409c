package state

import "mangohill.example/mangohill/types"

// changeSet collects the tasks and workers that changed since the last TakeChanges.
// Each is listed once, so the size of the state limits the size of the set.
type changeSet struct {
	tracking bool
	all      bool
	config   bool
	tasks    map[types.TaskID]struct{}
	workers  map[types.WorkerID]struct{}
	signal   chan struct{}
}

func newChangeSet() changeSet {
	return changeSet{
		tasks:   make(map[types.TaskID]struct{}),
		workers: make(map[types.WorkerID]struct{}),
		signal:  make(chan struct{}, 1),
	}
}

func (c *changeSet) task(id types.TaskID) {
	if c.tracking {
		c.tasks[id] = struct{}{}
	}
}

func (c *changeSet) worker(id types.WorkerID) {
	if c.tracking {
		c.workers[id] = struct{}{}
	}
}

func (c *changeSet) notify() {
	if len(c.tasks)+len(c.workers) == 0 && !c.config && !c.all {
		return // The entry changed nothing that Changes holds, for example only claims.
	}
	select {
	case c.signal <- struct{}{}:
	default: // The channel already holds a signal.
	}
}

// Changes holds the new values of changed tasks and workers, and the IDs of removed
// ones. All means that Tasks and Workers hold all tasks and workers, Config that the
// configuration may have changed.
type Changes struct {
	All            bool
	Config         bool
	Tasks          []types.Task
	Workers        []types.Worker
	RemovedTasks   []types.TaskID
	RemovedWorkers []types.WorkerID
}

// Track starts the collection of changes; the next TakeChanges returns the whole
// state. Only the leader collects changes.
func (s *Store) Track() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes.tracking = true
	s.changes.all = true
	s.changes.notify()
}

// Untrack stops the collection of changes and drops the collected ones.
func (s *Store) Untrack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes.tracking = false
	clear(s.changes.tasks)
	clear(s.changes.workers)
}

// Signal returns a channel of capacity one that receives a value after changes.
func (s *Store) Signal() <-chan struct{} { return s.changes.signal }

// TakeChanges returns the changes since the last call, in ascending order of IDs.
func (s *Store) TakeChanges() Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.changes
	out := Changes{All: c.all, Config: c.config || c.all}
	taskIDs := sortedKeys(c.tasks)
	workerIDs := sortedKeys(c.workers)
	if c.all {
		taskIDs = sortedKeys(s.tasks)
		workerIDs = sortedKeys(s.workers)
	}
	for _, id := range taskIDs {
		if t, ok := s.tasks[id]; ok {
			out.Tasks = append(out.Tasks, *t)
		} else {
			out.RemovedTasks = append(out.RemovedTasks, id)
		}
	}
	for _, id := range workerIDs {
		if w, ok := s.workers[id]; ok {
			out.Workers = append(out.Workers, w.Worker)
		} else {
			out.RemovedWorkers = append(out.RemovedWorkers, id)
		}
	}
	c.all, c.config = false, false
	clear(c.tasks)
	clear(c.workers)
	return out
}
