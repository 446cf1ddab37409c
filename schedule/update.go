package schedule

import (
	"time"

	"mangohill.example/mangohill/types"
)

// applyUpdate replaces the record of t by the confirmed update, and binds or queues t.
func (s *Scheduler) applyUpdate(t *task, update types.Task) {
	s.queue.remove(t)
	if !update.State.Pending() {
		s.releaseReservation(t)
	}
	stays := t.bound && update.State.Placed() && t.host == s.hostByID[update.Worker] &&
		t.Job.Request == update.Job.Request
	if !stays {
		s.unbind(t)
	}
	t.assumedEpoch = 0
	t.clearInFlight()
	before := t.Task
	t.Task = update
	switch {
	case update.State.Placed() && !stays:
		s.bind(t, s.hostByID[update.Worker])
	case update.State.Pending():
		s.enqueue(t)
	}
	s.trackReplacement(t)
	s.trackAttempt(t, before)
}

// trackAttempt updates the times and measurements of the attempt after an update.
func (s *Scheduler) trackAttempt(t *task, before types.Task) {
	at := unixMs(t.ChangedMs)
	if t.Epoch != before.Epoch || !t.State.Placed() {
		s.endAttempt(t, before, at)
	}
	if t.State.Placed() && t.startedAt.IsZero() {
		t.startedAt = at
	}
	if t.State.Placed() && t.State != types.TaskStarting && t.runningSince.IsZero() {
		s.beginRunning(t, at) // After a change of leader, the first update may show a throttled attempt.
	}
	if t.State == types.TaskThrottled && before.ShareMilli != t.ShareMilli {
		t.throttledAt = at
	}
}

func (s *Scheduler) beginRunning(t *task, at time.Time) {
	t.runningSince = at
	if t.host != nil {
		t.host.history.Begin(uint64(t.ID), t.job.classID, t.processorShare(t.host), at)
		t.host.dirty = true
	}
}

// endAttempt records the end of an attempt and resets its measurements.
func (s *Scheduler) endAttempt(t *task, before types.Task, at time.Time) {
	if h := s.hostByID[before.Worker]; h != nil {
		h.history.End(uint64(t.ID), at)
	}
	s.recordOutcome(t, before, at)
	if before.State == types.TaskCheckpointing && !t.runningSince.IsZero() {
		t.keptRuntime += at.Sub(t.runningSince)
		t.savedProgress = t.progress
	}
	t.startedAt = time.Time{}
	t.runningSince = time.Time{}
	t.usedAt = time.Time{}
	t.throttledAt = time.Time{}
	t.progress, t.usedMemory = 0, 0
	t.usedMilli, t.usedMilliUnthrottled, t.load, t.loadPeak = 0, 0, 0, 0
	t.slowdown = slowdownTracker{}
	t.throttles = 0
	t.reliefEvictedAt = time.Time{}
	t.vacating = false
	if !t.State.Placed() {
		t.startShareMilli = 0
	}
	t.replacementRefused = false
}

// bindOrphans binds the tasks that were known before their worker h.
func (s *Scheduler) bindOrphans(h *host) {
	if s.orphans == 0 {
		return
	}
	for _, t := range s.tasks {
		if t.bound && t.host == nil && t.Worker == h.worker.ID {
			s.unbind(t)
			s.bind(t, h)
		}
	}
}

// recordOutcome records the end of an attempt for its class and its worker.
func (s *Scheduler) recordOutcome(t *task, before types.Task, at time.Time) {
	h := s.hostByID[before.Worker]
	failed := t.Failures > before.Failures
	if t.State == types.TaskFinished {
		t.learnRuntime(at)
	}
	if h == nil || before.Worker == 0 {
		return
	}
	if failed {
		s.recordFailure(t, h, at)
		return
	}
	proven := !t.runningSince.IsZero() && at.Sub(t.runningSince) >= successRunTime
	if proven || t.State == types.TaskFinished {
		h.recordSuccess()
	}
}
