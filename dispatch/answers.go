package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

// maxMissedPolls is the number of polls in a row that must miss a running attempt
// before it is stopped.
const maxMissedPolls = 2

// refusalPause is how long a worker that has refused a start gets no lasting tasks. It is a part of
// the time for which it gets no others.
const refusalPause = time.Second

// maxListedEnds is the number of ends that a worker lists in one answer.
const maxListedEnds = 500

// HandleAnswer processes the answer to an order.
func (e *Engine) HandleAnswer(a *Answer) {
	v := e.views[a.Order.Worker]
	if v == nil {
		return // The next incarnation of the worker rejects the order as well.
	}
	if a.Outcome == OtherIncarnation {
		e.handleOtherIncarnation(v, a)
		return
	}
	if a.Outcome == NoListener {
		if _, withdrawn := e.withdrawals[v.worker.ID]; withdrawn && !v.hasCarried() {
			e.endIncarnation(v.worker, "withdrew")
			e.endWithdrawn(v.worker.ID)
			return
		}
		a.Outcome, a.noConnection = Unanswered, true
	}
	switch a.Outcome {
	case Fenced:
		e.handleFenced(v, a)
		a.Outcome = Unanswered
	case Unanswered:
		e.counters.Unanswered++
		if v.silentSince == 0 {
			v.silentSince = e.now
		}
	case NotSent: // Says nothing about the worker.
	default:
		e.recordClock(v, a)
	}
	switch a.Order.Verb {
	case Poll:
		if a.Order.Probe {
			e.handleProbe(v, a)
			break
		}
		e.handlePollAnswer(v, a)
	case Start:
		e.handleStartAnswer(v, a)
	case Stop:
		e.handleStopAnswer(v, a)
	case Throttle:
		e.handleThrottleAnswer(v, a)
	}
}

// handleFenced handles an answer of an incarnation that has seen a higher fencing token.
// If another leader acts, the replicated log ends this one; a worker alone can't tell, as
// it may have served another cluster. It gets no more orders in this term, and its
// attempts run elsewhere once its lease is over.
func (e *Engine) handleFenced(v *workerView, a *Answer) {
	if v.refusesToken {
		return
	}
	v.refusesToken = true
	e.log.Warn().Str("worker", a.Order.Life.Name).Int64("born_ms", a.Order.Life.BornMs).Uint64("fence", a.Order.Fence).Int("attempts", len(v.attempts)).Uint64("term", e.term).Msg("fenced by worker")
}

func (e *Engine) recordClock(v *workerView, a *Answer) {
	if v.fenced && e.since(v.answeredAt) >= staleAfter {
		v.heardBeforeSilence = v.answeredAt
	}
	v.answeredAt, v.silentSince, v.lost = e.now, 0, nil
	if a.ClockMs > 0 {
		v.clockMs, v.clockReadAt = a.ClockMs, a.readBy(e.now)
	}
	if a.Order.Verb == Poll && a.Outcome == Done {
		v.shownAt = max(v.shownAt, a.Order.SentAt)
	}
}

// finishCall returns the attempt to which an answer belongs and marks that no
// call for it is in flight. It returns nil if the attempt has ended.
func (v *workerView) finishCall(answer *Answer) *attempt {
	a := v.attempts[answer.Order.Task]
	if a == nil || a.number != answer.Order.Attempt {
		return nil
	}
	a.callInFlight, a.startCallInFlight = false, false
	return a
}

func (e *Engine) handleStartAnswer(v *workerView, answer *Answer) {
	a := v.finishCall(answer)
	if a == nil {
		return
	}
	e.recordStart(a, answer)
	switch answer.Outcome {
	case Done:
		a.startAnswered = true
		a.confirmed = a.confirmed || v.answers(answer.ClockMs, e.now)
		if !a.running {
			a.running, a.runningSince, a.missedPolls = true, e.now, 0
			v.lastStartAt = e.now
		}
	case Unanswered:
		a.unansweredStarts++
		if !answer.noConnection {
			a.deliverableStarts++
			e.recordUnanswered(v, a)
			if step := e.step(a.ref); step != nil && step.Gang {
				a.nextStartAt = e.now.Add(pollWait + pollAnswerTime) // A poll tells whether it runs.
			}
		}
		if !answer.Order.Prompt {
			a.retryAt = e.now.Add(orderRetryDelay)
		}
	case NotSent:
		a.retryAt = e.now.Add(orderRetryDelay)
	case Outdated:
		a.startRuledOut, a.startRuledOutAt = true, e.now
	default:
		e.handleStartRefusal(v, a, answer.Outcome)
	}
	e.settleAnswered(v, a, a.running)
	e.issueAttemptOrder(v, a)
}

