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
	// servingLoad is the part of its request that a serving task is assumed to use
	// before there are readings.
	servingLoad = 0.45
	// idleLatency is the part of the least tail latency seen of an image that it
	// has without load; the least was at some load, too.
	idleLatency = 0.8
	// leastLoad and mostLoad bound the estimate.
	leastLoad, mostLoad = 0.15, 0.9
	// scavengerShare is the share of its request that must be unused before a
	// scavenger is started, in percent.
	scavengerShare = 25
	// admitLimit and throttleLimit are the shares of its target that a serving
	// task's predicted tail latency may reach before no scavenger is added beside
	// it, and before those beside it are throttled.
	admitLimit    = 0.85
	throttleLimit = 0.95
	// ownTime is the time over which readings are averaged for what the tail
	// latency of a job's tasks is believed to be without neighbours: readings come
	// each second, load swings within ten.
	ownTime = time.Second
	// learningTime is how long a new leader moves nothing for the sake of serving
	// tasks: it has yet to learn what disturbs them.
	learningTime = 4 * time.Second
	// headroomWeight makes a factor e of headroom worth so many idle processors,
	// in thousandths.
	headroomWeight = 16000
	// slowShare is the share in percent below which a scavenger is moved to another
	// worker once it was there for relocateAfter, unless nearlyDone percent of it
	// are done: a stop and a restore take about a second.
	slowShare     = 50
	relocateAfter = 500 * time.Millisecond
	nearlyDone    = 85
	// caution is the number of standard deviations added to what is believed of a
	// pair of images.
	caution = 1.0
)

// shareSteps are the shares in percent to which scavengers are throttled.
var shareSteps = [...]int{100, 50, 25, 0}

// readingParams describe the workers' gauges: rough, over half a second, less what
// is believed of the load of the job, with effects that shift within seconds.
func readingParams() interference.Params {
	return interference.Params{NoiseVariance: 0.06, BaselineDrift: 0.01, ExcessDrift: 0.02}
}

// slowdown is what is known of the effect of scavengers on serving tasks, by the
// images of both.
type slowdown struct {
	model   *interference.Model
	victims map[string]interference.VictimID
	// own holds, for each job whose tasks serve, their logarithmic tail latency
	// without neighbours: the tasks of a job share its load.
	own map[workflow.JobID]*ownLatency
	// least is the least own latency of each image, as a logarithm.
	least map[string]float64
}

// load estimates the part of its request that a serving task uses: the tail
// latency of a queue grows with 1/(1-load).
func (s *slowdown) load(job workflow.JobID, image string) float64 {
	own, least := s.own[job], s.least[image]
	if own == nil || least == 0 {
		return servingLoad
	}
	return min(max(1-idleLatency*math.Exp(least-own.value()), leastLoad), mostLoad)
}

// ownLatency is a weighted mean that forgets with ownTime.
type ownLatency struct {
	sum, weight float64
	at          Instant
}

func (o *ownLatency) value() float64 { return o.sum / o.weight }

func (o *ownLatency) add(reading, weight float64, at Instant) {
	decay := math.Exp(-float64(at.Sub(o.at)) / float64(ownTime))
	o.sum, o.weight, o.at = o.sum*decay+reading*weight, o.weight*decay+weight, at
}

func newSlowdown() slowdown {
	return slowdown{model: interference.NewModelWith(readingParams()), victims: make(map[string]interference.VictimID), own: make(map[workflow.JobID]*ownLatency), least: make(map[string]float64)}
}

func (s *slowdown) victim(image string) interference.VictimID {
	id, ok := s.victims[image]
	if !ok {
		id = s.model.Acquire(image)
		s.victims[image] = id
	}
	return id
}

// excess is a careful estimate of the logarithm of the slowdown that a scavenger
// of the class causes when it uses the share of the worker's processors.
func (s *slowdown) excess(id interference.VictimID, c interference.Class, share float64) float64 {
	mean, variance := s.model.Excess(id, c, 0, share)
	return mean + caution*math.Sqrt(variance)
}

// victim is a serving task as one decision sees it.
type victim struct {
	id interference.VictimID
	// predicted and target are logarithms of latencies in milliseconds.
	predicted, target float64
}

// scavenger is a task that may be throttled for serving tasks.
type scavenger struct {
	ref     workflow.TaskRef
	job     *workflow.Job
	step    *workflow.Step
	attempt *attempt
	class   interference.Class
	// share is the part of the worker's processors that it asks for.
	share float64
}

// neighbours returns the serving tasks of a worker with their own tail latencies,
// and the scavengers, those with most progress first.
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
		case step.Lasting && step.LatencyTargetMs > 0 && e.slowdown.own[ref.Job] != nil:
			own := e.slowdown.own[ref.Job].value() + a.deviation
			victims = append(victims, victim{e.slowdown.victim(step.Image), own, math.Log(float64(step.LatencyTargetMs))})
		case step.Scavenger:
			scavengers = append(scavengers, scavenger{ref, job, step, a, e.slowdown.model.Class(step.Image), shareOf(v, step)})
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

