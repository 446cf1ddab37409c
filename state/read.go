package state

import (
	"cmp"
	"maps"
	"slices"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// Config returns the current configuration.
func (s *Store) Config() (version uint64, text string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configVersion, s.configText
}

// NowMs returns the time of the newest entry, in milliseconds since the Unix epoch.
func (s *Store) NowMs() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.nowMs
}

// Tasks returns copies of all tasks in ascending order of IDs.
func (s *Store) Tasks() []types.Task {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]types.Task, 0, len(s.tasks))
	for _, id := range sortedKeys(s.tasks) {
		out = append(out, *s.tasks[id])
	}
	return out
}

// Task returns a copy of the task with the given ID.
func (s *Store) Task(id types.TaskID) (types.Task, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.tasks[id]
	if !ok {
		return types.Task{}, false
	}
	return *t, true
}

// TaskNamed returns a copy of the task with the given name.
func (s *Store) TaskNamed(name string) (types.Task, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.tasks[s.taskNames[name]]
	if !ok {
		return types.Task{}, false
	}
	return *t, true
}

// JobTasks returns copies of the tasks of a job, none if it does not exist.
func (s *Store) JobTasks(name string) []types.Task {
	s.mu.RLock()
	defer s.mu.RUnlock()
	j, ok := s.jobs[name]
	if !ok {
		return nil
	}
	out := make([]types.Task, 0, len(j.tasks))
	for _, id := range j.tasks {
		out = append(out, *s.tasks[id])
	}
	return out
}

// Workers returns copies of all workers in ascending order of IDs.
func (s *Store) Workers() []types.Worker {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]types.Worker, 0, len(s.workers))
	for _, id := range sortedKeys(s.workers) {
		out = append(out, s.workers[id].Worker)
	}
	return out
}

// Worker returns a copy of the worker with the given ID.
func (s *Store) Worker(id types.WorkerID) (types.Worker, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w, ok := s.workers[id]
	if !ok {
		return types.Worker{}, false
	}
	return w.Worker, true
}

// WorkerNamed returns a copy of the worker with the given name.
func (s *Store) WorkerNamed(name string) (types.Worker, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w, ok := s.workers[s.workerNames[name]]
	if !ok {
		return types.Worker{}, false
	}
	return w.Worker, true
}

// Attempts returns copies of the tasks placed on a worker, in ascending order of
// IDs.
func (s *Store) Attempts(id types.WorkerID) []types.Task {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w, ok := s.workers[id]
	if !ok {
		return nil
	}
	out := make([]types.Task, 0, len(w.attempts))
	for _, task := range w.attempts {
		out = append(out, *s.tasks[task])
	}
	return out
}

// Events returns the kept events from sinceMs (milliseconds since the Unix epoch) on,
// oldest first.
func (s *Store) Events(sinceMs int64) []Event {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.DeleteFunc(s.events.ordered(), func(e Event) bool { return e.AtMs < sinceMs })
}

// Outcomes returns the kept command outcomes, oldest first.
func (s *Store) Outcomes() []Outcome {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]Outcome, 0, len(s.commands.outcomeOrder))
	for _, id := range s.commands.outcomeOrder {
		out = append(out, *s.commands.outcomes[id])
	}
	return out
}

// CheckInvariants returns an error of kind internal if the state breaks an invariant:
// the committed resources of a worker are the sum over its attempts and within its
// capacity, and a task is placed exactly if it is among the attempts of a worker.
func (s *Store) CheckInvariants() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, id := range sortedKeys(s.workers) {
		if err := s.checkWorker(s.workers[id]); err != nil {
			return err
		}
	}
	for _, id := range sortedKeys(s.tasks) {
		t := s.tasks[id]
		if t.State.Placed() != (t.Worker != 0) {
			return kind.Errorf(kind.Internal, "task %q: state %s does not match worker %d", t.Name, t.State, t.Worker)
		}
		if t.Worker != 0 && !slices.Contains(s.workers[t.Worker].attempts, t.ID) {
			return kind.Errorf(kind.Internal, "task %q is missing from the attempts of worker %d", t.Name, t.Worker)
		}
	}
	return nil
}

func (s *Store) checkWorker(w *worker) error {
	var sum types.Resources
	for _, id := range w.attempts {
		sum = sum.Add(s.tasks[id].Job.Request)
	}
	if sum != w.Committed {
		return kind.Errorf(kind.Internal, "worker %q: committed %+v, sum of attempts %+v", w.Name, w.Committed, sum)
	}
	if !sum.Fits(w.Capacity) {
		return kind.Errorf(kind.Internal, "worker %q: committed %+v exceeds the capacity %+v", w.Name, sum, w.Capacity)
	}
	return nil
}
