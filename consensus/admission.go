package consensus

import (
	"unicode/utf8"

	"mangohill.example/mangohill/kind"
)

// NeedsAdmission reports whether this member must ask the leader to admit it.
// This is so if it knows no leader and is not a voter. A voter must ask after
// removalTicks without a leader, because it may have been removed, unless
// Config.Voters is zero, which disables the removal. Whether its own log lists it
// as a member does not matter: the log may hold an admission that was never
// committed, or lack its removal.
func (c *Core) NeedsAdmission() bool {
	if c.leader != 0 || c.role == Leader {
		return false
	}
	return !c.isVoter() || c.neededVoters > 0 && c.ticksWithoutLeader >= c.removalTicks
}

// Admit proposes to add a member as a learner, replacing any learner with the
// same address, and returns the index of the change. The index is zero if it
// already is a member. Errors are of kind bad_request for a member that the log
// can't hold, already_exists while an active member has the same address, and those
// of ProposeMembership.
func (c *Core) Admit(member Member) (uint64, error) {
	if c.role != Leader {
		return 0, c.NotLeader()
	}
	if err := member.validate(); err != nil {
		return 0, err
	}
	if _, ok := c.membership().Find(member.ID); ok {
		return 0, nil
	}
	for _, old := range c.membership().Members {
		if old.Address == member.Address && c.IsActive(old.ID) {
			return 0, kind.Errorf(kind.AlreadyExists, "address %s belongs to the active member %s", old.Address, old.ID)
		}
	}
	return c.ProposeMembership(c.membership().AddLearner(member))
}

// maxMemberTextBytes limits the name and the address of a member.
const maxMemberTextBytes = 512

// validate returns an error of kind bad_request for a member without an ID or an address,
// or whose name or address is too long or not text in UTF-8.
func (m Member) validate() error {
	if m.ID == 0 || m.Address == "" {
		return kind.Errorf(kind.BadRequest, "member %q has the ID %s and the address %q", m.Name, m.ID, m.Address)
	}
	for _, text := range []string{m.Name, m.Address} {
		if len(text) > maxMemberTextBytes || !utf8.ValidString(text) {
			return kind.Errorf(kind.BadRequest, "the name or address %.80q of member %s is longer than %d bytes or not UTF-8", text, m.ID, maxMemberTextBytes)
		}
	}
	return nil
}

// MaintainMembership proposes the next step of replacing a member that lost its
// disk, if one is due. Once a learner has durably stored every committed entry,
// the old voter with the same address is removed, and then the learner is
// promoted. In this order no step needs more live members for a quorum than
// before the repair, and losing the learner has no effect on the quorum.
// Without such a learner, a silent surplus voter is removed. It returns the
// affected member, false if nothing was proposed.
func (c *Core) MaintainMembership() (MemberID, bool) {
	if c.role != Leader || c.membershipIndex() > c.log.committed {
		return 0, false
	}
	learner, ok := c.caughtUpLearner()
	if !ok {
		return c.removeSilentSurplusVoter()
	}
	id, next := c.nextRepairStep(learner)
	_, err := c.ProposeMembership(next)
	return id, err == nil
}

// removeSilentSurplusVoter proposes to remove a voter beyond the intended
// number that has not responded for removalTicks: it was lost for good, and
// another voter has already replaced it.
func (c *Core) removeSilentSurplusVoter() (MemberID, bool) {
	if c.neededVoters == 0 || c.membership().Voters() <= c.neededVoters {
		return 0, false
	}
	for _, m := range c.membership().Members {
		if p := c.progress[m.ID]; m.Voter && p != nil && p.ticksSinceResponse >= c.removalTicks {
			_, err := c.ProposeMembership(c.membership().Remove(m.ID))
			return m.ID, err == nil
		}
	}
	return 0, false
}

// nextRepairStep returns the membership without the old voter at the learner's
// address or, if there is none, with the learner promoted, and the affected
// member.
func (c *Core) nextRepairStep(learner Member) (MemberID, Membership) {
	for _, old := range c.membership().Members {
		if old.Voter && old.Address == learner.Address {
			return old.ID, c.membership().Remove(old.ID)
		}
	}
	return learner.ID, c.membership().Promote(learner.ID)
}

// caughtUpLearner returns an active learner that has durably stored every
// committed entry.
func (c *Core) caughtUpLearner() (Member, bool) {
	for _, m := range c.membership().Members {
		p := c.progress[m.ID]
		if m.Voter || p == nil {
			continue
		}
		if p.match >= c.log.committed && p.match > 0 && p.ticksSinceResponse < c.electionTicks {
			return m, true
		}
	}
	return Member{}, false
}

// IsActive reports whether the member responded to this leader within the
// election timeout.
func (c *Core) IsActive(id MemberID) bool {
	if id == c.id {
		return true
	}
	p := c.progress[id]
	return p != nil && p.ticksSinceResponse < c.electionTicks
}
