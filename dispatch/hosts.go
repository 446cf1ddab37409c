package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

// Host is a host of workers as the pool of hosts lists it.
type Host struct {
	Name  string
	State HostState
	// Worker is the name of the worker on the host.
	Worker string
}

// HostState is the state of a host.
type HostState uint8

// States of hosts.
const (
	HostDown HostState = iota
	HostUp
	HostMoving
	HostInMaintenance
)

// HostVerb is the kind of an order to the pool of hosts.
type HostVerb uint8

// Verbs of orders to the pool of hosts.
const (
	ListHosts HostVerb = iota + 1
	MaintainHost
)

// HostOrder is one call to the pool of hosts. Wave is the wave for which a host
// is maintained, Fence the leader's term as a fencing token, Listing the number of a listing.
type HostOrder struct {
	Verb    HostVerb
	Host    string
	Wave    uint64
	Fence   uint64
	Listing uint64
	SentAt  Instant
}

const (
	// listTimeout bounds a listing, which has several pages, and maintainTimeout
	// the answer to a maintenance order: the pool may be slow.
	listTimeout     = 3 * time.Second
	maintainTimeout = time.Second
)

// Timeout returns how long the sender waits for the answer to an order.
func (o *HostOrder) Timeout() time.Duration {
	if o.Verb == ListHosts {
		return listTimeout
	}
	return maintainTimeout
}

// HostOutcome classifies the answer of the pool of hosts.
type HostOutcome uint8

// Outcomes of orders to the pool of hosts.
const (
	// HostUnanswered: no answer came in time. The order may have been carried
	// out, or may be later.
	HostUnanswered HostOutcome = iota
	// HostDone: the order is carried out, by this call or an earlier one.
	HostDone
	// HostFenced: the pool has seen a higher fencing token for the host.
	HostFenced
	// HostBusy: the host is not up, or is about to leave.
	HostBusy
	// HostNotInWave: the host does not belong to the wave.
	HostNotInWave
	// HostUnknown: the pool has no such host.
	HostUnknown
	// HostRefused: the pool accepts no more calls for now.
	HostRefused
)

var hostOutcomeNames = [...]string{
	HostUnanswered: "unanswered", HostDone: "done", HostFenced: "fenced", HostBusy: "busy", HostNotInWave: "not_of_wave", HostUnknown: "unknown", HostRefused: "refused",
}

// String returns the name of the outcome.
func (o HostOutcome) String() string { return hostOutcomeNames[o] }

// HostAnswer is the result of an order to the pool of hosts.
type HostAnswer struct {
	Order   HostOrder
	Outcome HostOutcome
	// Hosts is the complete listing.
	Hosts []Host
}

// HandleHostAnswer processes an answer of the pool of hosts.
func (e *Engine) HandleHostAnswer(a *HostAnswer) {
	m := &e.maintenance
	if a.Order.Verb == ListHosts {
		m.listings.handle(a, e.now)
		return
	}
	name, wave := a.Order.Host, e.state.Wave(a.Order.Wave)
	e.log.Info().Uint64("wave", a.Order.Wave).Str("host", name).Stringer("outcome", a.Outcome).Dur("took", e.since(a.Order.SentAt)).Uint64("term", e.term).Msg("maintenance answered")
	call := m.calls[hostOfWave{a.Order.Wave, name}]
	if call == nil || wave == nil {
		return
	}
	call.inFlight, call.retryAt = false, e.now.Add(hostRetryDelay)
	switch a.Outcome {
	case HostDone:
		if wave.Progress[name] == workflow.MaintenanceOrdered {
			e.endMaintainedWorker(call)
			e.recordMaintenance(wave, name, workflow.MaintenanceBegun, "confirmed")
		}
	case HostNotInWave:
		e.recordMaintenance(wave, name, workflow.MaintenanceEnded, "not of the wave")
	case HostUnknown:
		e.recordMaintenance(wave, name, workflow.MaintenanceEnded, "no such host")
	case HostFenced:
		m.fenced = true
	}
}

// endMaintainedWorker ends the incarnation of the worker that an order has
// terminated. After a repeated call the worker's next incarnation may be
// running already; then its announcement ends the previous one.
func (e *Engine) endMaintainedWorker(call *hostCall) {
	if w := e.state.Worker(call.worker); w != nil && call.sentCount == 1 {
		e.endIncarnation(w, "maintenance")
	}
}
