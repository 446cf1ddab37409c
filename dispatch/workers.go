package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

// workerView is what the leader knows of one incarnation of a worker.
type workerView struct {
	worker *workflow.Worker
	// fenced is set once the worker has answered an order of this term, so that
	// it rejects the orders of earlier leaders.
	fenced bool
	// reachedAt is when it first did so.
	reachedAt Instant
	// refusesToken is set once the worker has refused the fencing token of this term.
	refusesToken bool
	// pollInFlight is set from a poll to its answer, polls counts them.
	pollInFlight bool
	polls        uint64
	// endsListed is set if the incarnation answered the latest poll and listed ends. If
	// not, there is nothing to acknowledge, and the next poll may reach its successor,
	// whose ends have the same numbers.
	endsListed bool
	nextPollAt Instant
	// probeInFlight is set while a poll beside the usual one is in flight.
	probeInFlight bool
	// pollDueAt is when the answer to the poll in flight is due, zero for none.
	pollDueAt Instant
	// shownAt is when the latest poll was sent that the incarnation answered itself: later ones
	// begin after it.
	shownAt Instant
	// answeredAt is when the worker last answered an order, heardBeforeSilence when it did so
	// before it was last not reachable, zero if it always was.
	answeredAt, heardBeforeSilence Instant
	// clockMs is the worker's clock in milliseconds, as it was at clockReadAt.
	clockMs     int64
	clockReadAt Instant
	// leaseExpiresAt is when the worker has certainly stopped what it runs,
	// unless another order renews the lease.
	leaseExpiresAt Instant
	// nextLeaseExpiresAt is when a lease has certainly expired that the worker's next
	// incarnation, not announced yet, took from an order to this one that arrived while its
	// answer was awaited: its clock starts anew, so that the lease is bounded by MaxLease from the
	// arrival.
	nextLeaseExpiresAt Instant
	// lastEndSeen is the number of the last ended attempt whose end was proposed
	// to the log.
	lastEndSeen uint64
	// lastEndAcked is the number of the last ended attempt whose end is
	// committed.
	lastEndAcked uint64
	// ackAnswered is up to which end the incarnation has answered an acknowledgement.
	ackAnswered uint64
	// ackHeld is set while a listed end is not to be acknowledged; ackLimit is the number of
	// the one before it.
	ackHeld  bool
	ackLimit uint64
	// quarantinedUntil is when the worker gets new work again.
	quarantinedUntil Instant
	// refusingUntil is when it gets a lasting task again after it has refused a start.
	refusingUntil Instant
	// placementState caches what placements use of the worker, nil if it must be
	// recomputed.
	placementState *placementState
	// roomGrewAt is the number of the latest change that left more room on the worker, by the
	// engine's count roomChanges.
	roomGrewAt  uint64
	roomChanges *uint64
	// sharesSetAt is when the shares of the scavengers were last set.
	sharesSetAt Instant
	// learnedAt is when readings were last fed to the slowdown model.
	learnedAt Instant
	health    health
	// attempts are the recorded attempts on the worker, attemptList the same in
	// the order in which they were added. The list is replaced, never modified in
	// place, so that it can be iterated while attempts end.
	attempts    map[workflow.TaskRef]*attempt
	attemptList []*attempt
	// lastReport is the number of the latest report that was processed, at reportedAt.
	lastReport uint64
	reportedAt Instant
	// silentSince is when an order first stayed without an answer, zero while the worker
	// answers.
	silentSince Instant
	// lastStartAt is when a start was last sent to the worker, or found carried out there.
	lastStartAt Instant
	// lost are the attempts that were taken for over while the worker was silent.
	lost []crashVictim
	// test is the test for which the worker gets no other new attempts, nil for none.
	test *crashTest
	// endedScavengers are the scavengers that ended recently.
	endedScavengers []endedScavenger
	// coldUntil is until when the worker is slow after its start, by its reports.
	coldUntil Instant
}

