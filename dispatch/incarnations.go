package dispatch

import (
	"math"
	"slices"
	"time"
	"unicode/utf8"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// Announcement is a worker's report about itself.
type Announcement struct {
	Life     workflow.Incarnation
	Address  string
	Service  string
	Zone     string
	Labels   []string
	Rack     string
	Capacity workflow.Resources
	Draining bool
	// Report is the number of the report, which rises within the incarnation, zero if it
	// has none.
	Report uint64
	// ClockMs is the worker's clock in milliseconds, zero if it gave none.
	ClockMs int64
	// ColdLeftMs is the time in milliseconds for which the worker remains slow after its
	// start.
	ColdLeftMs int64
}

// maxAnnouncementBytes limits the strings of an announcement together. The state holds
// them for each worker.
const maxAnnouncementBytes = 16 << 10

// Bounds of the numbers in an announcement, beside those of the capacity.
const (
	// maxClockMs bounds a worker's clock, and so the leases by it.
	maxClockMs = 1 << 50
	// maxBornLead is by how much a worker's wall clock may be ahead of the leader's. The
	// incarnation that started last has the name and the address.
	maxBornLead = 24 * time.Hour
)

// validate returns an error of kind bad_request for an announcement that no worker sends:
// its strings are too long or not text in UTF-8, or a number is out of range. latestStartMs
// bounds the start of its incarnation.
func (a *Announcement) validate(latestStartMs int64) *kind.Error {
	size := 0
	for _, s := range append([]string{a.Life.Name, a.Address, a.Service, a.Zone, a.Rack}, a.Labels...) {
		if size += len(s); !utf8.ValidString(s) {
			return kind.Errorf(kind.BadRequest, "the worker's report holds %q, which is not UTF-8", s)
		}
	}
	if size > maxAnnouncementBytes {
		return kind.Errorf(kind.BadRequest, "the worker's report holds strings of %d bytes, at most %d are allowed", size, maxAnnouncementBytes)
	}
	c := a.Capacity
	switch {
	case !c.InRange():
		return kind.Errorf(kind.BadRequest, "the capacity of worker %q is out of range: %d thousandths of a processor, %d MB, %d accelerators", a.Life.Name, c.MilliProcessors, c.MemoryMB, c.Accelerators)
	case a.ClockMs < 0 || a.ClockMs > maxClockMs:
		return kind.Errorf(kind.BadRequest, "the clock of worker %q reads %d ms, which is out of range", a.Life.Name, a.ClockMs)
	case a.Life.BornMs <= 0 || a.Life.BornMs > latestStartMs:
		return kind.Errorf(kind.BadRequest, "the start of worker %q at %d ms is not in the range of 1 to %d ms", a.Life.Name, a.Life.BornMs, latestStartMs)
	case a.Report > workflow.MaxReport:
		return kind.Errorf(kind.BadRequest, "report %d of worker %q is out of range", a.Report, a.Life.Name)
	}
	return nil
}

// latestStartMs returns the latest start of an incarnation that is possible now, in milliseconds
// since the Unix epoch.
func (e *Engine) latestStartMs() int64 {
	if !e.wallKnown {
		return math.MaxInt64
	}
	return e.wallMs + maxBornLead.Milliseconds()
}

// Announce processes a worker's announcement and calls done once it is recorded
// or refused. The error is of kind bad_request for an announcement that is not valid, and
// stale_incarnation if a newer incarnation of the worker, or of another worker at its
// address, is recorded, or if the incarnation has withdrawn: the report was delayed.
func (e *Engine) Announce(a *Announcement, done func(*kind.Error)) {
	if err := a.validate(e.latestStartMs()); err != nil {
		done(err)
		return
	}
	if e.state.Departed(a.Life) {
		e.afterCommit(func() { done(kind.Errorf(kind.StaleIncarnation, "worker %q has withdrawn", a.Life.Name)) })
		return
	}
	e.endSilent(a.Life, e.state.WorkerNamed(a.Life.Name))
	e.endSilent(a.Life, e.state.WorkerAt(a.Address))
	w := e.state.WorkerNamed(a.Life.Name)
	if w == nil || w.Life.BornMs < a.Life.BornMs {
		if err := e.join(a); err != nil {
			e.afterCommit(func() { done(toKindError(err)) })
			return
		}
		w = e.state.WorkerNamed(a.Life.Name)
	}
	if w.Life != a.Life {
		e.afterCommit(func() { done(kind.Errorf(kind.StaleIncarnation, "worker %q has a newer incarnation", a.Life.Name)) })
		return
	}
	if a.Address != w.Address || a.Service != w.Service {
		done(kind.Errorf(kind.BadRequest, "a report of worker %q names address %s and service %q, not %s and %q", a.Life.Name, a.Address, a.Service, w.Address, w.Service))
		return
	}
	e.recordCold(e.views[w.ID], a)
	if err := e.applyReport(w, a); err != nil {
		e.afterCommit(func() { done(toKindError(err)) })
		return
	}
	if a.Draining && !w.Draining {
		if err := e.propose(workflow.Op{Leave: &workflow.Leave{Worker: w.ID}}); err != nil {
			done(toKindError(err))
			return
		}
		e.afterCommit(func() {
			e.log.Info().Str("worker", w.Life.Name).Uint64("term", e.term).Msg("worker draining")
			e.stopForDrain(w.ID)
		})
	}
	e.afterCommit(func() { done(nil) })
}

// endSilent ends an incarnation of no earlier start than the announced one that stands in
// its way, if it has not answered for longer than any lease and nothing is recorded on
// it. Start times are those of wall clocks, which may have been set back.
func (e *Engine) endSilent(next workflow.Incarnation, w *workflow.Worker) {
	if w == nil || w.Life == next || w.Life.BornMs < next.BornMs {
		return
	}
	if v := e.views[w.ID]; len(v.attempts) == 0 && e.since(v.answeredAt) > maxRealTime(e.settings.MaxLease) {
		e.endIncarnation(w, "silent")
	}
}

func (e *Engine) join(a *Announcement) error {
	join := &workflow.Join{Life: a.Life, Address: a.Address, Service: a.Service, Zone: a.Zone, Labels: a.Labels, Rack: a.Rack, Capacity: a.Capacity}
	if err := e.state.CheckJoin(join); err != nil {
		return err
	}
	if old := e.state.WorkerAt(a.Address); old != nil && old.Life.Name != a.Life.Name {
		if v := e.views[old.ID]; len(v.attempts) > 0 && e.reachable(v) || v.hasCarried() {
			return kind.Errorf(kind.StaleIncarnation, "worker %q answers at address %s", old.Life.Name, a.Address)
		}
	}
	var previous *workerView
	if old := e.state.WorkerNamed(a.Life.Name); old != nil {
		previous = e.views[old.ID]
		join.Carry = e.replaceIncarnation(old, a)
	}
	if old := e.state.WorkerAt(a.Address); old != nil && old.Life.Name != a.Life.Name {
		e.recordCrash(e.views[old.ID], "replaced_at_its_address")
		e.endIncarnation(old, "replaced_at_its_address")
	}
	if err := e.propose(workflow.Op{Join: join}); err != nil {
		return err
	}
	w := e.state.WorkerNamed(a.Life.Name)
	v := e.addView(w)
	for _, a := range v.attemptList {
		before := previous.attempts[a.ref]
		a.carried, a.checkpoint, a.lapsesAt = true, before.checkpoint, e.leaseOverAt(previous, before)
		a.ranBefore = before.running || before.ranBefore
		if before.carried {
			a.lapsesAt = before.lapsesAt
		}
		a.stopWanted = a.stopWanted || !e.canRun(w, a)
	}
	if len(v.attemptList) == 0 {
		// While carried attempts may run on a predecessor, no order may prolong its lease.
		v.clockMs, v.clockReadAt = a.ClockMs, e.now
	}
	// The poll does not wait for the commit: the incarnation rejects orders to its
	// predecessors only once it has answered one of its own.
	e.poll(v)
	e.afterCommit(func() {
		e.log.Info().Str("worker", w.Life.Name).Int64("born_ms", w.Life.BornMs).Str("address", w.Address).Str("service", w.Service).Uint64("term", e.term).Msg("worker joined")
	})
	return nil
}

// replaceIncarnation ends an incarnation whose worker announces a newer one. It
// returns the attempts that may run: on the previous incarnation, since a report alone
// does not prove its end, or on the next one, which their starts may still reach. They
// stay recorded until the first poll of the next incarnation shows what runs there.
func (e *Engine) replaceIncarnation(old *workflow.Worker, next *Announcement) []workflow.TaskRef {
	v := e.views[old.ID]
	e.recordCrash(v, "new_life")
	var carried []workflow.TaskRef
	for _, a := range v.attemptList {
		if a.committed {
			e.recordLateStart(v, a, a.running)
			carried = append(carried, a.ref)
			continue
		}
		e.void(v, a, "new_life")
	}
	e.dropView(v)
	e.log.Info().Str("worker", old.Life.Name).Int64("born_ms", old.Life.BornMs).Int64("next_born_ms", next.Life.BornMs).Int("carried", len(carried)).Uint64("term", e.term).Msg("worker reborn")
	return carried
}

// canRun reports whether a worker may run an attempt carried over from its
// previous incarnation.
func (e *Engine) canRun(w *workflow.Worker, a *attempt) bool {
	job := e.state.Job(a.ref.Job)
	step := e.step(a.ref)
	return step != nil && job.Service == w.Service && !w.Draining && w.Reserved.Fits(w.Capacity) && w.HasRequiredLabel(step)
}

// Withdraw processes a worker's report that it shuts down and calls done once its end
// is recorded. bornMs is the start of its incarnation, zero if the report names none.
// The worker may run on for seconds if the answer is lost, so what runs there is
// stopped first.
func (e *Engine) Withdraw(name string, bornMs int64, done func()) {
	w := e.state.WorkerNamed(name)
	if w == nil || w.Life.BornMs != bornMs && (bornMs != 0 || !w.Draining) {
		e.afterCommit(done)
		return
	}
	if !w.Draining {
		if err := e.propose(workflow.Op{Leave: &workflow.Leave{Worker: w.ID}}); err != nil {
			e.log.Error().Err(err).Str("worker", name).Msg("worker end not recorded")
			return
		}
	}
	v := e.views[w.ID]
	if _, repeated := e.withdrawals[w.ID]; !repeated {
		e.log.Info().Str("worker", name).Int64("born_ms", w.Life.BornMs).Int("attempts", len(v.attempts)).Uint64("term", e.term).Msg("worker withdraws")
	}
	e.withdrawals[w.ID] = append(e.withdrawals[w.ID], done)
	for _, a := range v.attemptList {
		a.stopWanted, a.stopCause = true, waitsAfterMove
	}
	e.issueDueOrders(v)
	e.endWithdrawn(w.ID)
}

// endWithdrawn records the end of a withdrawn worker once no attempt runs on it, and
// confirms its withdrawal.
func (e *Engine) endWithdrawn(id workflow.WorkerID) {
	v := e.views[id]
	if v != nil && (len(v.attempts) > 0 || e.strayOn(id)) {
		return
	}
	if v != nil {
		e.endIncarnation(v.worker, "withdrew")
	}
	for _, done := range e.withdrawals[id] {
		e.afterCommit(done)
	}
	delete(e.withdrawals, id)
}

// hasCarried reports whether attempts of the previous incarnation are undecided.
func (v *workerView) hasCarried() bool {
	return slices.ContainsFunc(v.attemptList, func(a *attempt) bool { return a.carried })
}

// handleOtherIncarnation processes an answer from another worker at the address. The
// incarnation is over, but while attempts of the previous one are undecided that one may
// run elsewhere: they wait for the end of the lease.
func (e *Engine) handleOtherIncarnation(v *workerView, answer *Answer) {
	if v.hasCarried() {
		if answer.Order.Verb == Poll {
			v.pollInFlight, v.nextPollAt = false, e.now.Add(pollRetryDelay)
		}
		return
	}
	e.recordCrash(v, "other_life_answers")
	e.endIncarnation(v.worker, "other_life_answers")
}

// endIncarnation voids the attempts of an incarnation of a worker and records its
// end.
func (e *Engine) endIncarnation(w *workflow.Worker, reason string) {
	e.voidAll(w.ID, reason)
	if err := e.propose(workflow.Op{Leave: &workflow.Leave{Worker: w.ID, Over: true}}); err != nil {
		e.log.Error().Err(err).Str("worker", w.Life.Name).Msg("worker end not recorded")
		return
	}
	e.dropView(e.views[w.ID])
	e.log.Info().Str("worker", w.Life.Name).Int64("born_ms", w.Life.BornMs).Str("reason", reason).Uint64("term", e.term).Msg("worker over")
}

func (e *Engine) dropView(v *workerView) {
	e.forgetStrays(v.worker.ID, nil)
	delete(e.views, v.worker.ID)
	e.departed = append(e.departed, v.worker.Address)
	e.sortedViews = slices.DeleteFunc(slices.Clone(e.sortedViews), func(other *workerView) bool { return other == v })
}
