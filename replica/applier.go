package replica

import (
	"mangohill.example/mangohill/consensus"
)

// applyTask is work for the applier, done in the order of its fields.
type applyTask struct {
	restore  *consensus.SnapshotMeta
	data     []byte
	entries  []consensus.Entry
	reads    []readTask
	snapshot *consensus.SnapshotMeta
}

// readTask answers a read once index is applied.
type readTask struct {
	index uint64
	done  chan outcome
}

// applier owns the state machine.
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
			if err := a.do(task); err != nil {
				r.fail(err)
				return
			}
		case <-r.ctx.Done():
			return
		}
	}
}

// fail hands an error of the applier to the loop, which stops the replica.
func (r *Replica) fail(err error) {
	select {
	case r.requests <- request{failure: err}:
	case <-r.ctx.Done():
	}
}

func (a *applier) do(task applyTask) error {
	if task.restore != nil {
		if err := a.replica.options.StateMachine.Restore(task.data); err != nil {
			return err
		}
		a.applied = task.restore.Index
		a.replica.waiters.skip(a.applied)
	}
	for _, e := range task.entries {
		a.apply(e)
	}
	a.replica.applied.Store(a.applied)
	a.reads = append(a.reads, task.reads...)
	a.answerReads()
	a.poke()
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

func (a *applier) answerReads() {
	var waiting []readTask
	for _, read := range a.reads {
		if read.index > a.applied {
			waiting = append(waiting, read)
			continue
		}
		read.done <- outcome{}
	}
	a.reads = waiting
}

// poke tells the loop that the applied index moved.
func (a *applier) poke() {
	select {
	case a.replica.applyPoke <- struct{}{}:
	default:
	}
}

func (a *applier) takeSnapshot(meta consensus.SnapshotMeta) error {
	data, err := a.replica.options.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	if err := a.replica.store.WriteSnapshot(meta, data); err != nil {
		return err
	}
	select {
	case a.replica.snapshots <- meta:
	case <-a.replica.ctx.Done():
	}
	return nil
}
