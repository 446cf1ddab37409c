package dispatch

import "time"

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
	// HostNotOfWave: the host is unknown or none of the wave's.
	HostNotOfWave
	// HostRefused: the pool takes no more calls for now.
	HostRefused
)

var hostOutcomeNames = [...]string{
	HostUnanswered: "unanswered", HostDone: "done", HostFenced: "fenced", HostBusy: "busy", HostNotOfWave: "not_of_wave", HostRefused: "refused",
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
