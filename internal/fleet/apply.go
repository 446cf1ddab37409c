package fleet

import (
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/schedule"
	"mangohill.example/mangohill/types"
)

// Apply checks an action as the replicated state does and applies it. It returns an
// error of package kind if the action is invalid.
func (f *Fleet) Apply(action schedule.Action) error {
	switch a := action.(type) {
	case schedule.Start:
		return f.applyStart(a)
	case schedule.Checkpoint:
		return f.applyEnd(a.Task, a.Epoch, types.TaskEvicted, true)
	case schedule.Stop:
		return f.applyEnd(a.Task, a.Epoch, a.Then, false)
	case schedule.Throttle:
		return f.applyShare(a.Task, a.Epoch, a.ShareMilli)
	case schedule.Unthrottle:
		return f.applyShare(a.Task, a.Epoch, 0)
	case schedule.Replace:
		return f.applyReplace(a)
	case schedule.Quarantine:
		return f.applyWorkerState(a.Worker, types.WorkerQuarantined)
	case schedule.Release:
		return f.applyWorkerState(a.Worker, types.WorkerReady)
	case schedule.Park:
		return f.applyPark(a.Task)
	}
	return kind.Errorf(kind.BadRequest, "action %T is unknown", action)
}

func (f *Fleet) applyStart(a schedule.Start) error {
	t := f.tasks[a.Task]
	if t == nil || !t.State.Pending() || a.Epoch != t.Epoch+1 {
		return kind.Errorf(kind.StaleEpoch, "task %d cannot start with epoch %d", a.Task, a.Epoch)
	}
	w := f.workers[a.Worker-1]
	if w.State != types.WorkerReady || w.DrainRequested {
		return kind.Errorf(kind.InvalidTransition, "worker %q doesn't accept tasks", w.Name)
	}
	committed := w.Committed.Add(t.Job.Request)
	if !committed.Fits(w.Capacity) {
		return kind.Errorf(kind.CapacityExceeded, "worker %q has insufficient free capacity for task %q", w.Name, t.Name)
	}
	w.Committed = committed
	w.tasks = append(w.tasks, t)
	t.Worker, t.Epoch = a.Worker, a.Epoch
	t.activeAt = f.now.Add(startDelay)
	if t.fails || w.failsAll {
		t.activeAt = f.now.Add(failDelay)
	}
	f.setState(t, types.TaskStarting)
	return nil
}

func (f *Fleet) applyEnd(id types.TaskID, epoch uint64, finalState types.TaskState, checkpoint bool) error {
	t := f.tasks[id]
	if t == nil || !t.State.Placed() || t.Epoch != epoch {
		return kind.Errorf(kind.StaleEpoch, "task %d has no attempt with epoch %d", id, epoch)
	}
	if t.Stopping != "" && checkpoint {
		return kind.Errorf(kind.InvalidTransition, "task %q is being stopped", t.Name)
	}
	f.Result.countEviction(f, t, checkpoint, finalState)
	t.Stopping = finalState
	t.Evictions++
	if checkpoint {
		t.activeAt = f.now.Add(checkpointDelay)
		f.setState(t, types.TaskCheckpointing)
		return nil
	}
	t.activeAt = f.now.Add(stopDelay)
	f.setState(t, t.State)
	return nil
}

func (f *Fleet) applyShare(id types.TaskID, epoch uint64, share int64) error {
	t := f.tasks[id]
	if t == nil || t.Epoch != epoch || t.Stopping != "" {
		return kind.Errorf(kind.StaleEpoch, "task %d has no attempt with epoch %d", id, epoch)
	}
	if t.State != types.TaskRunning && t.State != types.TaskThrottled {
		return kind.Errorf(kind.InvalidTransition, "task %q is %s", t.Name, t.State)
	}
	t.ShareMilli = share
	if share == 0 {
		f.setState(t, types.TaskRunning)
		return nil
	}
	f.Result.Throttles++
	f.setState(t, types.TaskThrottled)
	return nil
}

func (f *Fleet) applyReplace(a schedule.Replace) error {
	old := f.tasks[a.Task]
	if old == nil || old.Epoch != a.Epoch || old.service < 0 {
		return kind.Errorf(kind.StaleEpoch, "task %d has no attempt with epoch %d", a.Task, a.Epoch)
	}
	t := f.submit(old.Job, old.service, -1, old.work, 1)
	t.Replaces = old.ID
	f.planner.UpsertTask(t.Task)
	return nil
}

func (f *Fleet) applyWorkerState(id types.WorkerID, state types.WorkerState) error {
	w := f.workers[id-1]
	if w.State == types.WorkerLost {
		return kind.Errorf(kind.InvalidTransition, "worker %q is lost", w.Name)
	}
	if state == types.WorkerQuarantined {
		f.Result.Quarantines++
		if !w.failsAll {
			f.Result.WrongQuarantines++
		}
	}
	w.State = state
	f.planner.UpsertWorker(w.Worker)
	return nil
}

func (f *Fleet) applyPark(id types.TaskID) error {
	t := f.tasks[id]
	if t == nil || !t.State.Pending() {
		return kind.Errorf(kind.InvalidTransition, "task %d is not pending", id)
	}
	f.Result.Parks++
	if !t.fails {
		f.Result.WrongParks++
	}
	f.setState(t, types.TaskParked)
	return nil
}
