package schedule

import (
	"fmt"
	"slices"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// suspectJobs is the number of different jobs that have to fail on a worker,
	// with none succeeding in between, before it is quarantined.
	suspectJobs = 3
	// suspectJobsProbing is the same for a worker on probation.
	suspectJobsProbing = 2
	// minSurvival and survivalFactor set how long an attempt has to live to speak
	// for its worker, against the lives of those that failed there.
	minSurvival    = 5 * time.Second
	survivalFactor = 3
	// verdictWait is how long a worker stays a suspect until a task that failed
	// there lives on elsewhere.
	verdictWait = time.Minute
	// condemningWorkers is the number of healthy workers on which a job has to
	// fail before it is parked.
	condemningWorkers = 3
	// failureWindow is how long a failure counts against a worker.
	failureWindow = 15 * time.Minute
	// maxFailures bounds the failures remembered of one worker.
	maxFailures = 16
	// provenRun is the run time after which an attempt speaks for its worker.
	provenRun = time.Minute

	// quarantineTime is how long a first quarantine lasts; each that follows
	// without a success doubles it, up to maxQuarantineTime.
	quarantineTime    = 2 * time.Minute
	maxQuarantineTime = 2 * time.Hour
)

// failure is a failed attempt on a worker.
type failure struct {
	task *task
	job  *job
	at   time.Time
	life time.Duration // from the start of the attempt to its failure
}

// health is what the scheduler knows of a worker's reliability.
type health struct {
	failures    []failure // since the last success, oldest first
	quarantines int       // since the last success
	since       time.Time // begin of the quarantine or probation
	quarantined bool      // decided, though not yet confirmed
	probing     bool      // released, without a success yet
	suspended   bool      // takes nothing new until attempts under way have told
}

// noteFailure takes in that an attempt of t failed on h.
func (s *Scheduler) noteFailure(t *task, h *host, at time.Time) {
	t.job.failOn(h.worker.ID)
	f := &h.health
	if len(f.failures) == maxFailures {
		f.failures = slices.Delete(f.failures, 0, 1)
	}
	f.failures = append(f.failures, failure{t, t.job, at, at.Sub(t.startedAt)})
	s.suspects = appendOnce(s.suspects, h)
}

func appendOnce(list []*host, h *host) []*host {
	if slices.Contains(list, h) {
		return list
	}
	return append(list, h)
}

// noteSuccess takes in that an attempt ran well on h.
func (h *host) noteSuccess() {
	h.health.failures = h.health.failures[:0]
	h.health.quarantines = 0
	h.health.probing = false
	h.health.suspended = false
}

// failOn remembers the distinct workers on which the job failed, up to a bound.
func (j *job) failOn(w types.WorkerID) {
	if len(j.failedOn) < maxFailures && !slices.Contains(j.failedOn, w) {
		j.failedOn = append(j.failedOn, w)
	}
}

// forgetFailureOn takes a worker that was quarantined out of the job's failures.
func (j *job) forgetFailureOn(w types.WorkerID) {
	if i := slices.Index(j.failedOn, w); i >= 0 {
		j.failedOn = slices.Delete(j.failedOn, i, i+1)
	}
}

// noteProven takes in that t, whose report was taken at the given time, runs. A
// run that began before the worker's failures says nothing.
func (t *task) noteProven(taken time.Time) {
	h := t.host
	if len(h.health.failures) == 0 && !h.health.probing || t.runningSince.IsZero() {
		return
	}
	if t.runningSince.Before(h.health.since) || taken.Sub(t.runningSince) < provenRun {
		return
	}
	if len(h.health.failures) == 0 || t.runningSince.After(h.health.failures[0].at) {
		h.noteSuccess()
	}
}

// condemnedBy counts the different jobs whose failures speak against h. A job
// that failed on another trusted worker speaks against itself.
func (s *Scheduler) condemnedBy(h *host, now time.Time) int {
	jobs := s.scratch.jobs[:0]
	for _, f := range h.health.failures {
		if now.Sub(f.at) > failureWindow || slices.Contains(jobs, f.job) {
			continue
		}
		if s.failedElsewhere(f.job, h) == 0 {
			jobs = append(jobs, f.job)
		}
	}
	s.scratch.jobs = jobs
	return len(jobs)
}

// failedElsewhere counts the trusted workers other than h on which the job failed.
func (s *Scheduler) failedElsewhere(j *job, h *host) int {
	n := 0
	for _, id := range j.failedOn {
		if id != h.worker.ID && s.trusted(id, j) {
			n++
		}
	}
	return n
}

// trusted reports whether a failure on the worker says something about job j: no
// other job failed there lately, and it is not in quarantine or on probation.
func (s *Scheduler) trusted(id types.WorkerID, j *job) bool {
	h := s.hostByID[id]
	if h == nil {
		return true
	}
	if h.worker.State == types.WorkerQuarantined || h.health.probing {
		return false
	}
	for _, f := range h.health.failures {
		if f.job != j && s.now.Sub(f.at) <= failureWindow && len(f.job.failedOn) < condemningWorkers {
			return false
		}
	}
	return true
}

