package dispatch

import (
	"maps"
	"slices"
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
	// overdueReported is set once the log names the task as overdue.
	overdueReported bool
}

// bound returns how long the task may wait.
func (w *lastingWait) bound() time.Duration {
	if w.cause == waitsForFirstRun {
		return firstRunBound
	}
	return returnBound
}

// OverdueTasks counts lasting tasks that wait beyond the bound of the platform's rules, by cause.
// NoCapacity of them have room on no worker, however much of it short tasks give back.
type OverdueTasks struct {
	NeverRan, Preempted, Lapsed, Moved, Ended, EarlierTerm int
	NoCapacity                                             int
}

// lastingStats describes the lasting tasks that wait.
type lastingStats struct {
	waiting int
	longest time.Duration
	overdue OverdueTasks
}

// recordLastingEnd notes that an attempt of a lasting task is over. An attempt that did not run
// leaves the wait as it was.
func (e *Engine) recordLastingEnd(a *attempt, cause waitCause) {
	job, step := e.state.Job(a.ref.Job), e.step(a.ref)
	if step == nil || !step.Lasting {
		return
	}
	if a.stopCause != 0 {
		cause = a.stopCause
	}
	if _, waits := e.lastingWaits[a.ref]; waits && !a.running && !a.adopted {
		return
	}
	since := e.now
	if last := e.preemptions[a.ref]; cause == waitsAfterPreemption && last.attempt == a.number {
		since = min(since, last.at.Add(stopDuration)) // An end whose answer was lost.
	}
	e.lastingWaits[a.ref] = &lastingWait{service: job.Service, since: since, cause: cause}
}

// updateLastingWaits adds the lasting tasks that were found to wait, drops those that run, and
// names those that are overdue.
func (e *Engine) updateLastingWaits() {
	for _, s := range e.ready.sorted {
		if !s.step.Lasting || !s.job.Active() || s.job.Spec.DueMs(s.ref.Occurrence) > e.wallMs {
			continue
		}
		for _, i := range s.pending {
			if ref := s.task(i); e.lastingWaits[ref] == nil {
				e.lastingWaits[ref] = e.newLastingWait(s, ref)
			}
		}
	}
	maps.DeleteFunc(e.lastingWaits, func(ref workflow.TaskRef, _ *lastingWait) bool { return !e.stillWaits(ref) })
	e.waitingStats = e.countLastingWaits()
}

// newLastingWait returns the wait of a task of which this leader saw no end.
func (e *Engine) newLastingWait(s *readyStep, ref workflow.TaskRef) *lastingWait {
	if s.job.Task(ref).Attempt > 0 {
		since := e.tookOverAt
		if endedMs, known := s.job.LastingEndMs(ref); known {
			since = min(since, e.now.Add(-time.Duration(e.wallMs-endedMs)*time.Millisecond))
		}
		return &lastingWait{service: s.job.Service, since: since, cause: waitsSinceEarlierTerm}
	}
	sinceMs := s.waitingSinceMs
	if len(s.step.After) == 0 {
		sinceMs = min(sinceMs, max(s.job.AcceptedMs, s.job.Spec.DueMs(s.ref.Occurrence)))
	}
	return &lastingWait{service: s.job.Service, since: e.now.Add(-time.Duration(e.wallMs-sinceMs) * time.Millisecond)}
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

// countLastingWaits sums up the waits, and logs each that is overdue once.
func (e *Engine) countLastingWaits() lastingStats {
	stats := lastingStats{waiting: len(e.lastingWaits)}
	var overdue []workflow.TaskRef
	for ref, w := range e.lastingWaits {
		waited := e.since(w.since)
		stats.longest = max(stats.longest, waited)
		if waited <= w.bound() {
			continue
		}
		overdue = append(overdue, ref)
		switch w.cause {
		case waitsForFirstRun:
			stats.overdue.NeverRan++
		case waitsAfterPreemption:
			stats.overdue.Preempted++
		case waitsAfterLapse:
			stats.overdue.Lapsed++
		case waitsAfterMove:
			stats.overdue.Moved++
		case waitsAfterEnd:
			stats.overdue.Ended++
		default:
			stats.overdue.EarlierTerm++
		}
	}
	if len(overdue) == 0 {
		return stats
	}
	slices.SortFunc(overdue, compareTaskRefs)
	room := e.roomBesideLastingTasks()
	for _, ref := range overdue {
		step := e.step(ref)
		fitting, free := 0, 0
		for _, r := range room[e.lastingWaits[ref].service] {
			if step.Resources.Fits(r.besideLasting) && r.view.worker.HasRequiredLabel(step) {
				fitting++
			}
			if step.Resources.Fits(r.free) && r.view.worker.HasRequiredLabel(step) {
				free++
			}
		}
		if fitting == 0 {
			stats.overdue.NoCapacity++
		}
		e.reportOverdue(ref, step, fitting, free)
	}
	return stats
}

// reportOverdue logs a task that is overdue, once a wait.
func (e *Engine) reportOverdue(ref workflow.TaskRef, step *workflow.Step, fitting, free int) {
	w := e.lastingWaits[ref]
	if w.overdueReported || e.since(e.tookOverAt) < moveWarmUp {
		return // A new leader has yet to reach the workers.
	}
	w.overdueReported = true
	task := e.state.Job(ref.Job).Task(ref)
	e.log.Warn().Stringer("task", ref).Uint32("attempt", task.Attempt).Stringer("cause", w.cause).Dur("waited", e.since(w.since)).Dur("bound", w.bound()).
		Int64("mcpu", step.Resources.MilliProcessors).Int64("memory_mb", step.Resources.MemoryMB).Bool("placed", task.State == workflow.TaskPlaced).Bool("reserved", e.reservations.byTask[ref] != nil).
		Int("workers_free", free).Int("workers_fitting", fitting).Int("waiting", len(e.lastingWaits)).Uint64("term", e.term).Msg("lasting task overdue")
}

// workerRoom is the room on a worker, and the room that its lasting tasks leave over.
type workerRoom struct {
	view                *workerView
	free, besideLasting workflow.Resources
}

// roomBesideLastingTasks returns the room on the workers of each service that may get tasks.
func (e *Engine) roomBesideLastingTasks() map[string][]workerRoom {
	room := make(map[string][]workerRoom)
	for _, v := range e.sortedViews {
		if e.schedulable(v) && !e.closedForMaintenance(v) && v.test == nil {
			room[v.worker.Service] = append(room[v.worker.Service], workerRoom{v, e.freeCapacity(v), e.roomBesideLasting(v)})
		}
	}
	return room
}

// lastingEndCause returns the cause for a wait after an end that the leader did not order.
func lastingEndCause(how workflow.Ending) waitCause {
	if how == workflow.EndLeaseExpired {
		return waitsAfterLapse
	}
	return waitsAfterEnd
}
