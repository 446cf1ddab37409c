package workflow

import (
	"fmt"
	"strconv"
	"strings"

	"mangohill.example/mangohill/kind"
)

// JobID identifies a job. The caller chooses it.
type JobID uint64

// jobIDDigits is the length of a job ID in hexadecimal digits.
const jobIDDigits = 16

// ParseJobID parses 16 lower-case hexadecimal digits. The error is of kind
// bad_request.
func ParseJobID(text string) (JobID, error) {
	if len(text) != jobIDDigits {
		return 0, kind.Errorf(kind.BadRequest, "a job ID has %d hexadecimal digits, got %d characters", jobIDDigits, len(text))
	}
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil || text != strings.ToLower(text) {
		return 0, kind.Errorf(kind.BadRequest, "job ID %q is not lower-case hexadecimal", text)
	}
	return JobID(id), nil
}

// String formats the ID as 16 lower-case hexadecimal digits.
func (id JobID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// StepRef identifies a step within one occurrence of a job.
type StepRef struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence uint32
	Step       uint32
}

// String formats the reference as JOB.OCCURRENCE.STEP.
func (r StepRef) String() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// TaskRef identifies a task; Index is its position within the step.
type TaskRef struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence uint32
	Step       uint32
	Index      uint32
}

// StepRef returns the reference of the step that the task belongs to.
func (r TaskRef) StepRef() StepRef {
	return StepRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step}
}

// String formats the reference as JOB.OCCURRENCE.STEP.INDEX.
func (r TaskRef) String() string {
	buffer := make([]byte, 0, jobIDDigits+12)
	buffer = append(buffer, r.Job.String()...)
	for _, part := range []uint32{r.Occurrence, r.Step, r.Index} {
		buffer = append(buffer, '.')
		buffer = strconv.AppendUint(buffer, uint64(part), 10)
	}
	return string(buffer)
}

