package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/workflow"
)

const (
	// minIdlePercent is the part of its requested processors that must be idle
	// before a scavenger is started, in percent.
	minIdlePercent = 25
	// admissionLimit is the predicted tail latency of a serving task, as a
	// fraction of its target, above which no scavenger is added beside it.
	admissionLimit = 0.85
	// relocationWarmUp is how long a new leader relocates no throttled
	// scavengers: it has yet to learn what disturbs serving tasks.
	relocationWarmUp = 4 * time.Second
	// headroomWeight is the score of one unit of headroom, in thousandths of an
	// idle processor. Headroom counts up to maxHeadroom. It is a difference of
	// slacks, so it has no unit.
	headroomWeight = 8000
	maxHeadroom    = 2.0
	// advantageWeight is the score of one unit of advantage, which is also a
	// difference of slacks, in thousandths of an idle processor.
	advantageWeight = 6000
	// relocateBelowPercent is the share of full speed below which a scavenger
	// is relocated after relocateAfter, unless nearlyDonePercent of it are
	// done: a stop and a restore take about a second.
	relocateBelowPercent = 50
	relocateAfter        = 500 * time.Millisecond
	nearlyDonePercent    = 85
)

// victim is a serving task in one decision, with the slack that it has left.
type victim struct {
	image interference.Image
	// slack is its latency target divided by its predicted tail latency.
	slack float64
}

// scavenger is a task that may be throttled in favour of serving tasks.
type scavenger struct {
	ref     workflow.TaskRef
	job     *workflow.Job
	step    *workflow.Step
	attempt *attempt
	image   interference.Image
	// share is the part of the worker's processors that it requests.
	share float64
}

// servingAndScavengers returns the serving tasks of a worker with their slack
// without scavengers, and its scavengers, those with the most progress first.
func (e *Engine) servingAndScavengers(v *workerView) ([]victim, []scavenger) {
	var victims []victim
	var scavengers []scavenger
	for _, a := range v.attemptList {
		ref := a.ref
		job := e.state.Job(ref.Job)
		if job == nil {
			continue
		}
		step := &job.Spec.Steps[ref.Step]
		switch {
		case step.Lasting && step.LatencyTargetMs > 0:
			image := e.slowdown.pairs.Image(step.Image)
			victims = append(victims, victim{image, e.slowdown.ownSlack(ref.Job, image, e.now) + a.slackDeviation})
		case step.Scavenger:
			scavengers = append(scavengers, scavenger{ref, job, step, a, e.slowdown.pairs.Image(step.Image), stepShare(v, step)})
		}
	}
	slices.SortFunc(scavengers, func(a, b scavenger) int {
		return cmp.Or(cmp.Compare(b.attempt.percent, a.attempt.percent), cmp.Compare(a.attempt.placedAt, b.attempt.placedAt), cmp.Compare(a.share, b.share))
	})
	return victims, scavengers
}

// stepShare returns the part of the worker's processors that a task of the
// step requests.
func stepShare(v *workerView, s *workflow.Step) float64 { return v.share(s.Resources.MilliProcessors) }

// share returns an amount in thousandths of a processor as a part of the
// worker's processors.
func (v *workerView) share(milliProcessors int64) float64 {
	return float64(milliProcessors) / float64(max(v.worker.Capacity.MilliProcessors, 1))
}

// headroom returns by how much the slack of the serving task with the least
// slack, with a task of the step beside it, exceeds the slack that
// admissionLimit requires. It is negative if the limit would be violated.
func (c *candidate) headroom(e *Engine, step *workflow.Step, image interference.Image) float64 {
	share, least := stepShare(c.view, step), math.Inf(1)
	for _, victim := range e.placementStateOf(c.view).victims {
		least = min(least, victim.slack-e.slowdown.slackLoss(victim.image, image, share)-1/admissionLimit)
	}
	return least
}

