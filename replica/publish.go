package replica

import (
	"time"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/controlapi"
)

// recordRoundStart records the start time of new heartbeat rounds before their
// messages are sent.
func (l *loop) recordRoundStart() {
	round := l.core.Round()
	if l.core.Status().Role == consensus.Leader {
		now := l.replica.options.Now()
		for ; l.lastRound < round; l.lastRound++ {
			l.roundStarts[l.lastRound+1] = now
		}
	}
	l.lastRound = round
}

// publish makes the current status visible to other goroutines before any
// message is sent.
func (l *loop) publish() {
	status := l.core.Status()
	l.publishStatus(status)
	l.publishContact(status)
	l.publishLeadership(status)
}

func (l *loop) publishStatus(status consensus.Status) {
	membership := l.core.Membership()
	leader, _ := membership.Find(status.Leader)
	published := &Status{
		ID: status.ID, Role: status.Role.String(), Term: status.Term, Leader: leader.Address,
		Commit: status.Commit, Last: status.LastIndex, Syncs: l.replica.store.Syncs(), SyncTime: l.syncTime,
	}
	if status.Role == consensus.Leader {
		published.Followers = l.followers(membership)
	}
	if l.suspended.active {
		published.Role = RoleFull
	}
	for _, member := range membership.Members {
		if status.Role == consensus.Leader && l.core.IsActive(member.ID) {
			published.Responding = append(published.Responding, member.Address)
		}
		published.Members = append(published.Members, controlapi.Member{
			ID: member.ID.String(), Name: member.Name, Address: member.Address, Role: memberRole(member, status.Leader),
		})
	}
	l.replica.status.Store(published)
}

// followers returns the replication to each other member.
func (l *loop) followers(membership consensus.Membership) []Follower {
	progress := l.core.Progress()
	followers := make([]Follower, len(progress))
	for i, p := range progress {
		member, _ := membership.Find(p.ID)
		silence := time.Duration(p.SilentTicks) * l.replica.options.Tick
		followers[i] = Follower{Name: member.Name, State: p.State, Match: p.Match, Next: p.Next, SilentMs: silence.Milliseconds()}
	}
	return followers
}

func memberRole(member consensus.Member, leader consensus.MemberID) string {
	switch {
	case member.ID == leader:
		return "leader"
	case member.Voter:
		return "voter"
	default:
		return "learner"
	}
}

func (l *loop) publishContact(status consensus.Status) {
	if status.Role != consensus.Leader {
		l.replica.quorumContact.Store(nil)
		clear(l.roundStarts)
		return
	}
	confirmed := l.core.QuorumRound()
	at, ok := l.roundStarts[confirmed]
	if !ok {
		return
	}
	if last := l.replica.quorumContact.Load(); last == nil || !last.Equal(at) {
		l.recordConfirmation(at)
	}
	l.replica.quorumContact.Store(&at)
	for round := range l.roundStarts {
		if round < confirmed {
			delete(l.roundStarts, round)
		}
	}
}

// publishLeadership announces a leadership change. A new leader is announced
// once this replica has applied the first entry of its term, and so everything
// committed by earlier leaders.
func (l *loop) publishLeadership(status consensus.Status) {
	now := Leadership{Term: status.Term}
	if status.Role == consensus.Leader {
		start, ok := l.core.TermStart()
		now.Leading = ok && l.replica.applied.Load() >= start
	}
	if now == l.leadership || !now.Leading && !l.leadership.Leading {
		l.leadership.Term = status.Term
		return
	}
	l.leadership = now
	l.replica.announce(now)
	l.replica.options.Logger.Info().Uint64("term", now.Term).Bool("leading", now.Leading).Msg("leadership changed")
}
