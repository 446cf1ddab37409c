package dispatch

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/workflow"
)

// OverdueTasks counts lasting tasks that wait beyond the bound of the platform's rules, by cause.
// NoCapacity of them have room on no worker, however much of it short tasks give back.
type OverdueTasks struct {
	NeverRan, Preempted, Lapsed, Moved, Ended, EarlierTerm int
	NoCapacity                                             int
}

func (t *OverdueTasks) add(cause waitCause) {
	switch cause {
	case waitsForFirstRun:
		t.NeverRan++
	case waitsAfterPreemption:
		t.Preempted++
	case waitsAfterLapse:
		t.Lapsed++
	case waitsAfterMove:
		t.Moved++
	case waitsAfterEnd:
		t.Ended++
	default:
		t.EarlierTerm++
	}
}

// LongestWaits holds the longest waits of lasting tasks by cause, in milliseconds.
type LongestWaits struct {
	NeverRan, Preempted, Lapsed, Moved, Ended, EarlierTerm int64
}

// lastingStats describes the lasting tasks that wait.
type lastingStats struct {
	waiting int
	longest time.Duration
	overdue OverdueTasks
}

// lastingTotals sums up the waits since the engine was created.
type lastingTotals struct {
	overdue OverdueTasks
	longest [waitCauseCount]time.Duration
}

func (t *lastingTotals) longestMs() LongestWaits {
	ms := func(cause waitCause) int64 { return t.longest[cause].Milliseconds() }
	return LongestWaits{NeverRan: ms(waitsForFirstRun), Preempted: ms(waitsAfterPreemption), Lapsed: ms(waitsAfterLapse), Moved: ms(waitsAfterMove), Ended: ms(waitsAfterEnd), EarlierTerm: ms(waitsSinceEarlierTerm)}
}

// dropEndedWaits drops the waits of tasks that run or are over.
func (e *Engine) dropEndedWaits() {
	var ended []workflow.TaskRef
	for ref := range e.lastingWaits {
		if !e.stillWaits(ref) {
			ended = append(ended, ref)
		}
	}
	slices.SortFunc(ended, compareTaskRefs)
	for _, ref := range ended {
		if a := e.placedAttempt(ref); a != nil && a.running {
			e.reportRunsAgain(ref, e.lastingWaits[ref], a)
		}
		delete(e.lastingWaits, ref)
	}
}

// placedAttempt returns the recorded attempt of a placed task, nil if there is none.
func (e *Engine) placedAttempt(ref workflow.TaskRef) *attempt {
	job := e.state.Job(ref.Job)
	if job == nil {
		return nil
	}
	if v := e.views[job.Task(ref).Worker]; v != nil && job.Task(ref).State == workflow.TaskPlaced {
		return v.attempts[ref]
	}
	return nil
}

// reportRunsAgain logs that a task runs which was overdue, or away for as long.
func (e *Engine) reportRunsAgain(ref workflow.TaskRef, w *lastingWait, a *attempt) {
	away := a.runningSince.Sub(w.away())
	if away <= w.bound() {
		return
	}
	e.log.Info().Stringer("task", ref).Uint32("attempt", a.number).Stringer("cause", w.cause).Dur("waited", a.runningSince.Sub(w.since)).Dur("away", away).Dur("bound", w.bound()).
		Int("reservations", w.reservations).Int("reservations_lost", w.reservationsLost).Uint64("term", e.term).Msg("lasting task runs again")
}

// countReservations counts the reservations of a task that waits. Those that were given up between
// two ticks are not seen.
func (e *Engine) countReservations(ref workflow.TaskRef, w *lastingWait) {
	r := e.reservations.byTask[ref]
	if r == w.reservation {
		return
	}
	if w.reservation != nil && e.placedAttempt(ref) == nil {
		w.reservationsLost++
	}
	if r != nil {
		w.reservations++
	}
	w.reservation = r
}

// countLastingWaits sums up the waits, and logs each that is overdue once.
func (e *Engine) countLastingWaits() lastingStats {
	stats, totals := lastingStats{waiting: len(e.lastingWaits)}, &e.lastingTotals
	var overdue []workflow.TaskRef
	for ref, w := range e.lastingWaits {
		e.countReservations(ref, w)
		waited := e.since(w.since)
		stats.longest = max(stats.longest, waited)
		totals.longest[w.cause] = max(totals.longest[w.cause], waited)
		if waited <= w.bound() {
			continue
		}
		overdue = append(overdue, ref)
		stats.overdue.add(w.cause)
	}
	if len(overdue) == 0 {
		return stats
	}
	slices.SortFunc(overdue, compareTaskRefs)
	room := e.roomBesideLastingTasks()
	for _, ref := range overdue {
		w, step := e.lastingWaits[ref], e.step(ref)
		workers := e.countWorkers(room[w.service], ref, step)
		if workers.fitting == 0 {
			stats.overdue.NoCapacity++
		}
		if !w.overdue {
			w.overdue = true
			totals.overdue.add(w.cause)
			if workers.fitting == 0 {
				totals.overdue.NoCapacity++
			}
		}
		e.reportOverdue(ref, step, workers)
	}
	return stats
}

