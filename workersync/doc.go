// Package workersync serves the workers' long polls on an entry host:
// POST /v1/workers/{worker}/sync.
//
// The lease renewals of all workers are combined into one Exchange call to the
// leader, which is itself a long poll for commands to the workers. State changes of
// attempts go to the leader immediately, in small batches. A sync is answered only
// after its changes are replicated, so a worker may drop every change that it sent in
// an answered sync. The package keeps no durable state: after a crash of the entry
// host, the worker repeats its sync and the leader its commands.
package workersync
