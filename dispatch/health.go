package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// quarantineFailures is the number of different jobs with failed attempts
	// on a worker, and no successful attempt in between, at which the worker is
	// quarantined. On sound workers, a twentieth of the attempts fail for
	// reasons of the task itself.
	quarantineFailures = 2
	// quarantineDuration is how long a quarantined worker gets no new work. After
	// it one more failure is enough to quarantine it again.
	quarantineDuration = 2500 * time.Millisecond
	// maxQuarantinedPercent bounds the part of the workers in quarantine: if more
	// of them look unhealthy, the tasks are the cause.
	maxQuarantinedPercent = 25
	// avoidDuration is how long a task avoids the worker on which it failed.
	avoidDuration = 2 * time.Second
	// minSlowJobs is the number of different jobs with attempts far behind their siblings
	// from which on their worker counts as slow, if these attempts are the majority. A
	// single run may be slow by itself.
	minSlowJobs = 2
	// restartCost is the time that it takes to stop an attempt, record its end
	// and start the task elsewhere.
	restartCost = 1200 * time.Millisecond
	// maxRestarts bounds the attempts of a task that are stopped for slowness.
	maxRestarts = 3
)

// taskFailure is the worker on which a task failed last or was too slow, and until when
// the task avoids it.
type taskFailure struct {
	worker workflow.WorkerID
	until  Instant
}

// health is what the ends and the progress of attempts tell about a worker.
type health struct {
	failedJobs map[workflow.JobID]bool
	// slow tells for each attempt that was compared with others since comparedSince
	// whether it was slow.
	slow          map[workflow.TaskRef]bool
	comparedSince Instant
}

// recordPace records whether an attempt is slow compared with others.
func (h *health) recordPace(a *attempt, slow bool) {
	if h.slow == nil {
		h.slow = make(map[workflow.TaskRef]bool)
	}
	h.slow[a.ref] = slow
}

// isSlow reports whether most attempts on the worker were slow, those of several jobs.
func (h *health) isSlow() bool {
	jobs, slow := make(map[workflow.JobID]bool), 0
	for ref, isSlow := range h.slow {
		if isSlow {
			jobs[ref.Job] = true
			slow++
		}
	}
	return len(jobs) >= minSlowJobs && 2*slow > len(h.slow)
}

// recordOutcome updates the health of a worker by the end of an attempt.
func (e *Engine) recordOutcome(v *workerView, end *EndedAttempt) {
	switch end.How {
	case workflow.EndDone:
		clear(v.health.failedJobs)
	case workflow.EndFailed:
		if v.health.failedJobs == nil {
			v.health.failedJobs = make(map[workflow.JobID]bool)
		}
		v.health.failedJobs[end.Task.Job] = true
		e.lastFailures[end.Task] = taskFailure{v.worker.ID, e.now.Add(avoidDuration)}
		if len(v.health.failedJobs) >= quarantineFailures {
			e.quarantine(v, "failures", &e.counters.QuarantinedFailing)
		}
	}
}

// quarantine keeps new work from a worker and counts it under count.
func (e *Engine) quarantine(v *workerView, reason string, count *uint64) {
	quarantined := 0
	for _, other := range e.sortedViews {
		if e.now < other.quarantinedUntil {
			quarantined++
		}
	}
	if quarantined*100 >= len(e.sortedViews)*maxQuarantinedPercent {
		return
	}
	*count++
	if until := e.now.Add(quarantineDuration); until > v.quarantinedUntil {
		v.quarantinedUntil = until
	}
	e.log.Info().Str("worker", v.worker.Life.Name).Str("reason", reason).Int("failed_jobs", len(v.health.failedJobs)).Int("compared", len(v.health.slow)).Uint64("term", e.term).Msg("worker quarantined")
}

// assessHealth quarantines a worker whose attempts progress slowly, and relocates
// those that would end sooner elsewhere.
func (e *Engine) assessHealth(v *workerView) {
	for _, a := range v.attemptList {
		if a.running && a.gaugeReadAt == e.now {
			e.updatePace(v, a)
		}
	}
	if v.health.isSlow() {
		e.quarantine(v, "slow", &e.counters.QuarantinedSlow)
		clear(v.health.slow)
	}
	if e.since(v.health.comparedSince) > quarantineDuration {
		clear(v.health.slow)
		v.health.comparedSince = e.now
	}
	for _, a := range v.attemptList {
		e.relocateSlow(v, a)
	}
}

// relocateSlow stops an attempt that is hung or far behind its siblings, if its remaining
// time here is at least one and a half times its expected time on another worker.
func (e *Engine) relocateSlow(v *workerView, a *attempt) {
	step, job := e.step(a.ref), e.state.Job(a.ref.Job)
	if isCopyable(step) && (!a.pace.hung || len(e.otherAttempts(a.ref, a.number)) > 0) {
		return // It is copied rather than stopped.
	}
	if step == nil || step.Gang || !a.pace.behind && !a.pace.hung || a.stopWanted || !a.running || a.number > maxRestarts {
		return
	}
	left := float64(fullShare - a.percent)
	timeHere := time.Duration(left / a.pace.rate * float64(time.Second))
	timeElsewhere, known := e.freshRun(a.ref, v.worker.ID, job)
	if !known {
		timeElsewhere = estimateOf(step)
	}
	if step.Resumable {
		timeElsewhere = time.Duration(float64(timeElsewhere) * left / fullShare)
	}
	timeElsewhere += restartCost
	if timeHere < timeElsewhere+timeElsewhere/2 || !e.fitsElsewhere(v, job, step) {
		return
	}
	a.stopWanted = true
	e.lastFailures[a.ref] = taskFailure{v.worker.ID, e.now.Add(avoidDuration)}
	e.counters.Relocated++
	e.log.Info().Stringer("task", a.ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Float64("percent_per_s", a.pace.rate).Bool("hung", a.pace.hung).Int("percent", a.percent).Dur("left_here", timeHere).Dur("elsewhere", timeElsewhere).Int64("estimate_ms", step.EstimatedMs).Uint64("term", e.term).Msg("task relocated")
}
