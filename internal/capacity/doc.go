// Package capacity measures the slopes of docs/CAPACITY.md at the size that the
// page plans for: the bytes of each message and log entry, the memory and the
// processor time of the replicated state, the replication, and the consumption
// of running processes. The command mangohill-bench prints them.
package capacity
