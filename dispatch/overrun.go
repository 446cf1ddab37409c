package dispatch

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/workflow"
)

const (
	// overrunLimit is how long a serving task may be measured over its target before
	// all scavengers beside it are paused, whatever the model predicts. It takes at
	// least two readings, and a gauge that covers none of the time before.
	overrunLimit = 600 * time.Millisecond
	// overrunEndLimit is the measured tail latency, as a fraction of the target, at
	// which an overrun ends. It is below the target because readings are rough: one
	// that is just within the target does not show that the task is.
	overrunEndLimit = 0.95
	// overrunPollWait is how long a poll waits on a worker with such a task, so that
	// the next reading comes soon.
	overrunPollWait = 300 * time.Millisecond
	// overrunTimeout is how long an overrun lasts without a further reading.
	overrunTimeout = 2 * time.Second
	// shareTolerance is by how much the use of a scavenger, as a part of what it
	// requests, may exceed its share before the share counts as not in force.
	shareTolerance = 0.15
)

// overrun is a spell of readings of a serving task over its target, from the first one
// to one within overrunEndLimit of it.
type overrun struct {
	// since is when the first of them came, zero outside an overrun.
	since Instant
	// worstMs is the highest of them in milliseconds.
	worstMs int64
	// paused is set once scavengers were paused for it.
	paused bool
}

// overrunBuckets is the number of Counters.Overruns.
const overrunBuckets = 5

// recordOverrun updates the overrun of a serving task by its latest reading.
func (e *Engine) recordOverrun(v *workerView, a *attempt, targetMs int64) {
	o := &a.overrun
	switch {
	case a.percent < fullShare: // It does not serve.
		e.endOverrun(v, a)
	case float64(a.gauge) <= float64(targetMs)*overrunEndLimit:
		if o.paused {
			e.overrunEvent(v, a, targetMs).Msg("target met again")
		}
		e.endOverrun(v, a)
	case a.gauge > targetMs:
		e.extendOverrun(v, a, targetMs)
	}
}

// extendOverrun records a reading over the target. It pauses the scavengers if the
// overrun has lasted for overrunLimit.
func (e *Engine) extendOverrun(v *workerView, a *attempt, targetMs int64) {
	o := &a.overrun
	if o.since == 0 {
		o.since = e.now
		v.roomGrew()
	}
	o.worstMs = max(o.worstMs, a.gauge)
	if !o.paused && e.since(o.since) >= overrunLimit && e.scavengersWork(v) {
		o.paused = true
		v.roomGrew()
		e.counters.Paused++
		e.overrunEvent(v, a, targetMs).Msg("scavengers paused")
	}
}

// endOverrun counts the overrun of a task, if there is one, and ends it.
func (e *Engine) endOverrun(v *workerView, a *attempt) {
	if a.overrun.since == 0 {
		return
	}
	e.counters.Overruns[min(int(e.since(a.overrun.since)/time.Second), overrunBuckets-1)]++
	a.overrun = overrun{}
	v.roomGrew()
}

// overrunEvent returns a log line with what was measured and predicted for a serving
// task, and for each scavenger beside it the wanted and the confirmed share, and for how
// many milliseconds that has been confirmed.
func (e *Engine) overrunEvent(v *workerView, a *attempt, targetMs int64) *zerolog.Event {
	image := e.slowdown.pairs.Image(e.step(a.ref).Image)
	own := e.slowdown.ownSlack(a.ref.Job, image, e.now) + a.slackDeviation
	predicted := own
	var tasks []string
	var wanted, applied []int
	var appliedFor []time.Duration
	_, scavengers := e.servingAndScavengers(v)
	for _, s := range scavengers {
		predicted -= e.slowdown.slackLoss(image, s.image, s.share*float64(max(s.attempt.wantedShare, 0))/fullShare)
		tasks = append(tasks, s.ref.String())
		wanted, applied = append(wanted, s.attempt.wantedShare), append(applied, s.attempt.appliedShare)
		appliedFor = append(appliedFor, e.since(max(s.attempt.shareAppliedAt, s.attempt.placedAt)))
	}
	return e.log.Info().Stringer("task", a.ref).Str("worker", v.worker.Life.Name).Int64("target_ms", targetMs).Int64("measured_ms", a.gauge).Int64("worst_ms", a.overrun.worstMs).
		Dur("since", e.since(a.overrun.since)).Float64("own_slack", own).Float64("slack", predicted).Float64("deviation", a.slackDeviation).
		Strs("scavengers", tasks).Ints("wanted", wanted).Ints("applied", applied).Durs("applied_for", appliedFor).Uint64("term", e.term)
}

// inOverrun reports whether a serving task is in an overrun by its recent readings.
func (e *Engine) inOverrun(a *attempt) bool {
	return a.overrun.since != 0 && e.since(a.gaugeReadAt) < overrunTimeout
}

// overTarget reports whether a serving task of a worker is in an overrun.
func (e *Engine) overTarget(v *workerView) bool {
	return slices.ContainsFunc(v.attemptList, e.inOverrun)
}

// scavengersPaused reports whether the scavengers of a worker are paused for an overrun.
// Meanwhile none is added there.
func (e *Engine) scavengersPaused(v *workerView) bool {
	return slices.ContainsFunc(v.attemptList, func(a *attempt) bool { return a.overrun.paused && e.inOverrun(a) })
}

// scavengersWork reports whether a scavenger runs on a worker and is not throttled to
// nothing.
func (e *Engine) scavengersWork(v *workerView) bool {
	return slices.ContainsFunc(v.attemptList, func(a *attempt) bool {
		return a.running && (a.wantedShare > 0 || a.appliedShare != 0) && e.isScavenger(a.ref)
	})
}

// checkShare compares what a scavenger uses with its share. A share that was set by an
// earlier leader is taken from the use. A share that the use exceeds is not in force: an
// older order was carried out after the one that set it.
func (e *Engine) checkShare(v *workerView, a *attempt, step *workflow.Step) {
	use := float64(a.gauge) / float64(max(step.Resources.MilliProcessors, 1))
	switch {
	case a.callInFlight:
	case a.appliedShare == unknownShare && a.shareAppliedAt == 0:
		a.appliedShare = shareOfUse(use)
		a.wantedShare, a.shareAppliedAt = a.appliedShare, e.now
	case a.appliedShare >= 0 && a.appliedShare < fullShare && use > float64(a.appliedShare)/fullShare+shareTolerance && e.since(a.shareAppliedAt) > gaugeWindow+pollWait:
		e.log.Info().Stringer("task", a.ref).Str("worker", v.worker.Life.Name).Int("share", a.appliedShare).Float64("use", use).Uint64("term", e.term).Msg("share not in force")
		a.appliedShare = unknownShare
	}
}

// shareOfUse returns the lowest share that explains the use of a scavenger.
func shareOfUse(use float64) int {
	for _, percent := range slices.Backward(shareSteps[:]) {
		if use <= float64(percent)/fullShare+shareTolerance {
			return percent
		}
	}
	return fullShare
}
