package interference

import (
	"math"
	"time"
)

const (
	// priorLoss and priorLossVariance describe a pair that was never seen: most
	// pairs hardly affect each other, some do by several times the mean.
	priorLoss         = 4.0
	priorLossVariance = 16.0
	// minLossVariance keeps a pair open to change.
	minLossVariance = 0.05
	// lossDrift is the growth of a pair's variance in a second.
	lossDrift = 0.02
	// readingError and readingFloor are the standard deviation of a reading, as a
	// part of it and in addition to that.
	readingError = 0.06
	readingFloor = 0.1
	// surpriseLimit bounds the surprise of one reading, in standard deviations.
	surpriseLimit = 3
	// maxLoss bounds a coefficient: a tenth of the host takes more than any slack.
	maxLoss = 20.0
	// ownVariance is the variance of a reading without neighbours, and modelError
	// the part of an expected loss by which it may be off.
	ownVariance = 0.02
	modelError  = 0.4
	// leastWeight bounds the doubt about a victim's own slack.
	leastWeight = 0.02
	// maxImages bounds the victims, and the neighbours, that are told apart. Those
	// beyond it share the last place.
	maxImages = 256
)

// Image is the index of a class of tasks that behave alike.
type Image int32

// NeighbourShare is the part of a host's processors that neighbours of a class use.
type NeighbourShare struct {
	Neighbour Image
	Share     float64
}

// PairModel learns how much of a victim's slack each class of neighbours takes.
//
// The slack of a service is its latency target divided by its tail latency. In a
// queue it falls linearly with the load, and linearly with the share of the host's
// processors that its neighbours use. Each pair has one coefficient, the loss of
// slack at the whole host, which a scalar Kalman filter follows; the covariances
// between pairs are left out. It is not safe for concurrent use.
type PairModel struct {
	images map[string]Image
	// losses are by victim and neighbour.
	losses [][]loss
	// seen sums the shares of each neighbour in the readings.
	seen []float64
}

// loss is the estimate of one pair.
type loss struct {
	mean, variance float64
	// deviation is the square root of the variance when it was set last.
	deviation float64
	at        time.Time
}

// NewPairModel returns a model without knowledge.
func NewPairModel() *PairModel { return &PairModel{images: make(map[string]Image)} }

// Image returns the index of a named class, as a victim or as a neighbour.
func (p *PairModel) Image(name string) Image {
	if i, ok := p.images[name]; ok {
		return i
	}
	if len(p.images) == maxImages {
		return maxImages - 1
	}
	i := Image(len(p.images))
	p.images[name] = i
	p.seen = append(p.seen, 0)
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
	return loss{mean: priorLoss, variance: priorLossVariance, deviation: math.Sqrt(priorLossVariance)}
}

// Loss returns the mean and the standard deviation of the slack that a neighbour
// takes of a victim when it uses the whole host.
func (p *PairModel) Loss(victim, neighbour Image) (mean, deviation float64) {
	l := &p.losses[victim][neighbour]
	return l.mean, l.deviation
}

// MeanLoss returns the loss of a victim beside the neighbours that are met, as
// often as they are.
func (p *PairModel) MeanLoss(victim Image) float64 {
	sum, weight := 0.0, 0.0
	for n, seen := range p.seen {
		sum += seen * p.losses[victim][n].mean
		weight += seen
	}
	if weight == 0 {
		return priorLoss
	}
	return sum / weight
}

// ExpectedLoss returns the slack that the neighbours are expected to take of a victim,
// and how far a reading beside them can be trusted to tell the victim's own slack:
// 1 for one without neighbours.
func (p *PairModel) ExpectedLoss(victim Image, neighbours []NeighbourShare) (taken, trust float64) {
	variance := 0.0
	for _, n := range neighbours {
		l := &p.losses[victim][n.Neighbour]
		taken += l.mean * n.Share
		variance += l.variance * n.Share * n.Share
	}
	doubt := modelError * taken
	return taken, ownVariance / (ownVariance + doubt*doubt + variance)
}

// Observe takes in a reading of a victim's slack beside the neighbours, where its
// slack without them is expected to be own, by readings of the given weight.
func (p *PairModel) Observe(taken time.Time, victim Image, neighbours []NeighbourShare, own, weight, slack float64) {
	noise := readingError*slack + readingFloor
	spread := noise*noise + ownVariance/max(weight, leastWeight)
	for _, n := range neighbours {
		p.seen[n.Neighbour] += n.Share
		l := &p.losses[victim][n.Neighbour]
		l.age(taken)
		spread += n.Share * n.Share * l.variance
	}
	limit := surpriseLimit * math.Sqrt(spread)
	expected, _ := p.ExpectedLoss(victim, neighbours)
	surprise := min(max(own-slack-expected, -limit), limit)
	for _, n := range neighbours {
		l := &p.losses[victim][n.Neighbour]
		gain := l.variance * n.Share / spread
		l.mean = min(max(l.mean+gain*surprise, 0), maxLoss)
		l.variance = max(l.variance*(1-gain*n.Share), minLossVariance)
		l.deviation = math.Sqrt(l.variance)
	}
}

// age widens the variance by the time since the last reading.
func (l *loss) age(now time.Time) {
	if elapsed := now.Sub(l.at).Seconds(); !l.at.IsZero() && elapsed > 0 {
		l.variance = min(l.variance+lossDrift*elapsed, priorLossVariance)
	}
	if now.After(l.at) {
		l.at = now
	}
}
