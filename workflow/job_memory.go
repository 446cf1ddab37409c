package workflow

// addJob and dropJob are the only changes of the set of jobs.
func (s *State) addJob(job *Job) {
	s.jobs[job.ID] = job
	s.jobBytes += job.bytes()
}

func (s *State) dropJob(id JobID) {
	if job := s.jobs[id]; job != nil {
		s.jobBytes -= job.bytes()
		delete(s.jobs, id)
	}
}

// JobBytes estimates the memory in bytes that the jobs take in a member that leads, which
// holds a second copy of the state.
func (s *State) JobBytes() int64 { return s.jobBytes }

// Estimates of memory in bytes, each for the two copies of the state.
const (
	bytesPerJob  = 1024
	bytesPerStep = 512
	bytesPerTask = 64
)

// bytes estimates the memory of the job.
func (j *Job) bytes() int64 {
	tasks := 0
	for i := range j.Occurrences {
		for _, step := range j.Occurrences[i].Steps {
			tasks += len(step)
		}
	}
	text := len(j.Spec.Payload)
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		text += len(s.Image) + len(s.Label) + len(s.DataRack)
	}
	return int64(bytesPerJob + 2*text + bytesPerStep*len(j.Spec.Steps) + bytesPerTask*tasks)
}
