package dispatch

import (
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// maxUnrecordedDelay is the time from a placement up to which its first start is sent
	// without a record of it; workflow.RecentPlacement relies on it.
	maxUnrecordedDelay = time.Second
	// inheritedDelay is the time after which a new leader records the starts that its
	// predecessor may have sent to workers that have not answered yet.
	inheritedDelay = 300 * time.Millisecond
	// maxSendDelay is the time within which an order that was issued leaves: as long as it may
	// wait to be sent, and as long as the sender waits for its answer.
	maxSendDelay = 2 * orderAnswerTimeout
	// heldAckPollDelay is the pause between polls of a worker that lists an end which is not
	// acknowledged yet, as it answers each of them at once.
	heldAckPollDelay = 100 * time.Millisecond
)

// inheritOpenStarts takes over the open starts of the earlier leader, whose orders may have
// been sent up to now.
func (e *Engine) inheritOpenStarts() {
	for _, recorded := range e.state.OpenStarts() {
		age := time.Duration(e.state.StartAgeMs(recorded.Task, recorded.Life.Name, e.term-1)) * time.Millisecond
		e.openStarts.add(&openStart{
			ref: recorded.Task, life: recorded.Life, address: recorded.Address, running: recorded.Running, committed: true, uncounted: true,
			sentBy: e.now.Add(-age), extendedBy: e.now.Add(maxOrderDelay),
		})
	}
	recent := make(map[workflow.TaskRef]uint32)
	for _, p := range e.state.RecentPlacements() {
		recent[p.Task] = p.Attempt
	}
	for _, v := range e.sortedViews {
		for _, a := range v.attemptList {
			// A record covers the starts that were sent without one before.
			a.startInherited = recent[a.ref] == a.number && e.openStartOf(a.ref, v.worker.Life.Name) == nil
		}
	}
}

// lateStart reports whether a start of the attempt was sent and not answered, so that it may
// still be carried out by a later incarnation. ran tells that a start has been carried out.
func (a *attempt) lateStart(ran bool) bool {
	n := a.deliverableStarts
	if a.startCallInFlight {
		n++
	}
	if ran && !a.startAnswered && n > 0 {
		n--
	}
	return n > 0 || a.startInherited && !ran
}

// recordLateStart records that a start of the attempt may still be carried out, if so.
func (e *Engine) recordLateStart(v *workerView, a *attempt, ran bool) {
	if !a.lateStart(ran) {
		return
	}
	known := e.openStartOf(a.ref, v.worker.Life.Name) != nil
	o := e.open(v.worker, a.ref, a.number, false)
	switch {
	case o == nil:
	case a.startCallInFlight:
		e.renew(o, e.now.Add(maxSendDelay))
	case !known && !a.startInherited:
		e.renew(o, e.now)
	case a.startInherited:
		e.renew(o, max(o.sentBy, e.tookOverAt))
		o.assumed = !known
	}
}

// recordUnanswered records that a start of the attempt, sent up to now, got no answer.
func (e *Engine) recordUnanswered(v *workerView, a *attempt) {
	e.recordLateStart(v, a, a.running)
	if o := e.openStartOf(a.ref, v.worker.Life.Name); o != nil {
		e.renew(o, e.now)
	}
}

// renew sets by when the latest of the starts was sent, and withdraws the age that is recorded.
func (e *Engine) renew(o *openStart, sentBy Instant) {
	o.sentBy = sentBy
	if o.recordedAge > 0 {
		e.recordAge(o, 0)
	}
}

