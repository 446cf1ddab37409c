package replica

import (
	"time"

	"mangohill.example/mangohill/consensus"
)

const (
	// confirmationWindow is the time, in election timeouts, over which a leader counts for how long
	// its confirmations let it act, and minActingPart the part of it below which it gives up.
	confirmationWindow = 3
	minActingPart      = 0.1
)

// confirmation is for how long the confirmations of a quorum let a leader act in its term. The checks
// of the core count ticks and any response, which say little if the loop itself is slow, for example
// because of its disk: such a leader is heard in time, so that nobody else is elected, but learns of
// its confirmations too late to act on them.
type confirmation struct {
	term uint64
	// since is when the window began, acting for how long the leader may have acted in it.
	since  time.Time
	acting time.Duration
	// actsUntil is until when the latest confirmation lets it act.
	actsUntil time.Time
	// checkedAt is the time of the latest check.
	checkedAt time.Time
}

// actsFor returns for how long after the beginning of a round its confirmation lets a leader act: no
// longer than the users of Replica.QuorumContact take it.
func (o *Options) actsFor() time.Duration { return o.electionTimeout() * 5 / 6 }

// recordConfirmation records that the round that began at the given time was confirmed.
func (l *loop) recordConfirmation(began time.Time) {
	c, now, until := &l.confirmation, l.replica.options.Now(), began.Add(l.replica.options.actsFor())
	from := now
	if c.actsUntil.After(now) {
		from = c.actsUntil
	}
	if until.After(from) {
		c.acting, c.actsUntil = c.acting+until.Sub(from), until
	}
}

// checkConfirmation gives up a leadership whose confirmations hardly let it act.
func (l *loop) checkConfirmation() {
	status := l.core.Status()
	if status.Role != consensus.Leader {
		return
	}
	now, limit := l.replica.options.Now(), confirmationWindow*l.replica.options.electionTimeout()
	c := &l.confirmation
	if c.term != status.Term || now.Sub(c.checkedAt) >= limit {
		// A process that stood still asks for a confirmation first.
		*c = confirmation{term: status.Term, since: now}
	}
	c.checkedAt = now
	window := now.Sub(c.since)
	if window < limit {
		return
	}
	if float64(c.acting) >= minActingPart*float64(window) {
		c.since, c.acting = now, max(c.actsUntil.Sub(now), 0)
		return
	}
	l.replica.options.Logger.Warn().Uint64("term", status.Term).Dur("window", window).Dur("acting", c.acting).Uint64("commit", status.Commit).Uint64("last", status.LastIndex).Msg("leader unconfirmed")
	l.core.StepDown()
}
