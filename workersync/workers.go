package workersync

import (
	"cmp"
	"slices"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workerapi"
)

// maxPendingCommands bounds the commands kept for one worker. The leader sends
// again what was dropped.
const maxPendingCommands = 256

// workerState is what the entry host keeps of one worker.
type workerState struct {
	incarnation uint64
	seenAt      time.Time
	// sentMs is the newest sync's time on the worker's clock; renew says that it
	// was not yet part of an exchange.
	sentMs int64
	renew  bool
	waits  bool // the newest sync waits for commands
	// lease is the newest granted lease, nil for none, and session the worker's
	// session under which it was granted.
	lease    *workerapi.Lease
	session  uint64
	resync   bool
	leaving  bool
	commands []pendingCommand
	// wake belongs to the newest sync.
	wake  chan struct{}
	usage usageFilter
	// samples is the number of samples in the newest sync that carried usage.
	samples int
}

// pendingCommand is a command that waits for a sync whose lease was granted under
// the same session.
type pendingCommand struct {
	session uint64
	command workerapi.Command
}

// sentRenewal is a renewal that an exchange carried.
type sentRenewal struct {
	worker      string
	incarnation uint64
	sentMs      int64
	order       int64
}

func (w *workerState) signal() {
	select {
	case w.wake <- struct{}{}:
	default: // A signal is already waiting.
	}
}

// waiter is one sync that waits for its answer.
type waiter struct {
	worker   *workerState
	wake     chan struct{}
	hadLease bool
}

// admit notes a sync, which from now on is the worker's newest one. The error is
// of kind stale_incarnation, stopping or overloaded.
func (s *Service) admit(name string, sync *workerapi.SyncRequest) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping() {
		return nil, kind.Errorf(kind.Stopping, "entry %q", s.options.Entry)
	}
	w, ok := s.workers[name]
	if ok && sync.Incarnation < w.incarnation {
		return nil, kind.Errorf(kind.StaleIncarnation, "worker %q: incarnation %d is below %d", name, sync.Incarnation, w.incarnation)
	}
	if !ok && len(s.workers) >= maxWorkers {
		return nil, kind.Errorf(kind.Overloaded, "entry %q serves %d workers", s.options.Entry, len(s.workers))
	}
	if !ok || sync.Incarnation > w.incarnation {
		if ok {
			w.signal()
		}
		w = &workerState{incarnation: sync.Incarnation, usage: newUsageFilter()}
		s.workers[name] = w
	}
	w.seenAt = s.now()
	w.signal() // The sync before, if it still waits, is answered.
	w.wake = make(chan struct{}, 1)
	s.metrics.Syncs++
	return &waiter{worker: w, wake: w.wake, hadLease: w.lease != nil}, nil
}

func (s *Service) stopping() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

// requestRenewal notes that the lease is to be renewed from the sync on.
func (s *Service) requestRenewal(w *workerState, sync *workerapi.SyncRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.sentMs = max(w.sentMs, sync.SentMs)
	w.waits = sync.HoldMs > 0
	w.renew = true
	if w.awaitsGrant() {
		s.kick()
	}
}

// order orders the worker's syncs, see controlapi.Renewal.
func (w *workerState) order() int64 {
	order := 2 * w.sentMs
	if w.waits {
		order++
	}
	return order
}

// awaitsGrant reports whether the worker can do nothing before its next grant:
// it holds no lease yet, or a command waits for one.
func (w *workerState) awaitsGrant() bool { return w.lease == nil || len(w.commands) > 0 }

// kick asks for an exchange beside the one that is held.
func (s *Service) kick() {
	select {
	case s.kicked <- struct{}{}:
	default: // An exchange is already asked for.
	}
}

// gather builds the next exchange and forgets workers that no longer sync.
func (s *Service) gather() (*controlapi.ExchangeArgs, []sentRenewal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sent []sentRenewal
	samples := 0
	holdMs := s.exchangeHoldMs()
	for name, w := range s.workers {
		if s.now().Sub(w.seenAt) > workerForget {
			delete(s.workers, name)
			continue
		}
		samples += w.samples
		if w.renew {
			w.renew = false
			if w.awaitsGrant() {
				holdMs = 0
			}
			sent = append(sent, sentRenewal{worker: name, incarnation: w.incarnation, sentMs: w.sentMs, order: w.order()})
		}
	}
	slices.SortFunc(sent, func(a, b sentRenewal) int { return cmp.Compare(a.worker, b.worker) })
	args := &controlapi.ExchangeArgs{Entry: s.options.Entry, HoldMs: holdMs, ConfigVersion: s.configVersion()}
	for _, r := range sent {
		args.Renewals = append(args.Renewals, controlapi.Renewal{Worker: r.worker, Incarnation: r.incarnation, Order: r.order})
	}
	s.samples = samples
	s.metrics.Exchanges++
	s.metrics.Renewals += uint64(len(sent))
	return args, sent
}

