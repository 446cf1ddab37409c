package replica

import (
	"time"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

// spaceCheckTicks is the interval, in ticks, at which a member whose disk is full tries to
// write again: a quarter of a second with the default tick.
const spaceCheckTicks = 5

// RoleFull is the role of a member that does not participate since its disk is full.
const RoleFull = "full"

// suspension is the state of a member whose disk is full. It neither votes nor
// acknowledges; its core is not used any more, since what it holds in memory may not be on
// the disk.
type suspension struct {
	active bool
	// since and nextCheck are ticks.
	since, nextCheck uint64
	// term and leader are those of the newest leader that has sent a message. They only
	// direct callers.
	term   uint64
	leader consensus.MemberID
}

// suspend stops the participation in the group after a write that failed for lack of space.
// A leader gives up its leadership before anything else is sent.
func (l *loop) suspend(cause error) {
	status := l.core.Status()
	handOver, handsOver := l.core.Abandon()
	l.suspended = suspension{active: true, since: l.ticks, nextCheck: l.ticks + spaceCheckTicks, term: status.Term}
	if status.Role != consensus.Leader {
		l.suspended.leader = status.Leader
	}
	l.replica.fullCount.Add(1)
	l.publishSuspended()
	l.replica.options.Logger.Warn().Err(cause).Uint64("term", status.Term).Bool("led", status.Role == consensus.Leader).
		Uint64("applied", l.queued).Msg("disk full")
	if s := l.senders[handOver.To]; handsOver && s != nil {
		s.enqueue(handOver)
	}
	for id, done := range l.reads {
		done <- outcome{err: l.notLeaderWhileSuspended()}
		delete(l.reads, id)
	}
	l.replica.waiters.failAfter(l.queued)
	for i := range l.pendingCalls {
		l.pendingCalls[i].refuse()
	}
	l.pendingCalls, l.received = nil, nil
}

// publishSuspended makes the suspension visible to other goroutines.
func (l *loop) publishSuspended() {
	status := consensus.Status{ID: l.identity.Member, Term: l.suspended.term, Leader: l.suspended.leader, Commit: l.queued}
	l.publishStatus(status)
	l.publishContact(status)
	l.publishLeadership(status)
}

func (l *loop) notLeaderWhileSuspended() error {
	leader, _ := l.core.Membership().Find(l.suspended.leader)
	return kind.Errorf(kind.NotLeader, "%s", leader.Address)
}

// receiveSuspended answers messages from peers with an error, and notes who leads.
func (l *loop) receiveSuspended(in peerEvent) {
	for _, m := range in.messages {
		if fromLeader := m.Type == consensus.MessageAppend || m.Type == consensus.MessageSnapshot; fromLeader && m.Term >= l.suspended.term {
			l.suspended.term, l.suspended.leader = m.Term, m.From
		}
	}
	in.refuse()
}

// checkSpace resumes the participation once the disk has space.
func (l *loop) checkSpace() error {
	if l.ticks < l.suspended.nextCheck {
		return nil
	}
	l.suspended.nextCheck = l.ticks + spaceCheckTicks
	loaded, err := l.replica.store.Reload()
	if storage.IsFull(err) {
		return nil
	}
	if err != nil {
		return err
	}
	return l.resume(loaded)
}

// resume starts the core again from what is durable, as after a restart of the process. The
// state machine keeps its state, which holds committed entries only.
func (l *loop) resume(loaded storage.LoadedState) error {
	if meta := loaded.Restored.Snapshot; meta.Index > l.queued {
		_, data, err := l.replica.store.ReadSnapshot(meta.Index)
		if err != nil {
			return err
		}
		l.queued = meta.Index
		l.backlog = append(l.backlog, applyTask{restore: &meta, data: data})
	}
	loaded.Restored.Applied = l.queued
	core, err := l.replica.newCore(loaded)
	if err != nil {
		return err
	}
	l.core = core
	took := time.Duration(l.ticks-l.suspended.since) * l.replica.options.Tick
	l.suspended = suspension{}
	l.replica.options.Logger.Info().Dur("after", took).Uint64("term", core.Status().Term).Uint64("last", core.Status().LastIndex).
		Msg("disk has space")
	return nil
}

// awaitSpace reloads the folder until the disk has space. It returns false if the replica
// is stopped before.
func (r *Replica) awaitSpace(cause error) (storage.LoadedState, bool, error) {
	r.options.Logger.Warn().Err(cause).Bool("starting", true).Msg("disk full")
	r.fullCount.Add(1)
	r.status.Store(&Status{Role: RoleFull})
	for {
		if !r.waitTicks(spaceCheckTicks) {
			return storage.LoadedState{}, false, nil
		}
		loaded, err := r.store.Reload()
		if storage.IsFull(err) {
			continue
		}
		if err == nil {
			r.options.Logger.Info().Bool("starting", true).Msg("disk has space")
			r.status.Store(&Status{Role: roleJoining})
		}
		return loaded, true, err
	}
}
