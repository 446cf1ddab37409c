package interference

import (
	"math"
	"time"
)

const (
	// priorLossMean and priorLossVariance are the prior of a pair without
	// measurements: most pairs hardly affect each other, but in some the victim loses
	// several times the mean.
	priorLossMean     = 4.0
	priorLossVariance = 16.0
	// minLossVariance keeps the estimate of a pair responsive to changes.
	minLossVariance = 0.05
	// lossVarianceGrowth is the growth of a pair's variance per second.
	lossVarianceGrowth = 0.02
	// The standard deviation of a measurement of slack is relativeNoise times the
	// slack plus absoluteNoise.
	relativeNoise = 0.06
	absoluteNoise = 0.1
	// maxInnovationSigmas bounds the innovation of one measurement (its deviation
	// from the prediction), in standard deviations.
	maxInnovationSigmas = 3
	// maxLoss bounds a coefficient. At this loss, a tenth of the host costs more
	// slack than any victim has.
	maxLoss = 20.0
	// ownSlackVariance is the variance of a measurement of slack without neighbours.
	ownSlackVariance = 0.02
	// relativeModelError is the standard deviation of the model's error in an expected
	// loss, relative to that loss.
	relativeModelError = 0.4
	// minOwnWeight is the least weight assumed for the estimate of a victim's own
	// slack, which bounds the variance of that estimate.
	minOwnWeight = 0.02
	// maxImages bounds the images that are distinguished. All beyond it share the
	// last index.
	maxImages = 256
)

// Image is the index of an image, which is what a task runs. Tasks of one image
// behave alike.
type Image int32

// NeighbourShare is the part of a host's processors, between 0 and 1, that the
// neighbours of one image use.
type NeighbourShare struct {
	Neighbour Image
	Share     float64
}

// PairModel learns how much slack each image of neighbours costs each victim.
//
// The slack of a service is its latency target divided by its tail latency. In a
// queue it falls linearly with the load, and linearly with the share of the host's
// processors that its neighbours use. Each pair has one coefficient, the loss of
// slack when the neighbour uses the whole host, which a scalar Kalman filter
// estimates; covariances between pairs are ignored. It is not safe for concurrent
// use.
type PairModel struct {
	images map[string]Image
	// losses is indexed by victim and neighbour.
	losses [][]loss
	// shareSums holds, for each neighbour, the sum of its shares over all
	// measurements.
	shareSums []float64
}

// loss is the estimate of the coefficient of one pair.
type loss struct {
	mean, variance float64
	// deviation is the square root of the variance at the last measurement.
	deviation float64
	updatedAt time.Time
}

// NewPairModel returns a model without measurements.
func NewPairModel() *PairModel { return &PairModel{images: make(map[string]Image)} }

// Image returns the index of the named image, as a victim and as a neighbour, and
// adds the image if it is new.
func (p *PairModel) Image(name string) Image {
	if i, ok := p.images[name]; ok {
		return i
	}
	if len(p.images) == maxImages {
		return maxImages - 1
	}
	i := Image(len(p.images))
	p.images[name] = i
	p.shareSums = append(p.shareSums, 0)
	for victim := range p.losses {
		p.losses[victim] = append(p.losses[victim], unknownLoss())
	}
	row := make([]loss, i+1)
	for n := range row {
		row[n] = unknownLoss()
	}
	p.losses = append(p.losses, row)
	return i
}

func unknownLoss() loss {
	return loss{mean: priorLossMean, variance: priorLossVariance, deviation: math.Sqrt(priorLossVariance)}
}

// Loss returns the mean and the standard deviation of the slack that a victim
// loses if the neighbour uses the whole host.
func (p *PairModel) Loss(victim, neighbour Image) (mean, deviation float64) {
	l := &p.losses[victim][neighbour]
	return l.mean, l.deviation
}

// MeanLoss returns the mean of Loss over all neighbours, weighted by the sums of
// their shares in past measurements.
func (p *PairModel) MeanLoss(victim Image) float64 {
	sum, weight := 0.0, 0.0
	for n, shareSum := range p.shareSums {
		sum += shareSum * p.losses[victim][n].mean
		weight += shareSum
	}
	if weight == 0 {
		return priorLossMean
	}
	return sum / weight
}

// ExpectedLoss returns the slack that a victim is expected to lose to the given
// neighbours, and the weight, between 0 and 1, that a measurement beside them has in
// an estimate of the victim's own slack. The weight is 1 without neighbours.
func (p *PairModel) ExpectedLoss(victim Image, neighbours []NeighbourShare) (expected, weight float64) {
	variance := 0.0
	for _, n := range neighbours {
		l := &p.losses[victim][n.Neighbour]
		expected += l.mean * n.Share
		variance += l.variance * n.Share * n.Share
	}
	modelDeviation := relativeModelError * expected
	return expected, ownSlackVariance / (ownSlackVariance + modelDeviation*modelDeviation + variance)
}

// Observe updates the model with a measurement of a victim's slack beside the
// neighbours. ownSlack is its expected slack without them, and ownWeight the
// weight of the measurements behind that expectation.
func (p *PairModel) Observe(measuredAt time.Time, victim Image, neighbours []NeighbourShare, ownSlack, ownWeight, slack float64) {
	noise := relativeNoise*slack + absoluteNoise
	innovationVariance := noise*noise + ownSlackVariance/max(ownWeight, minOwnWeight)
	for _, n := range neighbours {
		p.shareSums[n.Neighbour] += n.Share
		l := &p.losses[victim][n.Neighbour]
		l.growVariance(measuredAt)
		innovationVariance += n.Share * n.Share * l.variance
	}
	limit := maxInnovationSigmas * math.Sqrt(innovationVariance)
	expected, _ := p.ExpectedLoss(victim, neighbours)
	innovation := min(max(ownSlack-slack-expected, -limit), limit)
	for _, n := range neighbours {
		l := &p.losses[victim][n.Neighbour]
		gain := l.variance * n.Share / innovationVariance
		l.mean = min(max(l.mean+gain*innovation, 0), maxLoss)
		l.variance = max(l.variance*(1-gain*n.Share), minLossVariance)
		l.deviation = math.Sqrt(l.variance)
	}
}

// growVariance increases the variance by the time since the last measurement.
func (l *loss) growVariance(now time.Time) {
	if elapsed := now.Sub(l.updatedAt).Seconds(); !l.updatedAt.IsZero() && elapsed > 0 {
		l.variance = min(l.variance+lossVarianceGrowth*elapsed, priorLossVariance)
	}
	if now.After(l.updatedAt) {
		l.updatedAt = now
	}
}
