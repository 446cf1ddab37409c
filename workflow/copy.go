package workflow

import (
	"slices"

	"mangohill.example/mangohill/kind"
)

// PlaceCopy assigns a second attempt of a running task, a copy, to another worker. The step
// must be Duplicable. Attempt must be higher than the number of any earlier attempt. The
// first attempt that ends as done ends the task.
type PlaceCopy struct {
	Task    TaskRef  `cbor:"1,keyasint"`
	Worker  WorkerID `cbor:"2,keyasint"`
	Attempt uint32   `cbor:"3,keyasint"`
}

// Copy is the copy of a task that is not done. Its fields are those of TaskRef without the
// job.
type Copy struct {
	Occurrence uint32 `cbor:"1,keyasint,omitempty"`
	Step       uint32 `cbor:"2,keyasint,omitempty"`
	Index      uint32 `cbor:"3,keyasint,omitempty"`
	// Worker is the one that may run the copy, zero once the copy has ended. Its number is
	// kept then, since no later attempt may have it.
	Worker  WorkerID `cbor:"4,keyasint,omitempty"`
	Attempt uint32   `cbor:"5,keyasint"`
}

func (c *Copy) isOf(ref TaskRef) bool {
	return c.Index == ref.Index && c.Step == ref.Step && c.Occurrence == ref.Occurrence
}

// CopyOf returns the latest copy of a task that is not done, nil if it had none since its
// current attempt began.
func (j *Job) CopyOf(ref TaskRef) *Copy {
	for i := range j.Copies {
		if j.Copies[i].isOf(ref) {
			return &j.Copies[i]
		}
	}
	return nil
}

// LastAttempt returns the highest number of any attempt of a task, zero before the first.
func (j *Job) LastAttempt(ref TaskRef) uint32 {
	last := j.Task(ref).Attempt
	if c := j.CopyOf(ref); c != nil {
		last = max(last, c.Attempt)
	}
	return last
}

func (j *Job) forgetCopy(ref TaskRef) {
	j.Copies = slices.DeleteFunc(j.Copies, func(c Copy) bool { return c.isOf(ref) })
	if len(j.Copies) == 0 {
		j.Copies = nil // As in a state from a snapshot.
	}
}

func (s *State) placeCopy(p *PlaceCopy) error {
	job, w := s.jobs[p.Task.Job], s.workers[p.Worker]
	if job == nil || w == nil || !job.Active() {
		return kind.Errorf(kind.InvalidTransition, "task %s or worker %d does not exist, or the job has ended", p.Task, p.Worker)
	}
	task := job.Task(p.Task)
	if task == nil || task.State != TaskPlaced || task.Worker == p.Worker || p.Attempt <= job.LastAttempt(p.Task) {
		return kind.Errorf(kind.StaleEpoch, "task %s cannot start attempt %d as a copy on worker %d: not placed, placed there, or not a higher number", p.Task, p.Attempt, p.Worker)
	}
	step, earlier := &job.Spec.Steps[p.Task.Step], job.CopyOf(p.Task)
	if !step.Duplicable || step.Gang || step.Lasting || earlier != nil && earlier.Worker != 0 {
		return kind.Errorf(kind.InvalidTransition, "task %s allows no copy or has one", p.Task)
	}
	if err := s.hold(w, job, p.Task, p.Attempt); err != nil {
		return err
	}
	job.forgetCopy(p.Task)
	job.Copies = append(job.Copies, Copy{Occurrence: p.Task.Occurrence, Step: p.Task.Step, Index: p.Task.Index, Worker: p.Worker, Attempt: p.Attempt})
	return nil
}

// releaseCopy handles the end of an attempt of a placed task on w. It reports whether the
// attempt was the copy, which is over then, or has a copy, which takes its place.
func (j *Job) releaseCopy(w WorkerID, ref TaskRef, task *Task, attempt uint32) (handled bool) {
	c := j.CopyOf(ref)
	if c == nil || c.Worker == 0 {
		return false
	}
	switch {
	case c.Attempt == attempt && c.Worker == w:
		c.Worker = 0
		return true
	case task.Attempt == attempt && task.Worker == w:
		task.Worker, task.Attempt = c.Worker, c.Attempt
		j.forgetCopy(ref)
		return true
	}
	return false
}

// moveCopy records that the copy of a task moved to the next incarnation of its worker.
func (j *Job) moveCopy(from, to WorkerID, ref TaskRef, attempt uint32) {
	if c := j.CopyOf(ref); c != nil && c.Worker == from && c.Attempt == attempt {
		c.Worker = to
	}
}
