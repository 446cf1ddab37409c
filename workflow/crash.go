package workflow

// Suspect is a task under which workers have crashed. Its fields are those of TaskRef
// without the job.
type Suspect struct {
	Occurrence uint32 `cbor:"1,keyasint,omitempty"`
	Step       uint32 `cbor:"2,keyasint,omitempty"`
	Index      uint32 `cbor:"3,keyasint,omitempty"`
	// Crashes counts the crashes of workers that ran the task or may have, Blamed those that
	// it may have caused.
	Crashes uint32 `cbor:"4,keyasint,omitempty"`
	Blamed  uint32 `cbor:"5,keyasint,omitempty"`
	// AgeMs is for how long the task had run before the latest crash that it may have
	// caused, in milliseconds, negative if that is not known. CrashedMs is when the latest
	// crash was recorded.
	AgeMs     int64 `cbor:"6,keyasint,omitempty"`
	CrashedMs int64 `cbor:"7,keyasint,omitempty"`
	// Alone counts the crashes that no other job may have caused.
	Alone uint32 `cbor:"8,keyasint,omitempty"`
}

// Crash records the crash of a worker and the tasks that it ran or may have run.
type Crash struct {
	Tasks []CrashedTask `cbor:"1,keyasint"`
}

// CrashedTask is a task on a worker that crashed.
type CrashedTask struct {
	Task TaskRef `cbor:"1,keyasint"`
	// Ran tells that the task ran there or may have, after a start without an answer. Earlier
	// versions of the program set it for confirmed starts and in tests only.
	Ran   bool  `cbor:"2,keyasint,omitempty"`
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
	// Alone tells that no other job may have caused the crash, Coincides that it is blamed on
	// none: its cause was outside of the worker, or the host may well have crashed by itself.
	Alone     bool `cbor:"4,keyasint,omitempty"`
	Coincides bool `cbor:"5,keyasint,omitempty"`
	// Immediate tells that the worker fell silent just after the start.
	Immediate bool `cbor:"6,keyasint,omitempty"`
}

// Limits on the crashes under a task. The platform's rules allow two starts after the third
// crash.
const (
	// minCrashes is the number of crashes from which on a task is given up if no other job
	// may have caused the latest one, and it came just after the start. With two, a sound
	// task was given up whose host crashed by itself as it was tested alone.
	minCrashes = 3
	// minAlone is the number of crashes that no other job may have caused, from which on
	// the task is taken for their cause.
	minAlone = 2
	// manyCrashes is the number of crashes from which on a single one that no other job may
	// have caused is enough, and maxCrashes that at which a task is given up in any case.
	manyCrashes = 4
	maxCrashes  = 5
	// crashRetentionMs is the time in milliseconds after which a crash is forgotten if
	// none followed: lasting tasks meet the crashes of many hosts in their life.
	crashRetentionMs = 600_000
)

// Suspect returns what is known of crashes under a task, nil if there was none.
func (j *Job) Suspect(ref TaskRef) *Suspect {
	for i := range j.Suspects {
		if s := &j.Suspects[i]; s.Index == ref.Index && s.Step == ref.Step && s.Occurrence == ref.Occurrence {
			return s
		}
	}
	return nil
}

// crash counts a crash under each of the tasks that are not done. The job of a task that is
// given up fails.
func (s *State) crash(c *Crash) {
	for i := range c.Tasks {
		t := &c.Tasks[i]
		job := s.jobs[t.Task.Job]
		if job == nil || !job.Active() {
			continue
		}
		if task := job.Task(t.Task); task == nil || task.State == TaskDone {
			continue
		}
		if s.countCrash(job, t).GivenUp(t) {
			job.Failed = true
			s.finish(job)
		}
	}
}

// GivenUp reports whether the task is given up after the crash t, which s includes.
func (s *Suspect) GivenUp(t *CrashedTask) bool {
	switch {
	case s.Crashes >= maxCrashes:
		return true
	case !t.Alone:
		return false
	case s.Alone >= minAlone:
		return true
	case min(s.Crashes, s.Blamed) < minCrashes:
		return false
	}
	return t.Ran && t.Immediate || s.Crashes >= manyCrashes
}

func (s *State) countCrash(job *Job, t *CrashedTask) *Suspect {
	suspect := job.Suspect(t.Task)
	if suspect == nil {
		job.Suspects = append(job.Suspects, Suspect{Occurrence: t.Task.Occurrence, Step: t.Task.Step, Index: t.Task.Index})
		suspect = &job.Suspects[len(job.Suspects)-1]
	}
	if s.nowMs-suspect.CrashedMs > crashRetentionMs {
		*suspect = Suspect{Occurrence: t.Task.Occurrence, Step: t.Task.Step, Index: t.Task.Index}
	}
	suspect.CrashedMs = s.nowMs
	if t.Ran {
		suspect.Crashes++
	}
	if t.Coincides {
		return suspect
	}
	suspect.Blamed++
	suspect.AgeMs = t.AgeMs
	if t.Alone {
		suspect.Alone++
	}
	return suspect
}