// attempt is what the leader knows of an attempt on a worker.
type attempt struct {
	ref    workflow.TaskRef
	number uint32
	// committed is set once the placement is committed.
	committed bool
	// callInFlight is set while a start, stop or throttle order is in flight.
	callInFlight bool
	retryAt      Instant
	// nextStartAt is when a start may be sent again.
	nextStartAt Instant
	// startCallInFlight is set while the order in flight is a start.
	startCallInFlight bool
	// startsSent counts the starts that this leader sent, unansweredStarts those that
	// got no answer. startAnswered is set once a start was answered as carried out.
	startsSent, unansweredStarts int
	// firstSentAt is when this leader sent the first start.
	firstSentAt Instant
	// lastSentAt is when this leader sent the latest start.
	lastSentAt Instant
	// deliverableStarts counts the unanswered starts for which a connection was made.
	deliverableStarts int
	startAnswered     bool
	// confirmed is set once it is known that this incarnation, and not a later one, carried out a
	// start.
	confirmed bool
	// adopted is set on an attempt of an earlier leader or incarnation, any number of
	// whose starts may be unanswered.
	adopted bool
	// unlisted is set on an attempt that the state may not list as a recent placement: its
	// first start is recorded.
	unlisted bool
	// startInherited is set on an attempt of an earlier leader that was placed just before
	// this one took over, until it is known whether its start was carried out.
	startInherited bool
	// carried is set on an attempt of the worker's previous incarnation until a poll
	// of this one has shown whether a start of it was carried out here.
	carried bool
	// lapsesAt is when a carried attempt has certainly ended with its lease, unless its open start
	// is carried out, zero if that is not known.
	lapsesAt Instant
	// ranBefore is set on a carried attempt that ran on the previous incarnation.
	ranBefore    bool
	running      bool
	runningSince Instant
	placedAt     Instant
	stages       stageTimes
	// missedPolls counts the polls in a row that did not show a running attempt.
	missedPolls int
	stopWanted  bool
	// startRuledOutAt is when the worker answered that it will not start the
	// attempt any more: a poll sent later shows whether it runs.
	startRuledOutAt Instant
	startRuledOut   bool
	percent         int
	checkpoint      string
	gauge           int64
	gaugeReadAt     Instant
	pace            pace
	// appliedShare is the share of its full speed, in percent, that the worker
	// last confirmed, wantedShare the one that it should have.
	appliedShare, wantedShare int
	// shareAppliedAt is when the applied share became known.
	shareAppliedAt Instant
	// compared is set once the attempt counts for the health of its worker.
	compared bool
	// isCopy is set on a copy of a task, probed once its progress was asked for.
	isCopy, probed bool
	// throttled is set once the attempt did not run at full share.
	throttled bool
	// throttledSince is when the wanted share fell below relocateBelowPercent,
	// zero if it has not.
	throttledSince Instant
	// slackDeviation is by how much the slack of a serving task is estimated to
	// differ from that of its job.
	slackDeviation float64
	// overrun is the current overrun of a serving task.
	overrun overrun
	// warmedUpAt is when the gauge of a lasting task becomes representative.
	warmedUpAt Instant
	// stopCause is why a lasting task is stopped, zero if that is told by its end.
	stopCause waitCause
	// class tells whether the task is urgent, once that is known.
	class attemptClass
}

const (
	// fullShare is full speed, and also complete progress, in percent.
	fullShare = 100
	// unknownShare is the applied share of attempts that an earlier leader
	// placed, or that was overtaken. It differs from every wanted share, so that the
	// share is set again.
	unknownShare = -1
)

