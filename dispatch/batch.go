package dispatch

import (
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// batch is a batch for the log and the effects to release once it is committed.
type batch struct {
	*workflow.Batch
	effects []func()
	// bytes is the encoded size of the operations.
	bytes int
}

const (
	// fullBatchBytes is the size from which on a batch takes no more operations. It is that
	// of a message between members, so that a batch delays no heartbeat.
	fullBatchBytes = 256 << 10
	// maxOpBytes is the largest encoded size of an operation. The rest of a command is for
	// the batch around it.
	maxOpBytes = workflow.MaxCommandBytes - 64
)

// propose applies an operation to the engine's state and adds it to the batches that wait.
// An operation that the state refuses is not added; its error is returned. One that is
// larger than a command is refused with kind body_too_large.
func (e *Engine) propose(op workflow.Op) error {
	size, err := op.EncodedSize()
	if err != nil {
		return kind.Errorf(kind.Internal, "encode an operation: %w", err)
	}
	if size > maxOpBytes {
		return kind.Errorf(kind.BodyTooLarge, "an operation of %d bytes exceeds the limit of %d bytes", size, maxOpBytes)
	}
	last := e.lastWaiting()
	if last == nil || !e.together && last.bytes+size > fullBatchBytes {
		last = e.beginBatch()
	}
	if err := e.planned.Add(last.Batch, op); err != nil {
		return err
	}
	last.bytes += size
	return nil
}

// beginBatch adds a batch to those that wait. It is logged even if it stays empty, since it
// has set the time of the engine's state.
func (e *Engine) beginBatch() *batch {
	b := &batch{Batch: e.planned.Begin(e.wallMs)}
	e.waiting = append(e.waiting, b)
	return b
}

// proposeTogether keeps the operations that decide proposes in one batch, so that all or
// none of them are committed. Those of the largest gang fit into a command beside a full
// batch, but not beside a larger operation. decide proposes one operation at least.
func (e *Engine) proposeTogether(decide func()) {
	if last := e.lastWaiting(); last != nil && last.bytes > fullBatchBytes {
		e.beginBatch()
	}
	e.together = true
	decide()
	e.together = false
}

func (e *Engine) lastWaiting() *batch {
	if len(e.waiting) == 0 {
		return nil
	}
	return e.waiting[len(e.waiting)-1]
}

// Committing reports whether a batch is in flight.
func (e *Engine) Committing() bool { return e.inFlight != nil }

// TakeBatch places pending tasks and returns the next batch for the log. It returns nil if
// there is nothing to log or a batch is still in flight.
func (e *Engine) TakeBatch() *workflow.Batch {
	e.Place()
	return e.TakeDecided()
}

// Place places pending tasks, unless a batch is still in flight.
func (e *Engine) Place() {
	if e.inFlight == nil {
		e.plan()
		e.copyStragglers()
	}
}

// TakeDecided returns the next batch for the log like TakeBatch, but places no tasks.
func (e *Engine) TakeDecided() *workflow.Batch {
	if e.inFlight != nil || len(e.waiting) == 0 {
		return nil
	}
	e.inFlight, e.waiting = e.waiting[0], e.waiting[1:]
	return e.inFlight.Batch
}

// Committed runs the effects of the batch in flight, which has been committed.
func (e *Engine) Committed() {
	done := e.inFlight
	e.inFlight = nil
	for _, effect := range done.effects {
		effect()
	}
}

// afterCommit runs the effect once all operations proposed so far are committed: at once
// if none is outstanding.
func (e *Engine) afterCommit(effect func()) {
	last := e.lastWaiting()
	if last == nil {
		last = e.inFlight
	}
	if last == nil {
		effect()
		return
	}
	last.effects = append(last.effects, effect)
}