// reviewHealth quarantines the suspects that failed different jobs, and releases the
// quarantined workers whose time is over.
func (s *Scheduler) reviewHealth() {
	kept := s.suspects[:0]
	for _, h := range s.suspects {
		if s.reviewHost(h) {
			kept = append(kept, h)
		}
	}
	clear(s.suspects[len(kept):])
	s.suspects = kept
}

// reviewHost reports whether the host stays a suspect.
func (s *Scheduler) reviewHost(h *host) bool {
	if s.hostByID[h.worker.ID] != h {
		return false
	}
	if h.worker.State == types.WorkerQuarantined {
		s.tryRelease(h)
		return true
	}
	if h.health.quarantined && s.now.Before(h.health.since.Add(s.options.ConfirmTimeout)) {
		return true // The quarantine is under way.
	}
	if h.health.quarantined {
		s.rejectedQuarantine(h.worker.ID)
	}
	survived, undecided := s.survivors(h)
	if survived {
		h.noteSuccess()
		return false
	}
	limit := suspectJobs
	if h.health.probing {
		limit = suspectJobsProbing
	}
	n := s.condemnedBy(h, s.now)
	condemned := n >= limit && !undecided && s.confirmed(h)
	h.health.suspended = n >= limit && !condemned
	if condemned && h.worker.State == types.WorkerReady {
		s.quarantine(h, n)
	}
	return len(h.health.failures) > 0
}

// confirmed reports whether one of the tasks that failed on h lives on elsewhere,
// or has had the time to.
func (s *Scheduler) confirmed(h *host) bool {
	last := h.health.failures[len(h.health.failures)-1]
	if s.now.Sub(last.at) >= verdictWait {
		return true
	}
	for _, f := range h.health.failures {
		t := f.task
		elsewhere := t.host != nil && t.host != h && s.now.Sub(t.startedAt) >= f.proof()
		if t.State == types.TaskFinished || t.State.Placed() && t.assumedEpoch == 0 && elsewhere {
			return true
		}
	}
	return false
}

// proof is how long another attempt has to live to count as one that works.
func (f failure) proof() time.Duration { return max(minSurvival, survivalFactor*f.life) }

// survivors looks at the attempts that were started on h after its first
// failure: whether one lives on much longer than those that failed, and whether
// there are younger ones.
func (s *Scheduler) survivors(h *host) (survived, undecided bool) {
	if len(h.health.failures) == 0 {
		return false, false
	}
	proof := minSurvival
	for _, f := range h.health.failures {
		proof = max(proof, f.proof())
	}
	for _, t := range h.tasks {
		if t.startedAt.Before(h.health.failures[0].at) {
			continue
		}
		if s.now.Sub(t.startedAt) >= proof {
			return true, false
		}
		undecided = true
	}
	return false, undecided
}

func (s *Scheduler) quarantine(h *host, jobs int) {
	h.health.quarantines++
	h.health.since = s.now
	h.health.quarantined = true
	s.count(h)
	for _, f := range h.health.failures {
		f.job.forgetFailureOn(h.worker.ID)
	}
	reason := fmt.Sprintf("tasks of %d different jobs failed on worker %s and none succeeded since", jobs, h.worker.Name)
	h.health.suspended = false
	s.emit(Quarantine{Worker: h.worker.ID, Reason: reason})
}

func (s *Scheduler) rejectedQuarantine(id types.WorkerID) {
	if h := s.hostByID[id]; h != nil {
		h.health.quarantined = false
		s.count(h)
	}
}

func (s *Scheduler) tryRelease(h *host) {
	if s.now.Before(h.health.since.Add(h.quarantineTime())) {
		return
	}
	h.health.probing = true
	h.health.since = s.now
	h.health.failures = h.health.failures[:0]
	s.emit(Release{Worker: h.worker.ID, Reason: "its quarantine is over; one batch task probes it"})
}

func (h *host) quarantineTime() time.Duration {
	pause := quarantineTime
	for range h.health.quarantines - 1 {
		pause *= 2
		if pause >= maxQuarantineTime {
			return maxQuarantineTime
		}
	}
	return pause
}

// parkIfCondemned parks the job of t if it failed on several trusted workers.
func (s *Scheduler) parkIfCondemned(t *task) bool {
	n := s.failedElsewhere(t.job, noHost)
	if n < condemningWorkers {
		return false
	}
	s.queue.remove(t)
	t.decision.outcome = parked
	reason := fmt.Sprintf("its job failed on %d healthy workers; last: %s", n, t.Reason)
	s.emit(Park{Task: t.ID, Reason: reason})
	return true
}

// noHost stands for no host.
var noHost = &host{}
