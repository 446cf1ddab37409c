package replica

import (
	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
)

// admit takes a member in as a learner, and answers once that is committed.
func (l *loop) admit(req request) {
	index, err := l.core.Admit(*req.join)
	if err != nil || index == 0 {
		req.done <- outcome{err: err}
		return
	}
	l.replica.waiters.add(index, l.core.Status().Term, req.done)
}

// maintainMembership takes the next step of a repair, or asks for admission
// again where that is due.
func (l *loop) maintainMembership() {
	if id, ok := l.core.MaintainMembership(); ok {
		_, kept := l.core.Membership().Find(id)
		l.replica.options.Logger.Info().Stringer("member", id).Bool("promoted", kept).Bool("removed", !kept).Msg("membership changed")
	}
	l.askAgain()
}

// askAgain repeats the request for admission where it is due.
func (l *loop) askAgain() {
	if !l.core.NeedsAdmission() || l.ticks%uint64(2*l.replica.options.ElectionTicks) != 0 {
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
		if hint := kind.LeaderHint(err); hint != "" {
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
	return l.replica.store.RemoveSnapshotsBefore(meta.Index)
}

func (l *loop) keepIndex(meta consensus.SnapshotMeta) uint64 {
	_, bytes := l.core.LogSize()
	if bytes >= l.replica.options.SnapshotBytes {
		return meta.Index
	}
	return meta.Index - min(meta.Index, l.replica.options.SnapshotEntries/2)
}
