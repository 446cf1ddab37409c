package consensus

import "slices"

// quorumSize returns the size of a majority of voters.
func quorumSize(voters int) int { return voters/2 + 1 }

// quorumValue returns the highest value that the needed number of members
// reached, zero where there are fewer.
func quorumValue(values []uint64, needed int) uint64 {
	if len(values) < needed || needed == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-needed]
}

// byQuorum returns the highest value that a majority of the voters reached: own
// is the value of this member, of gives that of another one.
func (c *Core) byQuorum(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range c.membership().Members {
		if c.counts(m) {
			values = append(values, c.voterValue(m.ID, own, of))
		}
	}
	return quorumValue(values, c.quorum())
}

// quorum returns the number of members that decide.
func (c *Core) quorum() int { return quorumSize(c.membership().Voters()) }

// counts reports whether the answers of m count: learners never do.
func (c *Core) counts(m Member) bool { return m.Voter || c.safeguards.countLearners }

func (c *Core) voterValue(id MemberID, own uint64, of func(*progress) uint64) uint64 {
	if id == c.id {
		return own
	}
	if p := c.progress[id]; p != nil {
		return of(p)
	}
	return 0
}

// hasActiveQuorum reports whether a majority of the voters answered within the
// election timeout.
func (c *Core) hasActiveQuorum() bool {
	active := c.byQuorum(1, func(p *progress) uint64 {
		if p.silence < c.electionTicks {
			return 1
		}
		return 0
	})
	return active == 1
}
