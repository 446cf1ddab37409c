package coordinator

import (
	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// serviceName is the name under which net/rpc knows the service.
const (
	serviceName   = "Coordinator"
	callMethod    = serviceName + ".Call"
	membersMethod = serviceName + ".Members"
)

// Call asks the leader for one thing; exactly one field is set.
type Call struct {
	Request  *dispatch.Request
	Announce *dispatch.Announcement
	Withdraw *Withdrawal
	// SetCatalog puts a catalog in force.
	SetCatalog *workflow.Catalog
	// ReadCatalog asks for the newest catalog.
	ReadCatalog bool
	// StartWave starts a wave of maintenance.
	StartWave *workflow.StartWave
	// WaveState asks whether a wave is completed.
	WaveState *uint64
}

// Withdrawal is a worker's report that it ends.
type Withdrawal struct {
	Name string
	// BornMs is the start of the worker's life, zero if it did not say.
	BornMs int64
}

// Result answers a Call.
type Result struct {
	// Err is the leader's decision against the call, nil if it was carried out.
	Err     *kind.Error
	Reply   dispatch.Reply
	Catalog *workflow.Catalog
	// WaveCompleted answers WaveState.
	WaveCompleted bool
	// Leader is the leader's address.
	Leader string
}

// MembersArgs asks a member for its view of the group.
type MembersArgs struct{}

// MembersReply is a member's view of the group.
type MembersReply struct {
	// Leader is the address of the leader, empty if none is known.
	Leader string
	// Term is the term in which the member believes that.
	Term uint64
	// Addresses are those of all members.
	Addresses []string
	// HasCatalog tells that the leader answers callers. Only the leader sets it.
	HasCatalog bool
}
