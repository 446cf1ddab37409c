// Package schedule decides which task runs on which worker, and what to do when
// batch tasks slow services down.
//
// The Scheduler is deterministic: it takes workers, tasks, usage reports and the
// time, and returns actions. It holds no clock, goroutine or global random source,
// so that the same inputs give the same actions.
//
// A placement decision filters the hosts, scores those that pass and assumes that
// the start on the best one is applied, until the replicated state confirms or
// rejects it. This is the cycle of the Kubernetes scheduling framework. Relief is
// what the scheduler does for a service whose latency suffers from its neighbours:
// it throttles batch tasks, then moves them, and stops them last. This order and
// the use of late measurements follow Heracles (Lo et al., ISCA 2015) and Paragon
// (Delimitrou and Kozyrakis, ASPLOS 2013). Fair shares of the teams are dominant
// resource shares (Ghodsi et al., NSDI 2011).
package schedule
