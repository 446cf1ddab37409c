package controlapi

import "mangohill.example/mangohill/types"

// AnnounceArgs passes a target's announcement from the entry host that received
// it to another one.
type AnnounceArgs struct {
	From   string
	Target types.Target
	// Withdrawn is set when the target withdrew.
	Withdrawn bool
}

// AnnounceReply answers an AnnounceArgs.
type AnnounceReply struct{}

// LocalQueryArgs asks an entry host for what only it holds, such as its burn
// counters.
type LocalQueryArgs struct {
	Text string
}

// LocalQueryReply answers a LocalQueryArgs. Burn is the encoded histogram set
// of the entry host.
type LocalQueryReply struct {
	Burn []byte
}
