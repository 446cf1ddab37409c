package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

// view is what the leader believes of one life of a worker.
type view struct {
	worker *workflow.Worker
	// fenced is set once the worker has answered an order of this term.
	fenced   bool
	looking  bool
	nextLook Instant
	// heard is when its last answer came.
	heard Instant
	// clockMs is a reading of the worker's clock that came in at clockAt.
	clockMs int64
	clockAt Instant
	// leaseUntil is when the worker has certainly given up what it runs, unless
	// another order reaches it.
	leaseUntil Instant
	// seenEnd is the number of the last end that was decided on.
	seenEnd uint64
	// acked is the number of the last end whose record is committed.
	acked     uint64
	suspectTo Instant
	// standing is what placements see of the worker, nil when it has changed.
	standing *standing
	// sharesAt is when the shares of the scavengers were set last.
	sharesAt Instant
	health   health
	// attempts are those that may run there, list the same in the order in which
	// they came. A list is replaced and never changed, so that it may be read
	// while attempts end.
	attempts map[workflow.TaskRef]*attempt
	list     []*attempt
	// departed are the scavengers that ended lately.
	departed []departed
}

// attempt is what the leader believes of an attempt on a worker.
type attempt struct {
	ref    workflow.TaskRef
	number uint32
	// committed is set once the placement is in the log.
	committed bool
	// calling is set while a start or stop is under way.
	calling bool
	retryAt Instant
	// unanswered counts the starts that may still be carried out.
	unanswered int
	running    bool
	runningAt  Instant
	// seen is set once a look showed the attempt on this life of the worker.
	seen       bool
	placedAt   Instant
	absent     int
	stopWanted bool
	// settledAt is when the worker answered that it does not start the attempt
	// any more: a look sent later shows whether it runs.
	settledAt  Instant
	settled    bool
	percent    int
	checkpoint string
	gauge      int64
	gaugeAt    Instant
	pace       pace
	// share is the share of its speed in percent that the worker took last,
	// wantShare the one that is due.
	share, wantShare int
	// slowSince is when the task was throttled, zero if it is not.
	slowSince Instant
	// deviation is by how much the slack of a serving task is believed to differ
	// from that of its job.
	deviation float64
	// warmAt is the time from which on the gauge of a lasting task tells its state.
	warmAt Instant
}

const (
	fullShare = 100
	// unknownShare stands for what an earlier leader ordered.
	unknownShare = -1
)

func (e *Engine) addView(w *workflow.Worker) *view {
	v := &view{
		worker: w, heard: e.now, attempts: make(map[workflow.TaskRef]*attempt), seenEnd: w.Acked, acked: w.Acked,
		// An earlier leader may have renewed until it lost its quorum.
		leaseUntil: e.now.Add(stretched(e.settings.MaxLease)),
	}
	for _, ref := range sortedTasks(w.Attempts) {
		a := &attempt{ref: ref, number: w.Attempts[ref], committed: true, placedAt: e.now, share: unknownShare, wantShare: fullShare}
		if job := e.state.Job(ref.Job); job == nil || !job.Active() {
			a.stopWanted = true
		}
		v.add(a)
	}
	e.views[w.ID] = v
	e.list = append(slices.Clone(e.list), v)
	return v
}

func sortedTasks(attempts map[workflow.TaskRef]uint32) []workflow.TaskRef {
	return slices.SortedFunc(maps.Keys(attempts), compareTasks)
}

func (v *view) add(a *attempt) {
	v.attempts[a.ref], v.standing = a, nil
	v.list = append(slices.Clone(v.list), a)
}

func (v *view) remove(a *attempt) {
	delete(v.attempts, a.ref)
	v.standing = nil
	v.list = slices.DeleteFunc(slices.Clone(v.list), func(other *attempt) bool { return other == a })
}

// stretched is the real time after which a worker's clock has certainly counted d.
func stretched(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - clockSlack))
}

// voidAll records that nothing runs on a worker any more.
func (e *Engine) voidAll(id workflow.WorkerID, reason string) {
	v := e.views[id]
	for _, a := range v.list {
		e.void(v, a, reason)
	}
}

