package dispatch

import (
	"slices"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/workflow"
)

const (
	// servingLoad is the part of its request that a serving task is assumed to use
	// before there are readings.
	servingLoad = 0.45
	// idleSlack is how much larger than the most slack seen of an image the slack
	// without load is; the most was at some load, too.
	idleSlack = 1.25
	// leastLoad and mostLoad bound the estimate.
	leastLoad, mostLoad = 0.15, 0.9
	// readingAge is the mean age of what a gauge measures when its answer leaves
	// the worker: gauges cover half a second.
	readingAge = 250 * time.Millisecond
	// horizon is how far ahead a decision looks: the time that a throttle takes to
	// act. Longer ones kept more scavengers away than they protected.
	horizon = 300 * time.Millisecond
	// gaugeWindow is the time that a gauge covers.
	gaugeWindow = 500 * time.Millisecond
	// warmUp is the time after its start in which a task's gauge tells little.
	warmUp = time.Second
	// minTrendWeight is the weight of the readings of a job from which on they tell
	// the range of its image, and cleanLoss the loss up to which one does.
	minTrendWeight = 1.5
	cleanLoss      = 0.3
	// minRangeReadings is the number of readings from which on a range bounds a
	// prediction: some seconds of several jobs in different parts of their swings.
	minRangeReadings = 100
	// unknownSlack is assumed of a serving task of which there is no reading: little, so that new
	// neighbours are few until there is one.
	unknownSlack = 1.8
	// caution is the number of standard deviations added to what is believed of a
	// pair of images.
	caution = 0.3
	// deviationWeight is the weight of the newest reading in the deviation of a
	// task from its job.
	deviationWeight = 0.5
	// slackReach is the part of the least and the most slack seen of an image by
	// which a prediction may leave their range.
	slackReach = 0.05
)

// slowdown is what is known of the effect of scavengers on serving tasks. The
// slack of a serving task is its target divided by its tail latency.
type slowdown struct {
	pairs *interference.PairModel
	// own holds, for each job whose tasks serve, their slack without neighbours:
	// the tasks of a job share its load.
	own map[workflow.JobID]*interference.Trend
	// ranges holds the range of the own slack of each image.
	ranges map[interference.Image]*slackRange
}

type slackRange struct {
	least, most float64
	readings    int
}

// known reports whether the range has seen enough to bound a prediction.
func (r *slackRange) known() bool { return r != nil && r.readings >= minRangeReadings }

func newSlowdown() slowdown {
	return slowdown{pairs: interference.NewPairModel(), own: make(map[workflow.JobID]*interference.Trend), ranges: make(map[interference.Image]*slackRange)}
}

func instantTime(at Instant) time.Time { return time.Unix(0, int64(at)) }

// slackAt returns the slack that the tasks of a job are expected to have without
// neighbours at a time, within the range of their image.
func (s *slowdown) slackAt(own *interference.Trend, image interference.Image, when time.Time) float64 {
	slack, seen := own.At(when), s.ranges[image]
	if !seen.known() {
		return max(slack, 0)
	}
	return min(max(slack, seen.least*(1-slackReach)), seen.most*(1+slackReach))
}

// ownSlack returns the least slack that the tasks of a job are expected to have
// without neighbours from now to the horizon.
func (s *slowdown) ownSlack(job workflow.JobID, image interference.Image, now Instant) float64 {
	own := s.own[job]
	if own == nil {
		return unknownSlack
	}
	return min(s.slackAt(own, image, instantTime(now)), s.slackAt(own, image, instantTime(now.Add(horizon))))
}

// load estimates the part of its request that a serving task uses: the slack of a
// queue falls linearly with its load.
func (s *slowdown) load(job workflow.JobID, image interference.Image, now Instant) float64 {
	own, seen := s.own[job], s.ranges[image]
	if own == nil || !seen.known() {
		return servingLoad
	}
	return min(max(1-s.slackAt(own, image, instantTime(now))/(seen.most*idleSlack), leastLoad), mostLoad)
}

// taken is a careful estimate of the slack that a scavenger takes of a serving
// task when it uses the share of the worker's processors.
func (s *slowdown) taken(victim, neighbour interference.Image, share float64) float64 {
	mean, deviation := s.pairs.Loss(victim, neighbour)
	return (mean + caution*deviation) * share
}

// departed is a scavenger that ended lately: the gauges of its neighbours still
// cover a time in which it ran.
type departed struct {
	image interference.Image
	share float64
	at    Instant
}

// noteDeparted remembers a scavenger that ends.
func (e *Engine) noteDeparted(v *view, a *attempt) {
	step := e.step(a.ref)
	if step == nil || !step.Scavenger || a.gauge <= 0 {
		return
	}
	v.departed = append(v.departed, departed{e.slowdown.pairs.Image(step.Image), v.part(a.gauge), e.now})
}

// present returns the shares of the processors that scavengers used while the
// latest gauges were measured.
func (e *Engine) present(v *view) []interference.NeighbourShare {
	var shares []interference.NeighbourShare
	for _, a := range v.list {
		if step := e.step(a.ref); step != nil && step.Scavenger && a.gaugeAt == e.now && a.gauge > 0 {
			shares = append(shares, interference.NeighbourShare{Neighbour: e.slowdown.pairs.Image(step.Image), Share: v.part(a.gauge)})
		}
	}
	v.departed = slices.DeleteFunc(v.departed, func(d departed) bool { return e.since(d.at) >= gaugeWindow })
	for _, d := range v.departed {
		part := 1 - float64(e.since(d.at))/float64(gaugeWindow)
		shares = append(shares, interference.NeighbourShare{Neighbour: d.image, Share: d.share * part})
	}
	return shares
}

// observe feeds the readings that came with the latest answer to the model.
func (e *Engine) observe(v *view) {
	shares := e.present(v)
	for _, a := range v.list {
		step := e.step(a.ref)
		if step == nil || !step.Lasting || step.LatencyTargetMs <= 0 || a.gaugeAt != e.now || a.gauge <= 0 {
			continue
		}
		if a.percent < fullShare {
			a.warmAt = e.now.Add(warmUp)
		}
		if e.now >= a.warmAt {
			e.slowdown.observe(e.now, a, e.slowdown.pairs.Image(step.Image), shares, float64(step.LatencyTargetMs)/float64(a.gauge))
		}
	}
}

// observe takes in one reading of a serving task.
func (s *slowdown) observe(now Instant, a *attempt, image interference.Image, shares []interference.NeighbourShare, slack float64) {
	taken := instantTime(now).Add(-readingAge)
	own := s.own[a.ref.Job]
	if own == nil {
		own = new(interference.Trend)
		s.own[a.ref.Job] = own
	} else if len(shares) > 0 {
		s.pairs.Observe(taken, image, shares, s.slackAt(own, image, taken)+a.deviation, own.Weight(), slack)
	}
	lost, trust := s.pairs.ExpectedLoss(image, shares)
	own.Add(taken, slack+lost, trust)
	expected := s.slackAt(own, image, taken)
	a.deviation += deviationWeight * (slack + lost - expected - a.deviation)
	if lost < cleanLoss && own.Weight() >= minTrendWeight {
		s.widen(image, own.At(taken))
	}
}

// widen takes the own slack of a job into the range of its image.
func (s *slowdown) widen(image interference.Image, slack float64) {
	seen := s.ranges[image]
	if seen == nil {
		seen = &slackRange{least: slack, most: slack}
		s.ranges[image] = seen
	}
	seen.least, seen.most = min(seen.least, slack), max(seen.most, slack)
	seen.readings++
}
