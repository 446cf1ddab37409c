package dispatch

import (
	"math"
	"time"
)

// hostCrashRate estimates how often hosts crash by themselves: from the crashes of workers on
// which no attempt had begun shortly before, and the time that workers spend so. It is that of
// the fleet, and is learned anew by each leader.
type hostCrashRate struct {
	crashes, workerSeconds float64
	observedAt             Instant
}

const (
	// hostCrashMemory is the time after which an observation has lost most of its weight.
	hostCrashMemory = time.Minute
	// priorWorkerSeconds is the time without a crash that the estimate begins with, so that
	// the first crash alone proves no high rate.
	priorWorkerSeconds = 30.0
	// maxCoincidence is the probability up to which it is no explanation of a crash that the
	// host crashed by itself just then.
	maxCoincidence = 0.01
	// maxChanceCrashes is the number of crashes to be expected within the time of a coincidence
	// up to which two of them at the same time tell of a common cause.
	maxChanceCrashes = 0.3
)

// observe records that so many workers ran since the last call without an attempt that had
// begun shortly before.
func (r *hostCrashRate) observe(now Instant, workers int) {
	if r.observedAt != 0 {
		passed := now.Sub(r.observedAt)
		kept := math.Exp(-passed.Seconds() / hostCrashMemory.Seconds())
		r.crashes *= kept
		r.workerSeconds = r.workerSeconds*kept + float64(workers)*passed.Seconds()
	}
	r.observedAt = now
}

// perSecond returns the estimated rate of a worker.
func (r *hostCrashRate) perSecond() float64 {
	return r.crashes / (r.workerSeconds + priorWorkerSeconds)
}

// coincidental reports whether a host may well have crashed by itself within the time in which
// an attempt would have crashed it, so that the crash says little about the attempt.
func (r *hostCrashRate) coincidental(within time.Duration) bool {
	return r.perSecond()*within.Seconds() > maxCoincidence
}

// noisy reports whether several of so many workers may well crash by themselves at about the
// same time, so that this tells of no common cause.
func (r *hostCrashRate) noisy(workers int) bool {
	return r.perSecond()*float64(workers)*2*coincidence.Seconds() > maxChanceCrashes
}

// observeHosts counts the workers without an attempt that has begun shortly before.
func (e *Engine) observeHosts() {
	quiet := 0
	for _, v := range e.sortedViews {
		if v.fenced && v.silentSince == 0 && v.test == nil && e.since(v.lastStartAt) > youngAge {
			quiet++
		}
	}
	e.hostCrashes.observe(e.now, quiet)
}
