// Package replica runs one member of the control group: it drives the consensus
// core with the clock and with net/rpc, and connects it to the storage and to a
// state machine.
//
// One goroutine owns the core and the log ("loop"), one applies committed
// entries to the state machine and writes snapshots ("applier"), and one for
// each peer sends messages ("sender"). They communicate by bounded channels:
//
//	proposals  full: Propose blocks until its context ends
//	inbound    full: the RPC fails with kind overloaded; the peer sends again
//	applies    full: the loop keeps the tasks in a backlog; if that grows too
//	           long, it accepts no proposals
//	outbound   full: the message is dropped; the core sends again
//
// All proposals that are queued while a sync runs share the next sync (group
// commit).
package replica
