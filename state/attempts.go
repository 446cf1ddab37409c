package state

import (
	"slices"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

const (
	// maxFailedAttempts is the number of failed attempts at which a task fails, unless
	// it is a replica of a service.
	maxFailedAttempts = 12
	// maxFailedOnWorkers limits the list of workers on which a task failed most
	// recently.
	maxFailedOnWorkers = 8
)

func (op Start) apply(s *Store) Result {
	t, ok := s.tasks[op.Task]
	if !ok {
		return refuse(kind.NotFound, "task %d does not exist", op.Task)
	}
	w, ok := s.workers[op.Worker]
	if !ok {
		return refuse(kind.NotFound, "worker %d does not exist", op.Worker)
	}
	if op.Epoch != t.Epoch+1 {
		return refuse(kind.StaleEpoch, "task %q: start at epoch %d, current epoch is %d", t.Name, op.Epoch, t.Epoch)
	}
	if w.State != types.WorkerReady {
		return refuse(kind.InvalidTransition, "task %q: worker %q is %s", t.Name, w.Name, w.State)
	}
	if w.Evacuated {
		return refuse(kind.InvalidTransition, "task %q: failure domain %q of worker %q is evacuated", t.Name, w.FailureDomain, w.Name)
	}
	if committed := w.Committed.Add(t.Job.Request); !committed.Fits(w.Capacity) {
		return refuse(kind.CapacityExceeded, "task %q does not fit on worker %q: committed %+v of %+v, requested %+v",
			t.Name, w.Name, w.Committed, w.Capacity, t.Job.Request)
	}
	if err := s.transitionTask(t, "start"); err != nil {
		return Result{Err: err}
	}
	t.Epoch = op.Epoch
	t.Reason = op.Reason
	s.place(t, w)
	s.record(EventTaskStarted, t.Name, w.Name)
	return Result{}
}

// currentAttempt returns the task if it is placed on a worker and has the given
// epoch. The error is of kind not_found or stale_epoch.
func (s *Store) currentAttempt(id types.TaskID, epoch uint64) (*types.Task, *kind.Error) {
	t, ok := s.tasks[id]
	if !ok {
		return nil, kind.Errorf(kind.NotFound, "task %d does not exist", id)
	}
	if epoch != t.Epoch || !t.State.Placed() {
		return nil, kind.Errorf(kind.StaleEpoch, "task %q: epoch %d is not under way, current epoch is %d, state %s", t.Name, epoch, t.Epoch, t.State)
	}
	return t, nil
}

func (op Checkpoint) apply(s *Store) Result {
	t, err := s.currentAttempt(op.Task, op.Epoch)
	if err != nil {
		return Result{Err: err}
	}
	if t.Stopping != "" {
		return refuse(kind.InvalidTransition, "task %q is already ending as %s", t.Name, t.Stopping)
	}
	if err := s.transitionTask(t, "checkpoint"); err != nil {
		return Result{Err: err}
	}
	t.Stopping = types.TaskEvicted
	t.Reason = op.Reason
	s.record(EventTaskCheckpointing, t.Name, op.Reason)
	return Result{}
}

func (op Throttle) apply(s *Store) Result {
	t, err := s.currentAttempt(op.Task, op.Epoch)
	if err != nil {
		return Result{Err: err}
	}
	if t.Stopping != "" {
		return refuse(kind.InvalidTransition, "task %q is already ending as %s", t.Name, t.Stopping)
	}
	if op.ShareMilli < 0 || op.ShareMilli >= types.MilliPerProcessor {
		return refuse(kind.BadRequest, "task %q: share of %d thousandths", t.Name, op.ShareMilli)
	}
	t.ShareMilli = op.ShareMilli
	t.Reason = op.Reason
	s.changes.task(t.ID)
	if op.ShareMilli > 0 {
		s.record(EventTaskThrottled, t.Name, op.Reason)
	}
	return Result{}
}

func (op Stop) apply(s *Store) Result {
	t, err := s.currentAttempt(op.Task, op.Epoch)
	if err != nil {
		return Result{Err: err}
	}
	then := op.Then
	switch then {
	case "":
		then = types.TaskEvicted
	case types.TaskEvicted, types.TaskFinished:
	default:
		return refuse(kind.BadRequest, "task %q: a stopped attempt cannot leave the task %s", t.Name, then)
	}
	if t.Stopping == types.TaskCancelled {
		return Result{}
	}
	t.Stopping = then
	t.Reason = op.Reason
	s.changes.task(t.ID)
	s.record(EventTaskStopping, t.Name, op.Reason)
	return Result{}
}

func (op Report) apply(s *Store) Result {
	w, ok := s.workers[op.Worker]
	if !ok {
		return refuse(kind.NotFound, "worker %d does not exist", op.Worker)
	}
	if op.Incarnation != w.Incarnation {
		return refuse(kind.StaleIncarnation, "worker %q: report of incarnation %d, current is %d", w.Name, op.Incarnation, w.Incarnation)
	}
	t, err := s.currentAttempt(op.Task, op.Epoch)
	if err != nil {
		return Result{Err: err}
	}
	if t.Worker != w.ID {
		return refuse(kind.StaleEpoch, "task %q: epoch %d is not on worker %q", t.Name, op.Epoch, w.Name)
	}
	switch op.State {
	case AttemptRunning:
		return s.reportRunning(t, "run")
	case AttemptThrottled:
		return s.reportRunning(t, "throttle")
	case AttemptCheckpointed:
		t.Checkpoint = op.Checkpoint
		return s.endAttempt(t, "evict", op.Reason)
	case AttemptStopped:
		return s.endAttempt(t, "evict", op.Reason)
	case AttemptFinished:
		return s.reportFinished(t, op.Reason)
	case AttemptFailed:
		return s.reportFailed(t, w, op.Reason)
	}
	return refuse(kind.BadRequest, "task %q: reported state %d is not known", t.Name, op.State)
}

func (s *Store) reportRunning(t *types.Task, event string) Result {
	next, chartErr := taskChart.Next(string(t.State), event)
	if chartErr == nil && next == string(t.State) {
		return Result{}
	}
	started := t.State == types.TaskStarting
	if err := s.transitionTask(t, event); err != nil {
		return Result{Err: err}
	}
	if started {
		s.record(EventTaskRunning, t.Name, s.workers[t.Worker].Name)
	}
	return Result{}
}

// endAttempt ends the current attempt without counting it as finished or failed. The
// task becomes pending again, or cancelled or finished if that was requested.
func (s *Store) endAttempt(t *types.Task, event, reason string) Result {
	switch t.Stopping {
	case types.TaskCancelled:
		event = "cancel"
	case types.TaskFinished:
		event = "finish"
	}
	wasRunning := t.State != types.TaskStarting
	if err := s.transitionTask(t, event); err != nil {
		return Result{Err: err}
	}
	if reason != "" {
		t.Reason = reason
	}
	s.release(t)
	if t.State == types.TaskEvicted {
		if wasRunning {
			t.Evictions++
		}
		s.record(EventTaskEvicted, t.Name, t.Reason)
		return Result{}
	}
	s.recordTaskEnd(t)
	return Result{}
}

func (s *Store) reportFinished(t *types.Task, reason string) Result {
	event := "finish"
	if t.Job.Kind == types.KindService {
		event = "exit"
	}
	if event == "exit" && t.Stopping != "" {
		return s.endAttempt(t, "evict", reason)
	}
	if err := s.transitionTask(t, event); err != nil {
		return Result{Err: err}
	}
	t.Reason = reason
	s.release(t)
	s.recordTaskEnd(t)
	return Result{}
}

func (s *Store) reportFailed(t *types.Task, w *worker, reason string) Result {
	t.Failures++
	t.FailedOn = appendMostRecent(t.FailedOn, w.ID)
	event := "fail"
	switch {
	case t.Stopping == types.TaskCancelled:
		event = "cancel"
	case t.Stopping == types.TaskFinished:
		event = "finish"
	case t.Failures >= maxFailedAttempts && t.Job.Kind != types.KindService:
		event = "exhaust"
	}
	if err := s.transitionTask(t, event); err != nil {
		return Result{Err: err}
	}
	t.Reason = reason
	s.release(t)
	s.record(EventAttemptFailed, t.Name, w.Name+": "+reason)
	s.recordTaskEnd(t)
	return Result{}
}

func appendMostRecent(list []types.WorkerID, id types.WorkerID) []types.WorkerID {
	kept := make([]types.WorkerID, 0, len(list)+1)
	for _, other := range list {
		if other != id {
			kept = append(kept, other)
		}
	}
	kept = append(kept, id)
	if len(kept) > maxFailedOnWorkers {
		kept = slices.Delete(kept, 0, len(kept)-maxFailedOnWorkers)
	}
	return kept
}