func (s *Service) exchangeHoldMs() int64 {
	hold := maxExchangeHold.Milliseconds()
	if s.leaseMs > 0 {
		hold = min(hold, s.leaseMs/holdDivisor)
	}
	return hold
}

func (s *Service) renewAgain(sent []sentRenewal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range sent {
		if w, ok := s.workers[r.worker]; ok && w.incarnation == r.incarnation {
			w.renew = true
		}
	}
}

// takeIn applies the answer to an exchange.
func (s *Service) takeIn(sent []sentRenewal, reply *controlapi.ExchangeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseMs, s.holdMs, s.usageMs = reply.LeaseMs, reply.HoldMs, reply.UsageMs
	for i, r := range sent {
		w, ok := s.workers[r.worker]
		if !ok || w.incarnation != r.incarnation || i >= len(reply.Sessions) {
			continue
		}
		if reply.Sessions[i] == 0 {
			s.metrics.Refusals++
			w.resync = true
			w.signal()
			continue
		}
		s.metrics.Grants++
		w.grant(r.sentMs, reply.LeaseMs, reply.Sessions[i])
	}
	for i := range reply.Commands {
		s.deliver(&reply.Commands[i])
	}
}

// grant notes a lease. The first one answers the waiting sync, so that the
// worker may begin; so does one that allows a waiting command.
func (w *workerState) grant(sentMs, durationMs int64, session uint64) {
	if w.lease != nil && sentMs < w.lease.CountedFromSentMs {
		return
	}
	w.lease = &workerapi.Lease{CountedFromSentMs: sentMs, DurationMs: durationMs}
	w.session = session
	w.signal()
}

// deliverable reports whether a command may go out with the answer to the newest
// sync: its own renewal was granted, under the command's session.
func (w *workerState) deliverable(c pendingCommand) bool {
	return w.lease != nil && w.lease.CountedFromSentMs >= w.sentMs && c.session == w.session
}

func (s *Service) deliver(c *controlapi.WorkerCommand) {
	w, ok := s.workers[c.Worker]
	if !ok || w.incarnation != c.Incarnation {
		return
	}
	s.metrics.Commands++
	w.commands = slices.DeleteFunc(w.commands, func(old pendingCommand) bool {
		return old.session < c.Session || (old.command.Task == c.Task && old.command.Epoch <= c.Epoch)
	})
	if len(w.commands) < maxPendingCommands {
		w.commands = append(w.commands, pendingCommand{session: c.Session, command: commandOf(c)})
	}
	if w.renew {
		s.kick()
	}
	w.signal()
}

func commandOf(c *controlapi.WorkerCommand) workerapi.Command {
	capacity := workerapi.CapacityFromResources(c.Request)
	return workerapi.Command{
		Task:         c.Task,
		Epoch:        c.Epoch,
		Verb:         string(c.Verb),
		Class:        c.Class,
		Processors:   capacity.Processors,
		MemoryBytes:  capacity.MemoryBytes,
		Accelerators: capacity.Accelerators,
		ResumeFrom:   c.ResumeFrom,
		Share:        float64(c.ShareMilli) / 1000,
		Payload:      c.Payload,
	}
}

// ready reports whether there is a reason to answer before the end of the hold.
func (s *Service) ready(waiting *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := waiting.worker
	if w.wake != waiting.wake || s.stopping() {
		return true
	}
	return w.resync || slices.ContainsFunc(w.commands, w.deliverable) || (!waiting.hadLease && w.lease != nil)
}

// answer returns the answer to a sync. The newest one takes the pending commands.
func (s *Service) answer(waiting *waiter) *workerapi.SyncResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := waiting.worker
	out := &workerapi.SyncResponse{Lease: w.lease, UsageMs: usageInterval(s.usageMs, s.samples)}
	if w.wake == waiting.wake {
		out.Commands = w.takeCommands()
		out.Resync, w.resync = w.resync, false
	}
	return out
}

func (w *workerState) takeCommands() []workerapi.Command {
	var out []workerapi.Command
	kept := w.commands[:0]
	for _, c := range w.commands {
		if w.deliverable(c) {
			out = append(out, c.command)
			continue
		}
		kept = append(kept, c)
	}
	w.commands = kept
	return out
}
