package workflow

import (
	"mangohill.example/mangohill/internal/cborcodec"
	"mangohill.example/mangohill/kind"
)

// WorkerID identifies a recorded incarnation of a worker; IDs ascend in the order
// of the Join operations.
type WorkerID uint32

// Incarnation identifies one run of a worker process, from its start to its crash or
// withdrawal. A restarted worker keeps its name but none of its attempts; the start
// time tells the two apart.
type Incarnation struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// BornMs is when the incarnation started, in milliseconds since the Unix epoch.
	BornMs int64
}

// Ending tells how an attempt ended.
type Ending uint8

// Endings of attempts.
const (
	EndDone           Ending = iota + 1
	EndFailed                // because of an error of the task or of the worker
	EndStopped               // by a stop order
	EndLeaseExpired          // the worker's lease expired
	EndGangBroken            // another task of the gang ended
	EndGangIncomplete        // the other tasks of the gang did not start in time
)

var endingNames = [...]string{EndDone: "done", EndFailed: "failed", EndStopped: "stopped", EndLeaseExpired: "lapsed", EndGangBroken: "broken", EndGangIncomplete: "alone"}

// String returns the name of the ending, "unknown" for a value without one.
func (e Ending) String() string {
	if int(e) < len(endingNames) && e > 0 {
		return endingNames[e]
	}
	return "unknown"
}

// SetCatalog replaces the catalog if the new version is higher than the current
// one.
type SetCatalog struct {
	Catalog Catalog `cbor:"1,keyasint"`
}

// Accept records a new job in a queue; an ID that exists already is left unchanged.
type Accept struct {
	_     struct{} `cbor:",toarray"`
	ID    JobID
	Queue string
	Spec  JobSpec
}

// Cancel ends a job at its caller's request, or keeps the ID of one that is not known.
type Cancel struct {
	_  struct{} `cbor:",toarray"`
	ID JobID
}

// Join records a new incarnation of a worker and ends the earlier ones with the
// same name or address.
type Join struct {
	_        struct{} `cbor:",toarray"`
	Life     Incarnation
	Address  string
	Service  string
	Zone     string
	Labels   []string
	Capacity Resources
	// Carry lists tasks whose start order, sent to the previous incarnation, may
	// still reach this one; their attempts move to it.
	Carry []TaskRef
	// Rack is the worker's rack, empty if the worker reported none.
	Rack string
}

// MaxReport is the largest number of a report. A larger one would hide all later reports.
const MaxReport = 1 << 53

// Resize records the capacity that a worker reports. Report is the number of the report;
// those of an earlier one have no effect.
type Resize struct {
	Worker   WorkerID  `cbor:"1,keyasint"`
	Capacity Resources `cbor:"2,keyasint"`
	Report   uint64    `cbor:"3,keyasint,omitempty"`
}

// Leave records that a worker is draining or, with Over, that its incarnation has
// ended.
type Leave struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	Over   bool
}

// Place assigns a new attempt of a task to a worker. Attempt must be higher than
// the number of any earlier attempt of the task.
type Place struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	Worker  WorkerID
	Attempt uint32
}

// End records the end of an attempt, reported by its worker. Number is the
// worker's sequence number of the report.
type End struct {
	_          struct{} `cbor:",toarray"`
	Worker     WorkerID
	Number     uint64
	Task       TaskRef
	Attempt    uint32
	How        Ending
	Checkpoint string
}

// Void records that an attempt certainly does not run and never will. Checkpoint is
// the last checkpoint that it reported, empty for none.
type Void struct {
	_          struct{} `cbor:",toarray"`
	Worker     WorkerID
	Task       TaskRef
	Attempt    uint32
	Checkpoint string
}

// Op is one operation on the state; exactly one field is set.
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
	Crash          *Crash          `cbor:"11,keyasint,omitempty"`
	Resize         *Resize         `cbor:"12,keyasint,omitempty"`
	SetEvacuation  *SetEvacuation  `cbor:"13,keyasint,omitempty"`
	PlaceCopy      *PlaceCopy      `cbor:"14,keyasint,omitempty"`
	OpenStart      *OpenStart      `cbor:"15,keyasint,omitempty"`
	StartAge       *StartAge       `cbor:"16,keyasint,omitempty"`
	LastingEnd     *LastingEnd     `cbor:"17,keyasint,omitempty"`
}

// Batch is the content of one log entry. NowMs is the leader's wall clock in
// milliseconds since the Unix epoch.
type Batch struct {
	_     struct{} `cbor:",toarray"`
	NowMs int64
	Ops   []Op
}

// MaxCommandBytes is the largest size of an encoded batch that the log takes.
const MaxCommandBytes = 1 << 20

// Encode returns the batch as the data of a log entry, in CBOR.
func (b *Batch) Encode() ([]byte, error) { return cborcodec.Encode.Marshal(b) }

// EncodedSize returns the size of the operation in an encoded batch, in bytes.
func (o *Op) EncodedSize() (int, error) {
	data, err := cborcodec.Encode.Marshal(o)
	return len(data), err
}

// LargestOp returns the name and the encoded size, in bytes, of the largest operation;
// the name is empty if there is none.
func (b *Batch) LargestOp() (name string, bytes int) {
	for i := range b.Ops {
		if size, err := b.Ops[i].EncodedSize(); err == nil && size > bytes {
			name, bytes = b.Ops[i].name(), size
		}
	}
	return name, bytes
}

// name returns the name of the operation, empty if it has no content.
func (o *Op) name() string {
	switch {
	case o.SetCatalog != nil:
		return "set_catalog"
	case o.Accept != nil:
		return "accept"
	case o.Cancel != nil:
		return "cancel"
	case o.Join != nil:
		return "join"
	case o.Leave != nil:
		return "leave"
	case o.Place != nil:
		return "place"
	case o.End != nil:
		return "end"
	case o.Void != nil:
		return "void"
	case o.StartWave != nil:
		return "start_wave"
	case o.SetMaintenance != nil:
		return "set_maintenance"
	case o.Crash != nil:
		return "crash"
	case o.Resize != nil:
		return "resize"
	case o.SetEvacuation != nil:
		return "set_evacuation"
	case o.PlaceCopy != nil:
		return "place_copy"
	case o.OpenStart != nil:
		return "open_start"
	case o.StartAge != nil:
		return "start_age"
	case o.LastingEnd != nil:
		return "lasting_end"
	}
	return ""
}

// DecodeBatch decodes the data of a log entry. The error is of kind corrupt.
func DecodeBatch(data []byte) (*Batch, error) {
	b := new(Batch)
	if err := cborcodec.Decode.Unmarshal(data, b); err != nil {
		return nil, kind.Errorf(kind.Corrupt, "decode workflow entry: %w", err)
	}
	return b, nil
}
