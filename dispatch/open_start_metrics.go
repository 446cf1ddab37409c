package dispatch

import (
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

// openStartTimes are the times of an open start, as the ticks found them.
type openStartTimes struct {
	// knownSince is when this leader recorded it, or took over with its record.
	knownSince Instant
	// heldSince is since when it has kept its pending task from workers without a break,
	// keptSince since when its placed one with its worker, zero if it does not.
	heldSince, keptSince Instant
}

// openStartStats sums up the open starts at the latest tick.
type openStartStats struct {
	times map[*openStart]openStartTimes
	// held is the number of pending tasks that open starts keep from all workers,
	// longestHeld the longest time for which one has been kept so, oldest the time since the
	// oldest open start was recorded.
	held                int
	longestHeld, oldest time.Duration
	// kept is the number of placed tasks that do not run and that open starts keep with their
	// worker, longestKept the longest time for which one has been kept so.
	kept        int
	longestKept time.Duration
}

// updateOpenStartStats looks at the open starts alone, however many tasks wait.
func (e *Engine) updateOpenStartStats() {
	if e.openStarts.len() == 0 {
		e.openStartStats = openStartStats{}
		return
	}
	stats := openStartStats{times: e.openStartStats.times}
	if stats.times == nil {
		stats.times = make(map[*openStart]openStartTimes)
	}
	maps.DeleteFunc(stats.times, func(o *openStart, _ openStartTimes) bool { return o.removed })
	counted := make(map[workflow.TaskRef]bool)
	for o := range e.openStarts.all() {
		times, known := stats.times[o]
		if !known {
			times.knownSince = e.now
		}
		held, key := e.tasksHeldWith(o.ref)
		times.heldSince = e.continued(times.heldSince, held > 0)
		kept := e.keptWithWorker(o)
		times.keptSince = e.continued(times.keptSince, kept)
		stats.times[o] = times
		stats.oldest = max(stats.oldest, e.since(times.knownSince))
		if kept {
			stats.kept++
			stats.longestKept = max(stats.longestKept, e.since(times.keptSince))
		}
		if held == 0 {
			continue
		}
		stats.longestHeld = max(stats.longestHeld, e.since(times.heldSince))
		if !counted[key] {
			counted[key] = true
			stats.held += held
		}
	}
	e.openStartStats = stats
}

// continued returns since when a condition has held that held since the given time, zero for
// never, at the tick before.
func (e *Engine) continued(since Instant, holds bool) Instant {
	switch {
	case !holds:
		return 0
	case since == 0:
		return e.now
	}
	return since
}

// keptWithWorker reports whether the task of an open start is placed on the worker that was sent
// it and does not run: it may run nowhere else.
func (e *Engine) keptWithWorker(o *openStart) bool {
	w := e.state.WorkerNamed(o.life.Name)
	if w == nil {
		return false
	}
	// A stray may name a task that does not exist, an attempt does not.
	a := e.views[w.ID].attempts[o.ref]
	if a == nil || a.running || a.stopWanted {
		return false
	}
	step := e.step(o.ref)
	return step != nil && e.blocks(o, step)
}

// tasksHeldWith returns how many tasks open starts of the given one keep from workers: all of
// its gang, if it is in one. key is the same for all tasks that are held together.
func (e *Engine) tasksHeldWith(ref workflow.TaskRef) (tasks int, key workflow.TaskRef) {
	job := e.state.Job(ref.Job)
	if job == nil || !job.Active() || job.Spec.DueMs(ref.Occurrence) > e.wallMs {
		return 0, ref
	}
	task := job.Task(ref)
	if task == nil || task.State != workflow.TaskPending || !job.StepReady(ref.Occurrence, ref.Step) {
		return 0, ref
	}
	step := &job.Spec.Steps[ref.Step]
	if !e.held(step, ref) {
		return 0, ref
	}
	if step.Gang {
		ref.Index = 0
		return int(step.Count), ref
	}
	return 1, ref
}

// addTo sets the current values of the counters.
func (s *openStartStats) addTo(c *Counters) {
	c.OldestOpenStartMs, c.HeldByOpenStarts, c.LongestHeldMs = s.oldest.Milliseconds(), s.held, s.longestHeld.Milliseconds()
	c.KeptByOpenStarts, c.LongestKeptMs = s.kept, s.longestKept.Milliseconds()
}

// countStray counts a running attempt that is not recorded, once while it runs.
func (e *Engine) countStray(v *workerView, r *RunningAttempt) {
	if !slices.Contains(e.strays, stray{v.worker.ID, r.Task, r.Attempt}) {
		e.counters.Strays++
	}
}
