package schedule

import (
	"math"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/types"
)

const (
	// maxLatencyReports bounds the reports kept for the next plan; the oldest are dropped.
	maxLatencyReports = 8192
	// peakLoadDecay is the factor by which a service's peak load falls with each report.
	peakLoadDecay = 0.98
	// jobLoadWeight is the weight of a report in the moving average of its job's load.
	jobLoadWeight = 0.05
	// saturatedFraction is the used fraction of a host's processors from which latencies
	// say nothing about the interference of classes.
	saturatedFraction = 0.9
)

// latencyReport is a latency report that is kept until the next plan, when the reports
// of the neighbours on the same worker have arrived.
type latencyReport struct {
	task       *task
	epoch      uint64
	taken      time.Time
	load       float64
	logLatency float64
}

// ObserveUsage records a usage report that was received at now. It is attributed to
// the tasks that ran on the worker when the report was taken.
func (s *Scheduler) ObserveUsage(now time.Time, usage types.Usage) {
	t := s.tasks[usage.Task]
	if t == nil || t.host == nil || t.Epoch != usage.Epoch || t.Job.Request.MilliProcessors <= 0 {
		return
	}
	taken := now.Add(-time.Duration(usage.AgeMs) * time.Millisecond)
	if taken.Before(t.usedAt) {
		return // A newer report arrived before it.
	}
	s.recordUse(t, taken, usage)
	if t.Job.Kind == types.KindService && usage.LatencyP99Us > 0 {
		s.recordLatency(t, taken, usage)
	}
}

func (s *Scheduler) recordUse(t *task, taken time.Time, usage types.Usage) {
	h := t.host
	t.usedMilli = float64(usage.MilliProcessors)
	t.usedMemory = float64(usage.MemoryBytes)
	t.usedAt = taken
	t.progress = usage.ProgressMilli
	h.dirty = true
	t.recordLongRun(taken)
	h.history.SetShare(uint64(t.ID), t.usedMilli/float64(h.worker.Capacity.MilliProcessors))
	if t.State == types.TaskThrottled || t.throttledAfter(taken) {
		s.queueRelief(h) // The host may get no other report that queues it.
		return
	}
	t.usedMilliUnthrottled = t.usedMilli
	if usage.MilliProcessors > 0 {
		t.job.profile.addUse(t.usedMilli / float64(t.Job.Request.MilliProcessors))
	}
	if usage.MemoryBytes > 0 && t.Job.Request.MemoryBytes > 0 {
		t.job.profile.addMemory(float64(usage.MemoryBytes) / float64(t.Job.Request.MemoryBytes))
	}
}

// throttledAfter reports whether t was throttled after the given time.
func (t *task) throttledAfter(taken time.Time) bool {
	return t.throttledAt.After(taken)
}

func (s *Scheduler) recordLatency(t *task, taken time.Time, usage types.Usage) {
	t.load = t.usedMilli / float64(t.Job.Request.MilliProcessors)
	t.loadPeak = max(t.load, t.loadPeak*peakLoadDecay)
	t.job.load += jobLoadWeight * (t.load - t.job.load)
	if len(s.latencyReports) == maxLatencyReports {
		s.latencyReports = s.latencyReports[1:]
	}
	s.latencyReports = append(s.latencyReports, latencyReport{t, usage.Epoch, taken, t.load, math.Log(float64(usage.LatencyP99Us))})
}

// applyLatencyReports passes the reports since the last plan to relief and the model.
func (s *Scheduler) applyLatencyReports() {
	for i := range s.latencyReports {
		r := &s.latencyReports[i]
		if r.task.host != nil && r.task.Epoch == r.epoch {
			s.measureSlowdown(r)
			s.trainModel(r)
		}
	}
	clear(s.latencyReports)
	s.latencyReports = s.latencyReports[:0]
}

// trainModel passes a report to the model, with the shares of the neighbours at the
// time when it was taken, unless the host was saturated.
func (s *Scheduler) trainModel(r *latencyReport) {
	h := r.task.host
	victim := r.task.job.victim
	var shares interference.ClassShares
	h.history.SharesAt(r.taken, uint64(r.task.ID), &shares)
	total := r.load * float64(r.task.Job.Request.MilliProcessors) / float64(h.worker.Capacity.MilliProcessors)
	for _, share := range shares {
		total += share
	}
	if total < saturatedFraction {
		s.options.Model.Observe(r.taken, victim, r.load, &shares, r.logLatency)
	}
}
