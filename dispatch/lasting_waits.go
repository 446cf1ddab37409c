package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// returnBound is how long a lasting task may wait for its next run, from the end of its
	// last one, and firstRunBound from the time when it may first be started. The platform's
	// rules allow six seconds after a run, and three of waiting beside free capacity.
	returnBound   = 9 * time.Second
	firstRunBound = 3 * time.Second
)

// waitCause tells why a lasting task does not run.
type waitCause uint8

const (
	waitsForFirstRun waitCause = iota
	waitsAfterPreemption
	waitsAfterLapse
	waitsAfterMove
	waitsAfterEnd
	// waitsSinceEarlierTerm is the cause where another leader saw the end.
	waitsSinceEarlierTerm
	waitCauseCount
)

var waitCauseNames = [waitCauseCount]string{"never_ran", "preempted", "lapsed", "moved", "ended", "earlier_term"}

func (c waitCause) String() string { return waitCauseNames[c] }

// lastingWait is the time for which a lasting task has not run, also while it is placed and its
// start is under way.
type lastingWait struct {
	service string
	since   Instant
	cause   waitCause
	// awaySince is since when the task has not been known to run, if that is earlier: an attempt
	// whose end began this wait may not have run. Zero if there was none.
	awaySince Instant
	// overdue is set once the task waits beyond its bound, overdueReported once the log names it.
	overdue, overdueReported bool
	// askAt is from when on the advice service may be asked about further workers for the task and
	// those of its step.
	askAt Instant
	// reservation is the one that the latest tick found for the task, nil for none. reservations
	// counts those that ticks found, reservationsLost those that were given up.
	reservation                    *lastingReservation
	reservations, reservationsLost int
}

// away returns since when the task has not been known to run.
func (w *lastingWait) away() Instant {
	if w.awaySince == 0 {
		return w.since
	}
	return min(w.awaySince, w.since)
}

// bound returns how long the task may wait.
func (w *lastingWait) bound() time.Duration {
	if w.cause == waitsForFirstRun {
		return firstRunBound
	}
	return returnBound
}

// recordLastingEnd notes that an attempt of a lasting task is over. An attempt that did not run
// leaves the wait as it was.
func (e *Engine) recordLastingEnd(v *workerView, a *attempt, cause waitCause) {
	job, step := e.state.Job(a.ref.Job), e.step(a.ref)
	if step == nil || !step.Lasting {
		return
	}
	if a.stopCause != 0 {
		cause = a.stopCause
	}
	w, waits := e.lastingWaits[a.ref]
	if waits && !a.running && (!a.adopted || a.carried) {
		return // A carried attempt ended with the previous incarnation at the latest.
	}
	awaySince := Instant(0)
	switch {
	case waits && a.running:
		e.reportRunsAgain(a.ref, w, a) // It ran for less than a tick.
	case waits:
		awaySince = w.away()
	}
	since := e.now
	if a.adopted && !a.running { // It may not have run since an earlier leader placed it.
		since = min(since, e.instantOf(job.LastingEndAfterVoid(a.ref, e.wallMs)))
	}
	if cause == waitsAfterLapse && a.running {
		since = min(since, e.lapseOn(v, a))
	}
	if last := e.preemptions[a.ref]; cause == waitsAfterPreemption && last.attempt == a.number {
		since = min(since, last.at.Add(stopDuration)) // An end whose answer was lost.
	}
	e.lastingWaits[a.ref] = &lastingWait{service: job.Service, since: since, cause: cause, awaySince: awaySince}
}

// proposeLastingEnd records since when a lasting task waits whose attempt is void, if it ran: the state
// does not tell that from one that never did.
func (e *Engine) proposeLastingEnd(a *attempt) {
	w := e.lastingWaits[a.ref]
	if w == nil || !a.running && !a.ranBefore {
		return
	}
	atMs := e.wallMs - e.since(w.since).Milliseconds()
	if err := e.propose(workflow.Op{LastingEnd: &workflow.LastingEnd{Task: a.ref, AtMs: atMs}}); err != nil {
		e.log.Error().Err(err).Stringer("task", a.ref).Msg("end not recorded")
	}
}

