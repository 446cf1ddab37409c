package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

// Lasting and resumable tasks move out of an evacuated domain one by one: a task is stopped
// once another worker has capacity for it, which is kept for the task until it is placed there.

const (
	// moveInterval is the time between two rounds of moves.
	moveInterval = 200 * time.Millisecond
	// maxMovesPerRound bounds the tasks that a round begins to move, maxMoves those for which
	// capacity is kept, and maxSearches the searches for a worker, so that a round with many
	// tasks that fit nowhere stays short.
	maxMovesPerRound = 16
	maxMoves         = 64
	maxSearches      = 48
	// moveTimeout is how long capacity is kept for a task: a stop takes up to 0.9 s, the poll
	// that shows its end and the commit of this some 0.2 s. Three times that allows for a
	// lost answer.
	moveTimeout = 3500 * time.Millisecond
	// moveWarmUp is how long a new leader moves nothing: a stop of the previous one may still
	// take effect within 0.9 s, and a poll that shows this takes up to a second.
	moveWarmUp = 2 * time.Second
)

// move is a task that was stopped in order to run on another worker.
type move struct {
	// step is the task's step, with the task as the only pending one.
	step    *readyStep
	attempt uint32
	since   Instant
}

func (m *move) ref() workflow.TaskRef { return m.step.firstPending() }

// movable is an attempt in an evacuated domain that may be moved.
type movable struct {
	view    *workerView
	attempt *attempt
	step    *readyStep
}

// advanceEvacuations updates the numbers of the evacuated domains and moves tasks out of them.
func (e *Engine) advanceEvacuations() {
	e.forgetMoves()
	if len(e.evacuations) == 0 {
		return
	}
	e.countRemaining()
	if e.now >= e.nextMovesAt && e.since(e.tookOverAt) >= moveWarmUp {
		e.nextMovesAt = e.now.Add(moveInterval)
		e.moveTasks()
	}
}

// forgetMoves drops the moves whose capacity is needed no more: the task has been placed or is
// done, its job has ended, the worker takes no new work, or the time is over.
func (e *Engine) forgetMoves() {
	for id, moves := range e.moves {
		v := e.views[id]
		closed := v == nil || !e.schedulable(v) || e.closedForMaintenance(v)
		moves = slices.DeleteFunc(moves, func(m *move) bool {
			job := e.state.Job(m.step.ref.Job)
			if closed || job != m.step.job || !job.Active() || e.since(m.since) > moveTimeout {
				return true
			}
			task := job.Task(m.ref())
			return task.State == workflow.TaskDone || task.Attempt > m.attempt
		})
		if len(moves) == 0 {
			delete(e.moves, id)
		} else {
			e.moves[id] = moves
		}
	}
}

// movesInProgress returns the number of tasks for which capacity is kept.
func (e *Engine) movesInProgress() int {
	n := 0
	for _, moves := range e.moves {
		n += len(moves)
	}
	return n
}

// moveTasks begins to move tasks for which other workers have capacity now.
func (e *Engine) moveTasks() {
	left := min(maxMovesPerRound, maxMoves-e.movesInProgress())
	tasks := e.movableTasks()
	if left <= 0 || len(tasks) == 0 {
		return
	}
	p := e.newCandidateSet()
	for service, candidates := range p.byService {
		// They may not take the task now.
		p.byService[service] = slices.DeleteFunc(candidates, func(c *candidate) bool {
			return c.silent || c.quarantined
		})
	}
	e.ready.refresh(e.state, e.wallMs)
	searches, contended := 0, make(map[string]bool)
	for service := range p.byService {
		contended[service] = e.tasksWait(service)
	}
	for _, m := range tasks {
		if left == 0 || searches == maxSearches {
			return
		}
		if contended[m.step.job.Service] || p.knownUnplaceable(m.step) || p.blockedByGang(m.step) || !e.mayInterrupt(m.attempt) {
			continue
		}
		searches++
		c := e.rank(p, m.step).best(e)
		if c == nil {
			p.recordUnplaceable(m.step, e.failedRecently(m.step))
			e.prepareQuestion(p, m.step)
			continue
		}
		c.reserve(m.step)
		e.beginMove(m, c.view)
		left--
	}
}

// tasksWait reports whether a task waits for capacity of a service. It then goes first: a task
// in an evacuated domain runs on meanwhile.
func (e *Engine) tasksWait(service string) bool {
	return slices.ContainsFunc(e.ready.sorted, func(s *readyStep) bool {
		return s.job.Service == service && len(s.pending) > 0 && s.job.Active() && s.lateness != tooLate && s.job.Spec.DueMs(s.ref.Occurrence) <= e.wallMs
	})
}

