// Package schedule decides which task runs on which worker, and what to do when
// services suffer from their neighbours.
//
// The Scheduler is pure: it takes workers, tasks, usage reports and the time,
// and returns actions. It holds no clock, goroutine or global random source, so
// that the same inputs give the same actions.
//
// A decision filters the hosts, scores those that are left and reserves the best
// one in an assumed-state cache until the replicated state confirms or rejects
// the action. This is the cycle of the Kubernetes scheduling framework; the
// relative order of relief and the use of late measurements follow Heracles (Lo
// et al., ISCA 2015) and Paragon (Delimitrou and Kozyrakis, ASPLOS 2013). Fair
// shares are dominant resource shares (Ghodsi et al., NSDI 2011).
package schedule
