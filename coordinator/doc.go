// Package coordinator runs the engine of package dispatch on one member of the
// control group. It connects the replicated log, the leader's engine and the calls
// to workers, and serves the group's RPC interface to the other processes.
//
// One goroutine (type loop) owns the engine. One goroutine proposes the current
// batch, and each order is sent by a goroutine of its own. They communicate over
// channels:
//
//	calls         if full, the caller is refused with kind overloaded
//	orderAnswers  if full, the goroutine of the order waits
//	hostAnswers   if full, the goroutine of the order waits
//	advice        if full, the goroutine of the question waits
//	commits       if full, the goroutine of the batch waits
package coordinator
