package schedule

import (
	"math"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/types"
)

const (
	// maxObservations bounds the reports that wait for the next plan; the oldest
	// are dropped.
	maxObservations = 8192
	// peakDecay is the part of a service's peak load that is left after a report.
	peakDecay = 0.98
	// loadSmoothing is the weight of a report in the load of its job.
	loadSmoothing = 0.05
	// crowded is the used part of a host's processors beyond which latencies say
	// nothing about classes.
	crowded = 0.9
)

// observation is a latency report that waits until the neighbours' reports of the
// same worker are in.
type observation struct {
	task       *task
	epoch      uint64
	taken      time.Time
	load       float64
	logLatency float64
}

// ObserveUsage takes in a usage report that was received at now. It is attributed
// to those who ran on the worker when it was taken.
func (s *Scheduler) ObserveUsage(now time.Time, usage types.Usage) {
	t := s.tasks[usage.Task]
	if t == nil || t.host == nil || t.Epoch != usage.Epoch || t.Job.Request.MilliProcessors <= 0 {
		return
	}
	taken := now.Add(-time.Duration(usage.AgeMs) * time.Millisecond)
	if taken.Before(t.usedAt) {
		return // A newer report came before.
	}
	s.observeUse(t, taken, usage)
	if t.Job.Kind == types.KindService && usage.LatencyP99Us > 0 {
		s.observeLatency(t, taken, usage)
	}
}

func (s *Scheduler) observeUse(t *task, taken time.Time, usage types.Usage) {
	h := t.host
	t.used = float64(usage.MilliProcessors)
	t.usedMemory = float64(usage.MemoryBytes)
	t.usedAt = taken
	t.progress = usage.ProgressMilli
	h.dirty = true
	t.noteProven(taken)
	h.history.SetShare(uint64(t.ID), t.used/float64(h.worker.Capacity.MilliProcessors))
	if t.State == types.TaskThrottled || t.throttledSince(taken) {
		s.considerRelief(h) // It may be the host's only report.
		return
	}
	t.fullUse = t.used
	if usage.MilliProcessors > 0 {
		t.job.learned.addUse(t.used / float64(t.Job.Request.MilliProcessors))
	}
	if usage.MemoryBytes > 0 && t.Job.Request.MemoryBytes > 0 {
		t.job.learned.addMemory(float64(usage.MemoryBytes) / float64(t.Job.Request.MemoryBytes))
	}
}

// throttledSince reports whether t was throttled after the given time.
func (t *task) throttledSince(taken time.Time) bool {
	return t.throttledAt.After(taken)
}

func (s *Scheduler) observeLatency(t *task, taken time.Time, usage types.Usage) {
	t.load = t.used / float64(t.Job.Request.MilliProcessors)
	t.loadPeak = max(t.load, t.loadPeak*peakDecay)
	t.job.load += loadSmoothing * (t.load - t.job.load)
	if len(s.observations) == maxObservations {
		s.observations = s.observations[1:]
	}
	s.observations = append(s.observations, observation{t, usage.Epoch, taken, t.load, math.Log(float64(usage.LatencyP99Us))})
}

// learnLatencies gives the model the reports since the last plan.
func (s *Scheduler) learnLatencies() {
	for i := range s.observations {
		o := &s.observations[i]
		if o.task.host != nil && o.task.Epoch == o.epoch {
			s.measureSlowdown(o)
			s.learnLatency(o)
		}
	}
	clear(s.observations)
	s.observations = s.observations[:0]
}

func (s *Scheduler) learnLatency(o *observation) {
	h := o.task.host
	victim := o.task.job.victim
	var shares interference.ClassShares
	h.history.SharesAt(o.taken, uint64(o.task.ID), &shares)
	total := o.load * float64(o.task.Job.Request.MilliProcessors) / float64(h.worker.Capacity.MilliProcessors)
	for _, share := range shares {
		total += share
	}
	if total < crowded {
		s.options.Model.Observe(o.taken, victim, o.load, &shares, o.logLatency)
	}
}
