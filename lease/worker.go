package lease

import "time"

// WorkerLease is a worker's view of its lease. Times are on the worker's monotonic
// clock. The zero value is a lease that is over.
type WorkerLease struct {
	until time.Duration
}

// Extend takes in a granted lease of the given duration, counted from the moment
// at which the renewal was sent. A late answer never shortens a lease.
func (h *WorkerLease) Extend(sent, duration time.Duration) {
	h.until = max(h.until, sent+duration)
}

// Expired reports whether the lease is over: the worker runs nothing.
func (h *WorkerLease) Expired(now time.Duration) bool { return now >= h.until }

// Remaining returns the time until the lease is over, at least zero.
func (h *WorkerLease) Remaining(now time.Duration) time.Duration { return max(0, h.until-now) }
