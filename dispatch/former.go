package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

// formerAttempt is an attempt that ended or was voided while starts of it might still
// be carried out. It explains a run that begins afterwards.
type formerAttempt struct {
	ref    workflow.TaskRef
	number uint32
	life   workflow.Incarnation
	reason string
	// starts were sent; inFlight of them may still be carried out.
	starts, inFlight int
	overAt           Instant
	// sentAt is when this leader sent the latest start, zero if it sent none.
	sentAt Instant
}

const (
	// formerAttemptRetention is how long a former attempt is kept.
	formerAttemptRetention = 30 * time.Second
	// maxFormerAttempts bounds the former attempts that are kept.
	maxFormerAttempts = 4096
)

// recordFormerAttempt keeps an attempt that is over if a start of it may still be
// carried out.
func (e *Engine) recordFormerAttempt(v *workerView, a *attempt, reason string) {
	for len(e.formerAttempts) > 0 && (len(e.formerAttempts) >= maxFormerAttempts || e.since(e.formerAttempts[0].overAt) > formerAttemptRetention) {
		e.formerAttempts = e.formerAttempts[1:]
	}
	if n := a.startsInFlight(); n > 0 {
		e.formerAttempts = append(e.formerAttempts, formerAttempt{a.ref, a.number, v.worker.Life, reason, a.startsSent, n, e.now, a.lastSentAt})
	}
}

// logUnknownAttempt logs a running attempt that is not recorded, with what is known
// of the order that started it, and counts it.
func (e *Engine) logUnknownAttempt(v *workerView, r *RunningAttempt) {
	e.countStray(v, r)
	event := e.log.Warn().Stringer("task", r.Task).Uint32("attempt", r.Attempt).Str("worker", v.worker.Life.Name).Int64("born_ms", v.worker.Life.BornMs).Uint64("term", e.term)
	if job := e.state.Job(r.Task.Job); job == nil {
		event = event.Str("recorded", "no job")
	} else if task := job.Task(r.Task); task != nil {
		event = event.Uint32("recorded_attempt", task.Attempt).Uint8("recorded_state", uint8(task.State)).Uint32("recorded_worker", uint32(task.Worker))
	}
	for _, f := range e.formerAttempts {
		if f.ref == r.Task && f.number == r.Attempt && f.life.Name == v.worker.Life.Name {
			event = event.Str("over", f.reason).Dur("over_for", e.since(f.overAt)).Int64("sent_to_born_ms", f.life.BornMs).Int("starts", f.starts).Int("in_flight", f.inFlight)
			if f.sentAt != 0 {
				event = event.Dur("sent_ago", e.since(f.sentAt))
			}
		}
	}
	event.Msg("unknown attempt")
}