// advantage returns by how much less slack a task of the image costs than
// scavengers on average, for the serving task for which the difference is
// smallest. It keeps workers on which many scavengers do little harm for those
// that do harm elsewhere.
func (c *candidate) advantage(e *Engine, p *candidateSet, image interference.Image) float64 {
	least := math.Inf(1)
	for _, victim := range e.placementStateOf(c.view).victims {
		mean, _ := e.slowdown.pairs.Loss(victim.image, image)
		least = min(least, p.meanLoss(e, victim.image)-mean)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// subtractLoss subtracts from the slack of the serving tasks what a scavenger
// costs them at a share of its full speed in percent.
func (e *Engine) subtractLoss(victims []victim, s scavenger, percent int) {
	for i := range victims {
		victims[i].slack -= e.slowdown.slackLoss(victims[i].image, s.image, s.share*float64(percent)/fullShare)
	}
}

// relocate stops a scavenger that has been throttled for some time, if another
// worker would take it: its whole job waits for it. Its progress is saved.
func (e *Engine) relocate(v *workerView, s scavenger) {
	a := s.attempt
	if a.wantedShare >= relocateBelowPercent {
		a.throttledSince = 0
		return
	}
	if a.throttledSince == 0 {
		a.throttledSince = e.now
	}
	if e.since(e.tookOverAt) < relocationWarmUp || e.since(a.throttledSince) < relocateAfter || a.percent >= nearlyDonePercent || !a.running || a.stopWanted || s.step.Gang || !s.step.Resumable || !e.fitsElsewhere(v, s.job, s.step) {
		return
	}
	a.stopWanted = true
	e.counters.Relocated++
	e.log.Info().Stringer("task", s.ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Int("share", a.wantedShare).Int("percent", a.percent).Dur("slow", e.since(a.throttledSince)).Uint64("term", e.term).Msg("task relocated")
}

// fitsElsewhere reports whether another worker would take a task of the step now.
func (e *Engine) fitsElsewhere(v *workerView, job *workflow.Job, step *workflow.Step) bool {
	shape := requestShapeOf(job, step)
	if _, known := e.failedSearchFor(&shape, searchInterval); known && step.Scavenger {
		return false
	}
	for _, other := range e.sortedViews {
		if other == v || other.worker.Service != job.Service || !e.schedulable(other) || e.closedForMaintenance(other) || e.now < other.quarantinedUntil || e.placementStateOf(other).paused {
			continue
		}
		c := e.candidateOf(other)
		if step.Reserved().Fits(c.free) && other.worker.HasRequiredLabel(step) && c.idleMilliProcessors >= minIdleFor(step) && c.headroom(e, step, e.slowdown.pairs.Image(step.Image)) >= 0 {
			return true
		}
	}
	if step.Scavenger {
		e.recordFailedSearch(failedSearch{shape: shape, at: e.now})
	}
	return false
}

func (e *Engine) step(ref workflow.TaskRef) *workflow.Step {
	job := e.state.Job(ref.Job)
	if job == nil {
		return nil
	}
	return &job.Spec.Steps[ref.Step]
}

func (e *Engine) isScavenger(ref workflow.TaskRef) bool {
	step := e.step(ref)
	return step != nil && step.Scavenger
}

// idleProcessors estimates the unused processors of a worker, in thousandths.
func (e *Engine) idleProcessors(v *workerView) int64 {
	idle := v.worker.Capacity.MilliProcessors
	for _, a := range v.attemptList {
		step := e.step(a.ref)
		if step == nil {
			continue
		}
		use := step.Resources.MilliProcessors
		switch {
		case step.Lasting:
			use = int64(float64(use) * e.slowdown.load(a.ref.Job, e.slowdown.pairs.Image(step.Image), e.now))
		case step.Scavenger:
			use = use * int64(max(a.wantedShare, 0)) / fullShare
		}
		idle -= use
	}
	return idle
}

// minIdleFor returns the processors that must be idle to start a task of the
// step, in thousandths.
func minIdleFor(step *workflow.Step) int64 {
	return step.Resources.MilliProcessors * minIdlePercent / 100
}
