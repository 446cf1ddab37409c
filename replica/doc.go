// Package replica runs one member of the control group: it joins the consensus
// core, the storage and a state machine to the clock and to net/rpc.
//
// One goroutine owns the core and the log ("loop"), one applies committed
// entries to the state machine and writes snapshots ("applier"), and one for
// each peer sends messages ("sender"). They are joined by bounded channels:
//
//	proposals  full: Propose waits until its context ends
//	inbound    full: the RPC is refused with kind overloaded; the peer repeats it
//	applies    full: the loop keeps the work, and takes no more proposals
//	outbound   full: the message is dropped; the core repeats it
//
// All proposals that wait while a sync runs share the next one (group commit).
package replica
