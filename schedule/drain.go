package schedule

import (
	"fmt"
	"slices"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// maxDrainSteps bounds the tasks that one plan moves off draining workers.
	maxDrainSteps = 64
	// replacementSettle is how long a replacement runs before the replica that it
	// stands for is stopped, so that its target is announced everywhere.
	replacementSettle = 3 * time.Second
	// replacedRecheck is the pause before a pending replica that has a replacement
	// is looked at again.
	replacedRecheck = 5 * time.Second
)

// draining reports whether the host's tasks are to move away.
func (h *host) draining() bool {
	return h.worker.DrainRequested || h.worker.State == types.WorkerDraining || h.worker.State == types.WorkerLeaving
}

// drain moves tasks off the draining workers: batch tasks and watchers by
// checkpoint, replicas of services by a replacement that runs first.
func (s *Scheduler) drain() {
	steps := 0
	kept := s.drains[:0]
	for _, h := range s.drains {
		if s.hostByID[h.worker.ID] != h || !h.draining() {
			h.drainListed = false
			continue
		}
		kept = append(kept, h)
		for _, t := range h.tasks {
			if steps < maxDrainSteps && s.moveOff(h, t) {
				steps++
			}
		}
	}
	clear(s.drains[len(kept):])
	s.drains = kept
}

func (s *Scheduler) listDrain(h *host) {
	if h.draining() && !h.drainListed {
		h.drainListed = true
		s.drains = append(s.drains, h)
	}
}

// moveOff takes the next step to move t off the draining host, and reports
// whether there was one to take.
func (s *Scheduler) moveOff(h *host, t *task) bool {
	if t.assumedEpoch != 0 || t.Stopping != "" || s.awaits(t) {
		return false
	}
	reason := fmt.Sprintf("worker %s is draining", h.worker.Name)
	if t.Job.Kind == types.KindService {
		return s.moveService(t, reason)
	}
	if t.State != types.TaskRunning && t.State != types.TaskThrottled {
		return false
	}
	t.await(s)
	t.leaving = true
	s.emit(Checkpoint{Task: t.ID, Epoch: t.Epoch, Reason: reason})
	return true
}

func (s *Scheduler) moveService(t *task, reason string) bool {
	if t.replacement != nil {
		return false // It is stopped once the replacement runs.
	}
	t.await(s)
	if t.State == types.TaskStarting || t.irreplaceable {
		s.emit(Stop{Task: t.ID, Epoch: t.Epoch, Then: types.TaskEvicted, Reason: reason})
		return true
	}
	s.emit(Replace{Task: t.ID, Epoch: t.Epoch, Reason: reason})
	return true
}

// noteReplacement ties a replacement to the replica that it stands for.
func (s *Scheduler) noteReplacement(t *task) {
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

// finishReplacement reports whether t is still to be watched.
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
		old.settleAwait() // The state has answered the request for it.
	}
	if t.State != types.TaskRunning || s.now.Before(t.runningSince.Add(replacementSettle)) {
		return true
	}
	s.retire(old, fmt.Sprintf("its replacement %q runs", t.Name))
	return true
}

// retire ends a replica that has been replaced.
func (s *Scheduler) retire(old *task, reason string) {
	if old.Stopping != "" || s.awaits(old) {
		return
	}
	old.await(s)
	if old.State.Placed() {
		s.emit(Stop{Task: old.ID, Epoch: old.Epoch, Then: types.TaskFinished, Reason: reason})
		return
	}
	s.emit(Park{Task: old.ID, Reason: reason})
}
