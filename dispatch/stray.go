package dispatch

import (
	"slices"

	"mangohill.example/mangohill/workflow"
)

// stray is an attempt that runs on a worker although it is not recorded: its start was
// carried out after it was voided. It is stopped, and until it has ended its task must
// not start again, nor any other task on the worker, whose free capacity is unknown.
type stray struct {
	worker workflow.WorkerID
	ref    workflow.TaskRef
	number uint32
}

// stopStray stops a running attempt that is not recorded.
func (e *Engine) stopStray(v *workerView, r *RunningAttempt) {
	e.logUnknownAttempt(v, r)
	// The worker has less room than is recorded until the attempt has stopped.
	v.quarantinedUntil = max(v.quarantinedUntil, e.now.Add(unhealthyQuarantine))
	if s := (stray{v.worker.ID, r.Task, r.Attempt}); !slices.Contains(e.strays, s) {
		e.strays = append(e.strays, s)
	}
	if o := e.open(v.worker, r.Task, r.Attempt, true); o != nil {
		o.uncounted = true
	}
	e.issueOrder(v, Order{Verb: Stop, Task: r.Task, Attempt: r.Attempt})
}

// forgetStrays forgets the strays on a worker that do not run there any more.
func (e *Engine) forgetStrays(id workflow.WorkerID, running []RunningAttempt) {
	e.strays = slices.DeleteFunc(e.strays, func(s stray) bool {
		if s.worker != id || slices.ContainsFunc(running, func(r RunningAttempt) bool { return r.Task == s.ref && r.Attempt == s.number }) {
			return false
		}
		e.ready.markDirty(s.ref.Job)
		return true
	})
}

// heldByStray reports whether a task must not be started on a worker because of a stray.
func (e *Engine) heldByStray(id workflow.WorkerID, ref workflow.TaskRef) bool {
	return slices.ContainsFunc(e.strays, func(s stray) bool { return s.worker == id || s.ref == ref })
}

// strayOf reports whether a stray of the task runs.
func (e *Engine) strayOf(ref workflow.TaskRef) bool {
	return slices.ContainsFunc(e.strays, func(s stray) bool { return s.ref == ref })
}

// strayOn reports whether a stray runs on a worker.
func (e *Engine) strayOn(id workflow.WorkerID) bool {
	return slices.ContainsFunc(e.strays, func(s stray) bool { return s.worker == id })
}

// dropHeldTasks removes the tasks from a step of which a stray runs.
func (e *Engine) dropHeldTasks(s *readyStep) {
	if len(e.strays) == 0 {
		return
	}
	s.pending = slices.DeleteFunc(s.pending, func(i uint32) bool {
		ref := s.task(i)
		return slices.ContainsFunc(e.strays, func(other stray) bool { return other.ref == ref })
	})
}
