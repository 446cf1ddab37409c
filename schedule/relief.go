package schedule

import (
	"fmt"
	"math"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// reliefGap and calmGap set the measured slowdowns of a service at which relief
	// begins and may be taken back, as distances from the limit for predicted ones,
	// in logarithms. The gap between them is the hysteresis.
	reliefGap = 0.09
	calmGap   = -0.02
	// severeLimit is the slowdown that needs no second report.
	severeLimit = 1.6
	// confirmations is the number of reports that a decision on relief needs, and
	// smoothing the weight of the newest one.
	confirmations = 3
	smoothing     = 0.4
	// maxBaselineVariance is the variance of a baseline from which a service's
	// slowdown counts as measured.
	maxBaselineVariance = 0.02

	// settle is the time after which a step of relief shows in reports.
	settle = 2 * time.Second
	// throttleHold is how long a throttle stays at least; each further throttle of
	// the same attempt doubles it, up to maxThrottleHold.
	throttleHold    = time.Minute
	maxThrottleHold = 16 * time.Minute
	// evictionPause is the time between two relief evictions on one host.
	evictionPause = 2 * time.Minute
	// killAfter is how long a checkpoint for relief may take before the attempt
	// is stopped without it.
	killAfter = 2 * time.Minute

	firstShare = 500
	lowShare   = 250
	lowerShare = 125

	// minBlame is the predicted slowdown, as a logarithm, below which a task is not
	// held responsible, and minBlamePart the least part of the worst task's blame.
	minBlame     = 0.002
	minBlamePart = 0.15
)

var (
	logSevereLimit = math.Log(severeLimit)
)

// slowness is the state of a service replica with respect to relief.
type slowness struct {
	slowdown float64 // last measured, as a logarithm
	smooth   float64 // moving average since the last step on the host
	reports  int     // since the last step on the host
	taken    time.Time
}

// take adds a measured slowdown.
func (f *slowness) take(slowdown float64, taken time.Time) {
	f.slowdown = slowdown
	f.taken = taken
	f.reports++
	weight := max(smoothing, 1/float64(f.reports))
	f.smooth += weight * (slowdown - f.smooth)
}

func (f *slowness) exceeds(limit float64) bool {
	if f.reports >= confirmations {
		return f.smooth > limit+reliefGap
	}
	return f.reports > 0 && f.slowdown > logSevereLimit
}

func (f *slowness) calm(limit float64) bool {
	return f.reports >= confirmations && f.smooth < limit+calmGap
}

// measureSlowdown compares a report of a service with what it would be alone.
func (s *Scheduler) measureSlowdown(o *observation) {
	mean, variance := s.options.Model.Baseline(o.task.job.victim, o.load)
	if variance > maxBaselineVariance {
		return
	}
	if o.taken.Before(o.task.host.relievedAt.Add(settle)) {
		return // The report precedes the last step.
	}
	o.task.slowness.take(o.logLatency-mean, o.taken)
	s.considerRelief(o.task.host)
}

// considerRelief has the next plan look at the host.
func (s *Scheduler) considerRelief(h *host) {
	if h.relieve {
		return
	}
	h.relieve = true
	s.relieving = append(s.relieving, h)
}

// relief takes at most one step on each host that had a latency report.
func (s *Scheduler) relief() {
	for _, h := range s.relieving {
		h.relieve = false
		s.reliefOn(h)
	}
	clear(s.relieving)
	s.relieving = s.relieving[:0]
}

