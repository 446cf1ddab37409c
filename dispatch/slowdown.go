package dispatch

import (
	"slices"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/workflow"
)

const (
	// defaultLoad is the part of its request that a serving task is assumed to use
	// before there are readings.
	defaultLoad = 0.45
	// idleSlackFactor is how much larger than the most slack seen of an image the slack
	// without load is; the most was at some load, too.
	idleSlackFactor = 1.25
	// minLoad and maxLoad bound the estimate.
	minLoad, maxLoad = 0.15, 0.9
	// meanReadingAge is the mean age of what a gauge measures when its answer leaves
	// the worker: gauges cover half a second.
	meanReadingAge = 250 * time.Millisecond
	// predictionHorizon is how far ahead a decision looks: the time that a throttle takes to
	// act. Longer ones kept more scavengers away than they protected.
	predictionHorizon = 300 * time.Millisecond
	// gaugeWindow is the time that a gauge covers.
	gaugeWindow = 500 * time.Millisecond
	// gaugeWarmUp is the time after its start in which a task's gauge tells little.
	gaugeWarmUp = time.Second
	// minTrendWeight is the weight of the readings of a job from which on they tell
	// the range of its image, and cleanLoss the loss up to which one does.
	minTrendWeight = 1.5
	maxRangeLoss   = 0.3
	// minRangeReadings is the number of readings from which on a range bounds a
	// prediction: some seconds of several jobs in different parts of their swings.
	minRangeReadings = 100
	// unknownSlack is assumed of a serving task of which there is no reading: little, so that new
	// neighbours are few until there is one.
	unknownSlack = 1.8
	// lossDeviations is the number of standard deviations added to what is believed of a
	// pair of images.
	lossDeviations = 0.3
	// deviationWeight is the weight of the newest reading in the deviation of a
	// task from its job.
	deviationWeight = 0.5
	// slackRangeMargin is the part of the least and the most slack seen of an image by
	// which a prediction may leave their range.
	slackRangeMargin = 0.05
)

// slowdownModel is what is known of the effect of scavengers on serving tasks. The
// slack of a serving task is its target divided by its tail latency.
type slowdownModel struct {
	pairs *interference.Pairs
	// ownSlackTrends holds, for each job whose tasks serve, their slack without neighbours:
	// the tasks of a job share its load.
	ownSlackTrends map[workflow.JobID]*interference.Trend
	// ranges holds the range of the own slack of each image.
	ranges map[interference.Image]*slackRange
}

type slackRange struct {
	least, most float64
	readings    int
}

// known reports whether the range has seen enough to bound a prediction.
func (r *slackRange) known() bool { return r != nil && r.readings >= minRangeReadings }

func newSlowdownModel() slowdownModel {
	return slowdownModel{pairs: interference.NewPairs(), ownSlackTrends: make(map[workflow.JobID]*interference.Trend), ranges: make(map[interference.Image]*slackRange)}
}

func toTime(at Instant) time.Time { return time.Unix(0, int64(at)) }

// slackAt returns the slack that the tasks of a job are expected to have without
// neighbours at a time, within the range of their image.
func (s *slowdownModel) slackAt(trend *interference.Trend, image interference.Image, when time.Time) float64 {
	slack, bounds := trend.At(when), s.ranges[image]
	if !bounds.known() {
		return max(slack, 0)
	}
	return min(max(slack, bounds.least*(1-slackRangeMargin)), bounds.most*(1+slackRangeMargin))
}

// ownSlack returns the least slack that the tasks of a job are expected to have
// without neighbours from now to the horizon.
func (s *slowdownModel) ownSlack(job workflow.JobID, image interference.Image, now Instant) float64 {
	trend := s.ownSlackTrends[job]
	if trend == nil {
		return unknownSlack
	}
	return min(s.slackAt(trend, image, toTime(now)), s.slackAt(trend, image, toTime(now.Add(predictionHorizon))))
}

// load estimates the part of its request that a serving task uses: the slack of a
// queue falls linearly with its load.
func (s *slowdownModel) load(job workflow.JobID, image interference.Image, now Instant) float64 {
	trend, bounds := s.ownSlackTrends[job], s.ranges[image]
	if trend == nil || !bounds.known() {
		return defaultLoad
	}
	return min(max(1-s.slackAt(trend, image, toTime(now))/(bounds.most*idleSlackFactor), minLoad), maxLoad)
}

