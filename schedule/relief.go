package schedule

import (
	"fmt"
	"math"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// reliefMargin and recoveryMargin are distances from slowdownLimit, in natural
	// logarithms: relief begins when the measured slowdown of a service is above the limit
	// plus reliefMargin, and a throttle may be lifted when it is below the limit plus
	// recoveryMargin. The gap between them is the hysteresis.
	reliefMargin   = 0.09
	recoveryMargin = -0.02
	// severeSlowdown is the slowdown, as a factor, above which one report is enough for
	// relief.
	severeSlowdown = 1.6
	// minReports is the number of reports that other relief decisions need, and
	// newestReportWeight the weight of the newest one in their moving average.
	minReports         = 3
	newestReportWeight = 0.4
	// maxBaselineVariance is the variance of a service's predicted baseline above which
	// its slowdown is not measured.
	maxBaselineVariance = 0.02

	// reliefSettleTime is the time after which a relief step shows in reports.
	reliefSettleTime = 2 * time.Second
	// throttleHoldDown is the least time between a throttle and its end. Each further
	// throttle of the same attempt doubles it, up to maxThrottleHoldDown.
	throttleHoldDown    = time.Minute
	maxThrottleHoldDown = 16 * time.Minute
	// minEvictionInterval is the least time between two relief evictions on one host.
	minEvictionInterval = 2 * time.Minute
	// checkpointTimeout is how long a checkpoint for relief may take before the attempt
	// is stopped without it.
	checkpointTimeout = 2 * time.Minute

	// The processor share of a throttled task is halved from firstShareMilli down to
	// lowShareMilli or lowestShareMilli, in thousandths.
	firstShareMilli  = 500
	lowShareMilli    = 250
	lowestShareMilli = 125

	// minContribution is the predicted slowdown, as a natural logarithm, below which a
	// task is not held responsible. minRelativeContribution is the same as a fraction of
	// the largest contribution on the host.
	minContribution         = 0.002
	minRelativeContribution = 0.15
)

var (
	logSevereSlowdown = math.Log(severeSlowdown)
)

// slowdownTracker holds the measured slowdown of a service replica.
type slowdownTracker struct {
	slowdown float64 // last measured, as a natural logarithm
	average  float64 // moving average since the last relief step on the host
	reports  int     // number since the last relief step on the host
	taken    time.Time
}

// add adds a measured slowdown.
func (t *slowdownTracker) add(slowdown float64, taken time.Time) {
	t.slowdown = slowdown
	t.taken = taken
	t.reports++
	weight := max(newestReportWeight, 1/float64(t.reports))
	t.average += weight * (slowdown - t.average)
}

func (t *slowdownTracker) exceeds(limit float64) bool {
	if t.reports >= minReports {
		return t.average > limit+reliefMargin
	}
	return t.reports > 0 && t.slowdown > logSevereSlowdown
}

func (t *slowdownTracker) recovered(limit float64) bool {
	return t.reports >= minReports && t.average < limit+recoveryMargin
}

// measureSlowdown compares a latency report of a service with the model's baseline,
// the latency without neighbours.
func (s *Scheduler) measureSlowdown(r *latencyReport) {
	mean, variance := s.options.Model.Baseline(r.task.job.victim, r.load)
	if variance > maxBaselineVariance {
		return
	}
	if r.taken.Before(r.task.host.reliefStepAt.Add(reliefSettleTime)) {
		return // The report does not show the last relief step.
	}
	r.task.slowdown.add(r.logLatency-mean, r.taken)
	s.queueRelief(r.task.host)
}

// queueRelief has the next plan examine the host for relief.
func (s *Scheduler) queueRelief(h *host) {
	if h.reliefQueued {
		return
	}
	h.reliefQueued = true
	s.reliefHosts = append(s.reliefHosts, h)
}

