package route

import "time"

// estimate is an exponentially weighted moving average of service times, in
// seconds.
type estimate struct {
	mean    float64
	samples int
}

const (
	// minSampleWeight is the weight of a new sample once there are many. The first
	// ones weigh more.
	minSampleWeight = 1.0 / 16
	// priorSamples is the number of samples that the initial mean counts as.
	priorSamples = 8
	// maxSampleRatio caps a sample as a multiple of the mean: service times have a
	// long tail, and a single long one must not make a target count as slow.
	maxSampleRatio = 4
	// minMeanSeconds is the lower bound of a mean, by which target.rate divides.
	minMeanSeconds = 1e-6
)

func (e *estimate) add(d time.Duration) {
	e.samples++
	weight := max(1/float64(e.samples+priorSamples), minSampleWeight)
	sample := d.Seconds()
	if e.mean > 0 {
		sample = min(sample, maxSampleRatio*e.mean)
	}
	e.mean = max(e.mean+weight*(sample-e.mean), minMeanSeconds)
}

// SendResult is how a send to a target ended.
type SendResult uint8

// Results of a send.
const (
	// Answered means that the target sent its whole answer.
	Answered SendResult = iota
	// Refused means that the target refused the request; it is alive but full or
	// leaving.
	Refused
	// Failed means that the target or its connection failed.
	Failed
	// Abandoned means that the caller gave up first, which says nothing about the
	// target.
	Abandoned
)

// health tracks the recent failures of a target.
type health struct {
	consecutiveFailures  int
	consecutiveEjections int
	pausedUntil          time.Time
}

const (
	// ejectionThreshold is the number of consecutive failures that eject a target.
	ejectionThreshold = 3
	// An ejected target gets no requests for baseEjectionTime, doubled with each
	// consecutive ejection up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 16 * time.Second
	// refusalPause is how long a target gets no requests after it refused one.
	refusalPause = 20 * time.Millisecond
)

func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	if h.consecutiveFailures < ejectionThreshold {
		return
	}
	pause := baseEjectionTime << min(h.consecutiveEjections, 4) // The bound prevents an overflow.
	h.pausedUntil = now.Add(min(pause, maxEjectionTime))
	h.consecutiveEjections++
}

func (h *health) recordSuccess() { *h = health{} }

// recordResult updates the health and the service time of a target after a send.
func (p *Pool) recordResult(now time.Time, t *target, took time.Duration, v SendResult) {
	switch v {
	case Answered:
		t.health.recordSuccess()
		p.recordServiceTime(t, took)
	case Failed:
		t.health.recordFailure(now)
	case Refused:
		t.health.pausedUntil = now.Add(refusalPause)
	case Abandoned:
	}
	if t.health.pausedUntil.After(p.ejectedUntil) {
		p.ejectedUntil = t.health.pausedUntil
	}
}

// recountInterval is the number of incremental changes after which the pool's
// sums are recomputed, so that rounding errors do not accumulate.
const recountInterval = 1024

func (p *Pool) recordServiceTime(t *target, took time.Duration) {
	before := t.rate()
	t.serviceTime.add(took)
	p.serviceTime.add(took)
	if t.Ready {
		p.rate += t.rate() - before
	}
	if p.changesSinceRecount++; p.changesSinceRecount >= recountInterval {
		p.recount()
	}
}
