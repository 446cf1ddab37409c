package replica

import (
	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
)

// drain is the state of a planned stop: no proposals are taken, and the loop goes
// on until all earlier ones are answered and another voter is asked to lead.
type drain struct {
	active bool
	ticks  int
}

// mayEnd reports whether a planned stop is complete. It is so at once where this
// replica does not lead, and in any case after half the election timeout.
func (l *loop) mayEnd() bool {
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
	return l.core.Membership().Voters() == 1 || l.handOver()
}

// handOver asks another voter to lead. It returns false while none holds all
// entries.
func (l *loop) handOver() bool {
	if !l.core.TransferLeadership() {
		return false
	}
	l.publish()
	for _, m := range l.core.Ready().Messages {
		if s := l.senders[m.To]; s != nil && m.Type == consensus.MessageTimeoutNow {
			s.callOnce(m)
		}
	}
	return true
}

// refuse answers a proposal that comes during a planned stop: it does not run.
func refuse(p proposal) {
	p.done <- outcome{err: kind.Errorf(kind.Stopping, "the replica is stopping")}
}
