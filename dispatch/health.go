package dispatch

import (
	"slices"
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
	// from which on their worker counts as slow, and minSlowAttempts that of the attempts, if
	// these are the majority of the last maxCompared. Where 3 runs in 100 are slow by
	// themselves, chance alone makes that 1 in 10,000 by calculation; with two attempts sound
	// workers were found slow in 2 of 40 seeds of a load test.
	minSlowJobs     = 2
	minSlowAttempts = 3
	maxCompared     = 6
	// comparisonRetention is how long a comparison counts: quick tasks take a second.
	comparisonRetention = 5 * time.Second
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
	// compared holds the latest attempts that were compared with others, each once.
	compared []comparison
}

// comparison tells whether an attempt was slow beside others.
type comparison struct {
	ref  workflow.TaskRef
	slow bool
	at   Instant
}

// recordPace records whether an attempt is slow compared with others. A straggler runs for
// long and is read often, and must not outweigh the others by that.
func (h *health) recordPace(a *attempt, slow bool, now Instant) {
	i := slices.IndexFunc(h.compared, func(c comparison) bool { return c.ref == a.ref })
	switch {
	case i >= 0:
		h.compared[i].slow = slow
	case !a.compared:
		a.compared = true
		if len(h.compared) >= maxCompared {
			h.compared = h.compared[1:]
		}
		h.compared = append(h.compared, comparison{a.ref, slow, now})
	}
}

// isSlow reports whether most attempts on the worker were slow, those of several jobs.
func (h *health) isSlow(now Instant) bool {
	h.compared = slices.DeleteFunc(h.compared, func(c comparison) bool { return now.Sub(c.at) > comparisonRetention })
	jobs, slow := make(map[workflow.JobID]bool), 0
	for _, c := range h.compared {
		if c.slow {
			jobs[c.ref.Job] = true
			slow++
		}
	}
	return len(jobs) >= minSlowJobs && slow >= minSlowAttempts && 2*slow > len(h.compared)
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
	e.log.Info().Str("worker", v.worker.Life.Name).Str("reason", reason).Int("failed_jobs", len(v.health.failedJobs)).Int("compared", len(v.health.compared)).Uint64("term", e.term).Msg("worker quarantined")
}

// assessHealth quarantines a worker whose attempts progress slowly, and relocates
// those that would end sooner elsewhere.
func (e *Engine) assessHealth(v *workerView) {
	for _, a := range v.attemptList {
		if a.running && a.gaugeReadAt == e.now {
			e.updatePace(v, a)
		}
	}
	if v.health.isSlow(e.now) {
		e.quarantine(v, "slow", &e.counters.QuarantinedSlow)
		v.health.compared = nil
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
