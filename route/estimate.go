package route

import "time"

// estimate is an exponentially weighted mean of service times in seconds.
type estimate struct {
	mean    float64
	samples int
}

const (
	// estimateWeight is the weight of a new sample once the estimate is warm.
	estimateWeight = 1.0 / 16
	// priorSamples is the number of samples that the initial mean counts for.
	priorSamples = 8
	// longestSample bounds a sample, in means: service times have a long tail, and
	// a single one of them must not make a target count as slow.
	longestSample = 4
	// shortestMean bounds an estimate from below, in seconds.
	shortestMean = 1e-6
)

func (e *estimate) add(d time.Duration) {
	e.samples++
	weight := max(1/float64(e.samples+priorSamples), estimateWeight)
	sample := d.Seconds()
	if e.mean > 0 {
		sample = min(sample, longestSample*e.mean)
	}
	e.mean = max(e.mean+weight*(sample-e.mean), shortestMean)
}

// SendResult is what a send showed about its target.
type SendResult uint8

// Verdicts of a send.
const (
	// Answered: the target gave its whole answer.
	Answered SendResult = iota
	// Refused: the target refused the request; it is alive but full or leaving.
	Refused
	// Failed: the target or its connection failed.
	Failed
	// Abandoned: the caller went away; nothing is learnt.
	Abandoned
)

// health is the record of failures of a target.
type health struct {
	consecutive int
	ejections   int
	until       time.Time
}

const (
	// ejectAfter is the number of consecutive failures that eject a target.
	ejectAfter = 3
	// firstEjection and longestEjection bound the time that an ejected target
	// gets nothing. It doubles with each ejection in a row.
	firstEjection   = time.Second
	longestEjection = 16 * time.Second
	// refusalPause is the time that a target which refused gets nothing.
	refusalPause = 20 * time.Millisecond
)

func (h *health) fail(now time.Time) {
	h.consecutive++
	if h.consecutive < ejectAfter {
		return
	}
	pause := firstEjection << min(h.ejections, 4)
	h.until = now.Add(min(pause, longestEjection))
	h.ejections++
}

func (h *health) succeed() { *h = health{} }

func (p *Pool) learn(now time.Time, t *target, took time.Duration, v SendResult) {
	switch v {
	case Answered:
		t.health.succeed()
		p.learnTime(t, took)
	case Failed:
		t.health.fail(now)
	case Refused:
		t.health.until = now.Add(refusalPause)
	case Abandoned:
	}
	if t.health.until.After(p.ejectedUntil) {
		p.ejectedUntil = t.health.until
	}
}

// recountAfter is the number of changes after which the sums are made anew, so
// that rounding errors do not add up.
const recountAfter = 1024

func (p *Pool) learnTime(t *target, took time.Duration) {
	before := t.rate()
	t.service.add(took)
	p.service.add(took)
	if t.Ready {
		p.rate += t.rate() - before
	}
	if p.learnt++; p.learnt >= recountAfter {
		p.recount()
	}
}
