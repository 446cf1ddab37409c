package dispatch

import (
	"math"
	"slices"

	"mangohill.example/mangohill/workflow"
)

// dueTimes holds when further occurrences of the active jobs become due, so that those that are
// not due cost nothing.
type dueTimes struct {
	// next holds the next due time of each job that has one, earliest a lower bound of them,
	// all in milliseconds since the Unix epoch.
	next     map[workflow.JobID]int64
	earliest int64
}

func newDueTimes() dueTimes {
	return dueTimes{next: make(map[workflow.JobID]int64), earliest: math.MaxInt64}
}

// schedule records when the next occurrence of a job becomes due.
func (d *dueTimes) schedule(job *workflow.Job, nowMs int64) {
	at, ok := job.Spec.NextDueMs(nowMs)
	if !ok {
		d.forget(job.ID)
		return
	}
	d.next[job.ID] = at
	d.earliest = min(d.earliest, at)
}

func (d *dueTimes) forget(id workflow.JobID) { delete(d.next, id) }

// NextDueMs returns when the next occurrence of an active job is due at the earliest, in
// milliseconds since the Unix epoch, zero if none is known.
func (e *Engine) NextDueMs() int64 {
	if len(e.ready.due.next) == 0 {
		return 0
	}
	return e.ready.due.earliest
}

// markDue calls mark for each job of which a further occurrence is due.
func (d *dueTimes) markDue(nowMs int64, mark func(workflow.JobID)) {
	if nowMs < d.earliest {
		return
	}
	d.earliest = math.MaxInt64
	for id, at := range d.next {
		if at <= nowMs {
			delete(d.next, id)
			mark(id)
		} else {
			d.earliest = min(d.earliest, at)
		}
	}
}

// readyOccurrences returns the due occurrences of a job of which a task may be ready, in
// ascending order. If there are more than MaxReadyOccurrences, it returns half of them from the
// oldest on, which have waited longest, and half up to the latest, which are worth most.
func readyOccurrences(job *workflow.Job, nowMs int64) []uint32 {
	due, limit := job.Spec.DueBy(nowMs), workflow.MaxReadyOccurrences
	var occurrences []uint32
	next := job.Occurrences.Next(0)
	for ; next < due && len(occurrences) < limit/2; next = job.Occurrences.Next(next + 1) {
		if job.Waits(next) {
			occurrences = append(occurrences, next)
		}
	}
	oldest := len(occurrences)
	for o := due; o > next && len(occurrences) < limit; o-- {
		if job.Waits(o - 1) {
			occurrences = append(occurrences, o-1)
		}
	}
	slices.Reverse(occurrences[oldest:])
	return occurrences
}
