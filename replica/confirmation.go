package replica

import (
	"time"

	"mangohill.example/mangohill/consensus"
)

// maxUnconfirmedElections is the number of election timeouts for which a leader goes on without a
// prompt confirmation.
const maxUnconfirmedElections = 4

// confirmation is what a leader knows of how promptly a quorum confirms it in its term. The checks
// of the core count ticks and any response, which say little if the loop itself is slow, for example
// because of its disk: such a leader is heard in time, so that nobody else is elected, but learns of
// its confirmations too late to act on them.
type confirmation struct {
	term uint64
	// promptAt is when a confirmation was prompt for the last time, or when the term began. Prompt is
	// one within half an election timeout after the beginning of its round.
	promptAt time.Time
	// checkedAt is the time of the latest check.
	checkedAt time.Time
}

// recordConfirmation records that the round that began at the given time was confirmed.
func (l *loop) recordConfirmation(began time.Time) {
	if now := l.replica.options.Now(); now.Sub(began) <= l.replica.options.electionTimeout()/2 {
		l.confirmation.promptAt = now
	}
}

// checkConfirmation gives up a leadership that was not confirmed promptly for too long.
func (l *loop) checkConfirmation() {
	status := l.core.Status()
	if status.Role != consensus.Leader {
		return
	}
	now, limit := l.replica.options.Now(), maxUnconfirmedElections*l.replica.options.electionTimeout()
	if l.confirmation.term != status.Term || now.Sub(l.confirmation.checkedAt) >= limit {
		// A process that stood still asks for a confirmation first.
		l.confirmation = confirmation{term: status.Term, promptAt: now}
	}
	l.confirmation.checkedAt = now
	silence := now.Sub(l.confirmation.promptAt)
	if silence < limit {
		return
	}
	l.replica.options.Logger.Warn().Uint64("term", status.Term).Dur("unconfirmed", silence).Uint64("commit", status.Commit).Uint64("last", status.LastIndex).
		Msg("leader unconfirmed")
	l.core.StepDown()
}
