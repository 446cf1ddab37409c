package controlapi

import "mangohill.example/mangohill/types"

// Renewal is one worker's lease renewal, collected by an entry host.
type Renewal struct {
	Worker      string
	Incarnation uint64
	// Order orders the syncs of a worker. It is twice the worker's clock in
	// milliseconds at which it sent the sync, plus one if the sync waits for commands.
	// The leader sends commands to the entry host that received the newest sync.
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

// ExchangeArgs is a long poll of an entry host. It renews the leases of the host's
// workers and collects the commands for them.
type ExchangeArgs struct {
	Entry         string
	Renewals      []Renewal
	ConfigVersion uint64
	// HoldMs is how long the leader may hold the reply, in milliseconds, while it has
	// no command for the workers in Renewals.
	HoldMs int64
}

// ExchangeReply is the reply to ExchangeArgs.
type ExchangeReply struct {
	// Sessions holds the worker session of each granted lease, in the order of the
	// renewals. Zero denies the renewal: the leader does not know the worker or knows
	// a newer incarnation, and the worker must register with a full sync.
	Sessions []uint64
	// LeaseMs is the duration of the granted leases, which the worker counts from the
	// time at which it sent the renewal.
	LeaseMs int64
	// HoldMs limits how long an entry host may hold a worker's sync, UsageMs is the
	// interval of the workers' usage reports, both in milliseconds.
	HoldMs   int64
	UsageMs  int64
	Commands []WorkerCommand
	// ConfigVersion is the current version. ConfigText is set if that version is newer
	// than the one in the arguments.
	ConfigVersion uint64
	ConfigText    string
	// Evacuated lists the evacuated failure domains of the current version. It is set
	// together with ConfigText.
	Evacuated []string
	// Term is the leader's term. It allows the entry host to detect replies from
	// former leaders.
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

// WorkerCommand is a command for one attempt. The leader repeats it until a sync of
// the worker reports its effect.
//
// An entry host may deliver it only in the answer to a sync whose own lease renewal
// was granted in the same Session. Otherwise a start that was delayed while the worker
// lost its lease could run a task that has moved to another worker.
type WorkerCommand struct {
	Worker      string
	Incarnation uint64
	Session     uint64
	Task        string
	Epoch       uint64
	Verb        Verb
	Class       string
	Request     types.Resources
	ResumeFrom  string // checkpoint of an earlier attempt, empty to start afresh
	ShareMilli  int64  // part of Request's processors that a throttled task may use, in thousandths
	Payload     []byte
}

// ReportArgs forwards worker reports: registrations, state changes of attempts, and
// usage. The leader replies after the changes are replicated.
type ReportArgs struct {
	Entry string
	Syncs []WorkerReport
}

// WorkerReport is the report of one worker.
type WorkerReport struct {
	Worker       string
	Incarnation  uint64
	Registration *Registration // set with a full sync
	// Full means that Tasks lists all attempts on the worker.
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

// UsageReport is the reported resource usage of one attempt. AgeMs is the age of the
// measurement in milliseconds, LatencyP99Us is in microseconds, and ProgressMilli is
// the completed part of the work in thousandths.
type UsageReport struct {
	Task            string
	Epoch           uint64
	AgeMs           int64
	MilliProcessors int64
	MemoryBytes     int64
	LatencyP99Us    int64
	ProgressMilli   int64
}

// ReportReply is the reply to ReportArgs. Resync lists the workers that must send a
// full sync, Stale those whose incarnation is older than the registered one.
type ReportReply struct {
	Resync []string
	Stale  []string
}
