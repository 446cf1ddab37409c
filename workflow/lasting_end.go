package workflow

import (
	"cmp"
	"slices"
)

// LastingEnd records when the latest attempt of a lasting task was over, so that the next leader
// knows for how long the task has waited. AtMs is in milliseconds since the Unix epoch, by the clock
// of the leader that recorded it.
type LastingEnd struct {
	_    struct{} `cbor:",toarray"`
	Task TaskRef
	AtMs int64
}

// LastingEndMs returns when the latest attempt of a lasting task that waits was over, in
// milliseconds since the Unix epoch. It returns false if the task does not wait, or if an earlier
// version of the program recorded its end.
func (j *Job) LastingEndMs(task TaskRef) (int64, bool) {
	for i := range j.LastingEnds {
		if j.LastingEnds[i].Task == task {
			return j.LastingEnds[i].AtMs, true
		}
	}
	return 0, false
}

// recordLastingEnd keeps the list in the order of its tasks: the attempts of a worker end in no
// order.
func (j *Job) recordLastingEnd(task TaskRef, atMs int64) {
	at, known := slices.BinarySearchFunc(j.LastingEnds, task, func(e LastingEnd, task TaskRef) int {
		return cmp.Or(cmp.Compare(e.Task.Occurrence, task.Occurrence), cmp.Compare(e.Task.Step, task.Step), cmp.Compare(e.Task.Index, task.Index))
	})
	if known {
		j.LastingEnds[at].AtMs = atMs
		return
	}
	j.LastingEnds = slices.Insert(j.LastingEnds, at, LastingEnd{Task: task, AtMs: atMs})
}

func (j *Job) forgetLastingEnd(task TaskRef) {
	j.LastingEnds = slices.DeleteFunc(j.LastingEnds, func(e LastingEnd) bool { return e.Task == task })
	if len(j.LastingEnds) == 0 {
		j.LastingEnds = nil // As in a state from a snapshot.
	}
}
