package schedule

import "mangohill.example/mangohill/types"

// Action is one decision of the scheduler, to be applied by the replicated state.
type Action interface {
	// Cause returns the reason for the action in words.
	Cause() string
	isAction()
}

// Start starts a new attempt of a pending task. Epoch is the number of the new
// attempt, one more than the task's epoch.
type Start struct {
	Task   types.TaskID
	Worker types.WorkerID
	Epoch  uint64
	Reason string
}

// Checkpoint ends the attempt after a checkpoint, so that the task can resume
// elsewhere. The task becomes evicted once the worker has confirmed.
type Checkpoint struct {
	Task   types.TaskID
	Epoch  uint64
	Reason string
}

// Throttle limits the attempt to ShareMilli thousandths of its processors.
type Throttle struct {
	Task       types.TaskID
	Epoch      uint64
	ShareMilli int64
	Reason     string
}

// Unthrottle lifts the limit of a throttled attempt.
type Unthrottle struct {
	Task   types.TaskID
	Epoch  uint64
	Reason string
}

// Stop ends the attempt without a checkpoint. Then is the state that the task
// takes once the worker has confirmed: TaskEvicted to run again, TaskFinished
// for a replica whose replacement runs.
type Stop struct {
	Task   types.TaskID
	Epoch  uint64
	Then   types.TaskState
	Reason string
}

// Replace asks the state for one more replica of the service that Task belongs
// to, with Replaces set to Task, so that the replacement runs before Task stops.
type Replace struct {
	Task   types.TaskID
	Epoch  uint64
	Reason string
}

// Quarantine stops the placement of tasks on a worker on which several jobs failed.
type Quarantine struct {
	Worker types.WorkerID
	Reason string
}

// Release ends the quarantine of a worker.
type Release struct {
	Worker types.WorkerID
	Reason string
}

// Park takes a pending task out of scheduling until an operator acts.
type Park struct {
	Task   types.TaskID
	Reason string
}

// Cause returns the reason of the action.
func (a Start) Cause() string { return a.Reason }

// Cause returns the reason of the action.
func (a Checkpoint) Cause() string { return a.Reason }

// Cause returns the reason of the action.
func (a Throttle) Cause() string { return a.Reason }

// Cause returns the reason of the action.
func (a Unthrottle) Cause() string { return a.Reason }

// Cause returns the reason of the action.
func (a Stop) Cause() string { return a.Reason }

// Cause returns the reason of the action.
func (a Replace) Cause() string { return a.Reason }

// Cause returns the reason of the action.
func (a Quarantine) Cause() string { return a.Reason }

// Cause returns the reason of the action.
func (a Release) Cause() string { return a.Reason }

// Cause returns the reason of the action.
func (a Park) Cause() string { return a.Reason }

func (Start) isAction()      {}
func (Checkpoint) isAction() {}
func (Throttle) isAction()   {}
func (Unthrottle) isAction() {}
func (Stop) isAction()       {}
func (Replace) isAction()    {}
func (Quarantine) isAction() {}
func (Release) isAction()    {}
func (Park) isAction()       {}
