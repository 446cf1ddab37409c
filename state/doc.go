// Package state is the replicated state machine: workers, jobs, tasks with the
// epochs of their attempts, claims of non-idempotent requests, the cluster's
// configuration and the outcomes of operators' commands.
//
// A Store changes only by Apply, which is deterministic: every replica that
// applies the same entries holds the same state, byte for byte in its snapshot.
// All time comes from the entries. An entry is a list of typed operations
// encoded in CBOR (RFC 8949) as arrays, with numeric task and worker IDs.
//
// Each operation checks everything again when it is applied, whatever the leader
// planned: the epoch of the attempt, the state charts "task" and "worker", and
// the free capacity of the worker. An attempt stays committed to its worker until
// the worker reported its end or the worker's lease is over.
package state
