package schedule

import (
	"fmt"
	"slices"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// quarantineJobs is the number of different jobs that must fail on a worker,
	// without a success in between, before it is quarantined.
	quarantineJobs = 3
	// quarantineJobsOnProbation is the same for a worker on probation.
	quarantineJobsOnProbation = 2
	// An attempt shows that its worker is healthy once it has run for minSurvival and
	// for survivalFactor times as long as each attempt that failed there.
	minSurvival    = 5 * time.Second
	survivalFactor = 3
	// confirmationWait is how long a quarantine waits at most for a task that failed on
	// the worker to run well elsewhere, which confirms that the worker is at fault.
	confirmationWait = time.Minute
	// workersToPark is the number of trusted workers on which a job must fail before
	// its tasks are parked.
	workersToPark = 3
	// failureWindow is how long a failure counts against a worker.
	failureWindow = 15 * time.Minute
	// maxRecordedFailures bounds the failures recorded of one worker, and the failed
	// workers recorded of one job.
	maxRecordedFailures = 16
	// successRunTime is the run time after which an attempt counts as a success of its
	// worker.
	successRunTime = time.Minute

	// firstQuarantineTime is how long a first quarantine lasts. Each further one without
	// a success in between doubles it, up to maxQuarantineTime.
	firstQuarantineTime = 2 * time.Minute
	maxQuarantineTime   = 2 * time.Hour
)

// failure is a failed attempt on a worker.
type failure struct {
	task     *task
	job      *job
	at       time.Time
	lifetime time.Duration // from the start of the attempt to its failure
}

// health records the reliability of a worker.
type health struct {
	failures    []failure // since the last success, oldest first
	quarantines int       // number since the last success
	since       time.Time // start of the quarantine or probation
	quarantined bool      // a quarantine was decided, possibly not confirmed yet
	onProbation bool      // released from quarantine, no success since
	suspended   bool      // gets no tasks until its attempts show whether it is at fault
}

