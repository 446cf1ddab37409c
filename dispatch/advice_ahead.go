package dispatch

import (
	"cmp"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

// A lasting task of an advised queue is owed capacity as any other, but only where it may start. So
// the advice service is asked ahead about workers that are full of tasks that will end, or that can
// be stopped for it: capacity is kept and reclaimed only on those that it permits.

const (
	// askAheadDelay is how long a lasting task waits before workers without room for it are asked
	// about: several questions are answered by the time when capacity is kept for it.
	askAheadDelay = reservationDelay / 2
	// ticketLead is the remaining validity that a ticket needs for stops on its worker: it is used
	// once they have taken effect.
	ticketLead = stopDuration + ticketMargin
	// askAheadInterval is the time between two searches for workers to ask about, if there were none.
	askAheadInterval = 500 * time.Millisecond
	// maxAskAheadSearches bounds the steps that are looked at for a question.
	maxAskAheadSearches = 32
)

// outlastsStops reports whether the ticket can be used after stops that begin now. One that is
// valid for hardly as long must be new.
func (t ticket) outlastsStops(now Instant) bool {
	return t.until > now.Add(min(ticketLead, max(t.validFor-ticketMargin, ticketMargin)))
}

// permitted returns the workers for which the step needs no ticket, or has one that is valid for long
// enough.
func (e *Engine) permitted(p *candidateSet, s *readyStep, valid func(t ticket, now Instant) bool) []*candidate {
	candidates := p.byService[s.job.Service]
	if !s.job.Advised {
		return candidates
	}
	tickets := e.advisor.ticketsOf(s.ref).tickets
	if len(tickets) == 0 {
		return nil
	}
	var permitted []*candidate
	for _, c := range candidates {
		if valid(tickets[c.view.worker.ID], e.now) {
			permitted = append(permitted, c)
		}
	}
	return permitted
}

// advisedWait is a step of an advised queue with lasting tasks that wait.
type advisedWait struct {
	step *readyStep
	// unserved is the number of tasks for which no capacity is expected in time, due whether short
	// tasks are to be stopped for one of them.
	unserved int
	due      bool
	// keptOn holds the workers that keep capacity for tasks of the step.
	keptOn []workflow.WorkerID
	// first is the wait that must end first, by deadline.
	first    *lastingWait
	deadline Instant
}

// advisedWaits returns the steps for whose lasting tasks the advice service may be asked ahead, those
// that must run first in front.
func (e *Engine) advisedWaits(p *candidateSet) []advisedWait {
	var waits []advisedWait
	add := func(s *readyStep) {
		if w := e.advisedWaitOf(s); w.first != nil {
			waits = append(waits, w)
		}
	}
	for _, s := range e.ready.sorted {
		if s.job.Advised && s.step.Lasting && !s.step.Gang && s.job.Active() && s.job.Spec.DueMs(s.ref.Occurrence) <= e.wallMs {
			add(s)
		}
	}
	for _, s := range e.waitingSuspects() {
		if s.job.Advised && s.step.Lasting && testOf(p, s) == nil {
			add(s)
		}
	}
	slices.SortStableFunc(waits, func(a, b advisedWait) int { return cmp.Compare(a.deadline, b.deadline) })
	return waits
}

func (e *Engine) advisedWaitOf(s *readyStep) advisedWait {
	wait := advisedWait{step: s}
	for _, i := range s.pending {
		ref := s.task(i)
		w := e.lastingWaits[ref]
		if w == nil || e.heldAnywhere(ref) || e.since(w.since) < askAheadDelay && w.cause != waitsSinceEarlierTerm {
			continue
		}
		r := e.reservations.byTask[ref]
		if r != nil {
			wait.keptOn = append(wait.keptOn, r.worker)
		}
		if r == nil || !e.worthAwaiting(r) {
			wait.unserved++
			wait.due = wait.due || e.reclaimDue(ref)
		}
		if deadline := w.since.Add(w.bound()); wait.first == nil || deadline < wait.deadline {
			wait.first, wait.deadline = w, deadline
		}
	}
	return wait
}

// prepareQuestionAhead prepares a question about workers on which capacity can be kept or reclaimed
// for lasting tasks that wait. After each, the steps that find no worker with a ticket in a plan go
// first.
func (e *Engine) prepareQuestionAhead(p *candidateSet) {
	switch a := &e.advisor; {
	case a.inFlight || e.now < a.nextQuestionAt:
		return
	case a.othersFirst:
		a.othersFirst = false
		return
	}
	searches := 0
	for _, w := range e.advisedWaits(p) {
		if e.now < w.first.askAt {
			continue
		}
		if searches++; searches > maxAskAheadSearches {
			return
		}
		if names := e.workersToAskAbout(p, &w); len(names) > 0 {
			e.ask(w.step, names)
			e.advisor.othersFirst = true
			return
		}
		w.first.askAt = e.now.Add(askAheadInterval)
	}
}

// workersToAskAbout returns the workers without a ticket or a refusal that keep capacity for tasks
// of the step, and then those that have it soonest. It returns none of the latter if enough others
// are known to be permitted, until a stop of short tasks is due and finds none among these.
func (e *Engine) workersToAskAbout(p *candidateSet, w *advisedWait) []string {
	type option struct {
		name string
		at   Instant
	}
	var options []option
	s, need, known := w.step, w.step.step.Resources, e.advisor.ticketsOf(w.step.ref)
	permitted, renewals := 0, 0
	for _, c := range p.byService[s.job.Service] {
		id := c.view.worker.ID
		if c.silent || c.refusing || c.view.test != nil || known.refused[id] {
			continue
		}
		valid := known.tickets[id].outlastsStops(e.now)
		if slices.Contains(w.keptOn, id) {
			if !valid {
				options = append(options, option{name: c.view.worker.Life.Name})
				renewals++
			}
			continue
		}
		if w.unserved == 0 || !need.Fits(c.roomBesideLasting(e).Sub(c.keptFor)) || !e.allowsReservation(c, s) {
			continue
		}
		if valid {
			permitted++
		} else if at, _, fits := wholeAt(e.now, c.free.Sub(c.keptFor), c.capacityEnds(e), need); fits {
			options = append(options, option{c.view.worker.Life.Name, at})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.at, b.at) })
	if !w.due && permitted >= max(w.unserved, owedSlots) {
		options = options[:renewals]
	}
	options = options[:min(len(options), maxQuestionWorkers)]
	names := make([]string, len(options))
	for i, o := range options {
		names[i] = o.name
	}
	return names
}