// adoptCarried has a worker that has restarted run an attempt that was sent to an earlier
// incarnation and may still be carried out by a later one.
func (e *Engine) adoptCarried(v *workerView, a *attempt) {
	a.carried, a.adopted = false, false
	e.openStartOf(a.ref, v.worker.Life.Name).kept++
	if needsTest(e.state.Job(a.ref.Job).Suspect(a.ref)) {
		if v.test == nil {
			v.test = &crashTest{since: e.now}
		}
		v.test.tasks = append(v.test.tasks, testedTask{ref: a.ref, started: true})
	}
	e.log.Info().Stringer("task", a.ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Int64("born_ms", v.worker.Life.BornMs).Uint64("term", e.term).Msg("attempt kept by next life")
}

func (e *Engine) openStartOf(ref workflow.TaskRef, worker string) *openStart {
	for o := range e.openStarts.ofTask(ref) {
		if o.life.Name == worker {
			return o
		}
	}
	return nil
}

// open returns the open start of a task on a worker, which it records if there is none.
// It returns nil if the record is refused.
func (e *Engine) open(w *workflow.Worker, ref workflow.TaskRef, attempt uint32, running bool) *openStart {
	o := e.openStartOf(ref, w.Life.Name)
	if o != nil {
		o.uncounted = o.uncounted || o.attempt != attempt
		o.moved = o.moved || o.address != w.Address
	}
	if o != nil && (o.running || !running) {
		return o
	}
	if err := e.propose(workflow.Op{OpenStart: &workflow.OpenStart{Task: ref, Life: w.Life, Address: w.Address, Running: running}}); err != nil {
		e.log.Error().Err(err).Stringer("task", ref).Msg("open start not recorded")
		return nil
	}
	if o == nil {
		e.counters.OpenStarts++
		o = &openStart{ref: ref, life: w.Life, address: w.Address, attempt: attempt, sentBy: e.now.Add(-maxOrderDelay), strayOnly: running}
		e.openStarts.add(o)
		e.afterCommit(func() { o.committed = true })
	}
	o.running = running || o.running
	o.addTo(e.log.Info().Stringer("task", ref).Uint32("attempt", attempt).Int64("born_ms", w.Life.BornMs), e.now).Uint64("term", e.term).Msg("start open")
	return o
}

// settle withdraws the record of an open start.
func (e *Engine) settle(o *openStart, reason string) {
	if o.removed {
		return
	}
	if err := e.propose(workflow.Op{OpenStart: &workflow.OpenStart{Task: o.ref, Life: o.life, Address: o.address, Settled: true}}); err != nil {
		e.log.Error().Err(err).Stringer("task", o.ref).Msg("open start not settled")
		return
	}
	e.openStarts.remove(o)
	e.ready.markDirty(o.ref.Job)
	if w := e.state.WorkerNamed(o.life.Name); w != nil {
		e.views[w.ID].roomGrew()
	}
	event := o.addTo(e.log.Info().Stringer("task", o.ref).Uint32("attempt", o.attempt).Str("reason", reason), e.now)
	if o.heldSince != 0 {
		event = event.Dur("held", e.since(o.heldSince))
	}
	event.Uint64("term", e.term).Msg("start settled")
}

// settleAnswered settles the open start of an attempt if all its starts are accounted for.
// ran tells that a start has been carried out.
func (e *Engine) settleAnswered(v *workerView, a *attempt, ran bool) {
	if o := e.openStartOf(a.ref, v.worker.Life.Name); o != nil && o.counted(v.worker.Life, a.number) && !o.running && !a.lateStart(ran) {
		e.settle(o, "answered")
	}
}

// settlePolled settles the open starts on a worker whose answer to a poll ends them.
func (e *Engine) settlePolled(v *workerView, answer *Answer) {
	for o := range e.openStarts.ofWorker(v.worker.Life.Name) {
		if slices.ContainsFunc(e.strays, func(s stray) bool { return s.worker == v.worker.ID && s.ref == o.ref }) {
			continue
		}
		o.running = false
		if answer.Order.SentAt < o.carriedOutBy() || e.startInFlight(o) {
			continue
		}
		e.settle(o, "polled")
		if a := v.attempts[o.ref]; a != nil {
			unanswered := a.deliverableStarts
			if a.unansweredStarts, a.deliverableStarts = 0, 0; !a.running && unanswered >= maxUnansweredStarts && len(answer.Ended) < maxListedEnds {
				v.quarantinedUntil = max(v.quarantinedUntil, e.now.Add(unhealthyQuarantine))
				e.void(v, a, "starts_unanswered")
			}
		}
	}
}

// checkOpenStarts settles the open starts on workers that are not heard of, once a run that
// began with the last of them has ended with its lease. It records those that this leader
// has inherited without a record.
func (e *Engine) checkOpenStarts() {
	for o := range e.openStarts.all() {
		if e.now > o.leaseOver(e.settings.MaxLease) {
			e.settle(o, "lease_over")
			continue
		}
		if age := min(e.since(o.sentBy), maxOrderDelay); age/startAgeStep > o.recordedAge/startAgeStep && !e.startExpected(o) {
			o.renewing = false
			e.recordAge(o, age)
		}
	}
	if e.inheritedRecorded || e.since(e.tookOverAt) < inheritedDelay {
		return
	}
	e.inheritedRecorded = true
	for _, v := range e.sortedViews {
		for _, a := range v.attemptList {
			if a.startInherited && !a.running {
				e.recordLateStart(v, a, false)
			}
		}
	}
}

// attemptOf returns the attempt of the task on the worker of the open start, nil if there is none.
func (e *Engine) attemptOf(o *openStart) *attempt {
	w := e.state.WorkerNamed(o.life.Name)
	if w == nil {
		return nil
	}
	return e.views[w.ID].attempts[o.ref]
}

// startInFlight reports whether a start of the task is in flight to the worker of the open start.
func (e *Engine) startInFlight(o *openStart) bool {
	a := e.attemptOf(o)
	return a != nil && a.startCallInFlight
}

// startExpected reports whether a start is in flight, or is sent once the age is withdrawn.
func (e *Engine) startExpected(o *openStart) bool {
	a := e.attemptOf(o)
	return a != nil && (a.startCallInFlight || o.renewing && !a.stopWanted && !a.running)
}

// recordAge records the age of an open start for the next leader.
func (e *Engine) recordAge(o *openStart, age time.Duration) {
	if err := e.propose(workflow.Op{StartAge: &workflow.StartAge{Task: o.ref, Worker: o.life.Name, AgeMs: age.Milliseconds(), Term: e.term}}); err != nil {
		e.log.Error().Err(err).Stringer("task", o.ref).Msg("open start not recorded")
		return
	}
	o.recordedAge = age
}

// recordGrant records that an order to the worker may prolong the lease of a run that an open
// start begins.
func (e *Engine) recordGrant(worker string, order *Order) {
	for o := range e.openStarts.ofWorker(worker) {
		o.extendedBy = e.now.Add(order.Timeout())
		if !o.strayOnly {
			// Its run may be on the next incarnation, by whose clock a late order grants a whole lease.
			o.extendedBy = o.extendedBy.Add(maxOrderDelay)
		}
	}
}

// mayStart reports whether a start of the attempt may be sent: the first one of a
// new placement, which the next leader sees in the state, or another one whose record is
// committed.
func (e *Engine) mayStart(v *workerView, a *attempt) bool {
	o := e.openStartOf(a.ref, v.worker.Life.Name)
	if o == nil && !a.unlisted && a.deliverableStarts == 0 && e.since(a.placedAt) <= maxUnrecordedDelay {
		return true
	}
	known := o != nil
	if o = e.open(v.worker, a.ref, a.number, false); o == nil {
		return false
	}
	o.strayOnly = false
	if a.startInherited {
		o.sentBy, o.uncounted, a.startInherited = max(o.sentBy, e.tookOverAt), true, false
		o.assumed = o.assumed || !known
	}
	if o.recordedAge > 0 {
		o.committed = false
		e.recordAge(o, 0)
		e.afterCommit(func() { o.committed = true })
	}
	if !o.committed {
		o.renewing = true
		return false
	}
	o.assumed, o.renewing = false, false
	return true
}

// dropOpenTasks removes the tasks from a step that wait for open starts. All tasks of a gang
// wait for one of any. Those that were removed before are considered again: a worker that
// joins may end their wait.
func (e *Engine) dropOpenTasks(s *readyStep) {
	if len(s.limited) > 0 {
		s.pending = append(s.pending, s.limited...)
		slices.Sort(s.pending)
		s.limited = nil
	}
	if e.openStarts.len() == 0 {
		return
	}
	var free, waiting []uint32
	for _, i := range s.pending {
		if ref := s.task(i); e.waitsForOpenStart(s.step, ref) {
			e.recordHeld(ref)
			waiting = append(waiting, i)
		} else {
			free = append(free, i)
		}
	}
	switch {
	case len(waiting) == 0:
	case s.step.Gang:
		s.pending, s.limited = nil, s.pending
	default:
		s.pending, s.limited = free, waiting
	}
}

// recordHeld records that open starts keep a task from workers, and logs it once for each.
func (e *Engine) recordHeld(ref workflow.TaskRef) {
	for o := range e.openStarts.ofTask(ref) {
		if o.heldSince != 0 {
			continue
		}
		o.heldSince = e.now
		o.addTo(e.log.Info().Stringer("task", ref).Uint32("attempt", o.attempt), e.now).Uint64("term", e.term).Msg("open start holds task")
	}
}

// logOpenStarts logs the open starts beside which an attempt of their task is placed on v.
func (e *Engine) logOpenStarts(ref workflow.TaskRef, number uint32, v *workerView) {
	for o := range e.openStarts.ofTask(ref) {
		event := o.addTo(e.log.Info().Stringer("task", ref).Uint32("attempt", number).Str("placed_on", v.worker.Life.Name).Uint32("open_attempt", o.attempt), e.now)
		if w := e.state.WorkerAt(o.address); w != nil {
			event = event.Str("now_there", w.Life.Name).Int64("now_born_ms", w.Life.BornMs).Bool("reachable", e.reachable(e.views[w.ID]))
		}
		event.Uint64("term", e.term).Msg("placed beside open start")
	}
}

// holdAcks sets up to which of its listed ends a worker's next poll acknowledges them. The
// end of a task that is done, or has failed, is kept from that while a start of the task is open:
// if the worker crashes before, the end does not count, and its next incarnation may run the task.
func (e *Engine) holdAcks(v *workerView, ended []EndedAttempt) {
	v.ackHeld, v.ackLimit = false, 0
	if e.openStarts.len() == 0 {
		return
	}
	for i := range ended {
		if (ended[i].How == workflow.EndDone || ended[i].How == workflow.EndFailed) && e.mayStartLate(ended[i].Task) {
			v.ackHeld, v.ackLimit = true, ended[i].Number-1
			v.endsListed = ended[0].Number <= v.ackLimit
			return
		}
	}
}

// mayStartLate reports whether a start of the task is open, or one of another member of its
// gang, of which an end counts for all. For a member whose start is only assumed to be open,
// the end of the gang does not wait.
func (e *Engine) mayStartLate(ref workflow.TaskRef) bool {
	job := e.state.Job(ref.Job)
	if job == nil || job.Task(ref) == nil || !exclusive(&job.Spec.Steps[ref.Step]) {
		return false
	}
	if e.openStarts.has(ref) {
		return true
	}
	if step := &job.Spec.Steps[ref.Step]; step.Gang {
		for ref.Index = range step.Count {
			for o := range e.openStarts.ofTask(ref) {
				if !o.assumed {
					return true
				}
			}
		}
	}
	return false
}
