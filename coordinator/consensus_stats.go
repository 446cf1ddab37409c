package coordinator

import (
	"sync/atomic"
	"time"

	"mangohill.example/mangohill/internal/boottime"
	"mangohill.example/mangohill/replica"
)

// overdueCommit is the time after which a batch that is not committed is logged, and the
// interval at which it is logged again: many times the duration of a commit, and longer than a
// leader without a quorum stays one.
const overdueCommit = 1500 * time.Millisecond

// consensusStats is a short view of the group. Its variable is among the first by name, so that it
// survives in documents that are cut.
type consensusStats struct {
	Role   string
	Term   uint64
	Leader string
	// Serving tells whether this member decides as the leader.
	Serving               bool
	Commit, Applied, Last uint64
	// ContactMs is the time since the start of the latest heartbeat round that a quorum answered,
	// CommitMs that since the latest commit of a batch, BatchMs for how long the batch in progress
	// has not been committed, and LoopMs that since the latest tick of the leader's loop; -1 for
	// none.
	ContactMs, CommitMs, BatchMs, LoopMs int64
	// SyncMs is the time that the latest synced append to the log took, in milliseconds.
	SyncMs int64
	// Followers holds, at the leader, the replication to each other member.
	Followers []replica.Follower
}

// moment is a time by the boot clock that one goroutine sets and others read.
type moment struct{ ns atomic.Int64 }

func (m *moment) set()   { m.ns.Store(boottime.Nanoseconds()) }
func (m *moment) clear() { m.ns.Store(0) }

// since returns the time since the moment, false if there is none.
func (m *moment) since() (time.Duration, bool) {
	at := m.ns.Load()
	return time.Duration(boottime.Nanoseconds() - at), at != 0
}

// milliseconds returns the time since the moment in milliseconds, -1 if there is none.
func (m *moment) milliseconds() int64 {
	if since, ok := m.since(); ok {
		return since.Milliseconds()
	}
	return -1
}

func (c *Coordinator) consensusStats() consensusStats {
	status := c.replica.Status()
	s := consensusStats{
		Role: status.Role, Term: status.Term, Leader: status.Leader, Serving: c.serving.Load(),
		Commit: status.Commit, Applied: status.Applied, Last: status.Last, Followers: status.Followers,
		SyncMs: status.SyncTime.Milliseconds(), ContactMs: -1, CommitMs: c.metrics.committedAt.milliseconds(), BatchMs: c.metrics.proposedAt.milliseconds(), LoopMs: c.metrics.tickedAt.milliseconds(),
	}
	if contact := c.replica.QuorumContact(); !contact.IsZero() {
		s.ContactMs = boottime.Now().Sub(contact).Milliseconds()
	}
	return s
}

// reportOverdue logs a batch that has not been committed for long while this member leads.
func (l *loop) reportOverdue() {
	waiting, ok := l.metrics.proposedAt.since()
	if !ok || waiting < l.nextOverdue {
		return
	}
	l.nextOverdue = waiting + overdueCommit
	stats := l.consensusStats()
	l.options.Logger.Warn().Dur("waiting", waiting).Int("bytes", l.proposedBytes).Uint64("term", l.term).Uint64("commit", stats.Commit).Uint64("applied", stats.Applied).
		Uint64("last", stats.Last).Int64("contact_ms", stats.ContactMs).Interface("followers", stats.Followers).Msg("batch overdue")
}
