package dispatch

import (
	"slices"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/workflow"
)

const (
	// defaultLoad is the part of its requested processors that a serving task is
	// assumed to use before there are readings.
	defaultLoad = 0.45
	// idleSlackFactor times the highest slack seen of an image is its assumed
	// slack without load: the task had some load even at the highest slack.
	idleSlackFactor = 1.25
	// minLoad and maxLoad bound the load estimate.
	minLoad, maxLoad = 0.15, 0.9
	// meanReadingAge is the mean age of what a gauge measures when its answer
	// leaves the worker: gauges cover half a second.
	meanReadingAge = 250 * time.Millisecond
	// predictionHorizon is how far ahead a decision predicts: the time until a
	// throttle takes effect. Longer horizons kept away more scavengers than the
	// protection justified.
	predictionHorizon = 300 * time.Millisecond
	// gaugeWindow is the time that a gauge covers.
	gaugeWindow = 500 * time.Millisecond
	// gaugeWarmUp is how long after its start the gauge of a task is ignored, as
	// it is not yet representative.
	gaugeWarmUp = time.Second
	// minTrendWeight is the least weight of a job's readings, and maxRangeLoss
	// the slack loss to scavengers below which a reading of the job may extend
	// the slack range of its image.
	minTrendWeight = 1.5
	maxRangeLoss   = 0.3
	// minRangeReadings is the number of readings from which on a range bounds
	// predictions: some seconds of several jobs in different phases of their
	// load.
	minRangeReadings = 100
	// unknownSlack is the assumed slack of a serving task without readings. It is
	// low, so that few scavengers join the task until there is one.
	unknownSlack = 1.8
	// lossDeviations is the number of standard deviations added to the estimated
	// loss of a pair of images, as a safety margin.
	lossDeviations = 0.3
	// deviationWeight is the weight of the newest reading in the exponentially
	// weighted moving average of a task's deviation from its job.
	deviationWeight = 0.5
	// slackRangeMargin is the part of the lowest and of the highest slack seen of
	// an image by which a prediction may leave their range.
	slackRangeMargin = 0.05
)

// slowdownModel estimates the effect of scavengers on serving tasks. The slack of
// a serving task is its latency target divided by its tail latency.
type slowdownModel struct {
	pairs *interference.PairModel
	// ownSlackTrends holds, for each job of serving tasks, the trend of their
	// slack without scavengers: the tasks of a job share its load.
	ownSlackTrends map[workflow.JobID]*interference.Trend
	// ranges holds, for each image, the range of the slack without scavengers.
	ranges map[interference.Image]*slackRange
}

type slackRange struct {
	least, most float64
	readings    int
}

// known reports whether the range has enough readings to bound a prediction.
func (r *slackRange) known() bool { return r != nil && r.readings >= minRangeReadings }

func newSlowdownModel() slowdownModel {
	return slowdownModel{pairs: interference.NewPairModel(), ownSlackTrends: make(map[workflow.JobID]*interference.Trend), ranges: make(map[interference.Image]*slackRange)}
}

func toTime(at Instant) time.Time { return time.Unix(0, int64(at)) }

// slackAt returns the predicted slack of the tasks of a job without scavengers at
// a time, within the range of their image.
func (s *slowdownModel) slackAt(trend *interference.Trend, image interference.Image, when time.Time) float64 {
	slack, bounds := trend.At(when), s.ranges[image]
	if !bounds.known() {
		return max(slack, 0)
	}
	return min(max(slack, bounds.least*(1-slackRangeMargin)), bounds.most*(1+slackRangeMargin))
}

// ownSlack returns the lower of the predicted slacks without scavengers now and
// at the prediction horizon.
func (s *slowdownModel) ownSlack(job workflow.JobID, image interference.Image, now Instant) float64 {
	trend := s.ownSlackTrends[job]
	if trend == nil {
		return unknownSlack
	}
	return min(s.slackAt(trend, image, toTime(now)), s.slackAt(trend, image, toTime(now.Add(predictionHorizon))))
}

// load estimates the part of its requested processors that a serving task uses.
// It assumes that slack falls linearly with load, as in a queueing system.
func (s *slowdownModel) load(job workflow.JobID, image interference.Image, now Instant) float64 {
	trend, bounds := s.ownSlackTrends[job], s.ranges[image]
	if trend == nil || !bounds.known() {
		return defaultLoad
	}
	return min(max(1-s.slackAt(trend, image, toTime(now))/(bounds.most*idleSlackFactor), minLoad), maxLoad)
}

