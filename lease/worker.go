package lease

import "time"

// WorkerLease is a worker's view of its lease. Times are on the worker's monotonic
// clock. The zero value has expired.
type WorkerLease struct {
	expiresAt time.Duration
}

// Extend records that a renewal sent at sentAt was granted: the lease runs for the
// given duration from then. A late answer never shortens a lease.
func (l *WorkerLease) Extend(sentAt, duration time.Duration) {
	l.expiresAt = max(l.expiresAt, sentAt+duration)
}

// Expired reports whether the lease has expired, so that the worker must not run
// any task.
func (l *WorkerLease) Expired(now time.Duration) bool { return now >= l.expiresAt }

// Remaining returns the time until the lease expires, at least zero.
func (l *WorkerLease) Remaining(now time.Duration) time.Duration { return max(0, l.expiresAt-now) }
