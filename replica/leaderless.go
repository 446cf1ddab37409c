package replica

import "slices"

// leaderlessElections is the number of election timeouts without a leader after which, and
// at which interval, a member logs that it knows none.
const leaderlessElections = 8

// logLeaderless logs what this member knows of the group while it knows no leader.
func (l *loop) logLeaderless() {
	status := l.core.Status()
	if _, known := l.core.Membership().Find(status.Leader); known {
		l.leaderlessTicks = 0
		return
	}
	l.leaderlessTicks++
	if l.leaderlessTicks%(leaderlessElections*l.replica.options.ElectionTicks) != 0 {
		return
	}
	var silent []string
	for _, s := range l.senders {
		if !s.reachable.Load() {
			silent = append(silent, s.member.Name)
		}
	}
	slices.Sort(silent)
	l.replica.options.Logger.Warn().Stringer("role", status.Role).Uint64("term", status.Term).Uint64("commit", status.Commit).
		Int("voters", l.core.Membership().Voters()).Int("peers", len(l.senders)).Strs("silent", silent).Msg("group without a leader")
}
