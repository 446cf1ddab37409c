package replica

import (
	"mangohill.example/mangohill/consensus"
)

// applyTask is work for the applier, which carries out the fields in their
// order.
type applyTask struct {
	restore  *consensus.SnapshotMeta
	data     []byte
	entries  []consensus.Entry
	reads    []readTask
	snapshot *consensus.SnapshotMeta
}

// readTask is a linearizable read that completes once index is applied.
type readTask struct {
	index uint64
	done  chan outcome
}

// snapshotResult is the result of writing a snapshot of this replica's state machine.
type snapshotResult struct {
	meta consensus.SnapshotMeta
	err  error
}

// applier applies committed entries and owns the state machine.
type applier struct {
	replica *Replica
	applied uint64
	reads   []readTask
}

func (r *Replica) runApplier(applied uint64) {
	defer r.group.Done()
	a := &applier{replica: r, applied: applied}
	for {
		select {
		case task := <-r.applies:
			if err := a.process(task); err != nil {
				r.reportFailure(err)
				return
			}
		case <-r.ctx.Done():
			return
		}
	}
}

// reportFailure passes an error of the applier to the loop, which then stops
// the replica.
func (r *Replica) reportFailure(err error) {
	select {
	case r.requests <- request{failure: err}:
	case <-r.ctx.Done():
	}
}

func (a *applier) process(task applyTask) error {
	if task.restore != nil {
		if err := a.replica.options.StateMachine.Restore(task.data); err != nil {
			return err
		}
		a.applied = task.restore.Index
		a.replica.waiters.failCoveredBySnapshot(a.applied)
	}
	for _, e := range task.entries {
		a.apply(e)
	}
	a.replica.applied.Store(a.applied)
	a.reads = append(a.reads, task.reads...)
	a.completeReads()
	a.notifyLoop()
	if task.snapshot != nil {
		return a.takeSnapshot(*task.snapshot)
	}
	return nil
}

func (a *applier) apply(e consensus.Entry) {
	var value any
	if e.Type == consensus.EntryCommand {
		value = a.replica.options.StateMachine.Apply(e.Index, e.Data)
	}
	a.applied = e.Index
	a.replica.applied.Store(e.Index)
	a.replica.waiters.resolve(e.Index, e.Term, value)
}

func (a *applier) completeReads() {
	var pending []readTask
	for _, read := range a.reads {
		if read.index > a.applied {
			pending = append(pending, read)
			continue
		}
		read.done <- outcome{}
	}
	a.reads = pending
}

// notifyLoop tells the loop that the applied index has advanced.
func (a *applier) notifyLoop() {
	select {
	case a.replica.appliedSignal <- struct{}{}:
	default:
	}
}

// takeSnapshot encodes the state and has it written beside the entries that follow: on a slow
// disk, commands would otherwise wait for the file.
func (a *applier) takeSnapshot(meta consensus.SnapshotMeta) error {
	data, err := a.replica.options.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	a.replica.group.Go(func() {
		written := snapshotResult{meta: meta, err: a.replica.store.WriteSnapshot(meta, data)}
		select {
		case a.replica.snapshots <- written:
		case <-a.replica.ctx.Done():
		}
	})
	return nil
}
