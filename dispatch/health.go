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
	// minPaceWindow is the shortest time over which pace is measured: several
	// times the resolution of the reported percentages for a task of one second.
	minPaceWindow = 400 * time.Millisecond
	// hungPace is the pace, as a fraction of the estimate, below which a
	// scavenger counts as hung, measured over hungPaceWindow: one that is only
	// short of processors is faster.
	hungPace       = 0.1
	hungPaceWindow = 1500 * time.Millisecond
	// slowPace is the pace below which any other attempt counts as slow, as a
	// fraction of the estimate. Estimates are a fifth off, and scavengers get
	// less than they ask for.
	slowPace = 0.4
	// minSlowAttempts is the number of slow measurements from which on their
	// worker counts as slow, if these are the majority.
	minSlowAttempts = 2
	// restartCost is the time that it takes to stop an attempt, record its end
	// and start the task elsewhere.
	restartCost = 1200 * time.Millisecond
	// maxRestarts bounds the attempts of a task that are stopped for slowness.
	maxRestarts = 3
)

// taskFailure is the worker on which a task failed last, and until when the task
// avoids it.
type taskFailure struct {
	worker workflow.WorkerID
	until  Instant
}

// health is what the ends and the progress of attempts tell about a worker.
type health struct {
	failedJobs map[workflow.JobID]bool
	// slowCount and normalCount count the pace measurements since countedSince.
	slowCount, normalCount int
	countedSince           Instant
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
			e.quarantine(v, "failures")
		}
	}
}

func (e *Engine) quarantine(v *workerView, reason string) {
	quarantined := 0
	for _, other := range e.sortedViews {
		if e.now < other.quarantinedUntil {
			quarantined++
		}
	}
	if quarantined*100 >= len(e.sortedViews)*maxQuarantinedPercent {
		return
	}
	if until := e.now.Add(quarantineDuration); until > v.quarantinedUntil {
		v.quarantinedUntil = until
	}
	e.log.Info().Str("worker", v.worker.Life.Name).Str("reason", reason).Int("failed_jobs", len(v.health.failedJobs)).Int("slow", v.health.slowCount).Int("sound", v.health.normalCount).Uint64("term", e.term).Msg("worker quarantined")
}

// pace is the progress of an attempt relative to its estimate.
type pace struct {
	percent int
	at      Instant
	// rate is the latest measured pace; 1 is as estimated.
	rate  float64
	known bool
}

// updatePace measures the pace of an attempt from its reported progress.
func (e *Engine) updatePace(v *workerView, a *attempt) {
	step := e.step(a.ref)
	if step == nil || step.Lasting || step.EstimatedMs <= 0 || a.appliedShare != fullShare || a.wantedShare != fullShare {
		a.pace = pace{percent: a.percent, at: e.now}
		return
	}
	if a.pace.at == 0 {
		a.pace = pace{percent: a.percent, at: e.now}
		return
	}
	elapsed, minWindow := e.since(a.pace.at), minPaceWindow
	if step.Scavenger {
		minWindow = hungPaceWindow
	}
	if elapsed < minWindow {
		return
	}
	done := float64(a.percent-a.pace.percent) / fullShare * float64(step.EstimatedMs)
	a.pace = pace{percent: a.percent, at: e.now, rate: done / float64(elapsed.Milliseconds()), known: true}
	if step.Scavenger {
		return // It may be short of processors, which says nothing about the worker.
	}
	if a.pace.rate < slowPace {
		v.health.slowCount++
	} else {
		v.health.normalCount++
	}
}

// assessHealth quarantines a worker whose attempts progress slowly, and relocates
// those that would end sooner elsewhere.
func (e *Engine) assessHealth(v *workerView) {
	for _, a := range v.attemptList {
		if a.running && a.gaugeReadAt == e.now {
			e.updatePace(v, a)
		}
	}
	if v.health.slowCount >= minSlowAttempts && v.health.slowCount > v.health.normalCount {
		e.quarantine(v, "slow")
	}
	if v.health.slowCount+v.health.normalCount >= 2*minSlowAttempts || e.since(v.health.countedSince) > quarantineDuration {
		v.health.slowCount, v.health.normalCount, v.health.countedSince = 0, 0, e.now
	}
	for _, a := range v.attemptList {
		e.relocateSlow(v, a)
	}
}

// minPace returns the pace below which an attempt may be relocated.
func minPace(step *workflow.Step) float64 {
	if step.Scavenger {
		return hungPace
	}
	return slowPace
}

// relocateSlow stops a slow attempt whose remaining time here is at least one
// and a half times its expected time on another worker.
func (e *Engine) relocateSlow(v *workerView, a *attempt) {
	step, job := e.step(a.ref), e.state.Job(a.ref.Job)
	if step == nil || step.Gang || !a.pace.known || a.pace.rate >= minPace(step) || a.stopWanted || !a.running || a.number > maxRestarts {
		return
	}
	estimate := time.Duration(step.EstimatedMs) * time.Millisecond
	remainingTime := time.Duration(float64(estimate) * float64(fullShare-a.percent) / fullShare)
	timeHere := time.Duration(float64(remainingTime) / max(a.pace.rate, 0.05))
	timeElsewhere := estimate + restartCost
	if step.Resumable {
		timeElsewhere = remainingTime + restartCost
	}
	if timeHere < timeElsewhere+timeElsewhere/2 || !e.fitsElsewhere(v, job, step) {
		return
	}
	a.stopWanted = true
	e.counters.Relocated++
	e.log.Info().Stringer("task", a.ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Float64("pace", a.pace.rate).Int("percent", a.percent).Int64("estimate_ms", step.EstimatedMs).Uint64("term", e.term).Msg("task relocated")
}
