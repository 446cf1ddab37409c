package dispatch

import (
	"maps"
	"slices"
	"unicode/utf8"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// evacuation is a failure domain whose workers get no starts.
type evacuation struct {
	// remaining counts the attempts that are recorded on workers of the domain, as at the
	// latest round. emptied is set once the log has shown that there are none.
	remaining RemainingAttempts
	emptied   bool
}

// RemainingAttempts counts attempts that are recorded on workers of evacuated domains, by what
// is known of them.
type RemainingAttempts struct {
	// Placed attempts are not known to run; Stopping ones have been asked to stop.
	Placed, Running, Stopping int
}

func (r RemainingAttempts) total() int { return r.Placed + r.Running + r.Stopping }

// SetEvacuation records an order to evacuate a failure domain, or the withdrawal of one, and
// calls done, at once or when it is committed. It does not wait until the domain is empty.
// The error is of kind not_found for an unknown domain, and overloaded if too many are
// evacuated.
func (e *Engine) SetEvacuation(op *workflow.SetEvacuation, done func(*kind.Error)) {
	if !e.knownDomain(op.Domain) {
		e.afterCommit(func() { done(kind.Errorf(kind.NotFound, "failure domain %q", op.Domain)) })
		return
	}
	if e.state.Evacuated(op.Domain) != op.Evacuated {
		if err := e.propose(workflow.Op{SetEvacuation: op}); err != nil {
			e.afterCommit(func() { done(toKindError(err)) })
			return
		}
		if op.Evacuated {
			e.beginEvacuation(op.Domain)
		} else {
			e.afterCommit(func() { e.endEvacuation(op.Domain) })
		}
	}
	e.afterCommit(func() { done(nil) })
}

// knownDomain reports whether a failure domain is named in the settings, is that of a
// recorded worker, or is evacuated. Without domains in the settings, any name is known.
func (e *Engine) knownDomain(domain string) bool {
	if domain == "" || len(domain) > workflow.MaxDomainBytes || !utf8.ValidString(domain) {
		return false
	}
	if len(e.settings.Domains) == 0 || slices.Contains(e.settings.Domains, domain) || e.state.Evacuated(domain) {
		return true
	}
	return slices.ContainsFunc(e.sortedViews, func(v *workerView) bool { return v.worker.Zone == domain })
}

// adoptEvacuations takes over the evacuations in force.
func (e *Engine) adoptEvacuations() {
	e.evacuations, e.moves = make(map[string]*evacuation), make(map[workflow.WorkerID][]*move)
	for _, order := range e.state.Evacuations() {
		e.evacuations[order.Domain] = new(evacuation)
	}
}

// beginEvacuation withholds all starts in a failure domain, before the order is committed.
func (e *Engine) beginEvacuation(domain string) {
	if e.evacuations[domain] == nil { // Otherwise a withdrawal is not committed yet.
		e.evacuations[domain] = new(evacuation)
	}
	for _, v := range e.sortedViews {
		if v.worker.Zone == domain {
			e.withholdStarts(v)
		}
	}
	for id := range e.state.Jobs() {
		e.ready.markDirty(id) // Their steps may have chosen a rack in the domain.
	}
	e.afterCommit(func() {
		e.log.Info().Str("domain", domain).Int("remaining", e.remainingIn(domain).total()).Uint64("term", e.term).Msg("domain evacuated")
	})
}

// endEvacuation permits starts in a failure domain, unless it is evacuated again. The
// withdrawal is committed: a start before would break an order that is still in force if
// the withdrawal is lost with this leader.
func (e *Engine) endEvacuation(domain string) {
	if e.state.Evacuated(domain) {
		return
	}
	delete(e.evacuations, domain)
	e.log.Info().Str("domain", domain).Int("remaining", e.remainingIn(domain).total()).Uint64("term", e.term).Msg("domain restored")
}

// evacuated reports whether a worker gets no starts because its domain is evacuated.
func (e *Engine) evacuated(v *workerView) bool { return e.evacuations[v.worker.Zone] != nil }

// EvacuatedDomains returns the failure domains to whose workers no start may be sent.
func (e *Engine) EvacuatedDomains() map[string]bool {
	domains := make(map[string]bool, len(e.evacuations))
	for domain := range e.evacuations {
		domains[domain] = true
	}
	return domains
}

// withholdStarts withholds the starts of the attempts on a worker and ends its tests that
// have not begun.
func (e *Engine) withholdStarts(v *workerView) {
	for _, a := range v.attemptList {
		e.withholdStart(v, a)
	}
	if v.test != nil {
		v.test.tasks = slices.DeleteFunc(v.test.tasks, func(t testedTask) bool { return !t.started })
	}
}

// withholdStart voids an attempt that was not started, so that its task is placed elsewhere.
// If a start may still be carried out, a stop rules that out. An attempt whose start is being
// sent is left until the answer shows whether it runs.
func (e *Engine) withholdStart(v *workerView, a *attempt) {
	if a.running || a.carried || a.callInFlight || a.stopWanted {
		return
	}
	if a.startsInFlight() == 0 && !a.startAnswered {
		e.void(v, a, "evacuated")
		return
	}
	a.stopWanted = true
}

// remainingIn counts the attempts that are recorded on workers of a domain.
func (e *Engine) remainingIn(domain string) RemainingAttempts {
	var r RemainingAttempts
	for _, v := range e.sortedViews {
		if v.worker.Zone != domain {
			continue
		}
		for _, a := range v.attemptList {
			switch {
			case a.stopWanted:
				r.Stopping++
			case a.running:
				r.Running++
			default:
				r.Placed++
			}
		}
	}
	return r
}

// countRemaining counts what remains in the evacuated domains, and logs when one is empty.
func (e *Engine) countRemaining() {
	for _, domain := range slices.Sorted(maps.Keys(e.evacuations)) {
		d := e.evacuations[domain]
		d.remaining = e.remainingIn(domain)
		if d.remaining.total() == 0 && !d.emptied {
			e.log.Info().Str("domain", domain).Int("remaining", 0).Uint64("term", e.term).Msg("domain empty")
			d.emptied = true
		}
	}
}

// EvacuationStats returns the number of evacuated domains and what remained in them at the
// latest tick.
func (e *Engine) EvacuationStats() (domains int, remaining RemainingAttempts) {
	for _, d := range e.evacuations {
		remaining.Placed += d.remaining.Placed
		remaining.Running += d.remaining.Running
		remaining.Stopping += d.remaining.Stopping
	}
	return len(e.evacuations), remaining
}
