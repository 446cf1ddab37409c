package types

// TaskKind is the kind of a job and of its tasks.
type TaskKind string

// Kinds of jobs.
const (
	KindService TaskKind = "service"
	KindBatch   TaskKind = "batch"
	KindWatcher TaskKind = "watcher"
)

// TaskState is the state of a task. The state chart "task" defines the transitions.
type TaskState string

// States of a task.
const (
	TaskWaiting       TaskState = "waiting"
	TaskStarting      TaskState = "starting"
	TaskRunning       TaskState = "running"
	TaskThrottled     TaskState = "throttled"
	TaskCheckpointing TaskState = "checkpointing"
	TaskEvicted       TaskState = "evicted"
	TaskFinished      TaskState = "finished"
	TaskFailed        TaskState = "failed"
	TaskParked        TaskState = "parked"
	TaskCancelled     TaskState = "cancelled"
)

// Placed reports whether a task in this state occupies resources of a worker.
func (s TaskState) Placed() bool {
	return s == TaskStarting || s == TaskRunning || s == TaskThrottled || s == TaskCheckpointing
}

// Pending reports whether a task in this state may be started.
func (s TaskState) Pending() bool { return s == TaskWaiting || s == TaskEvicted }

// Terminal reports whether a task stays in this state until its job is declared
// again.
func (s TaskState) Terminal() bool {
	return s == TaskFinished || s == TaskFailed || s == TaskCancelled
}

// TaskID identifies a task in the replicated state.
type TaskID uint64

// WorkerID identifies a worker in the replicated state.
type WorkerID uint32

// JobSpec is the declaration of a job by an operator. ExpectedMs is the expected run
// time of a batch task.
type JobSpec struct {
	Name       string    `cbor:"1,keyasint" json:"name"`
	Kind       TaskKind  `cbor:"2,keyasint" json:"kind"`
	Class      string    `cbor:"3,keyasint,omitempty" json:"class"`
	Team       string    `cbor:"4,keyasint,omitempty" json:"team"`
	Request    Resources `cbor:"5,keyasint" json:"request"`
	Replicas   int       `cbor:"6,keyasint,omitempty" json:"replicas"`
	ExpectedMs int64     `cbor:"7,keyasint,omitempty" json:"expected_ms"`
	Urgent     bool      `cbor:"8,keyasint,omitempty" json:"urgent"`
	// DeadlineMs is the wall-clock deadline in milliseconds since the Unix
	// epoch, zero for none.
	DeadlineMs     int64  `cbor:"9,keyasint,omitempty" json:"deadline_ms"`
	ObjectiveP99Ms int64  `cbor:"10,keyasint,omitempty" json:"objective_p99_ms"`
	Payload        []byte `cbor:"11,keyasint,omitempty" json:"payload,omitempty"`
}

// Task is one task of a job. Epoch is the number of its latest attempt, zero before
// the first. Worker is the host of the current attempt if the state is placed.
type Task struct {
	ID     TaskID    `cbor:"1,keyasint"`
	Name   string    `cbor:"2,keyasint"`
	Job    *JobSpec  `cbor:"-"`
	State  TaskState `cbor:"3,keyasint"`
	Epoch  uint64    `cbor:"4,keyasint,omitempty"`
	Worker WorkerID  `cbor:"5,keyasint,omitempty"`
	// Stopping is set while a placed attempt is being stopped: it is the state that
	// the task enters once the worker has confirmed the stop or its lease has expired.
	Stopping   TaskState `cbor:"6,keyasint,omitempty"`
	Checkpoint string    `cbor:"7,keyasint,omitempty"`
	Reason     string    `cbor:"8,keyasint,omitempty"`
	// ShareMilli is the part of its requested processors that a throttled task may
	// use, in thousandths.
	ShareMilli  int64 `cbor:"9,keyasint,omitempty"`
	Failures    int   `cbor:"10,keyasint,omitempty"`
	Evictions   int   `cbor:"11,keyasint,omitempty"`
	SubmittedMs int64 `cbor:"12,keyasint,omitempty"`
	ChangedMs   int64 `cbor:"13,keyasint,omitempty"`
	// FailedOn lists the distinct workers on which attempts failed, newest last.
	FailedOn []WorkerID `cbor:"14,keyasint,omitempty"`
	// Replaces is the replica of the same service that is stopped once this one
	// runs, zero for none.
	Replaces TaskID `cbor:"15,keyasint,omitempty"`
}
