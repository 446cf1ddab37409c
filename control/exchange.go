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
	// maxHold bounds the hold of a long poll.
	maxHold = 10 * time.Second
	// maxCommandsPerReply bounds the commands in one answer; the rest follows in
	// the next.
	maxCommandsPerReply = 256
	// entrySilence is the time without an exchange after which an entry host is
	// shown as silent.
	entrySilence = 5 * time.Second
	// entryForget is the time without an exchange after which an entry host is
	// forgotten.
	entryForget = time.Hour
)

// entryState is what the leader knows of an entry host.
type entryState struct {
	// wake belongs to the newest exchange and receives when there may be something
	// to answer it with.
	wake    chan struct{}
	version uint64
	seenAt  time.Time
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

func (l *leader) wakeAll() {
	for _, e := range l.entries {
		e.signal()
	}
}

// wakeDue wakes the exchanges of entry hosts that have commands to deliver and
// forgets entry hosts that were silent for long; l.mu is held.
func (l *leader) wakeDue() {
	now := l.service.now()
	for name, e := range l.entries {
		if now.Sub(e.seenAt) > entryForget {
			delete(l.entries, name)
			continue
		}
		if l.outbox.hasDue(now, name) {
			e.signal()
		}
	}
}

// exchange grants leases and answers once there is a command, a newer
// configuration, a refusal, or at the end of the hold.
func (l *leader) exchange(ctx context.Context, args *controlapi.ExchangeArgs, reply *controlapi.ExchangeReply) error {
	if args.Entry == "" {
		return kind.Errorf(kind.BadRequest, "exchange without the name of the entry host")
	}
	l.mu.Lock()
	now, contact := l.service.now(), l.service.replica.QuorumContact()
	if !l.leases.HasRecentQuorum(now, contact) {
		l.mu.Unlock()
		return kind.Errorf(kind.NoQuorum, "no quorum confirmed the leader of term %d recently", l.term)
	}
	entry := l.entry(args.Entry)
	entry.signal() // The exchange before, if it still waits, is answered.
	wake := make(chan struct{}, 1)
	entry.wake = wake
	entry.seenAt = now
	entry.version = args.ConfigVersion
	reply.Sessions = l.grant(now, contact, args)
	l.mu.Unlock()

	hold := min(time.Duration(args.HoldMs)*time.Millisecond, maxHold)
	timer := time.NewTimer(hold)
	defer timer.Stop()
	expired := hold <= 0
	for {
		if l.fill(args, wake, reply) || expired {
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

// grant renews leases and returns the session of each, zero for a refused one;
// l.mu is held.
func (l *leader) grant(now, contact time.Time, args *controlapi.ExchangeArgs) []uint64 {
	sessions := make([]uint64, 0, len(args.Renewals))
	for _, renewal := range args.Renewals {
		w, ok := l.store.WorkerNamed(renewal.Worker)
		if !ok || w.State == types.WorkerLost {
			sessions = append(sessions, 0)
			continue
		}
		session, granted := l.leases.Renew(now, contact, w.ID, renewal.Incarnation, l.config.Leases.Duration)
		if granted {
			l.outbox.setEntry(w.ID, args.Entry, session, renewal.Order)
		}
		sessions = append(sessions, session)
	}
	return sessions
}

// fill completes the reply and reports whether it is worth sending before the
// end of the hold.
func (l *leader) fill(args *controlapi.ExchangeArgs, wake chan struct{}, reply *controlapi.ExchangeReply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Term = l.term
	reply.LeaseMs = l.config.Leases.Duration.Milliseconds()
	reply.HoldMs = l.config.Leases.MaxPollHold.Milliseconds()
	reply.UsageMs = l.config.Leases.UsageInterval.Milliseconds()
	reply.ConfigVersion = l.version
	if l.entry(args.Entry).wake != wake {
		return true // A newer exchange of the entry host takes the commands.
	}
	if l.version > args.ConfigVersion {
		reply.ConfigText = l.text
	}
	reply.Commands = l.outbox.take(l.service.now(), args.Entry, maxCommandsPerReply)
	return len(reply.Commands) > 0 || reply.ConfigText != "" || slices.Contains(reply.Sessions, 0)
}
