// Package workersync serves the workers' long polls on an entry host:
// POST /v1/workers/{worker}/sync.
//
// The lease renewals of all workers are gathered into one Exchange with the
// leader at a time, which is itself a long poll for the commands to the workers.
// Changes of attempts go to the leader at once, in small batches, and a sync is
// answered only when they are replicated, so that "since the last answered sync"
// loses nothing. The package keeps no durable state: what is lost with the entry
// host is asked again, by the worker or by the leader.
package workersync
