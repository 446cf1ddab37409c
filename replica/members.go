package replica

import (
	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
)

// admit adds a member as a learner, in place of learners at its address.
func (l *loop) admit(req request) {
	membership := l.core.Membership()
	if status := l.core.Status(); status.Role != consensus.Leader {
		req.done <- outcome{err: l.core.NotLeader()}
		return
	}
	if _, ok := membership.Find(req.join.ID); ok {
		req.done <- outcome{}
		return
	}
	if old, ok := l.activeMemberAt(req.join.Address); ok {
		req.done <- outcome{err: kind.Errorf(kind.AlreadyExists, "address %s belongs to the live member %s", old.Address, old.ID)}
		return
	}
	index, err := l.core.ProposeMembership(membership.AddLearner(*req.join))
	if err != nil {
		req.done <- outcome{err: err}
		return
	}
	l.replica.waiters.add(index, l.core.Status().Term, req.done)
}

func (l *loop) activeMemberAt(address string) (consensus.Member, bool) {
	for _, member := range l.core.Membership().Members {
		if member.Address == address && l.core.IsActive(member.ID) {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// maintainMembership promotes a learner that holds everything durably, and
// removes the voter whose address a later voter took. One change at a time: the
// core refuses another one meanwhile.
func (l *loop) maintainMembership() {
	membership := l.core.Membership()
	if l.core.Status().Role != consensus.Leader {
		l.askAgain(membership)
		return
	}
	if old, ok := membership.Replaced(); ok {
		l.change(membership.Remove(old), "removed the member that was replaced", old)
		return
	}
	if id, ok := l.core.CaughtUpLearner(); ok {
		l.change(membership.Promote(id), "promoted a learner to voter", id)
	}
}

func (l *loop) change(next consensus.Membership, done string, id consensus.MemberID) {
	if _, err := l.core.ProposeMembership(next); err == nil {
		l.replica.options.Logger.Info().Stringer("member", id).Msg(done)
	}
}

// askAgain repeats the request for admission of a member that no membership it
// knows contains: its admission was lost with a leader.
func (l *loop) askAgain(membership consensus.Membership) {
	if _, ok := membership.Find(l.identity.Member); ok || l.core.Status().Leader != 0 {
		return
	}
	if l.ticks%uint64(2*l.replica.options.ElectionTicks) != 0 {
		return
	}
	l.replica.group.Add(1)
	go l.replica.joinAgain(l.identity.Member)
}

func (r *Replica) joinAgain(id consensus.MemberID) {
	defer r.group.Done()
	for _, address := range r.options.ControlAddresses {
		if address == r.options.Address {
			continue
		}
		_, err := r.askToJoin(address, id)
		if hint := leaderHint(err); hint != "" {
			_, err = r.askToJoin(hint, id)
		}
		if err == nil {
			return
		}
	}
}

// startSnapshot asks the applier for a snapshot when the log has grown enough.
func (l *loop) startSnapshot() {
	entries, bytes := l.core.LogSize()
	enough := entries >= l.replica.options.SnapshotEntries || bytes >= l.replica.options.SnapshotBytes && entries > 0
	if l.snapshotting || !enough {
		return
	}
	meta, ok := l.core.NextSnapshot()
	if !ok {
		return
	}
	l.snapshotting = true
	l.backlog = append(l.backlog, applyTask{snapshot: &meta})
}

// compact drops what a new snapshot covers, but for a tail that spares slow
// followers a transfer.
func (l *loop) compact(meta consensus.SnapshotMeta) error {
	l.snapshotting = false
	if meta.Index < l.core.Snapshot().Index {
		return nil
	}
	keep := l.keepIndex(meta)
	l.core.Compact(meta, keep)
	if err := l.replica.store.Compact(keep); err != nil {
		return err
	}
	return l.replica.store.RemoveSnapshots(meta.Index)
}

func (l *loop) keepIndex(meta consensus.SnapshotMeta) uint64 {
	_, bytes := l.core.LogSize()
	if bytes >= l.replica.options.SnapshotBytes {
		return meta.Index
	}
	return meta.Index - min(meta.Index, l.replica.options.SnapshotEntries/2)
}

// handOver asks another voter to lead before a planned stop.
func (l *loop) handOver() {
	if !l.core.TransferLeadership() {
		return
	}
	l.publish()
	ready := l.core.Ready()
	for _, m := range ready.Messages {
		if s := l.senders[m.To]; s != nil && m.Type == consensus.MessageTimeoutNow {
			s.callOnce(m)
		}
	}
}