// ParseTaskRef parses the format of TaskRef.String. The error is of kind
// bad_request.
func ParseTaskRef(text string) (TaskRef, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskRef{}, kind.Errorf(kind.BadRequest, "task reference %q does not have the form JOB.OCCURRENCE.STEP.INDEX", text)
	}
	id, err := ParseJobID(parts[0])
	if err != nil {
		return TaskRef{}, err
	}
	var numbers [3]uint32
	for i, part := range parts[1:] {
		n, err := strconv.ParseUint(part, 10, 32)
		if err != nil {
			return TaskRef{}, kind.Errorf(kind.BadRequest, "task reference %q holds a part that is not a 32-bit number", text)
		}
		numbers[i] = uint32(n)
	}
	return TaskRef{Job: id, Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Resources is an amount of processors (in thousandths), memory (in MB) and
// accelerators.
type Resources struct {
	_               struct{} `cbor:",toarray"`
	MilliProcessors int64
	MemoryMB        int64
	Accelerators    int64
}

// Bounds of what a worker may have and a task may request. Sums over all workers or tasks, and
// the products that rankings and reservations form, do not overflow within them.
const (
	maxMilliProcessors = 1 << 40
	maxMemoryMB        = 1 << 40
	maxAccelerators    = 1 << 30
)

// InRange reports whether no amount is negative or beyond what a worker may have.
func (r Resources) InRange() bool {
	return min(r.MilliProcessors, r.MemoryMB, r.Accelerators) >= 0 && r.Fits(Resources{MilliProcessors: maxMilliProcessors, MemoryMB: maxMemoryMB, Accelerators: maxAccelerators})
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{MilliProcessors: r.MilliProcessors + o.MilliProcessors, MemoryMB: r.MemoryMB + o.MemoryMB, Accelerators: r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{MilliProcessors: r.MilliProcessors - o.MilliProcessors, MemoryMB: r.MemoryMB - o.MemoryMB, Accelerators: r.Accelerators - o.Accelerators}
}

// Fits reports whether r does not exceed free in any dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliProcessors <= free.MilliProcessors && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Step describes a step of a job: Count identical tasks.
type Step struct {
	Count     uint32    `cbor:"1,keyasint"`
	Resources Resources `cbor:"2,keyasint"`
	// EstimatedMs is the submitter's rough estimate of one task's duration.
	EstimatedMs int64 `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of the steps that must be done before this one starts.
	After []uint32 `cbor:"4,keyasint,omitempty"`
	// Resumable tasks write checkpoints from which a later attempt continues.
	Resumable bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks make progress only while all tasks of the step run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// OneRack tasks run slower when they are spread over several racks.
	OneRack bool `cbor:"7,keyasint,omitempty"`
	// Label is the label that a worker must have, empty for any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run at full speed, empty for any rack.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker, zero for no limit.
	MaxPerWorker uint32 `cbor:"10,keyasint,omitempty"`
	// Duplicable tasks may run in several copies at the same time.
	Duplicable bool `cbor:"11,keyasint,omitempty"`
	// Lasting tasks run until the job is cancelled; they are restarted after every
	// kind of end.
	Lasting bool `cbor:"12,keyasint,omitempty"`
	// Image names the program that the tasks run; tasks of the same image are taken
	// to behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// LatencyTargetMs is the target for the tail latency that a lasting task offers
	// its users, zero for none.
	LatencyTargetMs int64 `cbor:"14,keyasint,omitempty"`
	// Scavenger tasks use spare processors: their processors do not count against
	// the worker's capacity.
	Scavenger bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable limits how many tasks of the step may be down at a time because
	// the system stopped them; zero or a negative value means no limit.
	MaxUnavailable int32 `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the capacity that one task of the step reserves on its worker.
func (s *Step) Reserved() Resources {
	r := s.Resources
	if s.Scavenger {
		r.MilliProcessors = 0
	}
	return r
}

// Schedule describes a job that runs Times times, every EveryMs from FirstMs on.
type Schedule struct {
	_       struct{} `cbor:",toarray"`
	Times   uint32
	FirstMs int64 // milliseconds since the Unix epoch
	EveryMs int64
}

// JobSpec is the description of a job that a caller submits.
type JobSpec struct {
	Payload  string   `cbor:"1,keyasint,omitempty"`
	Steps    []Step   `cbor:"2,keyasint"`
	Schedule Schedule `cbor:"3,keyasint,omitempty"`
}

// Occurrences returns how often the job's steps run; it is at least 1.
func (s *JobSpec) Occurrences() uint32 { return max(s.Schedule.Times, 1) }

// DueMs returns the earliest start of an occurrence in milliseconds since the Unix
// epoch, zero for immediately.
func (s *JobSpec) DueMs(occurrence uint32) int64 {
	if s.Schedule.Times == 0 {
		return 0
	}
	return s.Schedule.FirstMs + int64(occurrence)*s.Schedule.EveryMs
}

// DueBy returns the number of occurrences from the first one on that are due by a time in
// milliseconds since the Unix epoch. If they do not follow each other in time, it returns all
// once one of them is due.
func (s *JobSpec) DueBy(nowMs int64) uint32 {
	count := s.Occurrences()
	switch {
	case s.Schedule.Times == 0 || nowMs >= max(s.DueMs(0), s.DueMs(count-1)):
		return count
	case s.Schedule.EveryMs <= 0 || s.DueMs(count-1) < s.DueMs(0):
		if nowMs >= min(s.DueMs(0), s.DueMs(count-1)) {
			return count
		}
		return 0
	case nowMs < s.DueMs(0):
		return 0
	}
	return uint32(min((nowMs-s.Schedule.FirstMs)/s.Schedule.EveryMs+1, int64(count)))
}

// NextDueMs returns when DueBy changes next, in milliseconds since the Unix epoch, false if
// never.
func (s *JobSpec) NextDueMs(nowMs int64) (int64, bool) {
	count, due := s.Occurrences(), s.DueBy(nowMs)
	if due == count {
		return 0, false
	}
	return min(s.DueMs(due), s.DueMs(count-1)), true
}

// Limits on a job.
const (
	// maxPayloadBytes limits the payload; the documentation of jobs states this limit.
	maxPayloadBytes = 4000
	// maxSteps and maxTasks keep a job small enough for one log entry and one
	// planning round. maxTasks counts the tasks of all occurrences.
	maxSteps = 256
	maxTasks = 20000
	// maxNameBytes limits each name in a step: image, label and rack.
	maxNameBytes = 512
)

// Validate returns an error of kind bad_request for a job that exceeds a limit or
// can never run.
func (s *JobSpec) Validate() error {
	switch {
	case len(s.Steps) == 0:
		return kind.Errorf(kind.BadRequest, "the job has no steps")
	case len(s.Steps) > maxSteps:
		return kind.Errorf(kind.BadRequest, "the job has %d steps, at most %d are allowed", len(s.Steps), maxSteps)
	case len(s.Payload) > maxPayloadBytes:
		return kind.Errorf(kind.BadRequest, "the payload has %d bytes, at most %d are allowed", len(s.Payload), maxPayloadBytes)
	}
	tasks := uint64(0)
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += uint64(s.Steps[i].Count)
	}
	// The product of the two may overflow.
	if occurrences := uint64(s.Occurrences()); occurrences > maxTasks || tasks > maxTasks || tasks*occurrences > maxTasks {
		return kind.Errorf(kind.BadRequest, "the job has %d tasks, %d times; at most %d together are allowed", tasks, occurrences, maxTasks)
	}
	return nil
}

func (s *Step) validate(i int) error {
	r := s.Resources
	if s.Count == 0 || !r.InRange() {
		return kind.Errorf(kind.BadRequest, "step %d has no tasks, or requests an amount of a resource that is out of range: %d thousandths of a processor, %d MB, %d accelerators", i, r.MilliProcessors, r.MemoryMB, r.Accelerators)
	}
	for _, name := range [...]string{s.Image, s.Label, s.DataRack} {
		if len(name) > maxNameBytes {
			return kind.Errorf(kind.BadRequest, "step %d has a name of %d bytes, at most %d are allowed", i, len(name), maxNameBytes)
		}
	}
	if len(s.After) > i {
		return kind.Errorf(kind.BadRequest, "step %d names %d steps before it, there are %d", i, len(s.After), i)
	}
	for _, dependency := range s.After {
		if int(dependency) >= i {
			return kind.Errorf(kind.BadRequest, "step %d depends on step %d, which is not an earlier step", i, dependency)
		}
	}
	return nil
}
