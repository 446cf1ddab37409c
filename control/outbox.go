package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/types"
)

const (
	// resendInterval is the time after which a command without effect is sent again.
	resendInterval = 2 * time.Second
	// maxStrays bounds the attempts per worker that are to be stopped though the
	// state does not place them there. More are found by later reports.
	maxStrays = 64
)

// attemptKey names an attempt.
type attemptKey struct {
	task  string
	epoch uint64
}

// pending is a command whose effect was not yet reported.
type pending struct {
	command controlapi.WorkerCommand
	sentAt  time.Time
	sentTo  string
}

// mailbox holds the commands for one worker.
type mailbox struct {
	worker types.Worker
	// entry is the entry host at which the worker's newest sync arrived.
	entry   string
	session uint64
	order   int64 // of that sync
	// commands are derived from the replicated state.
	commands map[types.TaskID]*pending
	// strays are attempts that the worker reported and the state does not know.
	strays map[attemptKey]*pending
}

// outbox derives the commands for workers from the replicated state. It is not
// safe for concurrent use.
type outbox struct {
	boxes map[types.WorkerID]*mailbox
	// placed remembers the box in which a task has a command.
	placed map[types.TaskID]types.WorkerID
	// filled lists, by entry host, the workers that have commands.
	filled map[string]map[types.WorkerID]*mailbox
}

func newOutbox() *outbox {
	return &outbox{
		boxes:  make(map[types.WorkerID]*mailbox),
		placed: make(map[types.TaskID]types.WorkerID),
		filled: make(map[string]map[types.WorkerID]*mailbox),
	}
}

// list brings the list of the worker's entry host up to date.
func (o *outbox) list(id types.WorkerID, b *mailbox) {
	if len(b.commands)+len(b.strays) == 0 {
		o.unlist(id, b)
		return
	}
	if o.filled[b.entry] == nil {
		o.filled[b.entry] = make(map[types.WorkerID]*mailbox)
	}
	o.filled[b.entry][id] = b
}

func (o *outbox) unlist(id types.WorkerID, b *mailbox) {
	delete(o.filled[b.entry], id)
	if len(o.filled[b.entry]) == 0 {
		delete(o.filled, b.entry)
	}
}

func (o *outbox) box(id types.WorkerID) *mailbox {
	b, ok := o.boxes[id]
	if !ok {
		b = &mailbox{commands: make(map[types.TaskID]*pending), strays: make(map[attemptKey]*pending)}
		o.boxes[id] = b
	}
	return b
}

func (o *outbox) updateWorker(w types.Worker) {
	b := o.box(w.ID)
	if b.worker.Incarnation != w.Incarnation || w.State == types.WorkerLost {
		clear(b.strays)
		o.list(w.ID, b)
	}
	b.worker = w
}

func (o *outbox) removeWorker(id types.WorkerID) {
	if b, ok := o.boxes[id]; ok {
		o.unlist(id, b)
		delete(o.boxes, id)
	}
}

func (o *outbox) removeTask(id types.TaskID) {
	if worker, ok := o.placed[id]; ok {
		b := o.box(worker)
		delete(b.commands, id)
		delete(o.placed, id)
		o.list(worker, b)
	}
}

// updateTask replaces the command for a task by the one that its state asks for.
func (o *outbox) updateTask(t types.Task) {
	if worker, ok := o.placed[t.ID]; ok && worker != t.Worker {
		o.removeTask(t.ID)
	}
	command, needed := commandFor(t)
	if !needed {
		o.removeTask(t.ID)
		return
	}
	b := o.box(t.Worker)
	o.placed[t.ID] = t.Worker
	if old, ok := b.commands[t.ID]; ok && sameCommand(old.command, command) {
		return
	}
	b.commands[t.ID] = &pending{command: command}
	o.list(t.Worker, b)
}

func sameCommand(a, b controlapi.WorkerCommand) bool {
	return a.Epoch == b.Epoch && a.Verb == b.Verb && a.ShareMilli == b.ShareMilli
}

