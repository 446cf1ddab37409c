package replica

import (
	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
)

// admit proposes to add a member as a learner, and answers the request once the
// change is committed.
func (l *loop) admit(req request) {
	index, err := l.core.Admit(*req.join)
	if err != nil || index == 0 {
		req.done <- outcome{err: err}
		return
	}
	l.replica.waiters.add(index, l.core.Status().Term, req.done)
}

// maintainMembership proposes the next membership change that is due, and
// requests admission again if this member needs it.
func (l *loop) maintainMembership() {
	if id, ok := l.core.MaintainMembership(); ok {
		_, kept := l.core.Membership().Find(id)
		l.replica.options.Logger.Info().Stringer("member", id).Bool("promoted", kept).Bool("removed", !kept).Msg("membership changed")
	}
	l.retryAdmission()
}

// retryAdmission requests admission every two election timeouts, as long as
// this member needs it.
func (l *loop) retryAdmission() {
	if !l.core.NeedsAdmission() || l.ticks%uint64(2*l.replica.options.ElectionTicks) != 0 {
		return
	}
	l.replica.group.Add(1)
	go l.replica.requestAdmissionAgain(l.identity.Member)
}

// requestAdmissionAgain requests admission of this member at each control
// address, following leader hints, until one grants it.
func (r *Replica) requestAdmissionAgain(id consensus.MemberID) {
	defer r.group.Done()
	for _, address := range r.options.ControlAddresses {
		if address == r.options.Address {
			continue
		}
		_, err := r.requestAdmission(address, id)
		if hint := kind.LeaderHint(err); hint != "" {
			_, err = r.requestAdmission(hint, id)
		}
		if err == nil {
			return
		}
	}
}

// startSnapshot queues a snapshot if the log exceeds one of its thresholds.
func (l *loop) startSnapshot() {
	entries, bytes := l.core.LogSize()
	exceedsThreshold := entries >= l.replica.options.SnapshotEntries || bytes >= l.replica.options.SnapshotBytes && entries > 0
	if l.snapshotting || !exceedsThreshold || l.ticks < l.nextSnapshotTick {
		return
	}
	meta, ok := l.core.NextSnapshot()
	if !ok {
		return
	}
	l.snapshotting = true
	l.backlog = append(l.backlog, applyTask{snapshot: &meta})
}

const (
	// snapshotRetryTicks is the pause after a snapshot that was not written.
	snapshotRetryTicks = 20
	// maxLogFactor times the threshold of a snapshot is the size of the log in memory at
	// which a replica that can't write snapshots stops.
	maxLogFactor = 8
)

// finishSnapshot compacts the log after a snapshot. One that was not written, for example
// because no file could be opened, is taken again later: until then the log holds
// everything. Only a log that outgrows the memory stops the replica, or suspends it if the
// disk is full.
func (l *loop) finishSnapshot(written snapshotResult) error {
	if l.suspended.active {
		l.snapshotting = false
		return nil
	}
	if written.err == nil {
		return l.compact(written.meta)
	}
	l.snapshotting, l.nextSnapshotTick = false, l.ticks+snapshotRetryTicks
	entries, bytes := l.core.LogSize()
	options := &l.replica.options
	options.Logger.Warn().Err(written.err).Uint64("index", written.meta.Index).Uint64("log_entries", entries).Int("log_bytes", bytes).Msg("snapshot not written")
	if entries >= maxLogFactor*options.SnapshotEntries || bytes >= maxLogFactor*options.SnapshotBytes {
		return written.err
	}
	return nil
}

// compact drops the log entries covered by a new snapshot, except a tail that
// lets slightly lagging followers catch up without a snapshot transfer.
func (l *loop) compact(meta consensus.SnapshotMeta) error {
	l.snapshotting = false
	if meta.Index < l.core.Snapshot().Index {
		return nil
	}
	compactTo := l.compactionIndex(meta)
	l.core.Compact(meta, compactTo)
	if err := l.replica.store.Compact(compactTo); err != nil {
		return err
	}
	return l.replica.store.RemoveSnapshotsBefore(meta.Index)
}

// compactionIndex returns the index up to which the log is compacted after the
// snapshot. No tail is kept if the log has reached its memory limit.
func (l *loop) compactionIndex(meta consensus.SnapshotMeta) uint64 {
	_, bytes := l.core.LogSize()
	if bytes >= l.replica.options.SnapshotBytes {
		return meta.Index
	}
	return meta.Index - min(meta.Index, l.replica.options.SnapshotEntries/2)
}
