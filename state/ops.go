package state

import (
	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// Op is one typed operation of an entry.
type Op interface {
	code() opCode
	apply(s *Store) Result
}

type opCode uint8

// Codes of operations. They are stored in logs: never reuse a number.
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
)

// Register records a full sync of a worker incarnation. Each one begins a new
// session of the worker.
type Register struct {
	_             struct{} `cbor:",toarray"`
	Worker        string
	Incarnation   uint64
	FailureDomain string
	Rack          string
	Capacity      types.Resources
	Leaving       bool
}

// LeaseExpired records that the lease of a worker incarnation has ended for
// certain: none of its attempts runs any more. Session is the registration under
// which the lease was granted, so that an entry that is applied late ends nothing
// newer.
type LeaseExpired struct {
	_           struct{} `cbor:",toarray"`
	Worker      types.WorkerID
	Incarnation uint64
	Session     uint64
}

// Start places a task on a worker. Epoch must be the task's epoch plus one.
type Start struct {
	_      struct{} `cbor:",toarray"`
	Task   types.TaskID
	Worker types.WorkerID
	Epoch  uint64
	Reason string
}

// Checkpoint asks for a checkpoint of an attempt, after which the attempt ends
// and the task may be started again.
type Checkpoint struct {
	_      struct{} `cbor:",toarray"`
	Task   types.TaskID
	Epoch  uint64
	Reason string
}

// Throttle sets the share of its processors that an attempt may use, in
// thousandths. Zero removes the limit.
type Throttle struct {
	_          struct{} `cbor:",toarray"`
	Task       types.TaskID
	Epoch      uint64
	ShareMilli int64
	Reason     string
}

// Stop ends an attempt without a checkpoint. Then is the state of the task after
// that: evicted (to run again, also for the empty value) or finished.
type Stop struct {
	_      struct{} `cbor:",toarray"`
	Task   types.TaskID
	Epoch  uint64
	Then   types.TaskState
	Reason string
}

// Replace adds one replica to a service, which is to run before the given
// replica stops. A repeat finds the replacement that exists.
type Replace struct {
	_      struct{} `cbor:",toarray"`
	Task   types.TaskID
	Epoch  uint64
	Reason string
}

// AttemptState is the reported state of an attempt.
type AttemptState uint8

// Reported states of an attempt.
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

// ParseAttemptState reads the name of a reported state.
func ParseAttemptState(name string) (AttemptState, error) {
	if s, ok := attemptStates[name]; ok {
		return s, nil
	}
	return 0, kind.Errorf(kind.BadRequest, "task state %q is not one of running, throttled, checkpointed, finished, failed and stopped", name)
}

// Report records the reported state of one attempt on a worker.
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

// Cancel ends a job, or one task of a job, by name.
type Cancel struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

// Drain sets or clears the drain request of a worker.
type Drain struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Undo   bool
}

// SetConfig replaces the configuration if its version is IfVersion, or whatever
// its version where that is zero.
type SetConfig struct {
	_         struct{} `cbor:",toarray"`
	Text      string
	IfVersion uint64
	// LeaseMs is the duration of workers' leases under the configuration.
	LeaseMs int64
}

// Claim claims the key of a non-idempotent request. Key is the hash of service
// and key, see ClaimKeyOf; Token is a hash of the claimant's token.
type Claim struct {
	_      struct{} `cbor:",toarray"`
	Key    ClaimKey
	Digest uint64
	Token  uint64
}

// Resolve records the end of a claimed request.
type Resolve struct {
	_      struct{} `cbor:",toarray"`
	Key    ClaimKey
	Token  uint64
	Result controlapi.ClaimResult
}

// Park withdraws a pending task from scheduling, with the reason.
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

// Quarantine keeps new attempts away from a worker that fails its tasks.
type Quarantine struct {
	_      struct{} `cbor:",toarray"`
	Worker types.WorkerID
	Reason string
}

// EndQuarantine ends a quarantine.
type EndQuarantine struct {
	_      struct{} `cbor:",toarray"`
	Worker types.WorkerID
}

// Command is an operator's command: the operation is applied once, and its
// outcome kept under the ID. Digest is a hash of the whole text.
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
func (SetConfig) code() opCode     { return codeSetConfig }
func (Claim) code() opCode         { return codeClaim }
func (Resolve) code() opCode       { return codeResolve }
func (Park) code() opCode          { return codePark }
func (Unpark) code() opCode        { return codeUnpark }
func (Quarantine) code() opCode    { return codeQuarantine }
func (EndQuarantine) code() opCode { return codeEndQuarantine }
func (Replace) code() opCode       { return codeReplace }
func (Command) code() opCode       { return codeCommand }
