package dispatch

import (
	"mangohill.example/mangohill/workflow"
)

// absentLooks is the number of looks in a row that must miss an attempt that ran
// before it is asked after.
const absentLooks = 2

// HandleAnswer takes the answer to an order. It returns false if a worker has seen a
// higher fence: another leader acts.
func (e *Engine) HandleAnswer(a *Answer) bool {
	if a.Outcome == Fenced {
		e.log.Warn().Str("worker", a.Order.Life.Name).Uint64("term", e.fence).Msg("fenced by worker")
		return false
	}
	v := e.views[a.Order.Worker]
	if v == nil {
		return true
	}
	if a.Outcome == OtherIncarnation {
		e.endLife(v.worker, "other_life_answers")
		return true
	}
	switch a.Outcome {
	case Unanswered:
		e.counters.Unanswered++
	case NotSent: // It says nothing of the worker.
	default:
		e.noteClock(v, a)
	}
	switch a.Order.Verb {
	case Poll:
		e.looked(v, a)
	case Start:
		e.startAnswered(v, a)
	case Stop:
		e.stopAnswered(v, a)
	case Throttle:
		e.throttleAnswered(v, a)
	}
	return true
}

func (e *Engine) noteClock(v *view, a *Answer) {
	v.heard = e.now
	if a.ClockMs > 0 {
		v.clockMs, v.clockAt = a.ClockMs, e.now
	}
}

// ordered returns the attempt to which an answer belongs, which may be called
// again, or nil if it is over.
func (v *view) ordered(answer *Answer) *attempt {
	a := v.attempts[answer.Order.Task]
	if a == nil || a.number != answer.Order.Attempt {
		return nil
	}
	a.calling = false
	return a
}

func (e *Engine) startAnswered(v *view, answer *Answer) {
	a := v.ordered(answer)
	if a == nil {
		return
	}
	switch answer.Outcome {
	case Done:
		a.unanswered = 0
		if !a.running {
			a.running, a.runningAt, a.absent = true, e.now, 0
		}
	case Unanswered:
		a.unanswered++
		a.retryAt = e.now.Add(orderRetry)
	case NotSent:
		a.retryAt = e.now.Add(orderRetry)
	case Outdated:
		a.settled, a.settledAt = true, e.now
	default:
		e.startRefused(v, a, answer.Outcome)
	}
	e.tendAttempt(v, a)
}

