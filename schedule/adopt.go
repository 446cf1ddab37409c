package schedule

import (
	"time"

	"mangohill.example/mangohill/types"
)

// adopt replaces the record of t by the confirmed update.
func (s *Scheduler) adopt(t *task, update types.Task) {
	s.queue.remove(t)
	if !update.State.Pending() {
		s.dropClaim(t)
	}
	stays := t.bound && update.State.Placed() && t.host == s.hostByID[update.Worker] &&
		t.Job.Request == update.Job.Request
	if !stays {
		s.unbind(t)
	}
	t.assumedEpoch = 0
	t.settleAwait()
	before := t.Task
	t.Task = update
	switch {
	case update.State.Placed() && !stays:
		s.bind(t, s.hostByID[update.Worker])
	case update.State.Pending():
		s.enqueue(t)
	}
	s.noteReplacement(t)
	s.followAttempt(t, before)
}

// followAttempt keeps the times and measurements of the attempt.
func (s *Scheduler) followAttempt(t *task, before types.Task) {
	at := unixMs(t.ChangedMs)
	if t.Epoch != before.Epoch || !t.State.Placed() {
		s.endAttempt(t, before, at)
	}
	if t.State.Placed() && t.startedAt.IsZero() {
		t.startedAt = at
	}
	if t.State.Placed() && t.State != types.TaskStarting && t.runningSince.IsZero() {
		s.beginRunning(t, at) // A new leader may first hear of a throttled attempt.
	}
	if t.State == types.TaskThrottled && before.ShareMilli != t.ShareMilli {
		t.throttledAt = at
	}
}

func (s *Scheduler) beginRunning(t *task, at time.Time) {
	t.runningSince = at
	if t.host != nil {
		t.host.history.Begin(uint64(t.ID), t.job.index, t.shareOf(t.host), at)
		t.host.dirty = true
	}
}

func (s *Scheduler) endAttempt(t *task, before types.Task, at time.Time) {
	if h := s.hostByID[before.Worker]; h != nil {
		h.history.End(uint64(t.ID), at)
	}
	s.noteOutcome(t, before, at)
	if before.State == types.TaskCheckpointing && !t.runningSince.IsZero() {
		t.ranBefore += at.Sub(t.runningSince)
		t.savedProgress = t.progress
	}
	t.startedAt = time.Time{}
	t.runningSince = time.Time{}
	t.usedAt = time.Time{}
	t.throttledAt = time.Time{}
	t.progress, t.usedMemory = 0, 0
	t.used, t.fullUse, t.load, t.loadPeak = 0, 0, 0, 0
	t.slowness = slowness{}
	t.throttles = 0
	t.reliefAt = time.Time{}
	t.leaving = false
	if !t.State.Placed() {
		t.startShareMilli = 0
	}
	t.irreplaceable = false
}

// adoptOrphans binds the tasks of a worker that became known after them.
func (s *Scheduler) adoptOrphans(h *host) {
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

// noteOutcome learns from the end of an attempt about its class and its worker.
func (s *Scheduler) noteOutcome(t *task, before types.Task, at time.Time) {
	h := s.hostByID[before.Worker]
	failed := t.Failures > before.Failures
	if t.State == types.TaskFinished {
		t.learnRuntime(at)
	}
	if h == nil || before.Worker == 0 {
		return
	}
	if failed {
		s.noteFailure(t, h, at)
		return
	}
	proven := !t.runningSince.IsZero() && at.Sub(t.runningSince) >= provenRun
	if proven || t.State == types.TaskFinished {
		h.noteSuccess()
	}
}
