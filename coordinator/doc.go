// Package coordinator runs the decisions of package dispatch on one member of
// the control group: it joins the replicated log, the leader's engine and the
// calls to workers, and serves the group's interface to the other processes.
//
// One goroutine ("loop") owns the engine. A goroutine proposes the batch under
// way, and one carries out each order. They are joined by channels:
//
//	events   full: the caller is refused with kind overloaded
//	answers  full: the goroutine of the order waits
//	hosts    full: the goroutine of the order waits
package coordinator
