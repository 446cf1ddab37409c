// Package fleet simulates workers and tasks in virtual time, to measure scheduling
// decisions. In fixed steps it computes progress, latency, load and faults by
// formulas. It keeps the tasks in memory and checks each action as the replicated
// state does. It doesn't model the network, the log or the lease protocol.
package fleet
