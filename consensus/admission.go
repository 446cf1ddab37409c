package consensus

import "mangohill.example/mangohill/kind"

// NeedsAdmission reports whether this member must ask to be taken in (again): it
// hears from no leader and is no voter, or has heard from none for long and may
// have been removed meanwhile. Its own log does not decide, since it may hold an
// admission that was never committed, or lack its removal.
func (c *Core) NeedsAdmission() bool {
	if c.leader != 0 || c.role == Leader {
		return false
	}
	return !c.isVoter() || c.neededVoters > 0 && c.leaderless >= c.removalTicks
}

// Admit proposes to take a member in as a learner, in place of learners at its
// address, and returns the index of the change. The index is zero if the member
// is in already. It is refused with already_exists while a member at the same
// address is active, and as ProposeMembership refuses.
func (c *Core) Admit(member Member) (uint64, error) {
	if c.role != Leader {
		return 0, c.NotLeader()
	}
	if _, ok := c.membership().Find(member.ID); ok {
		return 0, nil
	}
	for _, old := range c.membership().Members {
		if old.Address == member.Address && c.IsActive(old.ID) {
			return 0, kind.Errorf(kind.AlreadyExists, "address %s belongs to the live member %s", old.Address, old.ID)
		}
	}
	return c.ProposeMembership(c.membership().AddLearner(member))
}

// MaintainMembership proposes the next step of a repair, if one is due. Once a
// learner holds every committed entry durably, the voter that had its address
// before is removed, and then the learner is made a voter. In this order the
// group needs no more live members at any step than before the repair, and the
// loss of the learner costs nothing.
//
// It returns the member concerned, false if nothing was proposed.
func (c *Core) MaintainMembership() (MemberID, bool) {
	if c.role != Leader || c.membershipIndex() > c.log.committed {
		return 0, false
	}
	learner, ok := c.caughtUpLearner()
	if !ok {
		return c.removeSurplus()
	}
	id, next := c.nextMembership(learner)
	_, err := c.ProposeMembership(next)
	return id, err == nil
}

// removeSurplus proposes to remove a voter that is not needed and has been silent
// for long: it was lost for good and another one has come.
func (c *Core) removeSurplus() (MemberID, bool) {
	if c.neededVoters == 0 || c.membership().Voters() <= c.neededVoters {
		return 0, false
	}
	for _, m := range c.membership().Members {
		if p := c.progress[m.ID]; m.Voter && p != nil && p.silence >= c.removalTicks {
			_, err := c.ProposeMembership(c.membership().Remove(m.ID))
			return m.ID, err == nil
		}
	}
	return 0, false
}

func (c *Core) nextMembership(learner Member) (MemberID, Membership) {
	for _, old := range c.membership().Members {
		if old.Voter && old.Address == learner.Address {
			return old.ID, c.membership().Remove(old.ID)
		}
	}
	return learner.ID, c.membership().Promote(learner.ID)
}

// caughtUpLearner returns a learner that holds every committed entry durably.
func (c *Core) caughtUpLearner() (Member, bool) {
	for _, m := range c.membership().Members {
		p := c.progress[m.ID]
		if m.Voter || p == nil {
			continue
		}
		if p.match >= c.log.committed && p.match > 0 && p.silence < c.electionTicks {
			return m, true
		}
	}
	return Member{}, false
}

// IsActive reports whether the leader heard from the member within the election
// timeout.
func (c *Core) IsActive(id MemberID) bool {
	if id == c.id {
		return true
	}
	p := c.progress[id]
	return p != nil && p.silence < c.electionTicks
}
