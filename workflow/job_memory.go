package workflow

// addJob and dropJob are the only changes of the set of jobs.
func (s *State) addJob(job *Job) {
	s.jobs[job.ID] = job
	s.resizeJob(job, job.bytes())
	s.heldOccurrences += len(job.Occurrences.held)
}

func (s *State) dropJob(id JobID) {
	if job := s.jobs[id]; job != nil {
		s.jobBytes -= job.estimatedBytes
		s.heldOccurrences -= len(job.Occurrences.held)
		delete(s.jobs, id)
	}
}

func (s *State) resizeJob(job *Job, by int64) {
	job.estimatedBytes += by
	s.jobBytes += by
}

// holdOccurrence and settleOccurrence are the only changes of the occurrences of a job that
// take memory of their own.
func (s *State) holdOccurrence(job *Job, occurrence uint32) *Occurrence {
	before := len(job.Occurrences.held)
	held := job.Occurrences.hold(occurrence)
	if len(job.Occurrences.held) > before {
		s.heldOccurrences++
		s.resizeJob(job, job.Spec.occurrenceBytes())
	}
	return held
}

func (s *State) settleOccurrence(job *Job, occurrence uint32) {
	held := job.Occurrences.find(occurrence)
	if job.Occurrences.settle(occurrence) {
		s.heldOccurrences--
		s.resizeJob(job, -job.Spec.occurrenceBytes()-held.checkpointBytes())
	}
}

// settleOccurrences settles all occurrences of a decoded job.
func (s *State) settleOccurrences(job *Job) {
	var indexes []uint32
	for index := range job.Occurrences.Held() {
		indexes = append(indexes, index)
	}
	for _, index := range indexes {
		s.settleOccurrence(job, index)
	}
}

// JobBytes estimates the memory in bytes that the jobs take in a member that leads, which
// holds a second copy of the state.
func (v *View) JobBytes() int64 { return v.jobBytes }

// HeldOccurrences returns the number of occurrences that take memory of their own.
func (v *View) HeldOccurrences() int { return v.heldOccurrences }

// Estimates of memory in bytes, each for the two copies of the state.
const (
	bytesPerJob  = 960
	bytesPerStep = 480
	// bytesPerOccurrence, bytesPerOccurrenceStep and bytesPerTask are of an occurrence that is
	// held; a task includes its place among the pending ones.
	bytesPerOccurrence     = 224
	bytesPerOccurrenceStep = 64
	bytesPerTask           = 68
	// A snapshot encodes each task of each occurrence. It is held several times while it is
	// written or read.
	snapshotCopies                = 3
	encodedBytesPerTask           = 6
	encodedBytesPerOccurrenceStep = 4
)

// MaxReadyOccurrences bounds the occurrences of a job whose tasks a leader considers at a time,
// and bytesPerReadyStep is the memory that it takes for a step of them.
const (
	MaxReadyOccurrences = 128
	bytesPerReadyStep   = 320
)

// bytes estimates the memory of the job.
func (j *Job) bytes() int64 {
	steps, occurrences := int64(len(j.Spec.Steps)), int64(j.Occurrences.Len())
	text, tasks := len(j.Spec.Payload), int64(0)
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		text += len(s.Image) + len(s.Label) + len(s.DataRack) + 4*len(s.After)
		tasks += int64(s.Count)
	}
	bytes := bytesPerJob + int64(3*text) + bytesPerStep*steps + bytesPerReadyStep*steps*min(occurrences, MaxReadyOccurrences)
	bytes += snapshotCopies * occurrences * (encodedBytesPerTask*tasks + encodedBytesPerOccurrenceStep*steps)
	for _, o := range j.Occurrences.held {
		bytes += j.Spec.occurrenceBytes() + o.checkpointBytes()
	}
	return bytes
}

// occurrenceBytes estimates the memory of a held occurrence without checkpoints.
func (s *JobSpec) occurrenceBytes() int64 {
	bytes := int64(bytesPerOccurrence + bytesPerOccurrenceStep*len(s.Steps))
	for i := range s.Steps {
		bytes += bytesPerTask * int64(s.Steps[i].Count)
	}
	return bytes
}

func (o *Occurrence) checkpointBytes() int64 {
	bytes := int64(0)
	for _, tasks := range o.Steps {
		for i := range tasks {
			bytes += checkpointBytes(len(tasks[i].Checkpoint))
		}
	}
	return bytes
}

// checkpointBytes estimates the memory of a checkpoint of the given length, in both copies of
// the state and in the snapshot.
func checkpointBytes(length int) int64 { return int64(2+snapshotCopies) * int64(length) }