func (e *Engine) addView(w *workflow.Worker) *workerView {
	v := &workerView{
		worker: w, answeredAt: e.now, attempts: make(map[workflow.TaskRef]*attempt), lastEndSeen: w.Acked, lastEndAcked: w.Acked,
		// An earlier leader may have renewed the lease until it lost its quorum.
		leaseExpiresAt: e.now.Add(maxRealTime(e.settings.MaxLease)),
		lastReport:     w.Report, reportedAt: e.now, roomChanges: e.roomChanges,
	}
	if v.lastReport > workflow.MaxReport {
		v.lastReport = 0 // Recorded before reports were checked.
	}
	for _, ref := range sortedTasks(w.Attempts) {
		a := &attempt{ref: ref, number: w.Attempts[ref], committed: true, adopted: true, unlisted: true, carried: w.Carried[ref], placedAt: e.now, appliedShare: unknownShare, wantedShare: fullShare}
		if job := e.state.Job(ref.Job); job == nil || !job.Active() {
			a.stopWanted = true
		} else {
			e.adoptCopyable(v, a, job)
		}
		v.add(a)
		e.addUnconfirmed(a)
	}
	if len(w.Carried) > 0 {
		// Until its first answer, an incarnation may carry out a start that was sent to
		// the previous one, and run it for the longest lease.
		v.leaseExpiresAt = v.leaseExpiresAt.Add(maxOrderDelay)
	}
	e.views[w.ID] = v
	e.sortedViews = append(slices.Clone(e.sortedViews), v)
	return v
}

func sortedTasks(attempts map[workflow.TaskRef]uint32) []workflow.TaskRef {
	return slices.SortedFunc(maps.Keys(attempts), compareTaskRefs)
}

func (v *workerView) add(a *attempt) {
	v.attempts[a.ref], v.placementState = a, nil
	v.attemptList = append(slices.Clone(v.attemptList), a)
}

func (v *workerView) remove(a *attempt) {
	delete(v.attempts, a.ref)
	v.roomGrew()
	v.attemptList = slices.DeleteFunc(slices.Clone(v.attemptList), func(other *attempt) bool { return other == a })
}

// voidAll voids all attempts on a worker.
func (e *Engine) voidAll(id workflow.WorkerID, reason string) {
	v := e.views[id]
	for _, a := range v.attemptList {
		e.void(v, a, reason)
	}
}

// startsInFlight returns how many starts of the attempt may still be carried out; at
// least one if it is adopted. If the attempt runs and no start was answered, one of
// them has been carried out already.
func (a *attempt) startsInFlight() int {
	if a.adopted {
		return max(a.ownStartsInFlight(), 1)
	}
	return a.ownStartsInFlight()
}

// ownStartsInFlight is startsInFlight without the starts of earlier leaders.
func (a *attempt) ownStartsInFlight() int {
	n := a.unansweredStarts
	if a.startCallInFlight {
		n++
	}
	if a.running && !a.startAnswered && n > 0 {
		n--
	}
	return n
}

