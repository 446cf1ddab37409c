package controlapi

import "mangohill.example/mangohill/types"

// Renewal is one worker's lease renewal, as an entry host gathered it.
type Renewal struct {
	Worker      string
	Incarnation uint64
	// Order orders the syncs of a worker: twice its clock in milliseconds when it
	// sent the sync, plus one where the sync waits for commands. The leader sends
	// commands to the entry host at which the last one arrived.
	Order int64
}

// Registration introduces a worker incarnation to the leader.
type Registration struct {
	Worker        string
	Incarnation   uint64
	FailureDomain string
	Rack          string
	Capacity      types.Resources
	Leaving       bool
}

// ExchangeArgs is the digest of an entry host: a long poll that renews the
// leases of its workers and collects the commands for them.
type ExchangeArgs struct {
	Entry         string
	Renewals      []Renewal
	ConfigVersion uint64
	// HoldMs is how long the leader may hold the answer while it has no command
	// for the workers in Renewals.
	HoldMs int64
}

// ExchangeReply answers an ExchangeArgs.
type ExchangeReply struct {
	// Sessions holds, for each renewal in its order, the session of the worker
	// under which the lease is granted. Zero refuses: the worker is unknown to the
	// leader, or of an old incarnation, and must register with a full sync.
	Sessions []uint64
	// LeaseMs is the duration of the granted leases, counted by the worker from
	// the moment it sent the renewal.
	LeaseMs  int64
	HoldMs   int64
	UsageMs  int64
	Commands []WorkerCommand
	// ConfigVersion is the version in force; ConfigText is set when it is newer
	// than the version in the arguments.
	ConfigVersion uint64
	ConfigText    string
	// Term is the leader's term, for the detection of answers from old leaders.
	Term uint64
}

// Verb is a command to a worker.
type Verb string

// Verbs of worker commands.
const (
	VerbStart      Verb = "start"
	VerbThrottle   Verb = "throttle"
	VerbUnthrottle Verb = "unthrottle"
	VerbCheckpoint Verb = "checkpoint"
	VerbStop       Verb = "stop"
)

// WorkerCommand is a command for one attempt. It is repeated until a sync of
// the worker reports its effect.
//
// It may be handed to the worker only with a lease that was granted, for the very
// sync that is answered, under the same Session: a start that was held back while
// the worker lost its lease would run a task that has moved on.
type WorkerCommand struct {
	Worker      string
	Incarnation uint64
	Session     uint64
	Task        string
	Epoch       uint64
	Verb        Verb
	Class       string
	Request     types.Resources
	ResumeFrom  string
	ShareMilli  int64
	Payload     []byte
}

// ReportArgs carries what workers reported: registrations, changes of attempts,
// and usage. The leader answers once the changes are replicated.
type ReportArgs struct {
	Entry string
	Syncs []WorkerReport
}

// WorkerReport is the report of one worker.
type WorkerReport struct {
	Worker       string
	Incarnation  uint64
	Registration *Registration // set with a full sync
	// Full says that Tasks lists everything that the worker has.
	Full  bool
	Tasks []TaskReport
	Usage []UsageReport
}

// TaskReport is the reported state of one attempt. State is one of running,
// throttled, checkpointed, finished, failed and stopped.
type TaskReport struct {
	Task       string
	Epoch      uint64
	State      string
	Checkpoint string
	Reason     string
}

// UsageReport is the reported consumption of one attempt.
type UsageReport struct {
	Task            string
	Epoch           uint64
	AgeMs           int64
	MilliProcessors int64
	MemoryBytes     int64
	LatencyP99Us    int64
	ProgressMilli   int64
}

// ReportReply answers a ReportArgs. Resync lists the workers that must send a
// full sync, Stale those whose incarnation is older than the registered one.
type ReportReply struct {
	Resync []string
	Stale  []string
}
