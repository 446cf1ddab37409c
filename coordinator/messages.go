package coordinator

import (
	"time"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// Names under which the service and its methods are registered with net/rpc.
const (
	serviceName   = "Coordinator"
	callMethod    = serviceName + ".Call"
	membersMethod = serviceName + ".Members"
)

// Call is one request to the leader. Exactly one field is set besides Budget and DecideByNs;
// ReadWave goes with WaveState.
type Call struct {
	Request  *dispatch.Request
	Announce *dispatch.Announcement
	Withdraw *Withdrawal
	// SetCatalog puts a catalog in force.
	SetCatalog *workflow.Catalog
	// ReadCatalog asks for the version and the text of the newest catalog.
	ReadCatalog bool
	// StartWave starts a maintenance wave.
	StartWave *workflow.StartWave
	// ReadWave asks whether the wave of the ID WaveState is completed. So does an ID other
	// than zero alone, which is what earlier versions of the program send.
	ReadWave  bool
	WaveState uint64
	// SetEvacuation evacuates or restores a failure domain.
	SetEvacuation *workflow.SetEvacuation
	// ExplainPlacement asks where a job would be placed now. It changes nothing.
	ExplainPlacement *dispatch.PlacementQuestion

	// Budget is how long the sender still waits for the result, zero for callTimeout. The
	// leader drops the call if it has not decided on it by then.
	Budget time.Duration
	// DecideByNs is the time on the leader's clock by which it must have decided on the call,
	// zero for no limit. Unlike Budget, it also bounds the time that the call spends on its way.
	DecideByNs int64
}

// expires reports whether the call must not be executed once its sender has given it up.
// Delivered late, after a partition for example, an evacuation could revert a newer order, and
// a submission could start a job that was cancelled and forgotten meanwhile.
func (c *Call) expires() bool {
	return c.SetEvacuation != nil || c.Request != nil && c.Request.Verb == dispatch.Submit
}

// Large reports whether the call or its result holds a catalog, which may have hundreds of
// kilobytes.
func (c *Call) Large() bool { return c.SetCatalog != nil || c.ReadCatalog }

// Withdrawal is a worker's report that it shuts down.
type Withdrawal struct {
	Name string
	// BornMs is the start time of the worker's incarnation in milliseconds
	// since the Unix epoch, zero if the worker did not report it.
	BornMs int64
}

// Result answers a Call.
type Result struct {
	// Err is the reason for which the leader refused the call, nil if it was executed.
	Err     *kind.Error
	Reply   dispatch.Reply
	Catalog *workflow.Catalog
	// WaveCompleted answers ReadWave.
	WaveCompleted bool
	// ReportTo answers Announce: the peer address of the member to which the worker sends
	// its next reports.
	ReportTo string
	// Explanation answers ExplainPlacement.
	Explanation *dispatch.PlacementExplanation
}

// MembersArgs asks a member for its view of the group.
type MembersArgs struct{}

// MembersReply is a member's view of the group.
type MembersReply struct {
	// Leader is the address of the leader, empty if none is known.
	Leader string
	// Term is the member's current term.
	Term uint64
	// Addresses are the addresses of all members.
	Addresses []string
	// HasCatalog reports that the member leads, is confirmed by a quorum and serves
	// calls.
	HasCatalog bool
	// ClockNs is the member's clock in nanoseconds, zero if it does not serve calls.
	ClockNs int64
}
