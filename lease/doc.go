// Package lease implements the leases under which workers run tasks (Gray and
// Cheriton, SOSP 1989), for the leader and for the workers. It has no clock: the
// time is passed to every function.
//
// A worker counts its lease from the moment at which it sent the renewal. The
// leader counts it from the moment at which it granted the renewal, which is later,
// and adds a margin for clocks that run at different rates. A lease therefore
// expires at the worker before it expires at the leader.
//
// A leader grants leases only within a short time after its last contact with a
// quorum, so a leader that is cut off stops granting. A new leader does not know the
// leases that earlier leaders granted: it treats all of them as granted just after
// its election.
package lease