// recordFailure records that an attempt of t failed on h.
func (s *Scheduler) recordFailure(t *task, h *host, at time.Time) {
	t.job.recordFailureOn(h.worker.ID)
	f := &h.health
	if len(f.failures) == maxRecordedFailures {
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

// recordSuccess clears the failures of h after an attempt ran well there.
func (h *host) recordSuccess() {
	h.health.failures = h.health.failures[:0]
	h.health.quarantines = 0
	h.health.onProbation = false
	h.health.suspended = false
}

// recordFailureOn records a worker on which the job failed, each worker once and
// at most maxRecordedFailures of them.
func (j *job) recordFailureOn(w types.WorkerID) {
	if len(j.failedOn) < maxRecordedFailures && !slices.Contains(j.failedOn, w) {
		j.failedOn = append(j.failedOn, w)
	}
}

// forgetFailureOn removes a worker that was quarantined from those on which the job
// failed.
func (j *job) forgetFailureOn(w types.WorkerID) {
	if i := slices.Index(j.failedOn, w); i >= 0 {
		j.failedOn = slices.Delete(j.failedOn, i, i+1)
	}
}

// recordLongRun records a success of the worker if t had run for successRunTime when
// its report was taken. Attempts that began before the quarantine or before the
// first recorded failure don't count.
func (t *task) recordLongRun(taken time.Time) {
	h := t.host
	if len(h.health.failures) == 0 && !h.health.onProbation || t.runningSince.IsZero() {
		return
	}
	if t.runningSince.Before(h.health.since) || taken.Sub(t.runningSince) < successRunTime {
		return
	}
	if len(h.health.failures) == 0 || t.runningSince.After(h.health.failures[0].at) {
		h.recordSuccess()
	}
}

// attributedJobs counts the different jobs whose failures are attributed to h. The
// failure of a job that also failed on another trusted worker is attributed to the
// job.
func (s *Scheduler) attributedJobs(h *host, now time.Time) int {
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
		if id != h.worker.ID && s.trustedFor(id, j) {
			n++
		}
	}
	return n
}

// trustedFor reports whether a failure on the worker counts against job j: the worker
// is neither in quarantine nor on probation, and no other job failed there within
// failureWindow, apart from jobs that failed on workersToPark workers.
func (s *Scheduler) trustedFor(id types.WorkerID, j *job) bool {
	h := s.hostByID[id]
	if h == nil {
		return true
	}
	if h.worker.State == types.WorkerQuarantined || h.health.onProbation {
		return false
	}
	for _, f := range h.health.failures {
		if f.job != j && s.now.Sub(f.at) <= failureWindow && len(f.job.failedOn) < workersToPark {
			return false
		}
	}
	return true
}

// reviewHealth quarantines the suspects on which several jobs failed, and releases
// workers whose quarantine has ended.
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

// reviewHost quarantines or releases h if that is due, and reports whether h stays
// a suspect.
func (s *Scheduler) reviewHost(h *host) bool {
	if s.hostByID[h.worker.ID] != h {
		return false
	}
	if h.worker.State == types.WorkerQuarantined {
		s.tryRelease(h)
		return true
	}
	if h.health.quarantined && s.now.Before(h.health.since.Add(s.options.ConfirmTimeout)) {
		return true // The quarantine is not confirmed yet.
	}
	if h.health.quarantined {
		s.rejectQuarantine(h.worker.ID)
	}
	survived, undecided := s.survivors(h)
	if survived {
		h.recordSuccess()
		return false
	}
	limit := quarantineJobs
	if h.health.onProbation {
		limit = quarantineJobsOnProbation
	}
	n := s.attributedJobs(h, s.now)
	faulty := n >= limit && !undecided && s.faultConfirmed(h)
	h.health.suspended = n >= limit && !faulty
	if faulty && h.worker.State == types.WorkerReady {
		s.quarantine(h, n)
	}
	return len(h.health.failures) > 0
}

// faultConfirmed reports whether one of the tasks that failed on h runs well on
// another worker, or has had confirmationWait to do so.
func (s *Scheduler) faultConfirmed(h *host) bool {
	last := h.health.failures[len(h.health.failures)-1]
	if s.now.Sub(last.at) >= confirmationWait {
		return true
	}
	for _, f := range h.health.failures {
		t := f.task
		elsewhere := t.host != nil && t.host != h && s.now.Sub(t.startedAt) >= f.survivalTime()
		if t.State == types.TaskFinished || t.State.Placed() && t.assumedEpoch == 0 && elsewhere {
			return true
		}
	}
	return false
}

// survivalTime is how long another attempt must run to outlive the failed one.
func (f failure) survivalTime() time.Duration { return max(minSurvival, survivalFactor*f.lifetime) }

// survivors examines the attempts that started on h after its first recorded
// failure: survived reports whether one has outlived those that failed, undecided
// whether one has not run long enough to tell.
func (s *Scheduler) survivors(h *host) (survived, undecided bool) {
	if len(h.health.failures) == 0 {
		return false, false
	}
	survivalTime := minSurvival
	for _, f := range h.health.failures {
		survivalTime = max(survivalTime, f.survivalTime())
	}
	for _, t := range h.tasks {
		if t.startedAt.Before(h.health.failures[0].at) {
			continue
		}
		if s.now.Sub(t.startedAt) >= survivalTime {
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
	s.updateTotal(h)
	for _, f := range h.health.failures {
		f.job.forgetFailureOn(h.worker.ID)
	}
	reason := fmt.Sprintf("tasks of %d different jobs failed on worker %s and none succeeded since", jobs, h.worker.Name)
	h.health.suspended = false
	s.emit(Quarantine{Worker: h.worker.ID, Reason: reason})
}

func (s *Scheduler) rejectQuarantine(id types.WorkerID) {
	if h := s.hostByID[id]; h != nil {
		h.health.quarantined = false
		s.updateTotal(h)
	}
}

func (s *Scheduler) tryRelease(h *host) {
	if s.now.Before(h.health.since.Add(h.quarantineTime())) {
		return
	}
	h.health.onProbation = true
	h.health.since = s.now
	h.health.failures = h.health.failures[:0]
	s.emit(Release{Worker: h.worker.ID, Reason: "its quarantine is over; one batch task probes it"})
}

func (h *host) quarantineTime() time.Duration {
	pause := firstQuarantineTime
	for range h.health.quarantines - 1 {
		pause *= 2
		if pause >= maxQuarantineTime {
			return maxQuarantineTime
		}
	}
	return pause
}

// parkIfFailing parks t if its job failed on workersToPark trusted workers.
func (s *Scheduler) parkIfFailing(t *task) bool {
	n := s.failedElsewhere(t.job, noHost)
	if n < workersToPark {
		return false
	}
	s.queue.remove(t)
	t.decision.outcome = parked
	reason := fmt.Sprintf("its job failed on %d healthy workers; last: %s", n, t.Reason)
	s.emit(Park{Task: t.ID, Reason: reason})
	return true
}

// noHost stands for no worker: no worker has its ID.
var noHost = &host{}