func (s *Scheduler) reliefOn(h *host) {
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

// stepped notes that a step was taken on h: reports from before it no longer count.
func (s *Scheduler) stepped(h *host) {
	h.relievedAt = s.now
	for _, t := range h.tasks {
		t.slowness = slowness{}
	}
}

// slowestService returns the service that is slowed down most beyond the limit, nil if there is none.
func (s *Scheduler) slowestService(h *host) *task {
	var worst *task
	for _, t := range h.tasks {
		if !t.slowness.exceeds(s.slowdownLimit) {
			continue
		}
		if worst == nil || t.slowness.smooth > worst.slowness.smooth {
			worst = t
		}
	}
	return worst
}

// relieveVictim takes the next step: throttle the task that harms most; where all
// that harm are throttled, checkpoint and move the one that loses least; kill
// last.
func (s *Scheduler) relieveVictim(h *host, victim *task) {
	s.refresh(h)
	if t := s.mostHarmful(h, victim); t != nil {
		s.throttle(h, t, victim)
		return
	}
	if s.kill(h, victim) {
		return
	}
	if t := s.cheapestMove(h, victim); t != nil {
		s.evict(h, t, victim)
	}
}

// blame is the part of the victim's slowdown that t causes, as a logarithm.
func (s *Scheduler) blame(h *host, victim, t *task) float64 {
	share := t.used / float64(h.worker.Capacity.MilliProcessors)
	class := h.shares[t.job.index]
	if class <= 0 || share <= 0 {
		return 0
	}
	mean, _ := s.options.Model.LogSlowdown(victim.job.victim, t.job.index, victim.load, class)
	return mean*min(share/class, 1) + s.crowdingBlame(h, share)
}

// crowdingBlame counts the use of processors itself on a host that has run out
// of them.
func (s *Scheduler) crowdingBlame(h *host, share float64) float64 {
	if h.expected < crowded*float64(h.worker.Capacity.MilliProcessors) {
		return 0
	}
	return share
}

// blameThreshold is the blame from which a task on h is held responsible.
func (s *Scheduler) blameThreshold(h *host, victim *task) float64 {
	worst := 0.0
	for _, t := range h.tasks {
		if t.Job.Kind == types.KindBatch {
			worst = max(worst, s.blame(h, victim, t))
		}
	}
	return max(minBlame, minBlamePart*worst)
}

// relievable reports whether relief may touch t.
func (s *Scheduler) relievable(t *task) bool {
	return t.Job.Kind == types.KindBatch && t.Stopping == "" && !s.awaits(t) &&
		(t.State == types.TaskRunning || t.State == types.TaskThrottled)
}

// floorShare is the least share of a throttled task: lower where evictions weigh
// more than throughput.
func (s *Scheduler) floorShare() int64 {
	if s.config.Weights.Evictions > s.config.Weights.Throughput {
		return lowerShare
	}
	return lowShare
}

func (t *task) nextShare() int64 {
	if t.State != types.TaskThrottled {
		return firstShare
	}
	return t.ShareMilli / 2
}

// mostHarmful returns the task with the most blame that can still be throttled.
// Urgent tasks come last.
func (s *Scheduler) mostHarmful(h *host, victim *task) *task {
	var worst *task
	worstBlame := s.blameThreshold(h, victim)
	for _, t := range h.tasks {
		if !s.relievable(t) || t.nextShare() < s.floorShare() {
			continue
		}
		blame := s.blame(h, victim, t)
		if t.Job.Urgent {
			blame /= urgentProtection
		}
		if blame > worstBlame {
			worst, worstBlame = t, blame
		}
	}
	return worst
}

// urgentProtection divides the blame of urgent tasks.
const urgentProtection = 8

func (s *Scheduler) throttle(h *host, t, victim *task) {
	share := t.nextShare()
	t.throttles++
	t.throttledAt = s.now
	t.await(s)
	reason := s.harmText(victim, t)
	s.stepped(h)
	s.emit(Throttle{Task: t.ID, Epoch: t.Epoch, ShareMilli: share, Reason: reason})
}

func (s *Scheduler) harmText(victim, t *task) string {
	return fmt.Sprintf("service task %q runs %.2f times as slow as alone; class %q on %s contributes",
		victim.Name, math.Exp(victim.slowness.smooth), t.job.class, t.host.worker.Name)
}

// cheapestMove returns the task whose move costs least for the relief it gives,
// nil if the budget or the pause forbids a move or none would help.
func (s *Scheduler) cheapestMove(h *host, victim *task) *task {
	if s.now.Before(h.evictedAt.Add(evictionPause)) || !s.budget.available(s.now) {
		return nil
	}
	var best *task
	var bestCost float64
	threshold := s.blameThreshold(h, victim)
	for _, t := range h.tasks {
		if !s.relievable(t) || t.Job.Urgent {
			continue
		}
		blame := s.blame(h, victim, t)
		if blame < threshold {
			continue
		}
		cost := s.loss(t) / blame
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// loss estimates what an eviction of t costs, in processor-seconds: a fixed part
// for checkpoint and restart, and the part that a failed checkpoint would lose.
func (s *Scheduler) loss(t *task) float64 {
	processors := t.Job.Request.Processors()
	run := s.now.Sub(t.runningSince).Seconds()
	return processors * (moveCost + checkpointRisk*run) * float64(1+t.Evictions)
}

const (
	// moveCost is the time that a checkpoint and a restart take, in seconds.
	moveCost = 10
	// checkpointRisk is the chance that a checkpoint fails and the run is lost.
	checkpointRisk = 0.02
)

func (s *Scheduler) evict(h *host, t, victim *task) {
	s.budget.take()
	h.evictedAt = s.now
	t.avoid(h, s.now)
	t.reliefAt = s.now
	t.await(s)
	reason := s.harmText(victim, t)
	s.stepped(h)
	s.emit(Checkpoint{Task: t.ID, Epoch: t.Epoch, Reason: reason})
}

// kill stops an attempt whose checkpoint for relief does not end while a service
// still suffers.
func (s *Scheduler) kill(h *host, victim *task) bool {
	for _, t := range h.tasks {
		overdue := !t.reliefAt.IsZero() && s.now.Sub(t.reliefAt) > killAfter
		if t.State != types.TaskCheckpointing || !overdue || s.awaits(t) {
			continue
		}
		t.await(s)
		reason := "its checkpoint does not end; " + s.harmText(victim, t)
		s.stepped(h)
		s.emit(Stop{Task: t.ID, Epoch: t.Epoch, Then: types.TaskEvicted, Reason: reason})
		return true
	}
	return false
}
