package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

// Host is a host of workers as the pool of hosts lists it.
type Host struct {
	Name  string
	State HostState
	// Worker is the name of the worker on it.
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

// HostVerb is what an order asks of the pool of hosts.
type HostVerb uint8

// Verbs of orders to the pool of hosts.
const (
	ListHosts HostVerb = iota + 1
	MaintainHost
)

// HostOrder is one call to the pool of hosts.
type HostOrder struct {
	Verb   HostVerb
	Host   string
	Wave   uint64
	Fence  uint64
	SentAt Instant
}

const (
	// listTime bounds a listing, which has several pages, and maintainTime the
	// answer to an order: the pool may be slow.
	listTime     = 3 * time.Second
	maintainTime = time.Second
)

// Timeout returns how long the answer to an order is waited for.
func (o *HostOrder) Timeout() time.Duration {
	if o.Verb == ListHosts {
		return listTime
	}
	return maintainTime
}

// HostOutcome classifies the answer of the pool of hosts.
type HostOutcome uint8

// Outcomes of orders to the pool of hosts.
const (
	// HostUnanswered orders may have been carried out, or will be later.
	HostUnanswered HostOutcome = iota
	// HostDone orders are carried out, now or before.
	HostDone
	// HostFenced: another holder has used a higher fence for the host.
	HostFenced
	// HostBusy: the host is not up, or leaves.
	HostBusy
	// HostNotInWave: the host is unknown or none of the wave's.
	HostNotInWave
	// HostRefused: the pool takes no more calls for now.
	HostRefused
)

var hostOutcomeNames = [...]string{
	HostUnanswered: "unanswered", HostDone: "done", HostFenced: "fenced", HostBusy: "busy", HostNotInWave: "not_of_wave", HostRefused: "refused",
}

// String returns the name of the outcome.
func (o HostOutcome) String() string { return hostOutcomeNames[o] }

// HostAnswer is what came of an order to the pool of hosts.
type HostAnswer struct {
	Order   HostOrder
	Outcome HostOutcome
	// Hosts is a whole listing.
	Hosts []Host
}

// HandleHostAnswer takes the answer of the pool of hosts.
func (e *Engine) HandleHostAnswer(a *HostAnswer) {
	m := &e.maintenance
	if a.Order.Verb == ListHosts {
		m.listing, m.nextList = false, e.now.Add(listInterval)
		if a.Outcome == HostDone {
			m.hosts = make(map[string]Host, len(a.Hosts))
			for _, host := range a.Hosts {
				m.hosts[host.Name] = host
			}
			m.listedAt = a.Order.SentAt
		}
		return
	}
	name, wave := a.Order.Host, e.state.Wave(a.Order.Wave)
	e.log.Info().Uint64("wave", a.Order.Wave).Str("host", name).Stringer("outcome", a.Outcome).Dur("took", e.since(a.Order.SentAt)).Uint64("term", e.fence).Msg("maintenance answered")
	call := m.calls[name]
	if call == nil || wave == nil || wave.Progress[name] != workflow.MaintenanceOrdered {
		return
	}
	call.underWay, call.retryAt = false, e.now.Add(hostRetry)
	switch a.Outcome {
	case HostDone:
		m.begunAt[name] = e.now
		e.endMaintained(call)
		e.setMaintenance(wave, name, workflow.MaintenanceBegun, "confirmed")
	case HostNotInWave:
		e.setMaintenance(wave, name, workflow.MaintenanceEnded, "not of the wave")
	case HostFenced:
		m.fenced = true
	}
}

// endMaintained ends the life of the worker that an order has terminated. After a
// repeated call its next life may be there already: its own report tells.
func (e *Engine) endMaintained(call *hostCall) {
	if w := e.state.Worker(call.worker); w != nil && call.sent == 1 {
		e.endLife(w, "maintenance")
	}
}
