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
	// admitLimit and throttleLimit are the shares of its target that a serving
	// task's predicted tail latency may reach before no scavenger is added beside
	// it, and before those beside it are throttled.
	admitLimit    = 0.85
	throttleLimit = 0.95
	// raiseLimit is lower, so that a share does not change with each reading.
	raiseLimit = 0.9
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
	// sharesInterval is how often shares follow what the readings on other workers
	// tell of a job's load; a worker's own readings come each second.
	sharesInterval = 400 * time.Millisecond
	// standingAge is how long what placements see of a worker holds: the load of its
	// jobs changes by a few percent in that time.
	standingAge = 200 * time.Millisecond
)

// shareSteps are the shares in percent to which scavengers are throttled.
var shareSteps = [...]int{100, 50, 25, 0}

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
func (e *Engine) neighbours(v *view, ahead time.Duration) ([]victim, []scavenger) {
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
			victims = append(victims, victim{image, e.slowdown.ownSlack(ref.Job, image, e.now, ahead) + a.deviation})
		case step.Scavenger:
			scavengers = append(scavengers, scavenger{ref, job, step, a, e.slowdown.pairs.Image(step.Image), shareOf(v, step)})
		}
	}
	slices.SortFunc(scavengers, func(a, b scavenger) int {
		return cmp.Or(cmp.Compare(b.attempt.percent, a.attempt.percent), cmp.Compare(a.attempt.placedAt, b.attempt.placedAt), cmp.Compare(a.share, b.share))
	})
	return victims, scavengers
}

func shareOf(v *view, step *workflow.Step) float64 {
	return float64(step.Resources.MilliProcessors) / float64(max(v.worker.Capacity.MilliProcessors, 1))
}

// headroom returns how much slack beyond its limit the serving task with the
// least of it keeps once a task of the step runs beside it.
func (c *candidate) headroom(e *Engine, step *workflow.Step, image interference.Image) float64 {
	if c.victims == nil {
		c.victims = append([]victim{}, e.standingOf(c.view).victims...)
	}
	share, least := shareOf(c.view, step), math.Inf(1)
	for _, victim := range c.victims {
		least = min(least, victim.slack-e.slowdown.taken(victim.image, image, share)-1/admitLimit)
	}
	return least
}

// advantage is by how much better the worker suits the step than scavengers in
// general, in slack of the serving task that it suits least. It keeps workers on
// which many scavengers do little harm for those that harm elsewhere.
func (c *candidate) advantage(e *Engine, image interference.Image) float64 {
	least := math.Inf(1)
	for _, victim := range c.victims {
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

// relieve learns from the readings of a worker and sets the shares of its
// scavengers, so that no serving task is predicted beyond its limit.
func (e *Engine) relieve(v *view) {
	e.observe(v)
	e.setShares(v)
}

// setShares sets the shares of a worker's scavengers by what is foreseen now.
func (e *Engine) setShares(v *view) {
	v.sharesAt = e.now
	victims, scavengers := e.neighbours(v, throttleHorizon)
	for _, s := range scavengers {
		e.setShare(v, s.attempt, e.grant(victims, s))
		e.relocate(v, s)
	}
}

func (e *Engine) setShare(v *view, a *attempt, share int) {
	if share != a.wantShare {
		a.wantShare, v.standing = share, nil
	}
}

// standing is what placements see of a worker.
type standing struct {
	at      Instant
	idle    int64
	victims []victim
}

// standingOf returns what placements see of a worker now. It is computed again
// when the worker's attempts have changed or their load may have.
func (e *Engine) standingOf(v *view) *standing {
	if v.standing != nil && e.since(v.standing.at) < standingAge {
		return v.standing
	}
	victims, scavengers := e.neighbours(v, placeHorizon)
	for _, s := range scavengers {
		e.disturb(victims, s, max(s.attempt.wantShare, 0))
	}
	v.standing = &standing{at: e.now, idle: e.idleProcessors(v), victims: victims}
	return v.standing
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
		if step.Reserved().Fits(c.free) && (step.Label == "" || other.worker.HasLabel(step.Label)) && c.idle >= scavengerRoom(step) && c.headroom(e, step, e.slowdown.pairs.Image(step.Image)) >= 0 {
			return true
		}
	}
	return false
}

// grant returns the largest share at which a scavenger leaves all serving tasks
// within their limits, and takes what it costs off them.
func (e *Engine) grant(victims []victim, s scavenger) int {
	for _, percent := range shareSteps {
		limit := throttleLimit
		if percent > s.attempt.wantShare {
			limit = raiseLimit
		}
		if percent > 0 && !e.tolerated(victims, s, percent, limit) {
			continue
		}
		e.disturb(victims, s, percent)
		return percent
	}
	return 0
}

func (e *Engine) tolerated(victims []victim, s scavenger, percent int, limit float64) bool {
	for _, v := range victims {
		if v.slack-e.slowdown.taken(v.image, s.image, s.share*float64(percent)/fullShare) < 1/limit {
			return false
		}
	}
	return true
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

func (e *Engine) throttleAnswered(v *view, answer *Answer) {
	a := v.ordered(answer)
	if a == nil {
		return
	}
	if answer.Outcome == Done {
		a.share = answer.Order.SharePercent
		return
	}
	a.retryAt = e.now.Add(orderRetry)
}
