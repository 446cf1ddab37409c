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
	// scavengerShare is the share of its request that must be unused before a
	// scavenger is started, in percent.
	scavengerShare = 25
	// admitLimit is the share of its target that a serving task's predicted tail
	// latency may reach before no scavenger is added beside it.
	admitLimit = 0.85
	// learningTime is how long a new leader moves nothing for the sake of serving
	// tasks: it has yet to learn what disturbs them.
	learningTime = 4 * time.Second
	// headroomWeight makes headroom of the size of a latency target worth so many
	// idle processors, in thousandths, up to maxHeadroom.
	headroomWeight = 8000
	maxHeadroom    = 2.0
	// advantageWeight does so for an advantage of that size.
	advantageWeight = 6000
	// slowShare is the share in percent below which a scavenger is moved to another
	// worker once it was there for relocateAfter, unless nearlyDone percent of it
	// are done: a stop and a restore take about a second.
	slowShare     = 50
	relocateAfter = 500 * time.Millisecond
	nearlyDone    = 85
)

// victim is a serving task as one decision sees it.
type victim struct {
	image interference.Image
	// slack is the predicted quotient of its target and its tail latency.
	slack float64
}

// scavenger is a task that may be throttled for serving tasks.
type scavenger struct {
	ref     workflow.TaskRef
	job     *workflow.Job
	step    *workflow.Step
	attempt *attempt
	image   interference.Image
	// share is the part of the worker's processors that it asks for.
	share float64
}

// neighbours returns the serving tasks of a worker with the slack that they have
// without scavengers, and the scavengers, those with most progress first.
func (e *Engine) neighbours(v *view) ([]victim, []scavenger) {
	var victims []victim
	var scavengers []scavenger
	for _, a := range v.list {
		ref := a.ref
		job := e.state.Job(ref.Job)
		if job == nil {
			continue
		}
		step := &job.Spec.Steps[ref.Step]
		switch {
		case step.Lasting && step.LatencyTargetMs > 0:
			image := e.slowdown.pairs.Image(step.Image)
			victims = append(victims, victim{image, e.slowdown.ownSlack(ref.Job, image, e.now) + a.deviation})
		case step.Scavenger:
			scavengers = append(scavengers, scavenger{ref, job, step, a, e.slowdown.pairs.Image(step.Image), shareOf(v, step)})
		}
	}
	slices.SortFunc(scavengers, func(a, b scavenger) int {
		return cmp.Or(cmp.Compare(b.attempt.percent, a.attempt.percent), cmp.Compare(a.attempt.placedAt, b.attempt.placedAt), cmp.Compare(a.share, b.share))
	})
	return victims, scavengers
}

// shareOf returns the part of the worker's processors that a task of the step asks for.
func shareOf(v *view, step *workflow.Step) float64 { return v.part(step.Resources.MilliProcessors) }

// part returns what an amount, in thousandths, is of the worker's processors.
func (v *view) part(milliProcessors int64) float64 {
	return float64(milliProcessors) / float64(max(v.worker.Capacity.MilliProcessors, 1))
}

// headroom returns how much slack beyond its limit the serving task with the
// least of it keeps once a task of the step runs beside it.
func (c *candidate) headroom(e *Engine, step *workflow.Step, image interference.Image) float64 {
	share, least := shareOf(c.view, step), math.Inf(1)
	for _, victim := range e.standingOf(c.view).victims {
		least = min(least, victim.slack-e.slowdown.taken(victim.image, image, share)-1/admitLimit)
	}
	return least
}

// advantage is by how much better the worker suits the step than scavengers in
// general, in slack of the serving task that it suits least. It keeps workers on
// which many scavengers do little harm for those that harm elsewhere.
func (c *candidate) advantage(e *Engine, image interference.Image) float64 {
	least := math.Inf(1)
	for _, victim := range e.standingOf(c.view).victims {
		mean, _ := e.slowdown.pairs.Loss(victim.image, image)
		least = min(least, e.slowdown.pairs.MeanLoss(victim.image)-mean)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// disturb takes off the serving tasks what a scavenger costs them at a share of
// its speed in percent.
func (e *Engine) disturb(victims []victim, s scavenger, percent int) {
	for i := range victims {
		victims[i].slack -= e.slowdown.taken(victims[i].image, s.image, s.share*float64(percent)/fullShare)
	}
}

// relocate stops a scavenger that has been throttled for some time and saves its
// progress, where another worker would take it: its whole job waits for it.
func (e *Engine) relocate(v *view, s scavenger) {
	a := s.attempt
	if a.wantShare >= slowShare {
		a.slowSince = 0
		return
	}
	if a.slowSince == 0 {
		a.slowSince = e.now
	}
	if e.since(e.began) < learningTime || e.since(a.slowSince) < relocateAfter || a.percent >= nearlyDone || !a.running || a.stopWanted || s.step.Gang || !s.step.Resumable || !e.elsewhere(v, s.job, s.step) {
		return
	}
	a.stopWanted = true
	e.counters.Relocated++
	e.log.Info().Stringer("task", s.ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Int("share", a.wantShare).Int("percent", a.percent).Dur("slow", e.since(a.slowSince)).Uint64("term", e.fence).Msg("task relocated")
}

// elsewhere reports whether another worker would take a task of the step now.
func (e *Engine) elsewhere(v *view, job *workflow.Job, step *workflow.Step) bool {
	for _, other := range e.list {
		if other == v || other.worker.Service != job.Service || !e.answers(other) || e.preparingWorker(other) || e.now < other.suspectTo {
			continue
		}
		c := e.candidateOf(other)
		if step.Reserved().Fits(c.free) && other.worker.HasRequiredLabel(step) && c.idle >= scavengerRoom(step) && c.headroom(e, step, e.slowdown.pairs.Image(step.Image)) >= 0 {
			return true
		}
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

// idleProcessors estimates the processors that nothing uses, in thousandths.
func (e *Engine) idleProcessors(v *view) int64 {
	idle := v.worker.Capacity.MilliProcessors
	for _, a := range v.list {
		step := e.step(a.ref)
		if step == nil {
			continue
		}
		use := step.Resources.MilliProcessors
		switch {
		case step.Lasting:
			use = int64(float64(use) * e.slowdown.load(a.ref.Job, e.slowdown.pairs.Image(step.Image), e.now))
		case step.Scavenger:
			use = use * int64(max(a.wantShare, 0)) / fullShare
		}
		idle -= use
	}
	return idle
}

// scavengerRoom is what must be unused for a task of the step, in thousandths of
// a processor.
func scavengerRoom(step *workflow.Step) int64 {
	return step.Resources.MilliProcessors * scavengerShare / 100
}