// handleStartRefusal handles an answer that says that the start had no effect.
func (e *Engine) handleStartRefusal(v *workerView, a *attempt, outcome Outcome) {
	if outcome == NoTicket {
		e.forgetTicket(v, a.ref)
	}
	if outcome == Unhealthy || outcome == NoRoom {
		v.quarantinedUntil, v.refusingUntil = e.now.Add(unhealthyQuarantine), e.now.Add(refusalPause)
		e.counters.QuarantinedRefusing++
	}
	e.log.Info().Stringer("task", a.ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Int64("born_ms", v.worker.Life.BornMs).Stringer("outcome", outcome).Int("in_flight", a.startsInFlight()).Uint64("term", e.term).Msg("start refused")
	if a.running {
		return // An earlier start has been carried out.
	}
	e.settleAnswered(v, a, false)
	if outcome != NoTicket && e.keepsAttempt(v, a, false) {
		a.nextStartAt = e.openStartOf(a.ref, v.worker.Life.Name).nextStart(e.step(a.ref), e.now)
		return
	}
	if a.startsInFlight() > 0 {
		// An earlier start may still be carried out; a stop rules that out.
		a.stopWanted = true
		return
	}
	v.leaveTest(a.ref) // Its next start goes to another worker.
	e.void(v, a, "start_"+outcome.String())
}

func (e *Engine) handleStopAnswer(v *workerView, answer *Answer) {
	a := v.finishCall(answer)
	if a == nil {
		return
	}
	if answer.Outcome == Done || answer.Outcome == Outdated {
		a.startRuledOut, a.startRuledOutAt = true, e.now
		return
	}
	a.retryAt = e.now.Add(orderRetryDelay)
}

func (e *Engine) handlePollAnswer(v *workerView, answer *Answer) {
	v.endsListed, v.pollDueAt = answer.Outcome == Done && len(answer.Ended) > 0, 0
	if answer.Outcome != Done {
		v.pollInFlight = false
		if !answer.Order.Prompt || v.silentSince != e.now {
			v.nextPollAt = e.now.Add(pollRetryDelay)
		}
		return
	}
	v.ackAnswered = max(v.ackAnswered, answer.Order.AckedThrough)
	first := !v.fenced
	v.fenced = true
	if first {
		v.reachedAt = e.now
		if len(v.worker.Carried) > 0 {
			v.leaseExpiresAt = e.now.Add(maxRealTime(e.settings.MaxLease))
		}
		e.log.Info().Str("worker", v.worker.Life.Name).Int("running", len(answer.Running)).Int("recorded", len(v.attempts)).Uint64("term", e.term).Msg("worker reached")
	}
	e.recordEnds(v, answer.Ended)
	e.reconcileRunning(v, answer)
	e.settlePolled(v, answer)
	e.holdAcks(v, answer.Ended)
	forOverrun := answer.Order.Wait == overrunPollWait && (!answer.Order.Prompt || e.overTarget(v))
	e.applyReadings(v, forOverrun)
	e.assessHealth(v)
	e.delayNextPoll(v, answer)
	e.pollAfterCommit(v)
}

// recordEnds records the ended attempts that were not recorded before, and
// acknowledges them to the worker once they are committed.
func (e *Engine) recordEnds(v *workerView, ended []EndedAttempt) {
	before := v.lastEndSeen
	for i := range ended {
		end := &ended[i]
		if end.Number <= v.lastEndSeen {
			continue
		}
		v.lastEndSeen = end.Number
		e.recordEnd(v, end)
	}
	if v.lastEndSeen == before {
		return
	}
	acked := v.lastEndSeen
	e.afterCommit(func() { v.lastEndAcked = max(v.lastEndAcked, acked) })
}

// maxCheckpointBytes limits a checkpoint, which the state holds for each task.
const maxCheckpointBytes = 4000

func (e *Engine) recordEnd(v *workerView, end *EndedAttempt) {
	if len(end.Checkpoint) > maxCheckpointBytes {
		e.log.Warn().Stringer("task", end.Task).Uint32("attempt", end.Attempt).Str("worker", v.worker.Life.Name).Int("bytes", len(end.Checkpoint)).Int("limit", maxCheckpointBytes).Uint64("term", e.term).Msg("checkpoint dropped")
		end.Checkpoint = ""
	}
	if a := v.attempts[end.Task]; a != nil && a.number == end.Attempt {
		e.recordLateStart(v, a, true)
	}
	before := e.state.Job(end.Task.Job)
	active := before != nil && before.Active()
	others := e.otherAttempts(end.Task, end.Attempt)
	err := e.propose(workflow.Op{End: &workflow.End{
		Worker: v.worker.ID, Number: end.Number, Task: end.Task, Attempt: end.Attempt, How: end.How, Checkpoint: end.Checkpoint,
	}})
	if err != nil {
		e.log.Error().Err(err).Stringer("task", end.Task).Msg("end not recorded")
		return
	}
	e.countEnd(end.How)
	e.recordOutcome(v, end)
	e.ready.markDirty(end.Task.Job)
	a := v.attempts[end.Task]
	event := e.log.Info().Stringer("task", end.Task).Uint32("attempt", end.Attempt).Str("worker", v.worker.Life.Name).Int64("born_ms", v.worker.Life.BornMs).Stringer("how", end.How).Uint64("number", end.Number).Uint64("term", e.term)
	if a != nil && a.number == end.Attempt {
		event = a.stages.addTo(event.Dur("since_placed", e.since(a.placedAt)).Bool("adopted", a.adopted), a.placedAt)
		if step := e.step(end.Task); step != nil {
			event = event.Int64("estimate_ms", step.EstimatedMs).Bool("scavenger", step.Scavenger).Int("share", a.wantedShare)
		}
		if end.How == workflow.EndDone {
			e.learnRunTime(v, a)
			e.countCopyableRun(v, a, others)
		}
		e.recordEndedScavenger(v, a)
		e.recordLastingEnd(v, a, lastingEndCause(end.How))
		v.remove(a)
		e.settleAnswered(v, a, true)
		e.recordFormerAttempt(v, a, "ended_"+end.How.String())
	}
	event.Msg("attempt ended")
	prompt, seenAt := before != nil && hasPromptTasks(before), e.now
	e.afterCommit(func() { e.observeStage(StageRecord, prompt, e.since(seenAt)) })
	if end.How == workflow.EndDone {
		e.afterCommit(func() {
			e.stopLaterAttempts(end)
			e.stopOthers(others)
			e.forgetDoneTask(end.Task)
		})
	}
	job := e.state.Job(end.Task.Job)
	if active && !job.Active() {
		e.handleJobEnd(job)
	}
}

// stopLaterAttempts stops the later attempts of a task that a voided attempt has done
// after all, and of the other tasks of its gang.
func (e *Engine) stopLaterAttempts(end *EndedAttempt) {
	job := e.state.Job(end.Task.Job)
	if job == nil || job.Task(end.Task) == nil {
		return
	}
	for i, task := range job.Occurrences.Tasks(end.Task.Occurrence, end.Task.Step) {
		ref := end.Task
		ref.Index = uint32(i)
		v := e.views[task.Worker]
		if task.State != workflow.TaskDone || task.Attempt <= end.Attempt || v == nil {
			continue
		}
		if a := v.attempts[ref]; a != nil {
			a.stopWanted = true
			e.issueAttemptOrder(v, a)
		}
	}
}

// handleJobEnd stops what still runs of a job, once its end is committed.
func (e *Engine) handleJobEnd(job *workflow.Job) {
	class, sized := e.endSized(job)
	e.afterCommit(func() {
		event := e.log.Info().Stringer("job", job.ID).Str("queue", job.Queue).Str("state", string(job.State())).Int64("accepted_ms", job.AcceptedMs).Int64("finished_ms", job.FinishedMs).Uint64("term", e.term)
		if sized {
			event = event.Stringer("size", class)
		}
		event.Msg("job ended")
		e.stopJobAttempts(job)
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

// reconcileRunning compares the attempts that a poll shows as running with the
// recorded ones.
func (e *Engine) reconcileRunning(v *workerView, answer *Answer) {
	present := make(map[workflow.TaskRef]bool, len(answer.Running))
	for i := range answer.Running {
		r := &answer.Running[i]
		a := v.attempts[r.Task]
		if a == nil || a.number != r.Attempt {
			e.stopStray(v, r)
			continue
		}
		present[r.Task], a.carried, a.confirmed = true, false, true
		if !a.running {
			a.running, a.runningSince = true, e.now
			v.lastStartAt = e.now
			a.startInherited = false
			e.settleAnswered(v, a, true)
		}
		a.missedPolls, a.percent, a.gauge, a.gaugeReadAt = 0, r.Percent, r.Gauge, e.now
		if len(r.Checkpoint) <= maxCheckpointBytes {
			a.checkpoint = r.Checkpoint
		}
		if step := e.step(a.ref); step != nil && step.Scavenger {
			e.checkShare(v, a, step)
		}
	}
	e.forgetStrays(v.worker.ID, answer.Running)
	if len(answer.Ended) >= maxListedEnds {
		return // The end of an attempt that does not run may be among those not listed yet.
	}
	for _, a := range v.attemptList {
		if !present[a.ref] {
			e.handleMissingAttempt(v, a, answer.Order.SentAt)
		}
	}
}

// handleMissingAttempt handles a recorded attempt that a poll does not show as
// running. It voids the attempt if a start is ruled out; after maxMissedPolls
// it stops an attempt that was running.
func (e *Engine) handleMissingAttempt(v *workerView, a *attempt, pollSentAt Instant) {
	switch {
	case a.carried && e.keepsAttempt(v, a, true):
		e.adoptCarried(v, a)
	case a.carried:
		// From its answer to this poll on, this incarnation rejects the starts that
		// were sent to the previous one.
		e.void(v, a, "new_life")
	case a.startRuledOut && pollSentAt > a.startRuledOutAt:
		e.void(v, a, "not_running")
	case a.running && pollSentAt > a.runningSince:
		a.missedPolls++
		if a.missedPolls >= maxMissedPolls {
			a.stopWanted = true
		}
	}
}