// reportOverdue logs a task that is overdue, once a wait.
func (e *Engine) reportOverdue(ref workflow.TaskRef, step *workflow.Step, workers workersForTask) {
	w := e.lastingWaits[ref]
	if w.overdueReported || e.since(e.tookOverAt) < moveWarmUp {
		return // A new leader has yet to reach the workers.
	}
	w.overdueReported = true
	job := e.state.Job(ref.Job)
	task, pending := job.Task(ref), job.Task(ref).State == workflow.TaskPending
	event := e.log.Warn().Stringer("task", ref).Uint32("attempt", task.Attempt).Stringer("cause", w.cause).Dur("waited", e.since(w.since)).Dur("away", e.since(w.away())).Dur("bound", w.bound()).
		Int64("mcpu", step.Resources.MilliProcessors).Int64("memory_mb", step.Resources.MemoryMB).Bool("placed", task.State == workflow.TaskPlaced)
	if v, a := e.views[task.Worker], e.placedAttempt(ref); a != nil {
		event = event.Str("worker", v.worker.Life.Name).Bool("carried", a.carried).Bool("stop_wanted", a.stopWanted).Int("starts", a.startsSent).Bool("silent", e.silent(v))
	}
	event = event.Bool("held", pending && e.heldAnywhere(ref)).Bool("suspect", pending && !step.Gang && needsTest(job.Suspect(ref))).Bool("yields", e.yieldsToUrgent(ref)).
		Bool("reserved", e.reservations.byTask[ref] != nil).Int("reservations", w.reservations).Int("reservations_lost", w.reservationsLost)
	workers.addTo(event).Int("waiting", len(e.lastingWaits)).Uint64("term", e.term).Msg("lasting task overdue")
}

// yieldsToUrgent reports whether a pending task still leaves the capacity held for urgent ones.
func (e *Engine) yieldsToUrgent(ref workflow.TaskRef) bool {
	s := e.pendingStep(ref)
	return s != nil && e.mayYield(s, ref.Index)
}

// workersForTask counts the workers of a service that have room for a task.
type workersForTask struct {
	// free workers have room now, fitting ones beside their lasting tasks. Of the free ones, kept
	// ones keep it for other lasting tasks, moving ones for tasks that move, full ones may
	// run no more tasks of the step, silent ones owe an answer, and open ones do none of these.
	free, fitting, kept, moving, full, silent, open int
	// inTest and closed ones have room now and are not among the free ones: they are kept for the
	// test of another task, or get no tasks, such as those that drain or are not reached.
	inTest, closed int
}

func (c workersForTask) addTo(event *zerolog.Event) *zerolog.Event {
	return event.Int("workers_free", c.free).Int("workers_fitting", c.fitting).Int("workers_open", c.open).Int("workers_kept", c.kept).Int("workers_moving", c.moving).Int("workers_full", c.full).Int("workers_silent", c.silent).
		Int("workers_in_test", c.inTest).Int("workers_closed", c.closed)
}

// countWorkers counts the workers for a lasting task that waits.
func (e *Engine) countWorkers(rooms []workerRoom, ref workflow.TaskRef, step *workflow.Step) workersForTask {
	var c workersForTask
	need := step.Resources
	for _, r := range rooms {
		if !r.view.worker.HasRequiredLabel(step) {
			continue
		}
		if !r.closed && r.view.test == nil && need.Fits(r.besideLasting) {
			c.fitting++
		}
		switch {
		case !need.Fits(r.free):
		case r.closed:
			c.closed++
		case r.view.test != nil:
			if r.view.test.find(ref) < 0 {
				c.inTest++
			}
		default:
			c.free++
			e.countFree(&c, r, ref, step)
		}
	}
	return c
}

// countFree counts a worker that has room now by what keeps the task from it.
func (e *Engine) countFree(c *workersForTask, r workerRoom, ref workflow.TaskRef, step *workflow.Step) {
	kept := e.reservations.kept[r.view.worker.ID]
	if own := e.reservations.byTask[ref]; own != nil && own.worker == r.view.worker.ID {
		kept = kept.Sub(own.need)
	}
	open := true
	count := func(n *int, closes bool) {
		if closes {
			*n, open = *n+1, false
		}
	}
	count(&c.kept, !step.Resources.Fits(r.free.Sub(kept)))
	count(&c.moving, !step.Resources.Fits(r.free.Sub(e.keptForMoves(r.view.worker.ID, ref))))
	count(&c.full, step.MaxPerWorker > 0 && r.view.tasksOf(ref.StepRef()) >= step.MaxPerWorker)
	count(&c.silent, e.silent(r.view))
	if open {
		c.open++
	}
}

// keptForMoves returns the capacity that a worker keeps for other tasks that move to it.
func (e *Engine) keptForMoves(worker workflow.WorkerID, ref workflow.TaskRef) workflow.Resources {
	var kept workflow.Resources
	for _, m := range e.moves[worker] {
		if m.ref() != ref {
			kept = kept.Add(m.step.step.Reserved())
		}
	}
	return kept
}

// tasksOf returns the number of the step's tasks on the worker.
func (v *workerView) tasksOf(ref workflow.StepRef) uint32 {
	n := uint32(0)
	for _, a := range v.attemptList {
		if a.ref.StepRef() == ref {
			n++
		}
	}
	return n
}

// workerRoom is the room on a worker, and the room that its lasting tasks leave over.
type workerRoom struct {
	view                *workerView
	free, besideLasting workflow.Resources
	// closed workers get no tasks.
	closed bool
}

// roomBesideLastingTasks returns the room on the workers of each service.
func (e *Engine) roomBesideLastingTasks() map[string][]workerRoom {
	room := make(map[string][]workerRoom)
	for _, v := range e.sortedViews {
		r := workerRoom{view: v, free: e.freeCapacity(v), closed: !e.schedulable(v) || e.closedForMaintenance(v)}
		if !r.closed {
			r.besideLasting = e.roomBesideLasting(v)
		}
		room[v.worker.Service] = append(room[v.worker.Service], r)
	}
	return room
}
