package types

// WorkerState is the state of a worker. The state chart "worker" defines the
// transitions.
type WorkerState string

// States of a worker.
const (
	WorkerReady       WorkerState = "ready"
	WorkerDraining    WorkerState = "draining"
	WorkerLeaving     WorkerState = "leaving"
	WorkerQuarantined WorkerState = "quarantined"
	WorkerLost        WorkerState = "lost"
)

// Worker is a host that runs tasks. Committed is the sum of the resources requested
// by the attempts placed on it.
type Worker struct {
	ID            WorkerID    `cbor:"1,keyasint"`
	Name          string      `cbor:"2,keyasint"`
	Incarnation   uint64      `cbor:"3,keyasint"`
	FailureDomain string      `cbor:"4,keyasint,omitempty"`
	Rack          string      `cbor:"5,keyasint,omitempty"`
	State         WorkerState `cbor:"6,keyasint"`
	Capacity      Resources   `cbor:"7,keyasint"`
	Committed     Resources   `cbor:"-"`
	// DrainRequested is set by an operator's drain and cleared by undrain.
	DrainRequested bool   `cbor:"8,keyasint,omitempty"`
	Reason         string `cbor:"9,keyasint,omitempty"`
	// Evacuated is set while an operator's evacuation of FailureDomain is in force.
	Evacuated bool `cbor:"-"`
	// Session counts the registrations of the worker. An entry that records the expiry
	// of a lease names the session that it ends.
	Session uint64 `cbor:"10,keyasint,omitempty"`
	// LostMs is the age of the replicated state, in milliseconds, at which the worker
	// was lost.
	LostMs int64 `cbor:"11,keyasint,omitempty"`
}

// Usage is one report of a task's measured resource usage. AgeMs is the time between
// its measurement and its receipt.
type Usage struct {
	Task            TaskID   `cbor:"1,keyasint"`
	Epoch           uint64   `cbor:"2,keyasint"`
	Worker          WorkerID `cbor:"3,keyasint"`
	AgeMs           int64    `cbor:"4,keyasint,omitempty"`
	MilliProcessors int64    `cbor:"5,keyasint,omitempty"`
	MemoryBytes     int64    `cbor:"6,keyasint,omitempty"`
	LatencyP99Us    int64    `cbor:"7,keyasint,omitempty"`
	ProgressMilli   int64    `cbor:"8,keyasint,omitempty"`
}