// slackLoss returns a conservative estimate of the slack that a serving task
// loses to a scavenger that uses the share of the worker's processors.
func (s *slowdownModel) slackLoss(victim, neighbour interference.Image, share float64) float64 {
	mean, deviation := s.pairs.Loss(victim, neighbour)
	return (mean + lossDeviations*deviation) * share
}

// endedScavenger is a scavenger that ended recently: the gauges of its neighbours
// still cover a time in which it ran.
type endedScavenger struct {
	image interference.Image
	share float64
	at    Instant
}

// recordEndedScavenger remembers a scavenger that ends, unless it used no
// processors.
func (e *Engine) recordEndedScavenger(v *workerView, a *attempt) {
	step := e.step(a.ref)
	if step == nil || !step.Scavenger || a.gauge <= 0 {
		return
	}
	v.endedScavengers = append(v.endedScavengers, endedScavenger{e.slowdown.pairs.Image(step.Image), v.share(a.gauge), e.now})
}

// scavengerShares returns the shares of the processors that scavengers used while the
// latest gauges were measured.
func (e *Engine) scavengerShares(v *workerView) []interference.NeighbourShare {
	var shares []interference.NeighbourShare
	for _, a := range v.attemptList {
		if step := e.step(a.ref); step != nil && step.Scavenger && a.gaugeReadAt == e.now && a.gauge > 0 {
			shares = append(shares, interference.NeighbourShare{Neighbour: e.slowdown.pairs.Image(step.Image), Share: v.share(a.gauge)})
		}
	}
	v.endedScavengers = slices.DeleteFunc(v.endedScavengers, func(d endedScavenger) bool { return e.since(d.at) >= gaugeWindow })
	for _, d := range v.endedScavengers {
		part := 1 - float64(e.since(d.at))/float64(gaugeWindow)
		shares = append(shares, interference.NeighbourShare{Neighbour: d.image, Share: d.share * part})
	}
	return shares
}

// observeReadings records overruns and feeds the readings of the latest answer to the
// slowdown model. The model gets those of the additional polls during an overrun no more
// often than others, as it would give too much weight to overruns.
func (e *Engine) observeReadings(v *workerView, forOverrun bool) {
	learn := !forOverrun || e.since(v.learnedAt) >= pollWait
	if learn {
		v.learnedAt = e.now
	}
	shares := e.scavengerShares(v)
	for _, a := range v.attemptList {
		step := e.step(a.ref)
		if step == nil || !step.Lasting || step.LatencyTargetMs <= 0 || a.gaugeReadAt != e.now || a.gauge <= 0 {
			continue
		}
		e.recordOverrun(v, a, step.LatencyTargetMs)
		if a.percent < fullShare {
			a.warmedUpAt = e.now.Add(gaugeWarmUp)
		}
		if learn && e.now >= a.warmedUpAt {
			e.slowdown.observe(e.now, a, e.slowdown.pairs.Image(step.Image), shares, float64(step.LatencyTargetMs)/float64(a.gauge))
		}
	}
}

// observe learns from one reading of a serving task.
func (s *slowdownModel) observe(now Instant, a *attempt, image interference.Image, shares []interference.NeighbourShare, slack float64) {
	measuredAt := toTime(now).Add(-meanReadingAge)
	trend := s.ownSlackTrends[a.ref.Job]
	if trend == nil {
		trend = new(interference.Trend)
		s.ownSlackTrends[a.ref.Job] = trend
	} else if len(shares) > 0 {
		s.pairs.Observe(measuredAt, image, shares, s.slackAt(trend, image, measuredAt)+a.slackDeviation, trend.Weight(), slack)
	}
	loss, trust := s.pairs.ExpectedLoss(image, shares)
	trend.Add(measuredAt, slack+loss, trust)
	expected := s.slackAt(trend, image, measuredAt)
	a.slackDeviation += deviationWeight * (slack + loss - expected - a.slackDeviation)
	if loss < maxRangeLoss && trend.Weight() >= minTrendWeight {
		s.widenRange(image, trend.At(measuredAt))
	}
}

// widenRange extends the range of an image to a job's slack without scavengers.
func (s *slowdownModel) widenRange(image interference.Image, slack float64) {
	bounds := s.ranges[image]
	if bounds == nil {
		bounds = &slackRange{least: slack, most: slack}
		s.ranges[image] = bounds
	}
	bounds.least, bounds.most = min(bounds.least, slack), max(bounds.most, slack)
	bounds.readings++
}
