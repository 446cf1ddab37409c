package consensus

import "slices"

// quorumSize returns the size of a majority of the given number of voters.
func quorumSize(voters int) int { return voters/2 + 1 }

// quorumValue returns the highest value that at least needed of the members
// have reached, zero if there are fewer values than needed.
func quorumValue(values []uint64, needed int) uint64 {
	if len(values) < needed || needed == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-needed]
}

// quorumProgress returns the highest value that a majority of the voters have
// reached. own is the value of this member; metric gives that of another one.
func (c *Core) quorumProgress(own uint64, metric func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range c.membership().Members {
		if c.countsTowardQuorum(m) {
			values = append(values, c.voterValue(m.ID, own, metric))
		}
	}
	return quorumValue(values, c.quorum())
}

// quorum returns the number of voters that form a majority.
func (c *Core) quorum() int { return quorumSize(c.membership().Voters()) }

// countsTowardQuorum reports whether m counts toward a quorum. Learners do not.
func (c *Core) countsTowardQuorum(m Member) bool { return m.Voter || c.safeguards.countLearners }

func (c *Core) voterValue(id MemberID, own uint64, metric func(*progress) uint64) uint64 {
	if id == c.id {
		return own
	}
	if p := c.progress[id]; p != nil {
		return metric(p)
	}
	return 0
}

// hasActiveQuorum reports whether a majority of the voters, including this
// member, responded within the election timeout.
func (c *Core) hasActiveQuorum() bool {
	active := c.quorumProgress(1, func(p *progress) uint64 {
		if p.ticksSinceResponse < c.electionTicks {
			return 1
		}
		return 0
	})
	return active == 1
}