// relieveHosts takes at most one relief step on each queued host.
func (s *Scheduler) relieveHosts() {
	for _, h := range s.reliefHosts {
		h.reliefQueued = false
		s.relieveHost(h)
	}
	clear(s.reliefHosts)
	s.reliefHosts = s.reliefHosts[:0]
}

func (s *Scheduler) relieveHost(h *host) {
	if s.options.FirstFit {
		return
	}
	victim := s.slowestService(h)
	if victim != nil {
		s.relieveVictim(h, victim)
		return
	}
	s.liftThrottle(h)
}

// recordReliefStep records a relief step on h and discards the earlier measurements.
func (s *Scheduler) recordReliefStep(h *host) {
	h.reliefStepAt = s.now
	for _, t := range h.tasks {
		t.slowdown = slowdownTracker{}
	}
}

// slowestService returns the service with the largest measured slowdown beyond the
// limit, or nil.
func (s *Scheduler) slowestService(h *host) *task {
	var worst *task
	for _, t := range h.tasks {
		if !t.slowdown.exceeds(s.slowdownLimit) {
			continue
		}
		if worst == nil || t.slowdown.average > worst.slowdown.average {
			worst = t
		}
	}
	return worst
}

// relieveVictim takes the next relief step: throttle the task that contributes most
// to the slowdown; if all that contribute are throttled, checkpoint and move the one
// that costs least; stop an attempt without a checkpoint only if that takes too long.
func (s *Scheduler) relieveVictim(h *host, victim *task) {
	s.refreshPredictions(h)
	if t := s.topContributor(h, victim); t != nil {
		s.throttle(h, t, victim)
		return
	}
	if s.kill(h, victim) {
		return
	}
	if t := s.cheapestEviction(h, victim); t != nil {
		s.evict(h, t, victim)
	}
}

// contribution is the part of the victim's slowdown that t causes, as a natural
// logarithm.
func (s *Scheduler) contribution(h *host, victim, t *task) float64 {
	share := t.usedMilli / float64(h.worker.Capacity.MilliProcessors)
	classShare := h.shares[t.job.classID]
	if classShare <= 0 || share <= 0 {
		return 0
	}
	mean, _ := s.options.Model.LogSlowdown(victim.job.victim, t.job.classID, victim.load, classShare)
	return mean*min(share/classShare, 1) + s.saturationContribution(h, share)
}

// saturationContribution is the given share of the processors on a host that has run
// out of them, zero on others.
func (s *Scheduler) saturationContribution(h *host, share float64) float64 {
	if h.expectedUse < saturatedFraction*float64(h.worker.Capacity.MilliProcessors) {
		return 0
	}
	return share
}

// contributionThreshold is the contribution from which a task on h is held
// responsible.
func (s *Scheduler) contributionThreshold(h *host, victim *task) float64 {
	worst := 0.0
	for _, t := range h.tasks {
		if t.Job.Kind == types.KindBatch {
			worst = max(worst, s.contribution(h, victim, t))
		}
	}
	return max(minContribution, minRelativeContribution*worst)
}

// disruptable reports whether t may be throttled, evicted or preempted.
func (s *Scheduler) disruptable(t *task) bool {
	return t.Job.Kind == types.KindBatch && t.Stopping == "" && !s.inFlight(t) &&
		(t.State == types.TaskRunning || t.State == types.TaskThrottled)
}

// minShareMilli is the smallest share of a throttled task, in thousandths. It is lower
// if evictions weigh more than throughput.
func (s *Scheduler) minShareMilli() int64 {
	if s.config.Weights.Evictions > s.config.Weights.Throughput {
		return lowestShareMilli
	}
	return lowShareMilli
}

func (t *task) nextShareMilli() int64 {
	if t.State != types.TaskThrottled {
		return firstShareMilli
	}
	return t.ShareMilli / 2
}

