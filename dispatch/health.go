package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// quarantineStreak is the number of attempts of different jobs that fail on a
	// worker in a row, without one that is done between, before it is suspected. A
	// twentieth of sound attempts fail by their own fault.
	quarantineStreak = 2
	// quarantineTime is how long a suspected worker gets nothing. After it one more
	// failure is enough.
	quarantineTime = 2500 * time.Millisecond
	// maxSuspectedPercent bounds the part of the workers that may be suspected: when
	// more of them look ill, the cause is the work.
	maxSuspectedPercent = 25
	// avoidTime is how long a task stays away from the worker on which it failed.
	avoidTime = 2 * time.Second
	// paceSample is the shortest time over which progress is measured: several
	// times the grain of the workers' percents on tasks of a second.
	paceSample = 400 * time.Millisecond
	// hungPace is the pace below which a scavenger hangs, measured over hungSample:
	// one that only gets few processors is faster.
	hungPace   = 0.1
	hungSample = 1500 * time.Millisecond
	// slowPace is the part of the estimated pace below which an attempt is slow.
	// Estimates are a fifth off, and scavengers get less than they ask for.
	slowPace = 0.4
	// slowAttempts is the number of slow attempts, of those measured lately, that
	// make their worker slow.
	slowAttempts = 2
	// restartCost is the time that a stop, its record and a start elsewhere take.
	restartCost = 1200 * time.Millisecond
	// maxRestarts bounds the attempts that are given up for slowness.
	maxRestarts = 3
)

// avoided is the worker on which a task failed last.
type avoided struct {
	worker workflow.WorkerID
	until  Instant
}

// health is what the ends and the progress on a worker tell.
type health struct {
	failedJobs map[workflow.JobID]bool
	// slow and sound are the attempts measured since the last verdict.
	slow, sound int
	measuredAt  Instant
}

// noteEnd judges a worker by the end of an attempt.
func (e *Engine) noteEnd(v *view, end *EndedAttempt) {
	switch end.How {
	case workflow.EndDone:
		clear(v.health.failedJobs)
	case workflow.EndFailed:
		if v.health.failedJobs == nil {
			v.health.failedJobs = make(map[workflow.JobID]bool)
		}
		v.health.failedJobs[end.Task.Job] = true
		e.avoid[end.Task] = avoided{v.worker.ID, e.now.Add(avoidTime)}
		if len(v.health.failedJobs) >= quarantineStreak {
			e.quarantine(v, "failures")
		}
	}
}

func (e *Engine) quarantine(v *view, reason string) {
	suspected := 0
	for _, other := range e.list {
		if e.now < other.suspectTo {
			suspected++
		}
	}
	if suspected*100 >= len(e.list)*maxSuspectedPercent {
		return
	}
	if until := e.now.Add(quarantineTime); until > v.suspectTo {
		v.suspectTo = until
	}
	e.log.Info().Str("worker", v.worker.Life.Name).Str("reason", reason).Int("failed_jobs", len(v.health.failedJobs)).Int("slow", v.health.slow).Int("sound", v.health.sound).Uint64("term", e.fence).Msg("worker quarantined")
}

// pace is the progress of an attempt, relative to its estimate.
type pace struct {
	percent int
	at      Instant
	// rate is the latest measured pace, 1 for the estimate.
	rate  float64
	known bool
}

// measure updates the pace of an attempt from its reported percent.
func (e *Engine) measure(v *view, a *attempt) {
	step := e.step(a.ref)
	if step == nil || step.Lasting || step.EstimatedMs <= 0 || a.share != fullShare || a.wantShare != fullShare {
		a.pace = pace{percent: a.percent, at: e.now}
		return
	}
	if a.pace.at == 0 {
		a.pace = pace{percent: a.percent, at: e.now}
		return
	}
	elapsed, sample := e.since(a.pace.at), paceSample
	if step.Scavenger {
		sample = hungSample
	}
	if elapsed < sample {
		return
	}
	done := float64(a.percent-a.pace.percent) / fullShare * float64(step.EstimatedMs)
	a.pace = pace{percent: a.percent, at: e.now, rate: done / float64(elapsed.Milliseconds()), known: true}
	if step.Scavenger {
		return // It may be short of processors, which says nothing of the worker.
	}
	if a.pace.rate < slowPace {
		v.health.slow++
	} else {
		v.health.sound++
	}
}

// judge suspects a worker whose attempts make little progress, and moves those
// that would be done sooner elsewhere.
func (e *Engine) judge(v *view) {
	for _, a := range v.list {
		if a.running && a.gaugeAt == e.now {
			e.measure(v, a)
		}
	}
	if v.health.slow >= slowAttempts && v.health.slow > v.health.sound {
		e.quarantine(v, "slow")
	}
	if v.health.slow+v.health.sound >= 2*slowAttempts || e.since(v.health.measuredAt) > quarantineTime {
		v.health.slow, v.health.sound, v.health.measuredAt = 0, 0, e.now
	}
	for _, a := range v.list {
		e.restartSlow(v, a)
	}
}

// slowestPace is the pace below which an attempt may be moved.
func slowestPace(step *workflow.Step) float64 {
	if step.Scavenger {
		return hungPace
	}
	return slowPace
}

// restartSlow stops an attempt that would be done sooner on another worker.
func (e *Engine) restartSlow(v *view, a *attempt) {
	step, job := e.step(a.ref), e.state.Job(a.ref.Job)
	if step == nil || step.Gang || !a.pace.known || a.pace.rate >= slowestPace(step) || a.stopWanted || !a.running || a.number > maxRestarts {
		return
	}
	estimate := time.Duration(step.EstimatedMs) * time.Millisecond
	left := time.Duration(float64(estimate) * float64(fullShare-a.percent) / fullShare)
	here := time.Duration(float64(left) / max(a.pace.rate, 0.05))
	there := estimate + restartCost
	if step.Resumable {
		there = left + restartCost
	}
	if here < there+there/2 || !e.elsewhere(v, job, step) {
		return
	}
	a.stopWanted = true
	e.counters.Relocated++
	e.log.Info().Stringer("task", a.ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Float64("pace", a.pace.rate).Int("percent", a.percent).Int64("estimate_ms", step.EstimatedMs).Uint64("term", e.fence).Msg("task relocated")
}
