package consensus

// ballot counts the answers to one election.
type ballot map[MemberID]bool

// hasWon reports whether a majority of the voters granted.
func (c *Core) hasWon() bool {
	granted := 0
	for _, m := range c.membership().Members {
		if c.counts(m) && c.votes[m.ID] {
			granted++
		}
	}
	return granted >= c.quorum()
}

func (c *Core) tickElection() {
	c.electionElapsed++
	c.contactElapsed++
	if c.electionElapsed < c.electionTimeout {
		return
	}
	c.electionElapsed = 0
	c.leader = 0
	if c.isVoter() {
		c.startElection()
	}
}

// Campaign starts an election at once, where this member is a voter.
func (c *Core) Campaign() {
	if c.role != Leader && c.isVoter() {
		c.startElection()
	}
}

func (c *Core) startElection() {
	if c.safeguards.noPreVote {
		c.campaign(false)
		return
	}
	c.preCampaign()
}

// preCampaign asks whether an election could be won, without a new term
// (Ongaro's dissertation, section 9.6).
func (c *Core) preCampaign() {
	c.become(PreCandidate)
	c.votes = ballot{c.id: true}
	if c.hasWon() {
		c.campaign(false)
		return
	}
	c.requestVotes(Message{Type: MessagePreVote, Term: c.term + 1})
}

func (c *Core) campaign(transfer bool) {
	c.become(Candidate)
	c.setTerm(c.term + 1)
	c.vote = c.id
	c.votes = ballot{c.id: true}
	if c.hasWon() {
		c.lead()
		return
	}
	c.requestVotes(Message{Type: MessageVote, Term: c.term, Transfer: transfer})
}

func (c *Core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, member := range c.membership().Members {
		if member.ID != c.id && c.counts(member) {
			m.To = member.ID
			c.send(m)
		}
	}
}

// hasRecentLeader reports whether this member must not help to replace the
// leader: it leads with a quorum, or heard from the leader within the election
// timeout. A member that just started assumes that it did.
func (c *Core) hasRecentLeader() bool {
	if c.safeguards.noPreVote {
		return false
	}
	return c.role == Leader || c.contactElapsed < c.electionTicks
}

func (c *Core) handlePreVote(m Message) {
	if c.hasRecentLeader() {
		return
	}
	if m.Term > c.term && c.log.isUpToDate(m.Index, m.LogTerm) {
		c.send(Message{Type: MessagePreVoteResponse, To: m.From, Term: m.Term})
		return
	}
	c.send(Message{Type: MessagePreVoteResponse, To: m.From, Term: c.term, Reject: true})
}

func (c *Core) handleVote(m Message) {
	free := c.vote == 0 && c.leader == 0 || c.vote == m.From
	grant := free && c.log.isUpToDate(m.Index, m.LogTerm)
	if grant {
		c.vote = m.From
		c.electionElapsed = 0
	}
	c.send(Message{Type: MessageVoteResponse, To: m.From, Term: c.term, Reject: !grant})
}

func (c *Core) handleVoteResponse(m Message) {
	if !c.expects(m) {
		return
	}
	c.votes[m.From] = !m.Reject
	switch {
	case !c.hasWon():
	case c.role == PreCandidate:
		c.campaign(false)
	default:
		c.lead()
	}
}

// expects reports whether m answers the election under way.
func (c *Core) expects(m Message) bool {
	if c.role == PreCandidate {
		return m.Type == MessagePreVoteResponse && (m.Reject || m.Term == c.term+1)
	}
	return c.role == Candidate && m.Type == MessageVoteResponse
}

// lead starts the leadership of the current term with an entry without data,
// whose commitment commits all earlier entries.
func (c *Core) lead() {
	c.become(Leader)
	c.leader = c.id
	c.round++
	c.progress = make(map[MemberID]*progress)
	c.syncProgress()
	c.termStart = c.appendOwn(Entry{Type: EntryNoop})
}

// checkQuorum steps down when no majority answered within the election timeout.
func (c *Core) checkQuorum() {
	if c.safeguards.noCheckQuorum || c.hasActiveQuorum() {
		return
	}
	c.follow(c.term, 0)
}

// TransferLeadership stops leading and asks the voter that holds most to take
// over. It returns false where no such voter is active.
func (c *Core) TransferLeadership() bool {
	if c.role != Leader {
		return false
	}
	var best MemberID
	for _, m := range c.membership().Members {
		p := c.progress[m.ID]
		if m.Voter && p != nil && c.IsActive(m.ID) && p.match == c.log.last() {
			best = m.ID
		}
	}
	if best == 0 {
		return false
	}
	c.send(Message{Type: MessageTimeoutNow, To: best, Term: c.term})
	c.follow(c.term, 0)
	return true
}

func (c *Core) handleTimeoutNow() {
	if c.isVoter() && c.role != Leader {
		c.campaign(true)
	}
}