// topContributor returns the task with the largest contribution that can be throttled
// further, or nil. The contribution of urgent tasks is reduced.
func (s *Scheduler) topContributor(h *host, victim *task) *task {
	var worst *task
	worstContribution := s.contributionThreshold(h, victim)
	for _, t := range h.tasks {
		if !s.disruptable(t) || t.nextShareMilli() < s.minShareMilli() {
			continue
		}
		contribution := s.contribution(h, victim, t)
		if t.Job.Urgent {
			contribution /= urgentContributionDivisor
		}
		if contribution > worstContribution {
			worst, worstContribution = t, contribution
		}
	}
	return worst
}

// urgentContributionDivisor divides the contribution of urgent tasks, so that other
// tasks are throttled first.
const urgentContributionDivisor = 8

func (s *Scheduler) throttle(h *host, t, victim *task) {
	share := t.nextShareMilli()
	t.throttles++
	t.throttledAt = s.now
	t.markInFlight(s)
	reason := s.slowdownText(victim, t)
	s.recordReliefStep(h)
	s.emit(Throttle{Task: t.ID, Epoch: t.Epoch, ShareMilli: share, Reason: reason})
}

func (s *Scheduler) slowdownText(victim, t *task) string {
	return fmt.Sprintf("service task %q runs %.2f times as slow as alone; class %q on %s contributes",
		victim.Name, math.Exp(victim.slowdown.average), t.job.class, t.host.worker.Name)
}

// cheapestEviction returns the task whose eviction costs least for its contribution.
// It returns nil if the budget or the eviction interval forbids one or none would
// help.
func (s *Scheduler) cheapestEviction(h *host, victim *task) *task {
	if s.now.Before(h.evictedAt.Add(minEvictionInterval)) || !s.evictionBudget.available(s.now) {
		return nil
	}
	var best *task
	var bestCost float64
	threshold := s.contributionThreshold(h, victim)
	for _, t := range h.tasks {
		if !s.disruptable(t) || t.Job.Urgent {
			continue
		}
		contribution := s.contribution(h, victim, t)
		if contribution < threshold {
			continue
		}
		cost := s.evictionCost(t) / contribution
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// evictionCost estimates the cost of evicting t, in processor-seconds: a fixed part
// for checkpoint and restart, and the expected loss by a failed checkpoint. Earlier
// evictions of t multiply it.
func (s *Scheduler) evictionCost(t *task) float64 {
	processors := t.Job.Request.Processors()
	run := s.now.Sub(t.runningSince).Seconds()
	return processors * (restartSeconds + checkpointFailureChance*run) * float64(1+t.Evictions)
}

const (
	// restartSeconds is the time that a checkpoint and a restart take.
	restartSeconds = 10
	// checkpointFailureChance is the probability that a checkpoint fails and the run is
	// lost.
	checkpointFailureChance = 0.02
)

func (s *Scheduler) evict(h *host, t, victim *task) {
	s.evictionBudget.spend()
	h.evictedAt = s.now
	t.avoid(h, s.now)
	t.reliefEvictedAt = s.now
	t.markInFlight(s)
	reason := s.slowdownText(victim, t)
	s.recordReliefStep(h)
	s.emit(Checkpoint{Task: t.ID, Epoch: t.Epoch, Reason: reason})
}

// kill stops an attempt whose checkpoint for relief exceeds checkpointTimeout while a
// service is still slowed down.
func (s *Scheduler) kill(h *host, victim *task) bool {
	for _, t := range h.tasks {
		overdue := !t.reliefEvictedAt.IsZero() && s.now.Sub(t.reliefEvictedAt) > checkpointTimeout
		if t.State != types.TaskCheckpointing || !overdue || s.inFlight(t) {
			continue
		}
		t.markInFlight(s)
		reason := "its checkpoint does not end; " + s.slowdownText(victim, t)
		s.recordReliefStep(h)
		s.emit(Stop{Task: t.ID, Epoch: t.Epoch, Then: types.TaskEvicted, Reason: reason})
		return true
	}
	return false
}
