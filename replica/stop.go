package replica

import (
	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
)

// drain is the state of a planned stop: no proposals are accepted, and the loop
// continues until all earlier ones are answered and another voter has been
// asked to lead. ticks counts from its start.
type drain struct {
	active bool
	ticks  int
}

// canStop reports whether a planned stop is complete. This is so at once if
// this replica does not lead, and at the latest after half the election
// timeout.
func (l *loop) canStop() bool {
	if !l.drain.active {
		return false
	}
	status := l.core.Status()
	if status.Role != consensus.Leader || 2*l.drain.ticks >= l.replica.options.ElectionTicks {
		return true
	}
	if status.Commit < status.LastIndex || l.replica.applied.Load() < status.Commit {
		return false
	}
	return l.core.Membership().Voters() == 1 || l.transferLeadership()
}

// transferLeadership asks another voter to lead. It returns false if no active
// voter holds all entries yet.
func (l *loop) transferLeadership() bool {
	if !l.core.TransferLeadership() {
		return false
	}
	l.publish()
	for _, m := range l.core.Ready().Messages {
		if s := l.senders[m.To]; s != nil && m.Type == consensus.MessageTimeoutNow {
			s.sendOnce(m)
		}
	}
	return true
}

// rejectProposal rejects a proposal that arrives during a planned stop; the
// command does not run.
func rejectProposal(p proposal) {
	p.done <- outcome{err: kind.Errorf(kind.Stopping, "the replica is stopping")}
}
