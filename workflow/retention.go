package workflow

import "slices"

// endedJobRetentionMs is how long an ended job is kept, in milliseconds. The
// platform queries jobs up to two minutes after their end.
const endedJobRetentionMs = 150_000

// departure is the planned end of an incarnation of a worker.
type departure struct {
	_    struct{} `cbor:",toarray"`
	Life Incarnation
	AtMs int64
}

// departureRetentionMs is how long a departure is kept, in milliseconds. It exceeds the
// time by which a report may be delayed.
const departureRetentionMs = 300_000

// AdvanceTime sets the state's time, which never goes backwards, and drops the jobs,
// cancelled IDs and departures whose retention has ended.
func (s *State) AdvanceTime(nowMs int64) {
	s.nowMs = max(s.nowMs, nowMs)
	for len(s.departed) > 0 && s.nowMs-s.departed[0].AtMs >= departureRetentionMs {
		s.departed = s.departed[1:]
	}
	s.cancelledIDs.expire(s.nowMs)
	s.dropEndedJobs()
}

// dropEndedJobs drops the jobs whose retention has ended and of which no attempt is
// recorded. An attempt may outlast the retention if its worker does not confirm its end, or
// if the clock is set ahead; it must not be taken for one of a new job of the same ID.
func (s *State) dropEndedJobs() {
	kept := 0
	for kept < len(s.finished) {
		job := s.jobs[s.finished[kept]]
		if job != nil && s.nowMs-job.FinishedMs < endedJobRetentionMs {
			return
		}
		if job != nil && job.attempts > 0 {
			kept++
			continue
		}
		s.dropJob(s.finished[kept])
		if kept == 0 {
			s.finished = s.finished[1:] // The usual case, which moves nothing.
		} else {
			s.finished = slices.Delete(s.finished, kept, kept+1)
		}
	}
}
