// Package consensus is the pure core of a replicated log after the Raft
// algorithm (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", USENIX ATC 2014; Ongaro's dissertation, Stanford 2014), with
// pre-vote, leadership check against a quorum, learners, membership changes of
// one voter at a time, log compaction by snapshot, and linearizable reads.
//
// The core holds no clock, file, socket, goroutine or global random source. Its
// driver feeds it ticks, messages and proposals, and carries out what Ready
// returns, in this order:
//
//	for {
//		select {
//		case <-ticker:         core.Tick()
//		case m := <-received:  core.Step(m)
//		case p := <-proposals: core.Propose(p)
//		}
//		for core.HasReady() {
//			ready := core.Ready()
//			send(ready.Messages that are Early)     // the leader's appends
//			install(ready.Snapshot)                 // durable, if set
//			persist(ready.HardState, ready.Entries) // one write, one sync
//			send(the other ready.Messages)          // only after the sync
//			apply(ready.Committed)
//			core.Advance(ready)
//		}
//	}
//
// Nothing is answered before it is durable: the responses in Messages speak of
// entries, terms and votes that the same Ready persists, and the leader counts
// itself for an entry only once Advance reports it as persisted.
package consensus