func compareTasks(a, b workflow.TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// void records that an attempt does not run and will not.
func (e *Engine) void(v *view, a *attempt, reason string) {
	ref := a.ref
	v.remove(a)
	err := e.decide(workflow.Op{Void: &workflow.Void{Worker: v.worker.ID, Task: ref, Attempt: a.number, Checkpoint: a.checkpoint}})
	if err != nil {
		e.log.Error().Err(err).Stringer("task", ref).Msg("attempt not voided")
		return
	}
	e.counters.Voided++
	e.ready.touch(ref.Job)
	e.log.Info().Stringer("task", ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Str("reason", reason).
		Dur("unheard", e.since(v.heard)).Uint64("term", e.fence).Msg("attempt void")
}

// evacuate stops on a draining worker what loses little by it.
func (e *Engine) evacuate(id workflow.WorkerID) {
	v := e.views[id]
	if v == nil {
		return
	}
	for _, a := range v.list {
		if step := e.step(a.ref); step != nil && (step.Lasting || step.Resumable) {
			a.stopWanted = true
		}
	}
	e.tend(v)
}

// stopEnded stops the attempts of a job that has ended.
func (e *Engine) stopEnded(job *workflow.Job) {
	e.forgetAdvice(job)
	e.forgetGangs(job)
	delete(e.slowdown.own, job.ID)
	maps.DeleteFunc(e.avoid, func(ref workflow.TaskRef, _ avoided) bool { return ref.Job == job.ID })
	for o := range job.Occurrences {
		for s, tasks := range job.Occurrences[o].Steps {
			for i := range tasks {
				ref := workflow.TaskRef{Job: job.ID, Occurrence: uint32(o), Step: uint32(s), Index: uint32(i)}
				v := e.views[tasks[i].Worker]
				if v == nil || v.attempts[ref] == nil {
					continue
				}
				v.attempts[ref].stopWanted = true
				e.tendAttempt(v, v.attempts[ref])
			}
		}
	}
}

// reachable reports whether the worker answered lately.
func (e *Engine) reachable(v *view) bool { return v.fenced && e.since(v.heard) < staleAfter }

// tend issues the orders that are due for a worker.
func (e *Engine) tend(v *view) {
	if len(v.attempts) > 0 && e.now > v.leaseUntil && !e.reachable(v) {
		e.voidAll(v.worker.ID, "lease_over")
	}
	if !v.looking && e.now >= v.nextLook {
		e.look(v)
	}
	if e.since(v.sharesAt) >= sharesInterval && e.reachable(v) {
		e.setShares(v)
	}
	for _, a := range v.list {
		e.tendAttempt(v, a)
	}
}

func (e *Engine) look(v *view) {
	v.looking = true
	order := Order{Verb: Poll, AckedThrough: v.acked, Wait: lookWait}
	if !e.reachable(v) {
		order.Wait = 0
	}
	e.issue(v, order)
}

// issue completes an order and sends it.
func (e *Engine) issue(v *view, order Order) {
	order.Worker, order.Life, order.Address = v.worker.ID, v.worker.Life, v.worker.Address
	order.Fence, order.SentAt = e.fence, e.now
	// A worker that does not answer gets no longer lease: what runs there is to
	// become free some time.
	if v.clockMs > 0 && e.since(v.heard) < staleAfter && (order.Verb == Poll || order.Verb == Start) {
		elapsed := time.Duration(float64(e.since(v.clockAt)) * (1 - clockSlack))
		lease := e.settings.Lease
		order.ExpiresMs = v.clockMs + (elapsed + lease).Milliseconds()
		v.leaseUntil = max(v.leaseUntil, v.clockAt.Add(stretched(elapsed+lease)))
	}
	e.orders = append(e.orders, order)
}

// tendAttempt issues the order that is due for an attempt.
func (e *Engine) tendAttempt(v *view, a *attempt) {
	ref := a.ref
	if v.attempts[ref] != a || !a.committed || a.calling || e.now < a.retryAt || !e.reachable(v) {
		return
	}
	switch {
	case a.stopWanted && !a.settled:
		a.calling = true
		e.issue(v, Order{Verb: Stop, Task: ref, Attempt: a.number})
	case !a.stopWanted && !a.running && !a.settled:
		e.start(v, a)
	case a.running && !a.stopWanted && a.share != a.wantShare && e.isScavenger(ref):
		a.calling = true
		e.counters.Throttled++
		e.issue(v, Order{Verb: Throttle, Task: ref, Attempt: a.number, SharePercent: a.wantShare})
	}
}

func (e *Engine) start(v *view, a *attempt) {
	ref := a.ref
	job := e.state.Job(ref.Job)
	if job == nil || !job.Active() {
		a.stopWanted = true
		return
	}
	if v.clockMs == 0 {
		return // Without the worker's clock there is no lease to give.
	}
	a.calling = true
	task := job.Task(ref)
	e.issue(v, Order{Verb: Start, Task: ref, Attempt: a.number, Payload: job.Spec.Payload, Checkpoint: task.Checkpoint, Ticket: e.ticketFor(job, ref, v)})
}
