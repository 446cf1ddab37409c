package control

import (
	"context"
	"slices"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

const (
	// maxExchangeHold bounds the hold of a long poll, whatever the entry host asks for.
	maxExchangeHold = 10 * time.Second
	// maxCommandsPerReply bounds the commands in one reply. The remaining commands are
	// sent in the next reply.
	maxCommandsPerReply = 256
	// entrySilentAfter is the time without an exchange after which an entry host is
	// shown as silent.
	entrySilentAfter = 5 * time.Second
	// entryExpiry is the time without an exchange after which the state of an entry
	// host is dropped.
	entryExpiry = time.Hour
)

// entryState is the leader's state of one entry host.
type entryState struct {
	// wake wakes the newest exchange when there may be commands or a configuration to
	// answer it with.
	wake           chan struct{}
	configVersion  uint64
	lastExchangeAt time.Time
}

func (l *leader) entry(name string) *entryState {
	e, ok := l.entries[name]
	if !ok {
		e = &entryState{wake: make(chan struct{}, 1)}
		l.entries[name] = e
	}
	return e
}

func (e *entryState) signal() {
	select {
	case e.wake <- struct{}{}:
	default: // A signal is already waiting.
	}
}

func (l *leader) wakeAllEntries() {
	for _, e := range l.entries {
		e.signal()
	}
}

// wakeEntriesWithCommands wakes the exchanges of entry hosts that have commands to
// deliver, and drops entry hosts without an exchange for entryExpiry. The caller holds
// l.mu.
func (l *leader) wakeEntriesWithCommands() {
	now := l.service.now()
	for name, e := range l.entries {
		if now.Sub(e.lastExchangeAt) > entryExpiry {
			delete(l.entries, name)
			continue
		}
		if l.outbox.hasDue(now, name) {
			e.signal()
		}
	}
}

// exchange renews leases, then waits until there is a command, a newer configuration
// or a refused renewal to answer with, or until the hold ends.
func (l *leader) exchange(ctx context.Context, args *controlapi.ExchangeArgs, reply *controlapi.ExchangeReply) error {
	if args.Entry == "" {
		return kind.Errorf(kind.BadRequest, "the exchange lacks the name of the entry host")
	}
	l.mu.Lock()
	now, contact := l.service.now(), l.service.replica.QuorumContact()
	if !l.leases.HasRecentQuorum(now, contact) {
		l.mu.Unlock()
		return kind.Errorf(kind.NoQuorum, "no quorum confirmed the leader of term %d recently", l.term)
	}
	entry := l.entry(args.Entry)
	entry.signal() // Answers the previous exchange if it still waits.
	wake := make(chan struct{}, 1)
	entry.wake = wake
	entry.lastExchangeAt = now
	entry.configVersion = args.ConfigVersion
	reply.Sessions = l.renewLeases(now, contact, args)
	reply.LeaseMs = l.config.Leases.Duration.Milliseconds()
	l.mu.Unlock()

	hold := min(time.Duration(args.HoldMs)*time.Millisecond, maxExchangeHold)
	timer := time.NewTimer(hold)
	defer timer.Stop()
	expired := hold <= 0
	for {
		if l.fillReply(args, wake, reply) || expired {
			return nil
		}
		select {
		case <-wake:
		case <-timer.C:
			expired = true
		case <-l.done:
			return l.service.notLeader()
		case <-ctx.Done():
			return nil
		}
	}
}

// renewLeases returns the session of each renewed lease, in the order of
// args.Renewals, and zero for a refused renewal. The caller holds l.mu.
func (l *leader) renewLeases(now, contact time.Time, args *controlapi.ExchangeArgs) []uint64 {
	sessions := make([]uint64, 0, len(args.Renewals))
	for _, renewal := range args.Renewals {
		w, ok := l.store.WorkerNamed(renewal.Worker)
		if !ok || w.State == types.WorkerLost {
			sessions = append(sessions, 0)
			continue
		}
		session, granted := l.leases.Renew(now, contact, w.ID, renewal.Incarnation, l.config.Leases.Duration)
		if granted {
			l.outbox.setEntryHost(w.ID, args.Entry, session, renewal.Order)
		}
		sessions = append(sessions, session)
	}
	return sessions
}

// fillReply completes the reply. It reports whether to send the reply before the end of
// the hold.
func (l *leader) fillReply(args *controlapi.ExchangeArgs, wake chan struct{}, reply *controlapi.ExchangeReply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Term = l.term
	reply.HoldMs = l.config.Leases.MaxPollHold.Milliseconds()
	reply.UsageMs = l.config.Leases.UsageInterval.Milliseconds()
	reply.ConfigVersion = l.configVersion
	if l.entry(args.Entry).wake != wake {
		return true // A newer exchange of the entry host gets the commands.
	}
	if l.configVersion > args.ConfigVersion {
		reply.ConfigText, reply.Evacuated = l.configText, l.evacuated
	}
	reply.Commands = l.outbox.takeDue(l.service.now(), args.Entry, maxCommandsPerReply)
	return len(reply.Commands) > 0 || reply.ConfigText != "" || slices.Contains(reply.Sessions, 0)
}
