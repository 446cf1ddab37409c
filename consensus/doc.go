// Package consensus implements the core of a replicated log with the Raft
// algorithm (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", USENIX ATC 2014; Ongaro's dissertation, Stanford 2014), with
// pre-vote, check quorum, learners, membership changes of one voter at a time,
// log compaction by snapshots, and linearizable reads.
//
// The core is deterministic: it uses no clock, file, socket, goroutine or global
// random source. Its driver passes it ticks, messages and proposals, and carries
// out the work that Ready returns, in this order:
//
//	for {
//		select {
//		case <-ticker:         core.Tick()
//		case m := <-received:  core.Step(m)
//		case p := <-proposals: core.Propose(p)
//		}
//		for core.HasReady() {
//			ready := core.Ready()
//			send(ready.Messages with MaySendBeforeSync) // the leader's appends
//			install(ready.Snapshot)                     // if set; must become durable
//			persist(ready.HardState, ready.Entries)     // one write, one sync
//			send(the other ready.Messages)              // only after the sync
//			apply(ready.Committed)
//			core.Advance(ready)
//		}
//	}
//
// Nothing is acknowledged before it is durable: the responses in Messages
// acknowledge entries, terms and votes that the same Ready persists, and the
// leader counts its own copy of an entry only after Advance confirms that it is
// persisted.
package consensus