func compareTaskRefs(a, b workflow.TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// void records that an attempt does not run and never will.
func (e *Engine) void(v *workerView, a *attempt, reason string) {
	ref := a.ref
	v.remove(a)
	e.recordLateStart(v, a, a.running)
	e.recordLastingEnd(v, a, waitsAfterLapse)
	err := e.propose(workflow.Op{Void: &workflow.Void{Worker: v.worker.ID, Task: ref, Attempt: a.number, Checkpoint: a.checkpoint}})
	if err != nil {
		e.log.Error().Err(err).Stringer("task", ref).Msg("attempt not voided")
		return
	}
	e.counters.Voided++
	e.proposeLastingEnd(a)
	e.ready.markDirty(ref.Job)
	e.log.Info().Stringer("task", ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Int64("born_ms", v.worker.Life.BornMs).Str("reason", reason).
		Int("starts", a.startsSent).Int("in_flight", a.startsInFlight()).Bool("adopted", a.adopted).Bool("start_ruled_out", a.startRuledOut).Dur("sent_ago", e.sinceStart(a)).Dur("lease_left", v.leaseExpiresAt.Sub(e.now)).Dur("unheard", e.since(v.answeredAt)).Uint64("term", e.term).Msg("attempt void")
	e.recordFormerAttempt(v, a, reason)
}

// sinceStart returns how long ago this leader sent the latest start of the attempt, -1 ns if it
// sent none.
func (e *Engine) sinceStart(a *attempt) time.Duration {
	if a.startsSent == 0 {
		return -1
	}
	return e.since(a.lastSentAt)
}

// stopForDrain stops the lasting and resumable attempts on a draining worker. The
// others run on, since a stop would lose their progress.
func (e *Engine) stopForDrain(id workflow.WorkerID) {
	v := e.views[id]
	if v == nil {
		return
	}
	for _, a := range v.attemptList {
		if step := e.step(a.ref); step != nil && (step.Lasting || step.Resumable) {
			a.stopWanted, a.stopCause = true, waitsAfterMove
		}
	}
	e.issueDueOrders(v)
}

// stopJobAttempts stops the attempts of a job that has ended and drops what is
// kept about the job.
func (e *Engine) stopJobAttempts(job *workflow.Job) {
	e.forgetAdvice(job)
	e.forgetGangs(job)
	e.forgetPaces(job)
	e.stopCopies(job)
	delete(e.slowdown.ownSlackTrends, job.ID)
	maps.DeleteFunc(e.lastFailures, func(ref workflow.TaskRef, _ taskFailure) bool { return ref.Job == job.ID })
	for o, held := range job.Occurrences.Held() {
		for s, tasks := range held.Steps {
			for i := range tasks {
				ref := workflow.TaskRef{Job: job.ID, Occurrence: o, Step: uint32(s), Index: uint32(i)}
				v := e.views[tasks[i].Worker]
				if v == nil || v.attempts[ref] == nil {
					continue
				}
				v.attempts[ref].stopWanted = true
				e.issueAttemptOrder(v, v.attempts[ref])
			}
		}
	}
}

// issueDueOrders issues the orders that are due for a worker. It voids the
// attempts on a worker that is unreachable and whose lease has expired.
func (e *Engine) issueDueOrders(v *workerView) {
	if e.now > v.leaseExpiresAt && !e.reachable(v) {
		e.voidExpired(v)
	}
	e.voidCarriedLasting(v)
	if !v.pollInFlight && !v.refusesToken && e.now >= v.nextPollAt {
		e.poll(v)
	}
	if e.since(v.sharesSetAt) >= shareUpdateInterval && e.reachable(v) {
		e.setShares(v)
	}
	for _, a := range v.attemptList {
		e.issueAttemptOrder(v, a)
	}
}

// fencingToken returns the token of a leader's orders to one incarnation of a worker.
// It rises with the term, and with each incarnation under the same name: once an
// incarnation has answered an order, it rejects those that were sent to its
// predecessors, of which it knows nothing.
func fencingToken(term uint64, worker workflow.WorkerID) uint64 { return term<<32 | uint64(worker) }

// issueOrder completes an order and queues it for sending. A worker that has refused this
// leader's fencing token gets none.
func (e *Engine) issueOrder(v *workerView, order Order) {
	if v.refusesToken {
		return
	}
	order.Worker, order.Life, order.Address, order.Domain = v.worker.ID, v.worker.Life, v.worker.Address, v.worker.Zone
	order.Term, order.Fence, order.SentAt = e.term, fencingToken(e.term, v.worker.ID), e.now
	// The lease of a worker that does not answer is not renewed, so that its
	// tasks can run elsewhere in the end.
	if v.clockMs > 0 && e.since(v.answeredAt) < staleAfter && (order.Verb == Poll || order.Verb == Start) {
		elapsed := time.Duration(float64(e.since(v.clockReadAt)) * (1 - maxClockLag))
		lease := e.settings.Lease
		order.ExpiresMs = v.clockMs + (elapsed + lease).Milliseconds()
		v.leaseExpiresAt = max(v.leaseExpiresAt, v.clockReadAt.Add(maxRealTime(elapsed+lease)))
		v.nextLeaseExpiresAt = e.now.Add(order.Timeout() + maxRealTime(e.settings.MaxLease))
		e.recordGrant(v.worker.Life.Name, &order)
	}
	e.orders = append(e.orders, order)
}

// issueAttemptOrder issues the order that is due for an attempt: stop, start or
// throttle.
func (e *Engine) issueAttemptOrder(v *workerView, a *attempt) {
	if a.running && !a.stopWanted && a.appliedShare == a.wantedShare {
		return
	}
	ref := a.ref
	if v.attempts[ref] != a || !a.committed || a.carried || a.callInFlight || e.now < a.retryAt || !e.reachable(v) {
		return
	}
	if v.worker.Draining && !a.running {
		a.stopWanted = true
	}
	if e.evacuated(v) {
		e.withholdStart(v, a)
		if v.attempts[ref] != a {
			return
		}
	}
	switch {
	case a.stopWanted && !a.startRuledOut:
		a.callInFlight = true
		e.issueOrder(v, Order{Verb: Stop, Task: ref, Attempt: a.number})
	case !a.stopWanted && !a.running && !a.startRuledOut && !v.worker.Draining:
		e.issueStart(v, a)
	case a.running && !a.stopWanted && a.appliedShare != a.wantedShare && e.isScavenger(ref):
		a.callInFlight, a.throttled = true, true
		e.counters.Throttled++
		e.issueOrder(v, Order{Verb: Throttle, Task: ref, Attempt: a.number, SharePercent: a.wantedShare})
	}
}

func (e *Engine) issueStart(v *workerView, a *attempt) {
	ref := a.ref
	job := e.state.Job(ref.Job)
	if job == nil || !job.Active() {
		a.stopWanted = true
		return
	}
	task := job.Task(ref)
	if task == nil || task.State == workflow.TaskDone {
		a.stopWanted = true // A voided attempt has done the task after all.
		return
	}
	if e.heldByStray(v.worker.ID, ref) {
		return
	}
	if !e.capacityKnown(v) {
		return
	}
	if e.overCapacity(v) {
		// The worker has shrunk since the attempt was placed.
		if a.startsSent == 0 && !a.adopted {
			e.void(v, a, "shrunk")
			return
		}
		a.stopWanted = true
		return
	}
	if e.now < a.nextStartAt {
		return
	}
	if v.clockMs == 0 {
		return // A lease can't be granted without a reading of the worker's clock.
	}
	if e.tooManyUnanswered(a, &job.Spec.Steps[ref.Step]) {
		if a.stopWanted = !e.keepsAttempt(v, a, false); a.stopWanted {
			v.quarantinedUntil = max(v.quarantinedUntil, e.now.Add(unhealthyQuarantine+pollWait+pollAnswerTime))
		}
		return
	}
	if job.Spec.Steps[ref.Step].Gang && e.mayStartTwice(v, a) {
		a.stopWanted = true
		return
	}
	if !e.mayStart(v, a) {
		return
	}
	a.callInFlight, a.startCallInFlight = true, true
	if v.lastStartAt = e.now; a.startsSent == 0 {
		a.firstSentAt = e.now
	}
	a.lastSentAt = e.now
	a.startsSent++
	if a.startsSent > 1 {
		e.log.Info().Stringer("task", ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Int64("born_ms", v.worker.Life.BornMs).Int("starts", a.startsSent).Int("unanswered", a.unansweredStarts).Uint64("term", e.term).Msg("start repeated")
	}
	// Repeated starts get the usual time: the worker may be slow to answer.
	prompt := a.startsSent == 1 && e.isPromptTask(ref)
	e.issueOrder(v, Order{Verb: Start, Urgent: e.isUrgentTask(job, ref.Step), Prompt: prompt, Task: ref, Attempt: a.number, Payload: job.Spec.Payload, Checkpoint: cmp.Or(a.checkpoint, task.Checkpoint), Ticket: e.ticketFor(job, ref, v)})
}
