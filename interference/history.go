package interference

import "time"

const (
	// maxResidents bounds the entries of a History; the oldest ended one goes first.
	maxResidents = 128
	// horizon is how long an ended residence is remembered.
	horizon = 2 * time.Minute
)

// residence is one task's stay on a host with a constant share.
type residence struct {
	task  uint64
	class Class
	share float64
	from  time.Time
	to    time.Time // zero while the task runs
}

// History records which tasks ran on one host, so that a late report can be
// attributed to the neighbours at the time when it was taken.
type History struct {
	entries []residence
}

// Begin records that a task runs on the host since at.
func (h *History) Begin(task uint64, c Class, share float64, at time.Time) {
	h.expire(at)
	if len(h.entries) == maxResidents {
		h.evict()
	}
	h.entries = append(h.entries, residence{task: task, class: c, share: share, from: at})
}

// SetShare records the measured share of a running task.
func (h *History) SetShare(task uint64, share float64) {
	if r := h.running(task); r != nil {
		r.share = share
	}
}

// End records that a task has stopped.
func (h *History) End(task uint64, at time.Time) {
	if r := h.running(task); r != nil {
		r.to = at
	}
}

// SharesAt adds up the shares by class of the tasks that ran at the given time, but
// for one task.
func (h *History) SharesAt(at time.Time, except uint64, shares *ClassShares) {
	*shares = ClassShares{}
	for i := range h.entries {
		r := &h.entries[i]
		if r.task == except || r.from.After(at) {
			continue
		}
		if r.to.IsZero() || r.to.After(at) {
			shares[r.class] += r.share
		}
	}
}

func (h *History) running(task uint64) *residence {
	for i := len(h.entries) - 1; i >= 0; i-- {
		if h.entries[i].task == task && h.entries[i].to.IsZero() {
			return &h.entries[i]
		}
	}
	return nil
}

func (h *History) expire(now time.Time) {
	limit := now.Add(-horizon)
	kept := h.entries[:0]
	for _, r := range h.entries {
		if r.to.IsZero() || r.to.After(limit) {
			kept = append(kept, r)
		}
	}
	h.entries = kept
}

// evict drops the residence that ended first, or the oldest if all are running.
func (h *History) evict() {
	drop := 0
	for i := range h.entries {
		a, b := &h.entries[i], &h.entries[drop]
		if !a.to.IsZero() && (b.to.IsZero() || a.to.Before(b.to)) {
			drop = i
		}
	}
	h.entries = append(h.entries[:drop], h.entries[drop+1:]...)
}
