package interference

import "time"

const (
	// maxResidences bounds the entries of a History; the one that ended first is
	// evicted.
	maxResidences = 128
	// residenceRetention is how long an ended residence is kept.
	residenceRetention = 2 * time.Minute
)

// residence is the run of one task on a host, with its latest share.
type residence struct {
	task      uint64
	class     Class
	share     float64
	startedAt time.Time
	endedAt   time.Time // zero while the task runs
}

// History records which tasks ran on one host, so that a report that arrives late
// can be attributed to the neighbours at the time of its measurement.
type History struct {
	entries []residence
}

// Begin records that a task has been running on the host since at, with a share of
// the host's processors between 0 and 1.
func (h *History) Begin(task uint64, c Class, share float64, at time.Time) {
	h.dropExpired(at)
	if len(h.entries) == maxResidences {
		h.evict()
	}
	h.entries = append(h.entries, residence{task: task, class: c, share: share, startedAt: at})
}

// SetShare records the measured share of the host's processors that a running task
// uses.
func (h *History) SetShare(task uint64, share float64) {
	if r := h.running(task); r != nil {
		r.share = share
	}
}

// End records that a task has stopped.
func (h *History) End(task uint64, at time.Time) {
	if r := h.running(task); r != nil {
		r.endedAt = at
	}
}

// SharesAt sets shares to the sums, by class, of the shares of all tasks but
// excludedTask that ran at the given time.
func (h *History) SharesAt(at time.Time, excludedTask uint64, shares *ClassShares) {
	*shares = ClassShares{}
	for i := range h.entries {
		r := &h.entries[i]
		if r.task == excludedTask || r.startedAt.After(at) {
			continue
		}
		if r.endedAt.IsZero() || r.endedAt.After(at) {
			shares[r.class] += r.share
		}
	}
}

func (h *History) running(task uint64) *residence {
	for i := len(h.entries) - 1; i >= 0; i-- {
		if h.entries[i].task == task && h.entries[i].endedAt.IsZero() {
			return &h.entries[i]
		}
	}
	return nil
}

func (h *History) dropExpired(now time.Time) {
	limit := now.Add(-residenceRetention)
	kept := h.entries[:0]
	for _, r := range h.entries {
		if r.endedAt.IsZero() || r.endedAt.After(limit) {
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
		if !a.endedAt.IsZero() && (b.endedAt.IsZero() || a.endedAt.Before(b.endedAt)) {
			drop = i
		}
	}
	h.entries = append(h.entries[:drop], h.entries[drop+1:]...)
}
