package controlapi

import "mangohill.example/mangohill/types"

// AnnounceArgs forwards a target's announcement from the entry host that received it
// to another entry host.
type AnnounceArgs struct {
	From   string
	Target types.Target
	// Withdrawn reports that the target withdrew.
	Withdrawn bool
}

// AnnounceReply is the empty reply to AnnounceArgs.
type AnnounceReply struct{}

// LocalQueryArgs queries data that is local to one entry host, such as its counters of
// the error-budget burn. Text names the data.
type LocalQueryArgs struct {
	Text string
}

// LocalQueryReply is the reply to LocalQueryArgs. Burn is the encoded histogram set of
// the entry host.
type LocalQueryReply struct {
	Burn []byte
}
