package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/workflow"
)

// openStart is a start without an answer, or a run that is not recorded. It is in the
// replicated state, so that the next leader knows it.
//
// The order may be carried out within maxOrderDelay, by the incarnation that was sent it or by a
// later one of its name. One that has stopped or ended the attempt, or has seen a
// higher fencing token, refuses it, but what an incarnation proves ends with it: the next one
// may carry the order out before a leader has reached it. So an open start ends when
//   - each start of the attempt was answered, or is the one that was seen to be carried out,
//   - a poll that was sent after maxOrderDelay shows no unrecorded run of the task, or
//   - nothing was heard of the worker and a run that began last has ended with its lease.
//
// Until then the task runs only as the attempt that was sent the start, on its worker, which
// may carry the order out any number of times without a second run; see keepsAttempt and
// waitsForOpenStart. An end of the task is not acknowledged; see holdAcks.
type openStart struct {
	ref workflow.TaskRef
	// life is the earliest incarnation to which such a start was sent.
	life workflow.Incarnation
	// address is where it was sent, attempt the number of the attempt, zero if an earlier
	// leader sent it.
	address string
	attempt uint32
	// sentBy is when the last such start was sent at the latest, extendedBy when the last order
	// arrives that may prolong the lease of a run.
	sentBy, extendedBy Instant
	// kept counts the incarnations with which the attempt stayed.
	kept int
	// recordedAge is the age up to which the state has it; see workflow.StartAge.
	recordedAge time.Duration
	// renewing is set while a further start waits for the commit that withdraws the age.
	renewing bool
	// running is set if a run that is not recorded was seen there.
	running bool
	// moved is set if starts were sent to more than one address.
	moved bool
	// strayOnly is set if only a run that is not recorded is known, and no start.
	strayOnly bool
	// committed is set once the record is.
	committed bool
	// uncounted is set if starts may be open that an earlier leader sent, or of another attempt.
	uncounted bool
	// assumed is set if no start is known to be without an answer: the attempt was placed
	// just before this leader took over.
	assumed bool
	// removed is set once the record is withdrawn.
	removed bool
	// heldSince is when the start first kept its task from workers, zero if it has not.
	heldSince Instant
}

const (
	// lastingStartWait is how long a lasting task waits for an open start. The platform allows it
	// no wait beyond 6 s while there is capacity for it.
	lastingStartWait = 3 * time.Second
	// maxUnansweredStarts bounds the starts of an attempt without an answer, and
	// maxExemptUnansweredStarts those of a task that may run elsewhere before. A worker that answers
	// polls only would otherwise keep the attempt for good.
	maxUnansweredStarts       = 10
	maxExemptUnansweredStarts = 3
	// startAgeStep is by how much the age of an open start grows from one record of it to the
	// next. A change of leader prolongs the wait by as much.
	startAgeStep = time.Second
)

// carriedOutBy returns when the start has been carried out, if ever.
func (o *openStart) carriedOutBy() Instant { return o.sentBy.Add(maxOrderDelay) }

// leaseOver returns when a run that began with the start has ended with its lease.
func (o *openStart) leaseOver(maxLease time.Duration) Instant {
	return max(o.carriedOutBy(), o.extendedBy).Add(maxRealTime(maxLease))
}

// counted reports whether the leader has counted each start that may be open under the attempt
// of the given number on an incarnation of the worker.
func (o *openStart) counted(life workflow.Incarnation, attempt uint32) bool {
	return !o.uncounted && o.life == life && o.attempt == attempt
}

// addTo adds to a log event to which incarnation the start was sent and how long ago.
func (o *openStart) addTo(event *zerolog.Event, now Instant) *zerolog.Event {
	return event.Str("worker", o.life.Name).Int64("sent_to_born_ms", o.life.BornMs).Str("address", o.address).Dur("sent_ago", now.Sub(o.sentBy)).
		Bool("running", o.running).Bool("inherited", o.uncounted).Bool("assumed", o.assumed)
}

// waitsForOpenStart reports whether a pending task of the step must not be placed on any worker
// because of a start of an earlier attempt.
func (e *Engine) waitsForOpenStart(step *workflow.Step, ref workflow.TaskRef) bool {
	for o := range e.openStarts.ofTask(ref) {
		if e.blocks(o, step) {
			return true
		}
	}
	return false
}

// held reports whether open starts, or strays, keep a pending task from all workers.
func (e *Engine) held(step *workflow.Step, ref workflow.TaskRef) bool {
	return e.waitsForOpenStart(step, ref) || e.strayOf(ref)
}

// blocks reports whether the task, which is of the step, may run only as the attempt that was
// sent the start. A worker refuses orders to another one whose address it took over. Copies of a
// duplicable task may run at the same time.
func (e *Engine) blocks(o *openStart, step *workflow.Step) bool {
	w := e.state.WorkerAt(o.address)
	switch {
	case o.running:
		return true
	case !exclusive(step) && !(step.Lasting && e.since(o.sentBy) < lastingStartWait):
		return false
	}
	return w == nil || o.moved || w.Life.Name == o.life.Name || !e.reachable(e.views[w.ID])
}

// nextStart returns when the task is started again on a worker that has just refused it: for a
// lasting one no later than it may run elsewhere.
func (o *openStart) nextStart(step *workflow.Step, now Instant) Instant {
	until := now.Add(unhealthyQuarantine)
	if step.Lasting {
		return min(until, o.sentBy.Add(lastingStartWait))
	}
	return until
}

// keepsAttempt reports whether an attempt that does not run remains with its worker, which is
// sent the start again: a start of it is open, so that its task may run nowhere else. newLife
// tells that the worker has restarted.
func (e *Engine) keepsAttempt(v *workerView, a *attempt, newLife bool) bool {
	o, job := e.openStartOf(a.ref, v.worker.Life.Name), e.state.Job(a.ref.Job)
	if o == nil || o.running || a.stopWanted || job == nil || !job.Active() {
		return false
	}
	step, task := &job.Spec.Steps[a.ref.Step], job.Task(a.ref)
	if step.Gang || task == nil || task.State != workflow.TaskPlaced || task.Attempt != a.number {
		return false
	}
	if newLife && (job.Advised || v.worker.Address != o.address) {
		return false // It has no ticket, or the start may be under way to two addresses.
	}
	if newLife && needsTest(job.Suspect(a.ref)) && !e.fitsTest(v.test, a.ref) {
		return false
	}
	if newLife && step.Lasting {
		return o.kept == 0
	}
	return e.blocks(o, step)
}

// tooManyUnanswered reports whether no further start of the attempt is sent.
func (e *Engine) tooManyUnanswered(a *attempt, step *workflow.Step) bool {
	if exclusive(step) {
		return a.deliverableStarts >= maxUnansweredStarts
	}
	return a.deliverableStarts >= maxExemptUnansweredStarts
}

// mayStartTwice reports whether a start of the attempt may be carried out beside one that is sent
// now. A gang whose member is started once more after the gang has ended has run twice, since the
// ends of its other members count; so none of its members is sent a second start.
func (e *Engine) mayStartTwice(v *workerView, a *attempt) bool {
	o := e.openStartOf(a.ref, v.worker.Life.Name)
	return a.startInherited || o != nil && (o.uncounted || a.deliverableStarts > 0)
}

// exclusive reports whether tasks of the step wait for starts that may be carried out late,
// however long that is.
func exclusive(step *workflow.Step) bool {
	return !step.Lasting && (!step.Duplicable || step.Gang)
}
