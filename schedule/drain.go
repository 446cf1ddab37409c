package schedule

import (
	"fmt"
	"slices"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// maxDrainActions bounds the actions of one plan that move tasks off draining workers.
	maxDrainActions = 64
	// replacementSettleTime is how long a replacement runs before the replica that it
	// replaces is stopped, so that its target is announced everywhere.
	replacementSettleTime = 3 * time.Second
	// replacedRecheckInterval is the backoff of a pending replica that has a replacement.
	replacedRecheckInterval = 5 * time.Second
)

// draining reports whether the host's tasks must be moved to other hosts.
func (h *host) draining() bool {
	return h.worker.Evacuated || h.worker.DrainRequested || h.worker.State == types.WorkerDraining || h.worker.State == types.WorkerLeaving
}

// drain moves tasks off the draining workers: batch tasks and watchers by a
// checkpoint, replicas of services by a replacement that runs first.
func (s *Scheduler) drain() {
	actions := 0
	kept := s.drainingHosts[:0]
	for _, h := range s.drainingHosts {
		if s.hostByID[h.worker.ID] != h || !h.draining() {
			h.inDrainingHosts = false
			continue
		}
		kept = append(kept, h)
		for _, t := range h.tasks {
			if actions < maxDrainActions && s.moveOff(h, t) {
				actions++
			}
		}
	}
	clear(s.drainingHosts[len(kept):])
	s.drainingHosts = kept
}

func (s *Scheduler) trackDraining(h *host) {
	if h.draining() && !h.inDrainingHosts {
		h.inDrainingHosts = true
		s.drainingHosts = append(s.drainingHosts, h)
	}
}

// moveOff takes the next step to move t off the draining host, and reports whether it
// emitted an action.
func (s *Scheduler) moveOff(h *host, t *task) bool {
	if t.assumedEpoch != 0 || t.Stopping != "" || s.inFlight(t) {
		return false
	}
	reason := fmt.Sprintf("worker %s is draining", h.worker.Name)
	if h.worker.Evacuated {
		reason = fmt.Sprintf("failure domain %s of worker %s is evacuated", h.worker.FailureDomain, h.worker.Name)
	}
	if t.Job.Kind == types.KindService {
		return s.moveService(t, reason)
	}
	if t.State != types.TaskRunning && t.State != types.TaskThrottled {
		return false
	}
	t.markInFlight(s)
	t.vacating = true
	s.emit(Checkpoint{Task: t.ID, Epoch: t.Epoch, Reason: reason})
	return true
}

func (s *Scheduler) moveService(t *task, reason string) bool {
	if t.replacement != nil {
		return false // finishReplacement stops t once the replacement runs.
	}
	t.markInFlight(s)
	if t.State == types.TaskStarting || t.replacementRefused {
		s.emit(Stop{Task: t.ID, Epoch: t.Epoch, Then: types.TaskEvicted, Reason: reason})
		return true
	}
	s.emit(Replace{Task: t.ID, Epoch: t.Epoch, Reason: reason})
	return true
}

// trackReplacement records t if it replaces another replica.
func (s *Scheduler) trackReplacement(t *task) {
	if t.Replaces == 0 || slices.Contains(s.replacements, t) {
		return
	}
	s.replacements = append(s.replacements, t)
}

// finishReplacements stops the replicas whose replacement runs.
func (s *Scheduler) finishReplacements() {
	kept := s.replacements[:0]
	for _, t := range s.replacements {
		if s.finishReplacement(t) {
			kept = append(kept, t)
		}
	}
	clear(s.replacements[len(kept):])
	s.replacements = kept
}

// finishReplacement stops the replica that t replaces once t has run long enough, and
// reports whether t must be checked again.
func (s *Scheduler) finishReplacement(t *task) bool {
	old := s.tasks[t.Replaces]
	if s.tasks[t.ID] != t || t.State.Terminal() {
		if old != nil && old.replacement == t {
			old.replacement = nil
		}
		return false
	}
	if old == nil || old.State.Terminal() || old.State == types.TaskParked {
		return false
	}
	if old.replacement != t {
		old.replacement = t
		old.clearInFlight() // The Replace action was applied.
	}
	if t.State != types.TaskRunning || s.now.Before(t.runningSince.Add(replacementSettleTime)) {
		return true
	}
	s.retire(old, fmt.Sprintf("its replacement %q runs", t.Name))
	return true
}

// retire ends a replica whose replacement runs.
func (s *Scheduler) retire(old *task, reason string) {
	if old.Stopping != "" || s.inFlight(old) {
		return
	}
	old.markInFlight(s)
	if old.State.Placed() {
		s.emit(Stop{Task: old.ID, Epoch: old.Epoch, Then: types.TaskFinished, Reason: reason})
		return
	}
	s.emit(Park{Task: old.ID, Reason: reason})
}
