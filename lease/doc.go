// Package lease decides on the leases under which workers run tasks (Gray and
// Cheriton, SOSP 1989), on both ends. It is pure: every function takes the time.
//
// A worker counts its lease from the moment at which it sent the renewal, the
// leader from the moment at which it granted it, which is later, and the leader
// adds a margin for clocks that run at different rates. So a lease is over at
// the worker before it is over at the leader.
//
// A leader grants only while a quorum followed it a short time ago, so one that
// was cut off stops granting. A new leader knows none of the leases that its
// predecessors granted: it treats all as granted just after its election.
package lease
