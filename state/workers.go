package state

import (
	"slices"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

const (
	// maxWorkers limits the workers in the state, including lost ones.
	maxWorkers = 4096
	// lostWorkerRetentionMs is how long at least a lost worker stays visible to
	// operators, in milliseconds of Store.ageMs, unless maxWorkers is reached.
	lostWorkerRetentionMs = 24 * 60 * 60 * 1000
)

func (op Register) apply(s *Store) Result {
	if op.Worker == "" || !validAmounts(op.Capacity) {
		return refuse(kind.BadRequest, "worker %q: capacity %+v", op.Worker, op.Capacity)
	}
	w, ok := s.workers[s.workerNames[op.Worker]]
	if !ok {
		s.removeLongLostWorkers()
		if len(s.workers) >= maxWorkers && !s.removeOldestLostWorker() {
			return refuse(kind.Overloaded, "worker %q: the cluster holds %d workers", op.Worker, len(s.workers))
		}
		w = s.addWorker(op.Worker)
	}
	if op.Incarnation < w.Incarnation {
		return refuse(kind.StaleIncarnation, "worker %q: incarnation %d is below %d", op.Worker, op.Incarnation, w.Incarnation)
	}
	if op.Incarnation > w.Incarnation {
		s.endAttempts(w, "worker "+w.Name+" restarted")
	}
	if !w.Committed.Fits(op.Capacity) {
		return refuse(kind.CapacityExceeded, "worker %q: capacity %+v is below the committed %+v of the same incarnation", w.Name, op.Capacity, w.Committed)
	}
	return s.updateRegistration(w, op)
}

// updateRegistration stores the worker's registration and begins a new session. A
// leaving worker becomes ready only as a new incarnation.
func (s *Store) updateRegistration(w *worker, op Register) Result {
	staysLeaving := op.Incarnation == w.Incarnation && w.State == types.WorkerLeaving
	w.Incarnation = op.Incarnation
	w.Session++
	w.FailureDomain = op.FailureDomain
	w.Rack = op.Rack
	w.Capacity = op.Capacity
	s.updateEvacuated(w)
	wasLost := w.State == types.WorkerLost
	if !staysLeaving {
		if err := s.transitionWorker(w, "register"); err != nil {
			return Result{Err: err}
		}
	}
	if op.Leaving && !staysLeaving {
		return s.markLeaving(w)
	}
	if w.DrainRequested && w.State == types.WorkerReady {
		return Result{Err: s.transitionWorker(w, "drain"), Worker: w.ID, Version: w.Session}
	}
	if wasLost {
		s.record(EventWorkerJoined, w.Name, "")
	}
	return Result{Worker: w.ID, Version: w.Session}
}

func (s *Store) markLeaving(w *worker) Result {
	if err := s.transitionWorker(w, "leave"); err != nil {
		return Result{Err: err}
	}
	s.stopStarting(w, "worker "+w.Name+" is leaving")
	s.record(EventWorkerLeaving, w.Name, "")
	return Result{Worker: w.ID, Version: w.Session}
}

func (s *Store) addWorker(name string) *worker {
	w := &worker{Worker: types.Worker{ID: s.nextWorker, Name: name, State: types.WorkerLost}}
	s.nextWorker++
	s.workers[w.ID] = w
	s.workerNames[name] = w.ID
	return w
}

// removeOldestLostWorker removes the lost worker with the lowest ID and reports
// whether there was one.
func (s *Store) removeOldestLostWorker() bool {
	var oldest *worker
	for _, w := range s.workers {
		if w.State == types.WorkerLost && len(w.attempts) == 0 && (oldest == nil || w.ID < oldest.ID) {
			oldest = w
		}
	}
	if oldest == nil {
		return false
	}
	s.removeWorker(oldest)
	return true
}

// removeLongLostWorkers removes the lost workers whose retention has ended. Hosts are
// replaced under new names every day, so lost workers would otherwise accumulate.
func (s *Store) removeLongLostWorkers() {
	for _, id := range sortedKeys(s.workers) {
		w := s.workers[id]
		if w.State == types.WorkerLost && len(w.attempts) == 0 && s.ageMs-w.LostMs >= lostWorkerRetentionMs {
			s.removeWorker(w)
		}
	}
}

func (s *Store) removeWorker(w *worker) {
	delete(s.workers, w.ID)
	delete(s.workerNames, w.Name)
	s.changes.worker(w.ID)
}

// endAttempts ends all attempts of a worker that certainly runs none of them any
// more.
func (s *Store) endAttempts(w *worker, reason string) {
	for _, id := range slices.Clone(w.attempts) {
		s.endAttempt(s.tasks[id], "evict", reason)
	}
}

// stopStarting requests the end of the attempts that the worker has not yet reported
// as running, so that none of them begins late on a draining or leaving worker.
func (s *Store) stopStarting(w *worker, reason string) {
	for _, id := range w.attempts {
		t := s.tasks[id]
		if t.State != types.TaskStarting || t.Stopping != "" {
			continue
		}
		t.Stopping = types.TaskEvicted
		t.Reason = reason
		s.changes.task(id)
	}
}

func (op LeaseExpired) apply(s *Store) Result {
	w, ok := s.workers[op.Worker]
	if !ok {
		return refuse(kind.NotFound, "worker %d does not exist", op.Worker)
	}
	if op.Incarnation != w.Incarnation || op.Session != w.Session {
		return refuse(kind.StaleIncarnation, "worker %q: end of the lease of incarnation %d, session %d; current is %d, session %d",
			w.Name, op.Incarnation, op.Session, w.Incarnation, w.Session)
	}
	s.endAttempts(w, "the lease of worker "+w.Name+" is over")
	if w.State == types.WorkerLost {
		return Result{}
	}
	if err := s.transitionWorker(w, "lose"); err != nil {
		return Result{Err: err}
	}
	w.LostMs = s.ageMs
	s.record(EventWorkerLost, w.Name, "")
	return Result{}
}

func (op Drain) apply(s *Store) Result {
	w, ok := s.workers[s.workerNames[op.Worker]]
	if !ok {
		return refuse(kind.NotFound, "worker %q does not exist", op.Worker)
	}
	w.DrainRequested = !op.Undo
	s.changes.worker(w.ID)
	switch {
	case !op.Undo && (w.State == types.WorkerReady || w.State == types.WorkerQuarantined):
		s.stopStarting(w, "worker "+w.Name+" is draining")
		s.record(EventWorkerDraining, w.Name, "")
		return Result{Err: s.transitionWorker(w, "drain")}
	case op.Undo && w.State == types.WorkerDraining:
		s.record(EventWorkerUndrained, w.Name, "")
		return Result{Err: s.transitionWorker(w, "undrain")}
	}
	return Result{}
}

func (op Quarantine) apply(s *Store) Result {
	w, ok := s.workers[op.Worker]
	if !ok {
		return refuse(kind.NotFound, "worker %d does not exist", op.Worker)
	}
	if err := s.transitionWorker(w, "quarantine"); err != nil {
		return Result{Err: err}
	}
	w.Reason = op.Reason
	s.record(EventWorkerQuarantined, w.Name, op.Reason)
	return Result{}
}

func (op EndQuarantine) apply(s *Store) Result {
	w, ok := s.workers[op.Worker]
	if !ok {
		return refuse(kind.NotFound, "worker %d does not exist", op.Worker)
	}
	if err := s.transitionWorker(w, "release"); err != nil {
		return Result{Err: err}
	}
	w.Reason = ""
	s.record(EventWorkerReleased, w.Name, "")
	return Result{}
}