// slackLoss is a careful estimate of the slack that a scavenger takes of a serving
// task when it uses the share of the worker's processors.
func (s *slowdownModel) slackLoss(victim, neighbour interference.Image, share float64) float64 {
	mean, deviation := s.pairs.Loss(victim, neighbour)
	return (mean + lossDeviations*deviation) * share
}

// endedScavenger is a scavenger that ended lately: the gauges of its neighbours still
// cover a time in which it ran.
type endedScavenger struct {
	image interference.Image
	share float64
	at    Instant
}

// recordEndedScavenger remembers a scavenger that ends.
func (e *Engine) recordEndedScavenger(v *workerView, a *attempt) {
	step := e.step(a.ref)
	if step == nil || !step.Scavenger || a.gauge <= 0 {
		return
	}
	v.endedScavengers = append(v.endedScavengers, endedScavenger{e.slowdown.pairs.Image(step.Image), v.processorShare(a.gauge), e.now})
}

// scavengerShares returns the shares of the processors that scavengers used while the
// latest gauges were measured.
func (e *Engine) scavengerShares(v *workerView) []interference.Share {
	var shares []interference.Share
	for _, a := range v.attemptList {
		if step := e.step(a.ref); step != nil && step.Scavenger && a.gaugeReadAt == e.now && a.gauge > 0 {
			shares = append(shares, interference.Share{Neighbour: e.slowdown.pairs.Image(step.Image), Share: v.processorShare(a.gauge)})
		}
	}
	v.endedScavengers = slices.DeleteFunc(v.endedScavengers, func(d endedScavenger) bool { return e.since(d.at) >= gaugeWindow })
	for _, d := range v.endedScavengers {
		part := 1 - float64(e.since(d.at))/float64(gaugeWindow)
		shares = append(shares, interference.Share{Neighbour: d.image, Share: d.share * part})
	}
	return shares
}

// observeReadings feeds the readings that came with the latest answer to the model.
func (e *Engine) observeReadings(v *workerView) {
	shares := e.scavengerShares(v)
	for _, a := range v.attemptList {
		step := e.step(a.ref)
		if step == nil || !step.Lasting || step.LatencyTargetMs <= 0 || a.gaugeReadAt != e.now || a.gauge <= 0 {
			continue
		}
		if a.percent < fullShare {
			a.warmedUpAt = e.now.Add(gaugeWarmUp)
		}
		if e.now >= a.warmedUpAt {
			e.slowdown.observe(e.now, a, e.slowdown.pairs.Image(step.Image), shares, float64(step.LatencyTargetMs)/float64(a.gauge))
		}
	}
}

// observe takes in one reading of a serving task.
func (s *slowdownModel) observe(now Instant, a *attempt, image interference.Image, shares []interference.Share, slack float64) {
	measuredAt := toTime(now).Add(-meanReadingAge)
	trend := s.ownSlackTrends[a.ref.Job]
	if trend == nil {
		trend = new(interference.Trend)
		s.ownSlackTrends[a.ref.Job] = trend
	} else if len(shares) > 0 {
		s.pairs.Observe(measuredAt, image, shares, s.slackAt(trend, image, measuredAt)+a.slackDeviation, trend.Weight(), slack)
	}
	loss, trust := s.pairs.Taken(image, shares)
	trend.Add(measuredAt, slack+loss, trust)
	expected := s.slackAt(trend, image, measuredAt)
	a.slackDeviation += deviationWeight * (slack + loss - expected - a.slackDeviation)
	if loss < maxRangeLoss && trend.Weight() >= minTrendWeight {
		s.widenRange(image, trend.At(measuredAt))
	}
}

// widenRange takes the own slack of a job into the range of its image.
func (s *slowdownModel) widenRange(image interference.Image, slack float64) {
	bounds := s.ranges[image]
	if bounds == nil {
		bounds = &slackRange{least: slack, most: slack}
		s.ranges[image] = bounds
	}
	bounds.least, bounds.most = min(bounds.least, slack), max(bounds.most, slack)
	bounds.readings++
}
