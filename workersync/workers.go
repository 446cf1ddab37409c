package workersync

import (
	"cmp"
	"slices"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workerapi"
)

// maxPendingCommands bounds the commands kept for one worker. Commands beyond it are
// dropped, and the leader sends them again.
const maxPendingCommands = 256

// workerState is the state of one worker on the entry host.
type workerState struct {
	incarnation uint64
	seenAt      time.Time
	// sentMs is the sending time of the newest sync on the worker's clock, in
	// milliseconds. renewalPending reports that no exchange has carried it yet.
	sentMs           int64
	renewalPending   bool
	waitsForCommands bool // the newest sync allows a hold, so it waits for commands
	// lease is the newest granted lease, nil for none. session is the worker's session
	// in which it was granted.
	lease    *workerapi.Lease
	session  uint64
	resync   bool // the next answer asks for a full sync
	leaving  bool // the leader has recorded that the worker is leaving
	commands []pendingCommand
	// wake wakes the newest sync.
	wake  chan struct{}
	usage usageFilter
	// samples is the number of usage samples in the newest sync that had any.
	samples int
}

// pendingCommand is a command that waits for a sync whose lease was granted in the
// command's session.
type pendingCommand struct {
	session uint64
	command workerapi.Command
}

// sentRenewal is a renewal that was sent in an exchange.
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

// pendingSync is one sync that waits for its answer.
type pendingSync struct {
	worker   *workerState
	wake     chan struct{}
	hadLease bool // whether the worker held a lease when the sync arrived
}

// admit records a sync as the worker's newest one. The error is of kind
// stale_incarnation, stopping or overloaded.
func (s *Service) admit(name string, sync *workerapi.SyncRequest) (*pendingSync, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping() {
		return nil, kind.Errorf(kind.Stopping, "entry host %q is stopping", s.options.Entry)
	}
	w, ok := s.workers[name]
	if ok && sync.Incarnation < w.incarnation {
		return nil, kind.Errorf(kind.StaleIncarnation, "worker %q: incarnation %d is older than the known incarnation %d", name, sync.Incarnation, w.incarnation)
	}
	if !ok && len(s.workers) >= maxWorkers {
		return nil, kind.Errorf(kind.Overloaded, "entry host %q serves %d workers already", s.options.Entry, len(s.workers))
	}
	if !ok || sync.Incarnation > w.incarnation {
		if ok {
			w.signal()
		}
		w = &workerState{incarnation: sync.Incarnation, usage: newUsageFilter()}
		s.workers[name] = w
	}
	w.seenAt = s.now()
	w.signal() // Answers the previous sync if it still waits.
	w.wake = make(chan struct{}, 1)
	s.metrics.Syncs++
	return &pendingSync{worker: w, wake: w.wake, hadLease: w.lease != nil}, nil
}

func (s *Service) stopping() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

// recordRenewal marks the lease for renewal from the sending time of the sync.
func (s *Service) recordRenewal(w *workerState, sync *workerapi.SyncRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.sentMs = max(w.sentMs, sync.SentMs)
	w.waitsForCommands = sync.HoldMs > 0
	w.renewalPending = true
	if w.awaitsGrant() {
		s.requestExchange()
	}
}

// order returns the value that orders the worker's syncs, see controlapi.Renewal.
func (w *workerState) order() int64 {
	order := 2 * w.sentMs
	if w.waitsForCommands {
		order++
	}
	return order
}

// awaitsGrant reports whether the worker needs a grant before it can proceed: it holds
// no lease yet, or a command for it waits for one.
func (w *workerState) awaitsGrant() bool { return w.lease == nil || len(w.commands) > 0 }

// requestExchange requests an exchange in addition to one that the leader holds.
func (s *Service) requestExchange() {
	select {
	case s.exchangeWanted <- struct{}{}:
	default: // An exchange has already been requested.
	}
}

// buildExchange builds the next exchange and drops workers that no longer sync.
func (s *Service) buildExchange() (*controlapi.ExchangeArgs, []sentRenewal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sent []sentRenewal
	samples := 0
	holdMs := s.exchangeHoldMs()
	for name, w := range s.workers {
		if s.now().Sub(w.seenAt) > workerExpiry {
			delete(s.workers, name)
			continue
		}
		samples += w.samples
		if w.renewalPending {
			w.renewalPending = false
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

func (s *Service) restoreRenewals(sent []sentRenewal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range sent {
		if w, ok := s.workers[r.worker]; ok && w.incarnation == r.incarnation {
			w.renewalPending = true
		}
	}
}

// applyReply applies the reply to an exchange.
func (s *Service) applyReply(sent []sentRenewal, reply *controlapi.ExchangeReply) {
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

// grant records a lease unless it is older than the known one. It wakes the waiting
// sync, which is answered if the lease is the worker's first or makes a command
// deliverable.
func (w *workerState) grant(sentMs, durationMs int64, session uint64) {
	if w.lease != nil && sentMs < w.lease.CountedFromSentMs {
		return
	}
	w.lease = &workerapi.Lease{CountedFromSentMs: sentMs, DurationMs: durationMs}
	w.session = session
	w.signal()
}

// deliverable reports whether a command may be sent in the answer to the newest sync:
// the renewal of that sync was granted, in the command's session.
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
	if w.renewalPending {
		s.requestExchange()
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

// canAnswer reports whether there is a reason to answer before the end of the hold.
func (s *Service) canAnswer(waiting *pendingSync) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := waiting.worker
	if w.wake != waiting.wake || s.stopping() {
		return true
	}
	return w.resync || slices.ContainsFunc(w.commands, w.deliverable) || (!waiting.hadLease && w.lease != nil)
}

// answer returns the answer to a sync. Only the answer to the worker's newest sync
// contains commands.
func (s *Service) answer(waiting *pendingSync) *workerapi.SyncResponse {
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