// headroom returns the logarithm of the factor by which the tail latency of the
// worst serving task may still grow once a task of the step runs beside it.
func (c *candidate) headroom(e *Engine, step *workflow.Step) float64 {
	if c.victims == nil {
		victims, scavengers := e.neighbours(c.view)
		for _, s := range scavengers {
			for i := range victims {
				victims[i].predicted += e.slowdown.excess(victims[i].id, s.class, s.share*float64(max(s.attempt.wantShare, 0))/fullShare)
			}
		}
		c.victims = append([]victim{}, victims...)
	}
	class, share := e.slowdown.model.Class(step.Image), shareOf(c.view, step)
	least := math.Inf(1)
	for _, victim := range c.victims {
		least = min(least, victim.target+math.Log(admitLimit)-victim.predicted-e.slowdown.excess(victim.id, class, share))
	}
	return least
}

// relieve learns from the readings of a worker and sets the shares of its
// scavengers, so that no serving task is predicted beyond its limit.
func (e *Engine) relieve(v *view) {
	e.observe(v)
	victims, scavengers := e.neighbours(v)
	for _, s := range scavengers {
		s.attempt.wantShare = e.grant(victims, s)
		e.relocate(v, s)
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
	if e.since(e.began) < learningTime || e.since(a.slowSince) < relocateAfter || a.percent >= nearlyDone || !a.running || a.stopWanted || s.step.Gang || !s.step.SavesProgress || !e.elsewhere(v, s.job, s.step) {
		return
	}
	a.stopWanted = true
	e.counters.Relocated++
	e.log.Info().Stringer("task", s.ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Int("share", a.wantShare).Int("percent", a.percent).Dur("slow", e.since(a.slowSince)).Uint64("term", e.fence).Msg("task relocated")
}

// elsewhere reports whether another worker would take a task of the step now.
func (e *Engine) elsewhere(v *view, job *workflow.Job, step *workflow.Step) bool {
	for _, other := range e.list {
		if other == v || other.worker.Service != job.Service || !e.answers(other) || e.now < other.suspectTo {
			continue
		}
		c := e.candidateOf(other)
		if step.Reserved().Fits(c.free) && (step.Label == "" || other.worker.HasLabel(step.Label)) && c.idle >= scavengerRoom(step) && c.headroom(e, step) >= 0 {
			return true
		}
	}
	return false
}

// grant returns the largest share at which a scavenger keeps all serving tasks
// below their limits, and adds its effect to them.
func (e *Engine) grant(victims []victim, s scavenger) int {
	for _, percent := range shareSteps {
		fits := true
		for _, v := range victims {
			excess := e.slowdown.excess(v.id, s.class, s.share*float64(percent)/fullShare)
			if percent > 0 && v.predicted+excess > v.target+math.Log(throttleLimit) {
				fits = false
				break
			}
		}
		if !fits {
			continue
		}
		for i := range victims {
			victims[i].predicted += e.slowdown.excess(victims[i].id, s.class, s.share*float64(percent)/fullShare)
		}
		return percent
	}
	return 0
}

// observe feeds the readings that came with the latest answer to the model.
func (e *Engine) observe(v *view) {
	var shares interference.Shares
	capacity := float64(max(v.worker.Capacity.MilliProcessors, 1))
	for _, a := range v.list {
		ref := a.ref
		if step := e.step(ref); step != nil && step.Scavenger && a.gaugeAt == e.now {
			shares[e.slowdown.model.Class(step.Image)] += float64(a.gauge) / capacity
		}
	}
	taken := time.Unix(0, int64(e.now))
	for _, a := range v.list {
		ref := a.ref
		step := e.step(ref)
		if step == nil || !step.Lasting || step.LatencyTargetMs <= 0 || a.gaugeAt != e.now || a.gauge <= 0 || a.percent < fullShare {
			continue
		}
		e.slowdown.observe(taken, e.now, ref.Job, step.Image, e.slowdown.victim(step.Image), &shares, math.Log(float64(a.gauge)), a)
	}
}

const (
	// deviationWeight is the weight of the newest reading in the deviation of a
	// task from its job.
	deviationWeight = 0.3
	// cleanScale is the slowdown by neighbours at which a reading counts half for
	// the job's own latency.
	cleanScale = 0.1
)

// observe takes in one reading of a serving task.
func (s *slowdown) observe(taken time.Time, now Instant, job workflow.JobID, image string, id interference.VictimID, shares *interference.Shares, reading float64, a *attempt) {
	excess := 0.0
	for c, share := range shares {
		if share > 0 {
			mean, _ := s.model.Excess(id, interference.Class(c), 0, share)
			excess += mean
		}
	}
	own := s.own[job]
	if own == nil {
		own = &ownLatency{at: now}
		s.own[job] = own
	} else {
		s.model.Observe(taken, id, 0, shares, reading-own.value())
	}
	own.add(reading-excess, 1/(1+excess/cleanScale), now)
	if least, known := s.least[image]; own.weight > 1 && (!known || own.value() < least) {
		s.least[image] = own.value()
	}
	a.deviation += deviationWeight * (reading - excess - own.value() - a.deviation)
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
		ref := a.ref
		step := e.step(ref)
		if step == nil {
			continue
		}
		use := step.Resources.MilliProcessors
		switch {
		case step.Lasting:
			use = int64(float64(use) * e.slowdown.load(ref.Job, step.Image))
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
	a := v.attempts[answer.Order.Task]
	if a == nil || a.number != answer.Order.Attempt {
		return
	}
	a.calling = false
	if answer.Outcome == Done {
		a.share = answer.Order.SharePercent
		return
	}
	a.retryAt = e.now.Add(orderRetry)
}