// commandFor derives the command that brings an attempt into the state that the
// replicated state asks for.
func commandFor(t types.Task) (controlapi.WorkerCommand, bool) {
	if !t.State.Placed() {
		return controlapi.WorkerCommand{}, false
	}
	command := controlapi.WorkerCommand{Task: t.Name, Epoch: t.Epoch}
	switch {
	case t.State == types.TaskCheckpointing && t.Stopping == types.TaskEvicted:
		command.Verb = controlapi.VerbCheckpoint
	case t.Stopping != "":
		command.Verb = controlapi.VerbStop
	case t.State == types.TaskStarting:
		command.Verb = controlapi.VerbStart
		command.Class = t.Job.Class
		command.Request = t.Job.Request
		command.ResumeFrom = t.Checkpoint
		command.Payload = t.Job.Payload
	case t.State == types.TaskRunning && t.ShareMilli > 0:
		command.Verb = controlapi.VerbThrottle
		command.ShareMilli = t.ShareMilli
	case t.State == types.TaskThrottled && t.ShareMilli == 0:
		command.Verb = controlapi.VerbUnthrottle
	default:
		return controlapi.WorkerCommand{}, false
	}
	return command, true
}

// addStray asks the worker to stop an attempt that the state does not place
// there.
func (o *outbox) addStray(worker types.WorkerID, key attemptKey) {
	b := o.box(worker)
	if _, ok := b.strays[key]; ok || len(b.strays) >= maxStrays {
		return
	}
	b.strays[key] = &pending{command: controlapi.WorkerCommand{Task: key.task, Epoch: key.epoch, Verb: controlapi.VerbStop}}
	o.list(worker, b)
}

func (o *outbox) removeStray(worker types.WorkerID, key attemptKey) {
	b := o.box(worker)
	delete(b.strays, key)
	o.list(worker, b)
}

// setEntry notes through which entry host the worker is reached, unless a newer
// sync of the worker arrived elsewhere.
func (o *outbox) setEntry(worker types.WorkerID, entry string, session uint64, order int64) {
	b := o.box(worker)
	if session < b.session || (session == b.session && order < b.order) {
		return
	}
	b.session, b.order = session, order
	if b.entry == entry {
		return
	}
	o.unlist(worker, b)
	b.entry = entry
	o.list(worker, b)
}

func (p *pending) due(now time.Time, entry string) bool {
	return p.sentTo != entry || now.Sub(p.sentAt) >= resendInterval
}

// take returns the commands that are due for workers of an entry host, at most
// limit, and notes them as sent.
func (o *outbox) take(now time.Time, entry string, limit int) []controlapi.WorkerCommand {
	var out []controlapi.WorkerCommand
	for _, id := range slices.Sorted(maps.Keys(o.filled[entry])) {
		b := o.boxes[id]
		for _, p := range b.all() {
			if len(out) >= limit {
				return out
			}
			if !p.due(now, entry) {
				continue
			}
			p.sentAt, p.sentTo = now, entry
			command := p.command
			command.Worker, command.Incarnation, command.Session = b.worker.Name, b.worker.Incarnation, b.worker.Session
			out = append(out, command)
		}
	}
	return out
}

// hasDue reports whether take would return a command.
func (o *outbox) hasDue(now time.Time, entry string) bool {
	for _, b := range o.filled[entry] {
		for _, p := range b.commands {
			if p.due(now, entry) {
				return true
			}
		}
		for _, p := range b.strays {
			if p.due(now, entry) {
				return true
			}
		}
	}
	return false
}

// all lists the pending commands by task name and epoch.
func (b *mailbox) all() []*pending {
	list := make([]*pending, 0, len(b.commands)+len(b.strays))
	for _, p := range b.commands {
		list = append(list, p)
	}
	for _, p := range b.strays {
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y *pending) int {
		return cmp.Or(cmp.Compare(x.command.Task, y.command.Task), cmp.Compare(x.command.Epoch, y.command.Epoch))
	})
	return list
}
