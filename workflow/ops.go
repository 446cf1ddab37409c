package workflow

import (
	"mangohill.example/mangohill/internal/cborcodec"
	"mangohill.example/mangohill/kind"
)

// WorkerID numbers a worker's life in the order in which lives were recorded.
type WorkerID uint32

// Incarnation identifies one life of a worker: a name may come back with nothing of
// what it held before.
type Incarnation struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// BornMs is the start of the life in milliseconds since the Unix epoch.
	BornMs int64
}

// Ending is how an attempt ended.
type Ending uint8

// Endings of attempts.
const (
	EndDone           Ending = iota + 1
	EndFailed                // by the task's fault or the worker's
	EndStopped               // on an order
	EndLeaseExpired          // the worker's lease ran out
	EndGangBroken            // another member of the gang ended
	EndGangIncomplete        // the other members of the gang did not come in time
)

var endingNames = [...]string{EndDone: "done", EndFailed: "failed", EndStopped: "stopped", EndLeaseExpired: "lapsed", EndGangBroken: "broken", EndGangIncomplete: "alone"}

// String returns the name of the ending.
func (e Ending) String() string {
	if int(e) < len(endingNames) && e > 0 {
		return endingNames[e]
	}
	return "unknown"
}

// SetCatalog puts a catalog in force, if its version is higher than the present one.
type SetCatalog struct {
	Catalog Catalog `cbor:"1,keyasint"`
}

// Accept records a job.
type Accept struct {
	_     struct{} `cbor:",toarray"`
	ID    JobID
	Queue string
	Spec  JobSpec
}

// Cancel ends a job on its caller's order.
type Cancel struct {
	_  struct{} `cbor:",toarray"`
	ID JobID
}

// Join records a life of a worker, and the end of the lives before it under the
// same name or at the same address.
type Join struct {
	_        struct{} `cbor:",toarray"`
	Life     Incarnation
	Address  string
	Service  string
	Zone     string
	Labels   []string
	Capacity Resources
	// Carry names attempts of the life before it whose start may reach this one.
	Carry []TaskRef
	// Rack is where the worker is, empty if it did not say.
	Rack string
}

// Leave records that a worker drains; Over that its life has ended.
type Leave struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	Over   bool
}

// Place begins an attempt of a task on a worker. Attempt must be higher than any
// earlier one of the task.
type Place struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	Worker  WorkerID
	Attempt uint32
}

// End records an end that a worker listed under Number.
type End struct {
	_          struct{} `cbor:",toarray"`
	Worker     WorkerID
	Number     uint64
	Task       TaskRef
	Attempt    uint32
	How        Ending
	Checkpoint string
}

// Void records that an attempt certainly does not run and will not. Checkpoint is
// the last that it reported, empty for none.
type Void struct {
	_          struct{} `cbor:",toarray"`
	Worker     WorkerID
	Task       TaskRef
	Attempt    uint32
	Checkpoint string
}

// Op is one operation; exactly one field is set.
type Op struct {
	SetCatalog     *SetCatalog     `cbor:"1,keyasint,omitempty"`
	Accept         *Accept         `cbor:"2,keyasint,omitempty"`
	Cancel         *Cancel         `cbor:"3,keyasint,omitempty"`
	Join           *Join           `cbor:"4,keyasint,omitempty"`
	Leave          *Leave          `cbor:"5,keyasint,omitempty"`
	Place          *Place          `cbor:"6,keyasint,omitempty"`
	End            *End            `cbor:"7,keyasint,omitempty"`
	Void           *Void           `cbor:"8,keyasint,omitempty"`
	StartWave      *StartWave      `cbor:"9,keyasint,omitempty"`
	SetMaintenance *SetMaintenance `cbor:"10,keyasint,omitempty"`
}

// Batch is one entry of the log. NowMs is the leader's wall clock in
// milliseconds since the Unix epoch.
type Batch struct {
	_     struct{} `cbor:",toarray"`
	NowMs int64
	Ops   []Op
}

// Encode returns the batch as the data of a log entry.
func (b *Batch) Encode() ([]byte, error) { return cborcodec.Encode.Marshal(b) }

// DecodeBatch reads the data of a log entry. The error is of kind corrupt.
func DecodeBatch(data []byte) (*Batch, error) {
	b := new(Batch)
	if err := cborcodec.Decode.Unmarshal(data, b); err != nil {
		return nil, kind.Errorf(kind.Corrupt, "workflow entry: %w", err)
	}
	return b, nil
}
