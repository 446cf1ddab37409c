// Package capacity measures the slopes of docs/CAPACITY.md, that is the resources
// used per unit of load, at the cluster size for which the page plans: the bytes of
// each message and log entry, the memory and processor time of the replicated
// state, the replication traffic, and the resource use of running processes. The
// command mangohill-bench prints them.
package capacity
