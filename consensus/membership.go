package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/kind"
)

// Member is one member of the group. A member that is not a voter is a learner:
// it receives the log, but counts toward no quorum and starts no election.
type Member struct {
	_       struct{} `cbor:",toarray"`
	ID      MemberID
	Name    string
	Address string
	Voter   bool
}

// Membership lists the members in the order in which they joined.
type Membership struct {
	_       struct{} `cbor:",toarray"`
	Members []Member
}

// Find returns the member with the given ID.
func (m Membership) Find(id MemberID) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(member Member) bool { return member.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	voters := 0
	for _, member := range m.Members {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// AddLearner returns the membership with member added as a learner. Other
// learners with the same address are removed.
func (m Membership) AddLearner(member Member) Membership {
	member.Voter = false
	remaining := slices.DeleteFunc(slices.Clone(m.Members), func(old Member) bool {
		return !old.Voter && old.Address == member.Address
	})
	return Membership{Members: append(remaining, member)}
}

// Promote returns the membership with the learner id made a voter.
func (m Membership) Promote(id MemberID) Membership {
	members := slices.Clone(m.Members)
	for i := range members {
		if members[i].ID == id {
			members[i].Voter = true
		}
	}
	return Membership{Members: members}
}

// Remove returns the membership without the member id.
func (m Membership) Remove(id MemberID) Membership {
	kept := slices.DeleteFunc(slices.Clone(m.Members), func(old Member) bool { return old.ID == id })
	return Membership{Members: kept}
}

// changedVoters counts the voters that are in only one of the memberships.
func changedVoters(a, b Membership) int {
	changed := 0
	for _, pair := range [][2]Membership{{a, b}, {b, a}} {
		for _, member := range pair[0].Members {
			other, _ := pair[1].Find(member.ID)
			if member.Voter && !other.Voter {
				changed++
			}
		}
	}
	return changed
}

// Encode returns the membership encoded as the data of an EntryMembership.
func (m Membership) Encode() []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic("consensus: a membership cannot fail to encode: " + err.Error())
	}
	return data
}

// DecodeMembership decodes the data of an EntryMembership. Errors are of kind
// corrupt.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Membership{}, kind.Errorf(kind.Corrupt, "membership entry of %d bytes: %w", len(data), err)
	}
	return m, nil
}

// indexedMembership is a membership and the index of the entry from which on it
// is in force.
type indexedMembership struct {
	index uint64
	Membership
}

// membership returns the latest membership in the log. It is in force even
// before it is committed.
func (c *Core) membership() Membership {
	return c.memberships[len(c.memberships)-1].Membership
}

func (c *Core) membershipIndex() uint64 { return c.memberships[len(c.memberships)-1].index }

// Membership returns the membership in force.
func (c *Core) Membership() Membership { return c.membership() }

// MembershipAt returns the membership in force at index.
func (c *Core) MembershipAt(index uint64) Membership {
	at := c.memberships[0].Membership
	for _, m := range c.memberships {
		if m.index <= index {
			at = m.Membership
		}
	}
	return at
}

func (c *Core) isVoter() bool {
	member, ok := c.membership().Find(c.id)
	return ok && member.Voter
}

// ProposeMembership appends a membership change and returns its index. Errors
// are of kind not_leader if this member does not lead, and of kind
// invalid_transition while an earlier change or the first entry of the leader's
// term is not committed, or if the change affects more than one voter or leaves
// none (Ongaro's dissertation, section 4.1).
func (c *Core) ProposeMembership(next Membership) (uint64, error) {
	if c.role != Leader {
		return 0, c.NotLeader()
	}
	if c.membershipIndex() > c.log.committed || !c.hasCommittedInTerm() {
		return 0, kind.Errorf(kind.InvalidTransition, "a membership change or the first entry of the leader's term is not committed yet")
	}
	if changedVoters(c.membership(), next) > 1 || next.Voters() == 0 {
		return 0, kind.Errorf(kind.InvalidTransition, "a membership change may affect at most one voter and must leave at least one")
	}
	return c.appendAsLeader(Entry{Type: EntryMembership, Data: next.Encode()}), nil
}

// recordMemberships adds the memberships in newly appended entries to
// c.memberships.
func (c *Core) recordMemberships(entries []Entry) error {
	for _, e := range entries {
		if e.Type != EntryMembership {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			return err
		}
		c.memberships = append(c.memberships, indexedMembership{e.Index, m})
		c.syncProgress()
	}
	return nil
}

// truncateMemberships removes the memberships at index and later, whose entries
// were truncated from the log.
func (c *Core) truncateMemberships(index uint64) {
	kept := slices.DeleteFunc(c.memberships, func(m indexedMembership) bool { return m.index >= index })
	c.memberships = kept
	c.syncProgress()
}

// syncProgress makes c.progress hold exactly one entry for each other member,
// if this member leads.
func (c *Core) syncProgress() {
	if c.role != Leader {
		return
	}
	for id := range c.progress {
		if _, ok := c.membership().Find(id); !ok {
			delete(c.progress, id)
		}
	}
	for _, m := range c.membership().Members {
		if m.ID != c.id && c.progress[m.ID] == nil {
			c.progress[m.ID] = &progress{next: c.log.last() + 1}
		}
	}
}
