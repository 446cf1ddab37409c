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
	// resendInterval is the time after which a command is sent again if no report shows
	// its effect.
	resendInterval = 2 * time.Second
	// maxStrays bounds the pending stops of stray attempts per worker. Further strays
	// are added when a later report lists them.
	maxStrays = 64
)

// attemptKey identifies an attempt by its task's name and its epoch.
type attemptKey struct {
	task  string
	epoch uint64
}

// pendingCommand is a command whose effect has not been reported yet.
type pendingCommand struct {
	command controlapi.WorkerCommand
	sentAt  time.Time
	sentTo  string // the entry host to which the command was last sent
}

// mailbox holds the commands for one worker.
type mailbox struct {
	worker types.Worker
	// entry is the entry host at which the worker's newest sync arrived. session and
	// order identify that sync.
	entry   string
	session uint64
	order   int64
	// commands are derived from the replicated state.
	commands map[types.TaskID]*pendingCommand
	// strays are the stop commands for attempts that the worker reports as running but
	// the state does not place there.
	strays map[attemptKey]*pendingCommand
}

// outbox holds the commands for workers, derived from the replicated state. It is not
// safe for concurrent use.
type outbox struct {
	mailboxes map[types.WorkerID]*mailbox
	// taskWorker maps each task with a command to the worker of that command.
	taskWorker map[types.TaskID]types.WorkerID
	// withCommands indexes the mailboxes that are not empty, by entry host.
	withCommands map[string]map[types.WorkerID]*mailbox
}

func newOutbox() *outbox {
	return &outbox{
		mailboxes:    make(map[types.WorkerID]*mailbox),
		taskWorker:   make(map[types.TaskID]types.WorkerID),
		withCommands: make(map[string]map[types.WorkerID]*mailbox),
	}
}

// updateIndex updates withCommands after a change of the worker's commands.
func (o *outbox) updateIndex(id types.WorkerID, b *mailbox) {
	if len(b.commands)+len(b.strays) == 0 {
		o.removeFromIndex(id, b)
		return
	}
	if o.withCommands[b.entry] == nil {
		o.withCommands[b.entry] = make(map[types.WorkerID]*mailbox)
	}
	o.withCommands[b.entry][id] = b
}

func (o *outbox) removeFromIndex(id types.WorkerID, b *mailbox) {
	delete(o.withCommands[b.entry], id)
	if len(o.withCommands[b.entry]) == 0 {
		delete(o.withCommands, b.entry)
	}
}

func (o *outbox) mailbox(id types.WorkerID) *mailbox {
	b, ok := o.mailboxes[id]
	if !ok {
		b = &mailbox{commands: make(map[types.TaskID]*pendingCommand), strays: make(map[attemptKey]*pendingCommand)}
		o.mailboxes[id] = b
	}
	return b
}

func (o *outbox) updateWorker(w types.Worker) {
	b := o.mailbox(w.ID)
	if b.worker.Incarnation != w.Incarnation || w.State == types.WorkerLost {
		clear(b.strays)
		o.updateIndex(w.ID, b)
	}
	b.worker = w
}

func (o *outbox) removeWorker(id types.WorkerID) {
	if b, ok := o.mailboxes[id]; ok {
		o.removeFromIndex(id, b)
		delete(o.mailboxes, id)
	}
}

func (o *outbox) removeTask(id types.TaskID) {
	if worker, ok := o.taskWorker[id]; ok {
		b := o.mailbox(worker)
		delete(b.commands, id)
		delete(o.taskWorker, id)
		o.updateIndex(worker, b)
	}
}

// updateTask replaces the command for a task by the one that its state requires.
func (o *outbox) updateTask(t types.Task) {
	if worker, ok := o.taskWorker[t.ID]; ok && worker != t.Worker {
		o.removeTask(t.ID)
	}
	command, needed := commandFor(t)
	if !needed {
		o.removeTask(t.ID)
		return
	}
	b := o.mailbox(t.Worker)
	o.taskWorker[t.ID] = t.Worker
	if old, ok := b.commands[t.ID]; ok && sameCommand(old.command, command) {
		return
	}
	b.commands[t.ID] = &pendingCommand{command: command}
	o.updateIndex(t.Worker, b)
}

func sameCommand(a, b controlapi.WorkerCommand) bool {
	return a.Epoch == b.Epoch && a.Verb == b.Verb && a.ShareMilli == b.ShareMilli
}

// commandFor returns the command that brings an attempt into the state that the
// replicated state requires, and reports whether one is needed.
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

// addStray adds a command to stop an attempt that the worker runs but the state does
// not place there.
func (o *outbox) addStray(worker types.WorkerID, key attemptKey) {
	b := o.mailbox(worker)
	if _, ok := b.strays[key]; ok || len(b.strays) >= maxStrays {
		return
	}
	b.strays[key] = &pendingCommand{command: controlapi.WorkerCommand{Task: key.task, Epoch: key.epoch, Verb: controlapi.VerbStop}}
	o.updateIndex(worker, b)
}

func (o *outbox) removeStray(worker types.WorkerID, key attemptKey) {
	b := o.mailbox(worker)
	delete(b.strays, key)
	o.updateIndex(worker, b)
}

// setEntryHost sets the entry host through which commands reach the worker, unless a
// newer sync of the worker is known.
func (o *outbox) setEntryHost(worker types.WorkerID, entry string, session uint64, order int64) {
	b := o.mailbox(worker)
	if session < b.session || (session == b.session && order < b.order) {
		return
	}
	b.session, b.order = session, order
	if b.entry == entry {
		return
	}
	o.removeFromIndex(worker, b)
	b.entry = entry
	o.updateIndex(worker, b)
}

func (p *pendingCommand) due(now time.Time, entry string) bool {
	return p.sentTo != entry || now.Sub(p.sentAt) >= resendInterval
}

// takeDue returns up to limit commands that are due for workers of an entry host, and
// marks them as sent at now.
func (o *outbox) takeDue(now time.Time, entry string, limit int) []controlapi.WorkerCommand {
	var out []controlapi.WorkerCommand
	for _, id := range slices.Sorted(maps.Keys(o.withCommands[entry])) {
		b := o.mailboxes[id]
		for _, p := range b.sorted() {
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

// hasDue reports whether takeDue would return a command.
func (o *outbox) hasDue(now time.Time, entry string) bool {
	for _, b := range o.withCommands[entry] {
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

// sorted returns the pending commands, ordered by task name and epoch.
func (b *mailbox) sorted() []*pendingCommand {
	list := make([]*pendingCommand, 0, len(b.commands)+len(b.strays))
	for _, p := range b.commands {
		list = append(list, p)
	}
	for _, p := range b.strays {
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y *pendingCommand) int {
		return cmp.Or(cmp.Compare(x.command.Task, y.command.Task), cmp.Compare(x.command.Epoch, y.command.Epoch))
	})
	return list
}
