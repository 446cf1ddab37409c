package workflow

import (
	"cmp"
	"slices"

	"mangohill.example/mangohill/kind"
)

// unconfirmedRunMs is the time from a placement, in milliseconds, up to which an attempt that is
// void counts as one that never ran: that of a late order, and the lease after it.
const unconfirmedRunMs = 25_000

// LastingEnd records when the latest run of a lasting task was over, so that the next leader knows
// for how long the task has waited. Times are in milliseconds since the Unix epoch, by the clocks of
// the leaders that recorded them.
type LastingEnd struct {
	_    struct{} `cbor:",toarray"`
	Task TaskRef
	AtMs int64
	// PlacedMs is when its next attempt was placed, zero while the task is pending.
	PlacedMs int64
}

// LastingEndMs returns when the latest run of a lasting task was over that waits for its next one, or
// whose next attempt is placed, in milliseconds since the Unix epoch. It returns false if none is
// known.
func (j *Job) LastingEndMs(task TaskRef) (int64, bool) {
	if at, known := j.findLastingEnd(task); known {
		return j.LastingEnds[at].AtMs, true
	}
	return 0, false
}

// LastingEndAfterVoid returns what LastingEndMs returns once the attempt of a lasting task is void at
// nowMs.
func (j *Job) LastingEndAfterVoid(task TaskRef, nowMs int64) int64 {
	at, known := j.findLastingEnd(task)
	if !known {
		return nowMs
	}
	if e := j.LastingEnds[at]; nowMs-e.PlacedMs < unconfirmedRunMs {
		return min(e.AtMs, nowMs)
	}
	return nowMs
}

// findLastingEnd returns the index at which the end of the task is, or would be, in LastingEnds.
func (j *Job) findLastingEnd(task TaskRef) (int, bool) {
	return slices.BinarySearchFunc(j.LastingEnds, task, func(e LastingEnd, task TaskRef) int {
		return cmp.Or(cmp.Compare(e.Task.Occurrence, task.Occurrence), cmp.Compare(e.Task.Step, task.Step), cmp.Compare(e.Task.Index, task.Index))
	})
}

// recordLastingEnd keeps the list in the order of its tasks: the attempts of a worker end in no
// order.
func (j *Job) recordLastingEnd(task TaskRef, atMs int64) {
	at, known := j.findLastingEnd(task)
	if !known {
		j.LastingEnds = slices.Insert(j.LastingEnds, at, LastingEnd{Task: task})
	}
	j.LastingEnds[at].AtMs, j.LastingEnds[at].PlacedMs = atMs, 0
}

// setLastingEnd records the end of a run of a lasting task that its worker has not listed.
func (s *State) setLastingEnd(e *LastingEnd) error {
	job := s.jobs[e.Task.Job]
	if job == nil || job.Task(e.Task) == nil || !job.Spec.Steps[e.Task.Step].Lasting {
		return kind.Errorf(kind.InvalidTransition, "task %s is no lasting task of a job", e.Task)
	}
	job.recordLastingEnd(e.Task, e.AtMs)
	return nil
}

func (j *Job) placeLasting(task TaskRef, nowMs int64) {
	if at, known := j.findLastingEnd(task); known {
		j.LastingEnds[at].PlacedMs = nowMs
	}
}
