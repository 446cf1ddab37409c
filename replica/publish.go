package replica

import (
	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/controlapi"
)

// noteRound records when a new heartbeat round begins, before it is sent.
func (l *loop) noteRound() {
	round := l.core.Round()
	if _, ok := l.rounds[round]; !ok && l.core.Status().Role == consensus.Leader {
		l.rounds[round] = l.replica.options.Now()
	}
}

// publish makes the present status visible before anything is sent.
func (l *loop) publish() {
	status := l.core.Status()
	l.publishStatus(status)
	l.publishContact(status)
	l.publishLeadership(status)
}

func (l *loop) publishStatus(status consensus.Status) {
	membership := l.core.Membership()
	leader, _ := membership.Find(status.Leader)
	view := &Status{
		ID: status.ID, Role: status.Role.String(), Term: status.Term, Leader: leader.Address,
		Commit: status.Commit, Syncs: l.replica.store.Syncs(),
	}
	for _, member := range membership.Members {
		view.Members = append(view.Members, controlapi.Member{
			ID: member.ID.String(), Name: member.Name, Address: member.Address, Role: memberRole(member, status.Leader),
		})
	}
	l.replica.status.Store(view)
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
		l.replica.contact.Store(nil)
		clear(l.rounds)
		return
	}
	confirmed := l.core.QuorumRound()
	at, ok := l.rounds[confirmed]
	if !ok {
		return
	}
	l.replica.contact.Store(&at)
	for round := range l.rounds {
		if round < confirmed {
			delete(l.rounds, round)
		}
	}
}

// publishLeadership announces the leadership once this replica has applied the
// first entry of its term.
func (l *loop) publishLeadership(status consensus.Status) {
	now := Leadership{Term: status.Term}
	if status.Role == consensus.Leader {
		start, ok := l.core.TermStart()
		now.Leading = ok && l.replica.applied.Load() >= start
	}
	if now == l.leading || !now.Leading && !l.leading.Leading {
		l.leading.Term = status.Term
		return
	}
	l.leading = now
	l.replica.announce(now)
	l.replica.options.Logger.Info().Uint64("term", now.Term).Bool("leading", now.Leading).Msg("leadership changed")
}
