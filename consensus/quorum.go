package consensus

import "slices"

// quorumSize returns the size of a majority of voters.
func quorumSize(voters int) int { return voters/2 + 1 }

// quorumIndex returns the highest value that a majority of the voters reached.
// It returns zero without voters.
func quorumIndex(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorumSize(len(values))]
}

// voterValues collects a value for each voter: own for this member, and zero
// for a voter without progress.
func (c *Core) voterValues(own uint64, of func(*progress) uint64) []uint64 {
	var values []uint64
	for _, m := range c.membership().Members {
		if !m.Voter && !c.safeguards.countLearners {
			continue
		}
		values = append(values, c.voterValue(m.ID, own, of))
	}
	return values
}

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
	active := c.voterValues(1, func(p *progress) uint64 {
		if p.silence < c.electionTicks {
			return 1
		}
		return 0
	})
	return quorumIndex(active) == 1
}
