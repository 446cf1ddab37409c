package consensus

// The following methods disable one safeguard each.

func (c *Core) DisablePreVote()     { c.safeguards.noPreVote = true }
func (c *Core) DisableCheckQuorum() { c.safeguards.noCheckQuorum = true }
func (c *Core) CountLearners()      { c.safeguards.countLearners = true }

func (c *Core) ServeReadsLocally() { c.safeguards.localReads = true }
func (c *Core) CommitAnyTerm()     { c.safeguards.commitAnyTerm = true }

// ForgetLeaderContact makes a restarted member assume that it has heard from no
// leader within the election timeout.
func (c *Core) ForgetLeaderContact() { c.leaderContactElapsed = c.electionTicks }

// TermAt returns the term of the entry at index, false if the log does not hold
// it.
func (c *Core) TermAt(index uint64) (uint64, bool) { return c.log.term(index) }

// Base returns the index of the last compacted entry.
func (c *Core) Base() uint64 { return c.log.base }
