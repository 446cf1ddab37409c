package workflow

import (
	"fmt"
	"strconv"
	"strings"

	"mangohill.example/mangohill/kind"
)

// JobID identifies a job. It is chosen by the caller.
type JobID uint64

// jobIDDigits is the length of a job ID in hexadecimal digits.
const jobIDDigits = 16

// ParseJobID reads 16 hexadecimal digits. The error is of kind bad_request.
func ParseJobID(text string) (JobID, error) {
	if len(text) != jobIDDigits {
		return 0, kind.Errorf(kind.BadRequest, "a job ID has %d hexadecimal digits, not %d", jobIDDigits, len(text))
	}
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil || text != strings.ToLower(text) {
		return 0, kind.Errorf(kind.BadRequest, "%q is not a job ID", text)
	}
	return JobID(id), nil
}

// String renders the ID as 16 hexadecimal digits.
func (id JobID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// StepRef names one step of one occurrence of a job.
type StepRef struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence uint32
	Step       uint32
}

// String renders the step as JOB.OCCURRENCE.STEP.
func (r StepRef) String() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// TaskRef names one task.
type TaskRef struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence uint32
	Step       uint32
	Index      uint32
}

// StepRef returns the task's step.
func (r TaskRef) StepRef() StepRef {
	return StepRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step}
}

// String renders the task as JOB.OCCURRENCE.STEP.INDEX.
func (r TaskRef) String() string {
	buffer := make([]byte, 0, jobIDDigits+12)
	buffer = append(buffer, r.Job.String()...)
	for _, part := range []uint32{r.Occurrence, r.Step, r.Index} {
		buffer = append(buffer, '.')
		buffer = strconv.AppendUint(buffer, uint64(part), 10)
	}
	return string(buffer)
}

// ParseTaskRef reads what String renders. The error is of kind bad_request.
func ParseTaskRef(text string) (TaskRef, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskRef{}, kind.Errorf(kind.BadRequest, "%q is not a task", text)
	}
	id, err := ParseJobID(parts[0])
	if err != nil {
		return TaskRef{}, err
	}
	var numbers [3]uint32
	for i, part := range parts[1:] {
		n, err := strconv.ParseUint(part, 10, 32)
		if err != nil {
			return TaskRef{}, kind.Errorf(kind.BadRequest, "%q is not a task", text)
		}
		numbers[i] = uint32(n)
	}
	return TaskRef{Job: id, Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Resources is an amount of a worker's resources.
type Resources struct {
	_               struct{} `cbor:",toarray"`
	MilliProcessors int64
	MemoryMB        int64
	Accelerators    int64
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{MilliProcessors: r.MilliProcessors + o.MilliProcessors, MemoryMB: r.MemoryMB + o.MemoryMB, Accelerators: r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{MilliProcessors: r.MilliProcessors - o.MilliProcessors, MemoryMB: r.MemoryMB - o.MemoryMB, Accelerators: r.Accelerators - o.Accelerators}
}

// Fits reports whether r is within free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliProcessors <= free.MilliProcessors && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Step is one step of a job: Count equal tasks.
type Step struct {
	Count     uint32    `cbor:"1,keyasint"`
	Resources Resources `cbor:"2,keyasint"`
	// EstimatedMs is a rough estimate of one task's duration.
	EstimatedMs int64 `cbor:"3,keyasint,omitempty"`
	// After lists the steps whose tasks must all be done before.
	After []uint32 `cbor:"4,keyasint,omitempty"`
	// Resumable tells that the tasks produce checkpoints.
	Resumable bool `cbor:"5,keyasint,omitempty"`
	// Gang tells that the tasks work only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// OneRack tells that the tasks are slower on more than one rack.
	OneRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must carry, empty for any.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run at full speed, empty for any.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker, zero for no bound.
	MaxPerWorker uint32 `cbor:"10,keyasint,omitempty"`
	// Duplicable allows copies of a task to run at the same time.
	Duplicable bool `cbor:"11,keyasint,omitempty"`
	// Lasting tasks run until the job is cancelled and are restarted however they end.
	Lasting bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run; equal images behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// LatencyTargetMs bounds the tail latency that a lasting task offers its own
	// users, zero for no bound.
	LatencyTargetMs int64 `cbor:"14,keyasint,omitempty"`
	// Scavenger tasks take the processors that others leave unused: theirs are
	// not counted against the worker's capacity.
	Scavenger bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the number of tasks that orders of the system may take away
	// at a time, zero or negative for no bound.
	MaxUnavailable int32 `cbor:"16,keyasint,omitempty"`
}

// Reserved returns what a task of the step takes from a worker's capacity.
func (s *Step) Reserved() Resources {
	r := s.Resources
	if s.Scavenger {
		r.MilliProcessors = 0
	}
	return r
}

// Schedule describes a job that runs several times.
type Schedule struct {
	_       struct{} `cbor:",toarray"`
	Times   uint32
	FirstMs int64 // milliseconds since the Unix epoch
	EveryMs int64
}

// JobSpec is what a caller submits.
type JobSpec struct {
	Payload  string   `cbor:"1,keyasint,omitempty"`
	Steps    []Step   `cbor:"2,keyasint"`
	Schedule Schedule `cbor:"3,keyasint,omitempty"`
}

// Occurrences returns how many times the job's steps run.
func (s *JobSpec) Occurrences() uint32 { return max(s.Schedule.Times, 1) }

// DueMs returns when an occurrence may start, zero for at once.
func (s *JobSpec) DueMs(occurrence uint32) int64 {
	if s.Schedule.Times == 0 {
		return 0
	}
	return s.Schedule.FirstMs + int64(occurrence)*s.Schedule.EveryMs
}

// Bounds on a job.
const (
	// maxPayloadBytes bounds the payload; the platform's page on jobs states it.
	maxPayloadBytes = 4000
	// maxSteps and maxTasks keep one job within a log entry and a plan's turn.
	maxSteps = 256
	maxTasks = 20000
)

// Validate returns an error of kind bad_request for a job that can never run.
func (s *JobSpec) Validate() error {
	switch {
	case len(s.Steps) == 0:
		return kind.Errorf(kind.BadRequest, "a job needs at least one step")
	case len(s.Steps) > maxSteps:
		return kind.Errorf(kind.BadRequest, "a job of %d steps is over %d", len(s.Steps), maxSteps)
	case len(s.Payload) > maxPayloadBytes:
		return kind.Errorf(kind.BadRequest, "a payload of %d bytes is over %d", len(s.Payload), maxPayloadBytes)
	}
	tasks := uint64(0)
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += uint64(s.Steps[i].Count) * uint64(s.Occurrences())
	}
	if tasks > maxTasks {
		return kind.Errorf(kind.BadRequest, "a job of %d tasks is over %d", tasks, maxTasks)
	}
	return nil
}

func (s *Step) validate(i int) error {
	r := s.Resources
	if s.Count == 0 || r.MilliProcessors < 0 || r.MemoryMB < 0 || r.Accelerators < 0 {
		return kind.Errorf(kind.BadRequest, "step %d has no tasks or asks for less than nothing", i)
	}
	for _, before := range s.After {
		if int(before) >= i {
			return kind.Errorf(kind.BadRequest, "step %d waits for step %d, which is not an earlier one", i, before)
		}
	}
	return nil
}
