// Package state is the replicated state machine. It holds workers, jobs, tasks with
// the epochs of their attempts, claims of idempotency keys, the cluster's
// configuration and the outcomes of operators' commands.
//
// A Store changes only through Apply, which is deterministic: replicas that apply
// the same entries have snapshots that are equal byte for byte. All time comes from
// the entries. An entry is a list of typed operations, encoded in CBOR (RFC 8949) as
// arrays, with numeric task and worker IDs.
//
// Each operation is validated when it is applied, whatever the leader planned: the
// epoch of the attempt, the transitions of the state charts "task" and "worker", and
// the free capacity of the worker. An attempt stays committed to its worker until
// the worker has reported its end or the worker's lease has expired.
package state