// worthMoving reports whether a resumable task has so much work left that a move, with a stop and
// a new start, takes less than half of it.
func (e *Engine) worthMoving(a *attempt, step *workflow.Step) bool {
	left, known := e.remainingQuantile(a, 0.5)
	if !known {
		left = estimateOf(step) * time.Duration(fullShare-a.percent) / fullShare
	}
	return a.percent < nearlyDonePercent && left > 2*restartCost
}

// movableTasks returns the tasks in evacuated domains that may be moved: lasting ones first,
// and small ones before large ones, as more of them find capacity.
func (e *Engine) movableTasks() []movable {
	var tasks []movable
	for _, v := range e.sortedViews {
		if !e.evacuated(v) || v.worker.Draining || !e.reachable(v) {
			continue
		}
		for _, a := range v.attemptList {
			job, step := e.state.Job(a.ref.Job), e.step(a.ref)
			if job == nil || !job.Active() || !a.running || a.stopWanted || a.callInFlight || step.Gang || !step.Lasting && (!step.Resumable || !e.worthMoving(a, step)) {
				continue
			}
			tasks = append(tasks, movable{v, a, &readyStep{ref: a.ref.StepRef(), job: job, step: step, pending: []uint32{a.ref.Index}}})
		}
	}
	slices.SortFunc(tasks, func(x, y movable) int {
		return cmp.Or(
			compareBools(y.step.step.Lasting, x.step.step.Lasting),
			cmp.Compare(x.step.step.Resources.MilliProcessors, y.step.step.Resources.MilliProcessors),
			compareTaskRefs(x.attempt.ref, y.attempt.ref),
		)
	})
	return tasks
}

// mayInterrupt reports whether a task may be stopped within the MaxUnavailable of its step.
func (e *Engine) mayInterrupt(a *attempt) bool {
	step := e.step(a.ref)
	if !step.Lasting || step.MaxUnavailable <= 0 {
		return true
	}
	unavailable := int32(1) // The task itself.
	for i, task := range e.state.Job(a.ref.Job).Occurrences.Tasks(a.ref.Occurrence, a.ref.Step) {
		other := a.ref
		other.Index = uint32(i)
		if other != a.ref && !e.available(other, &task) {
			unavailable++
		}
	}
	return unavailable <= step.MaxUnavailable
}

// beginMove stops a task and keeps capacity for it on another worker.
func (e *Engine) beginMove(m movable, target *workerView) {
	a := m.attempt
	a.stopWanted, a.stopCause = true, waitsAfterMove
	e.counters.Relocated++
	e.moves[target.worker.ID] = append(e.moves[target.worker.ID], &move{step: m.step, attempt: a.number, since: e.now})
	e.log.Info().Stringer("task", a.ref).Uint32("attempt", a.number).Str("worker", m.view.worker.Life.Name).Str("domain", m.view.worker.Zone).Str("target", target.worker.Life.Name).Int("percent", a.percent).Uint64("term", e.term).Msg("task leaves domain")
	e.issueAttemptOrder(m.view, a)
}

// reserveForMoves subtracts the capacity that is kept on a worker from that of its candidate.
func (e *Engine) reserveForMoves(c *candidate) {
	for _, m := range e.moves[c.view.worker.ID] {
		c.reserve(m.step)
	}
}

// placeMoved places the stopped tasks on the workers that keep capacity for them.
func (e *Engine) placeMoved(p *candidateSet) {
	e.forgetMoves()
	for _, id := range slices.Sorted(maps.Keys(e.moves)) {
		for _, m := range slices.Clone(e.moves[id]) {
			s := e.pendingStep(m.ref())
			at := slices.IndexFunc(p.byService[m.step.job.Service], func(c *candidate) bool { return c.view.worker.ID == id })
			if s == nil || at < 0 || e.heldAnywhere(m.ref()) {
				continue
			}
			c := p.byService[m.step.job.Service][at]
			e.moves[id] = slices.DeleteFunc(e.moves[id], func(other *move) bool { return other == m })
			c.release(m.step)
			if e.admits(c, m.step) && e.place(c, m.step, m.ref(), m.step.job.Task(m.ref()).Attempt+1) {
				s.pending = slices.DeleteFunc(s.pending, func(i uint32) bool { return i == m.ref().Index })
				e.ready.markDirty(m.ref().Job)
			}
		}
	}
}

// pendingStep returns the ready step of which a task is pending, nil if there is none.
func (e *Engine) pendingStep(ref workflow.TaskRef) *readyStep {
	for _, s := range e.ready.byJob[ref.Job] {
		if s.ref == ref.StepRef() && slices.Contains(s.pending, ref.Index) {
			return s
		}
	}
	return nil
}