// startRefused handles an answer that says that the order had no effect.
func (e *Engine) startRefused(v *view, a *attempt, outcome Outcome) {
	if outcome == NoTicket {
		e.forgetTicket(v, a.ref)
	}
	if outcome == Unhealthy || outcome == NoRoom {
		v.suspectTo = e.now.Add(suspicion)
	}
	e.log.Info().Stringer("task", a.ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Stringer("outcome", outcome).Int("unanswered", a.unanswered).Uint64("term", e.fence).Msg("start refused")
	if a.unanswered > 0 && outcome != Expired {
		// An earlier call may still be carried out; a stop rules that out.
		a.stopWanted = true
		return
	}
	e.void(v, a, "start_"+outcome.String())
}

func (e *Engine) stopAnswered(v *view, answer *Answer) {
	a := v.ordered(answer)
	if a == nil {
		return
	}
	if answer.Outcome == Done || answer.Outcome == Outdated {
		a.settled, a.settledAt = true, e.now
		return
	}
	a.retryAt = e.now.Add(orderRetry)
}

func (e *Engine) looked(v *view, answer *Answer) {
	if answer.Outcome != Done {
		v.looking = false
		v.nextLook = e.now.Add(lookRetry)
		return
	}
	first := !v.fenced
	v.fenced = true
	if first {
		e.log.Info().Str("worker", v.worker.Life.Name).Int("running", len(answer.Running)).Int("recorded", len(v.attempts)).Uint64("term", e.fence).Msg("worker reached")
	}
	e.takeEnds(v, answer.Ended)
	e.takeRunning(v, answer)
	e.relieve(v)
	e.judge(v)
	// A worker answers a look at once while it lists ends that are not
	// acknowledged, so the next one waits for their record.
	e.then(func() {
		v.looking = false
		e.tend(v)
	})
}

// takeEnds records the ends that are new.
func (e *Engine) takeEnds(v *view, ended []EndedAttempt) {
	before := v.seenEnd
	for i := range ended {
		end := &ended[i]
		if end.Number <= v.seenEnd {
			continue
		}
		v.seenEnd = end.Number
		e.takeEnd(v, end)
	}
	if v.seenEnd == before {
		return
	}
	acked := v.seenEnd
	e.then(func() { v.acked = max(v.acked, acked) })
}

func (e *Engine) takeEnd(v *view, end *EndedAttempt) {
	before := e.state.Job(end.Task.Job)
	active := before != nil && before.Active()
	err := e.decide(workflow.Op{End: &workflow.End{
		Worker: v.worker.ID, Number: end.Number, Task: end.Task, Attempt: end.Attempt, How: end.How, Checkpoint: end.Checkpoint,
	}})
	if err != nil {
		e.log.Error().Err(err).Stringer("task", end.Task).Msg("end not recorded")
		return
	}
	e.countEnd(end.How)
	e.noteEnd(v, end)
	e.ready.touch(end.Task.Job)
	a := v.attempts[end.Task]
	event := e.log.Info().Stringer("task", end.Task).Uint32("attempt", end.Attempt).Str("worker", v.worker.Life.Name).Stringer("how", end.How).Uint64("number", end.Number).Uint64("term", e.fence)
	if a != nil && a.number == end.Attempt {
		event = event.Dur("since_placed", e.since(a.placedAt))
		if step := e.step(end.Task); step != nil {
			event = event.Int64("estimate_ms", step.EstimatedMs).Bool("scavenger", step.Scavenger).Int("share", a.wantShare)
		}
		e.noteDeparted(v, a)
		v.remove(a)
	}
	event.Msg("attempt ended")
	job := e.state.Job(end.Task.Job)
	if active && !job.Active() {
		e.jobEnded(job)
	}
}

// jobEnded stops what still runs of a job, once its end is recorded.
func (e *Engine) jobEnded(job *workflow.Job) {
	e.then(func() {
		e.log.Info().Stringer("job", job.ID).Str("state", string(job.State())).Int64("accepted_ms", job.AcceptedMs).Int64("finished_ms", job.FinishedMs).Uint64("term", e.fence).Msg("job ended")
		e.stopEnded(job)
	})
}

func (e *Engine) countEnd(how workflow.Ending) {
	switch how {
	case workflow.EndDone:
		e.counters.Done++
	case workflow.EndFailed:
		e.counters.Failed++
	case workflow.EndLeaseExpired:
		e.counters.Lapsed++
	default:
		e.counters.Stopped++
	}
}

// takeRunning compares what runs with what is recorded.
func (e *Engine) takeRunning(v *view, answer *Answer) {
	present := make(map[workflow.TaskRef]bool, len(answer.Running))
	for i := range answer.Running {
		r := &answer.Running[i]
		a := v.attempts[r.Task]
		if a == nil || a.number != r.Attempt {
			e.stopUnknown(v, r)
			continue
		}
		present[r.Task], a.seen = true, true
		if !a.running {
			a.running, a.runningAt, a.unanswered = true, e.now, 0
		}
		a.absent, a.percent, a.checkpoint, a.gauge, a.gaugeAt = 0, r.Percent, r.Checkpoint, r.Gauge, e.now
	}
	for _, a := range v.list {
		if !present[a.ref] {
			e.missed(v, a, answer.Order.SentAt)
		}
	}
}

// missed handles an attempt that a look did not show.
func (e *Engine) missed(v *view, a *attempt, lookSent Instant) {
	switch {
	case a.settled && lookSent > a.settledAt:
		e.void(v, a, "not_running")
	case a.running && lookSent > a.runningAt:
		a.absent++
		if a.absent >= absentLooks {
			a.stopWanted = true
		}
	}
}

// stopUnknown stops an attempt that is not recorded: its start was carried out
// after it was given up.
func (e *Engine) stopUnknown(v *view, r *RunningAttempt) {
	e.log.Warn().Stringer("task", r.Task).Uint32("attempt", r.Attempt).Str("worker", v.worker.Life.Name).Uint64("term", e.fence).Msg("unknown attempt")
	e.issue(v, Order{Verb: Stop, Task: r.Task, Attempt: r.Attempt})
}
