package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/kind"
)

// Member is one member of the group. A member that is no voter is a learner: it
// receives the log but counts for no quorum and starts no election.
type Member struct {
	_       struct{} `cbor:",toarray"`
	ID      MemberID
	Name    string
	Address string
	Voter   bool
}

// Membership is the list of members in the order in which they joined.
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

// AddLearner returns the membership with member joined as a learner. Learners
// that had its address before are removed.
func (m Membership) AddLearner(member Member) Membership {
	member.Voter = false
	kept := slices.DeleteFunc(slices.Clone(m.Members), func(old Member) bool {
		return !old.Voter && old.Address == member.Address
	})
	return Membership{Members: append(kept, member)}
}

// Promote returns the membership with the learner id as a voter.
func (m Membership) Promote(id MemberID) Membership {
	members := slices.Clone(m.Members)
	for i := range members {
		if members[i].ID == id {
			members[i].Voter = true
		}
	}
	return Membership{Members: members}
}

// Remove returns the membership without id.
func (m Membership) Remove(id MemberID) Membership {
	kept := slices.DeleteFunc(slices.Clone(m.Members), func(old Member) bool { return old.ID == id })
	return Membership{Members: kept}
}

// changedVoters counts the voters that only one of the memberships has.
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

// Encode returns the membership as the data of an entry.
func (m Membership) Encode() []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic("consensus: a membership cannot fail to encode: " + err.Error())
	}
	return data
}

// DecodeMembership reads the data of a membership entry. Errors are of kind
// corrupt.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Membership{}, kind.Errorf(kind.Corrupt, "membership entry of %d bytes: %w", len(data), err)
	}
	return m, nil
}

// indexedMembership is the membership from the entry at index on.
type indexedMembership struct {
	index uint64
	Membership
}

// membership returns the membership in force: the latest in the log, committed
// or not.
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

// ProposeMembership appends a change of the membership and returns its index.
// It is refused with not_leader by a follower, and with invalid_transition
// while an earlier change or the leader's first entry is not committed, or when
// more than one voter changes (Ongaro's dissertation, section 4.1).
func (c *Core) ProposeMembership(next Membership) (uint64, error) {
	if c.role != Leader {
		return 0, c.NotLeader()
	}
	if c.membershipIndex() > c.log.committed || !c.hasCommittedInTerm() {
		return 0, kind.Errorf(kind.InvalidTransition, "a membership change is under way")
	}
	if changedVoters(c.membership(), next) > 1 || next.Voters() == 0 {
		return 0, kind.Errorf(kind.InvalidTransition, "a membership change may change one voter and must leave one")
	}
	return c.appendOwn(Entry{Type: EntryMembership, Data: next.Encode()}), nil
}

// noteMemberships records the memberships among newly appended entries.
func (c *Core) noteMemberships(entries []Entry) error {
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

// dropMemberships forgets the memberships from index on.
func (c *Core) dropMemberships(index uint64) {
	kept := slices.DeleteFunc(c.memberships, func(m indexedMembership) bool { return m.index >= index })
	c.memberships = kept
	c.syncProgress()
}

// syncProgress keeps one progress for each other member while leading.
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
