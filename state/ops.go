package state

import (
	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// Op is one operation of a log entry.
type Op interface {
	code() opCode
	apply(s *Store) Result
}

type opCode uint8

// Codes of operations. They are stored in the log, so a number is never reused.
const (
	codeRegister opCode = iota + 1
	codeLeaseExpired
	codeStart
	codeCheckpoint
	codeThrottle
	codeStop
	codeReport
	codeDeclare
	codeCancel
	codeDrain
	codeSetConfig
	codeClaim
	codeResolve
	codePark
	codeUnpark
	codeQuarantine
	codeEndQuarantine
	codeCommand
	codeReplace
	codeEvacuate
)

// Register records a full sync of a worker incarnation. Each registration begins a
// new session of the worker.
type Register struct {
	_             struct{} `cbor:",toarray"`
	Worker        string
	Incarnation   uint64
	FailureDomain string
	Rack          string
	Capacity      types.Resources
	Leaving       bool
}

// LeaseExpired records that the lease of a worker incarnation has certainly expired,
// so that none of its attempts runs any more. Session is the session under which the
// lease was granted; it keeps an entry that is applied late from ending the attempts
// of a newer session.
type LeaseExpired struct {
	_           struct{} `cbor:",toarray"`
	Worker      types.WorkerID
	Incarnation uint64
	Session     uint64
}

// Start starts an attempt of a task on a worker. Epoch must be the task's epoch plus
// one.
type Start struct {
	_      struct{} `cbor:",toarray"`
	Task   types.TaskID
	Worker types.WorkerID
	Epoch  uint64
	Reason string
}

// Checkpoint requests a checkpoint of an attempt. The attempt then ends and the task
// may be started again.
type Checkpoint struct {
	_      struct{} `cbor:",toarray"`
	Task   types.TaskID
	Epoch  uint64
	Reason string
}

// Throttle limits an attempt to a share of its processors, in thousandths. Zero
// removes the limit.
type Throttle struct {
	_          struct{} `cbor:",toarray"`
	Task       types.TaskID
	Epoch      uint64
	ShareMilli int64
	Reason     string
}

// Stop requests the end of an attempt without a checkpoint. Then is the state of the
// task after the end: evicted (the default if empty; the task runs again) or
// finished.
type Stop struct {
	_      struct{} `cbor:",toarray"`
	Task   types.TaskID
	Epoch  uint64
	Then   types.TaskState
	Reason string
}

// Replace adds a replica to a service, to run before the given replica is stopped.
// It has no effect if the replica already has a replacement.
type Replace struct {
	_      struct{} `cbor:",toarray"`
	Task   types.TaskID
	Epoch  uint64
	Reason string
}

// AttemptState is the state of an attempt as its worker reports it.
type AttemptState uint8

// States of attempts.
const (
	AttemptRunning AttemptState = iota + 1
	AttemptThrottled
	AttemptCheckpointed
	AttemptFinished
	AttemptFailed
	AttemptStopped
)

var attemptStates = map[string]AttemptState{
	"running":      AttemptRunning,
	"throttled":    AttemptThrottled,
	"checkpointed": AttemptCheckpointed,
	"finished":     AttemptFinished,
	"failed":       AttemptFailed,
	"stopped":      AttemptStopped,
}

// ParseAttemptState returns the state with the given name. The error is of kind
// bad_request.
func ParseAttemptState(name string) (AttemptState, error) {
	if s, ok := attemptStates[name]; ok {
		return s, nil
	}
	return 0, kind.Errorf(kind.BadRequest, "task state %q is not one of running, throttled, checkpointed, finished, failed and stopped", name)
}

// Report records the state of an attempt that its worker reported.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Worker      types.WorkerID
	Incarnation uint64
	Task        types.TaskID
	Epoch       uint64
	State       AttemptState
	Checkpoint  string
	Reason      string
}

// Declare creates a job and its tasks.
type Declare struct {
	_    struct{} `cbor:",toarray"`
	Spec types.JobSpec
}

// Cancel cancels the job, or the single task, with the given name.
type Cancel struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

// Drain requests that a worker is drained or, with Undo, withdraws the request.
type Drain struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Undo   bool
}

// Evacuate requests that nothing runs in a failure domain or, with Undo, withdraws the
// request.
type Evacuate struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Undo   bool
}

// SetConfig replaces the configuration if the current version is IfVersion or
// IfVersion is zero.
type SetConfig struct {
	_         struct{} `cbor:",toarray"`
	Text      string
	IfVersion uint64
	// LeaseMs is the duration of workers' leases under this configuration.
	LeaseMs int64
}

// Claim claims the idempotency key of a request. Key is the result of ClaimKeyOf,
// Digest a hash of the request and Token the result of ClaimTokenOf for the
// claimant's token.
type Claim struct {
	_      struct{} `cbor:",toarray"`
	Key    ClaimKey
	Digest uint64
	Token  uint64
}

// Resolve records the result of a claimed request.
type Resolve struct {
	_      struct{} `cbor:",toarray"`
	Key    ClaimKey
	Token  uint64
	Result controlapi.ClaimResult
}

// Park excludes a pending task from scheduling.
type Park struct {
	_      struct{} `cbor:",toarray"`
	Task   types.TaskID
	Reason string
}

// Unpark makes a parked task pending again.
type Unpark struct {
	_    struct{} `cbor:",toarray"`
	Task types.TaskID
}

// Quarantine excludes a worker on which tasks fail from new attempts.
type Quarantine struct {
	_      struct{} `cbor:",toarray"`
	Worker types.WorkerID
	Reason string
}

// EndQuarantine ends the quarantine of a worker.
type EndQuarantine struct {
	_      struct{} `cbor:",toarray"`
	Worker types.WorkerID
}

// Command is an operator's command. Its operation is applied once, and the outcome
// is kept under the ID. Digest is the result of CommandDigest.
type Command struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Digest uint64
	Text   string
	Op     Op
}

// rawOp is the encoded form of an operation.
type rawOp struct {
	_    struct{} `cbor:",toarray"`
	Code opCode
	Body cbor.RawMessage
}

// rawCommand is the encoded form of a Command.
type rawCommand struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Digest uint64
	Text   string
	Op     rawOp
}

// entry is a log entry. NowMs is the leader's wall clock in milliseconds since the
// Unix epoch.
type entry struct {
	_     struct{} `cbor:",toarray"`
	NowMs int64
	Ops   []rawOp
}

func (Register) code() opCode      { return codeRegister }
func (LeaseExpired) code() opCode  { return codeLeaseExpired }
func (Start) code() opCode         { return codeStart }
func (Checkpoint) code() opCode    { return codeCheckpoint }
func (Throttle) code() opCode      { return codeThrottle }
func (Stop) code() opCode          { return codeStop }
func (Report) code() opCode        { return codeReport }
func (Declare) code() opCode       { return codeDeclare }
func (Cancel) code() opCode        { return codeCancel }
func (Drain) code() opCode         { return codeDrain }
func (Evacuate) code() opCode      { return codeEvacuate }
func (SetConfig) code() opCode     { return codeSetConfig }
func (Claim) code() opCode         { return codeClaim }
func (Resolve) code() opCode       { return codeResolve }
func (Park) code() opCode          { return codePark }
func (Unpark) code() opCode        { return codeUnpark }
func (Quarantine) code() opCode    { return codeQuarantine }
func (EndQuarantine) code() opCode { return codeEndQuarantine }
func (Replace) code() opCode       { return codeReplace }
func (Command) code() opCode       { return codeCommand }