// lapseOn returns when the lease of an attempt was over at the earliest, by the latest answer of its
// worker before it fell silent. Orders that were sent later may not have arrived.
func (e *Engine) lapseOn(v *workerView, a *attempt) Instant {
	heardAt := v.answeredAt
	if e.reachable(v) {
		heardAt = v.heardBeforeSilence
	}
	if heardAt < a.runningSince {
		return e.now
	}
	return heardAt.Add(e.settings.Lease)
}

// addUnconfirmed adds the wait of a lasting task whose attempt this leader took over from an
// earlier leader, or from an earlier incarnation of the worker. It ends when a poll lists the attempt
// as running.
func (e *Engine) addUnconfirmed(a *attempt) {
	job, step := e.state.Job(a.ref.Job), e.step(a.ref)
	if step == nil || !step.Lasting || !job.Active() || e.lastingWaits[a.ref] != nil {
		return
	}
	cause := waitsSinceEarlierTerm
	if e.now > e.tookOverAt {
		cause = waitsAfterLapse
	}
	e.lastingWaits[a.ref] = &lastingWait{service: job.Service, since: e.now, cause: cause}
}

// addPendingWaits adds the lasting tasks of a step that wait, also those that open starts keep from
// workers.
func (e *Engine) addPendingWaits(s *readyStep) {
	if !s.step.Lasting || !s.job.Active() || s.job.Spec.DueMs(s.ref.Occurrence) > e.wallMs {
		return
	}
	for _, indexes := range [][]uint32{s.pending, s.limited} {
		for _, i := range indexes {
			if ref := s.task(i); e.lastingWaits[ref] == nil {
				e.lastingWaits[ref] = e.newLastingWait(s, ref)
			}
		}
	}
}

// updateLastingWaits adds the lasting tasks that were found to wait, drops those that run, and
// names those that are overdue.
func (e *Engine) updateLastingWaits() {
	for _, s := range e.ready.sorted {
		e.addPendingWaits(s)
	}
	for _, suspects := range e.ready.suspects {
		for _, s := range suspects {
			e.addPendingWaits(s)
		}
	}
	e.dropEndedWaits()
	e.waitingStats = e.countLastingWaits()
}

// newLastingWait returns the wait of a task of which this leader saw no end.
func (e *Engine) newLastingWait(s *readyStep, ref workflow.TaskRef) *lastingWait {
	if s.job.Task(ref).Attempt > 0 {
		since := e.tookOverAt
		if endedMs, known := s.job.LastingEndMs(ref); known {
			since = min(since, e.instantOf(endedMs))
		}
		return &lastingWait{service: s.job.Service, since: since, cause: waitsSinceEarlierTerm}
	}
	sinceMs := s.waitingSinceMs
	if len(s.step.After) == 0 {
		sinceMs = min(sinceMs, max(s.job.AcceptedMs, s.job.Spec.DueMs(s.ref.Occurrence)))
	}
	return &lastingWait{service: s.job.Service, since: e.instantOf(sinceMs)}
}

// instantOf returns the instant of a time by the wall clock, in milliseconds since the Unix epoch.
func (e *Engine) instantOf(wallMs int64) Instant {
	return e.now.Add(-time.Duration(e.wallMs-wallMs) * time.Millisecond)
}

// stillWaits reports whether a lasting task is to run and does not.
func (e *Engine) stillWaits(ref workflow.TaskRef) bool {
	job := e.state.Job(ref.Job)
	if job == nil || !job.Active() {
		return false
	}
	task := job.Task(ref)
	if task.State != workflow.TaskPlaced {
		return task.State == workflow.TaskPending
	}
	v := e.views[task.Worker]
	return v == nil || v.attempts[ref] == nil || !v.attempts[ref].running
}

// lastingEndCause returns the cause for a wait after an end that the leader did not order.
func lastingEndCause(how workflow.Ending) waitCause {
	if how == workflow.EndLeaseExpired {
		return waitsAfterLapse
	}
	return waitsAfterEnd
}
