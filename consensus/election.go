package consensus

// voteTally records which members granted their vote or pre-vote in the current election.
type voteTally map[MemberID]bool

// hasWon reports whether a majority of the voters granted their vote.
func (c *Core) hasWon(votes voteTally) bool {
	granted := 0
	for _, m := range c.membership().Members {
		if c.countsTowardQuorum(m) && votes[m.ID] {
			granted++
		}
	}
	return granted >= c.quorum()
}

func (c *Core) tickElection() {
	c.electionElapsed++
	c.leaderContactElapsed++
	c.voteElapsed++
	if c.electionElapsed < c.electionTimeout {
		return
	}
	c.electionElapsed = 0
	c.leader = 0
	if c.isVoter() {
		c.startElection()
	}
}

// Campaign starts an election at once if this member is a voter and does not
// lead.
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

// preCampaign asks whether this member could win an election, without raising
// the term (Ongaro's dissertation, section 9.6).
func (c *Core) preCampaign() {
	votes := c.votes
	c.changeRole(PreCandidate)
	c.votes, c.preVotes = votes, voteTally{c.id: true}
	if c.hasWon(c.preVotes) {
		c.campaign(false)
		return
	}
	c.requestVotes(Message{Type: MessagePreVote, Term: c.term + 1})
}

func (c *Core) campaign(transfer bool) {
	c.candidacies++
	c.changeRole(Candidate)
	c.setTerm(c.term + 1)
	c.vote = c.id
	c.voteElapsed = 0
	c.votes = voteTally{c.id: true}
	if c.hasWon(c.votes) {
		c.becomeLeader()
		return
	}
	c.requestVotes(Message{Type: MessageVote, Term: c.term, Transfer: transfer})
}

func (c *Core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, member := range c.membership().Members {
		if member.ID != c.id && c.countsTowardQuorum(member) {
			m.To = member.ID
			c.send(m)
		}
	}
}

// hasRecentLeader reports whether this member must not help to replace the
// current leader: it leads itself, or heard from the leader within the election
// timeout. For a member that has just started the timeout counts from the start,
// because it may have heard from the leader right before it stopped.
func (c *Core) hasRecentLeader() bool {
	if c.safeguards.noPreVote {
		return false
	}
	return c.role == Leader || c.leaderContactElapsed < c.electionTicks
}

// awaitsElection reports whether this member must not help another one to begin the next term: it
// has voted for itself or for a third one within the election timeout, which may win yet and would be
// deposed at once.
func (c *Core) awaitsElection(from MemberID) bool {
	return c.vote != 0 && c.vote != from && c.voteElapsed < c.electionTicks
}

func (c *Core) handlePreVote(m Message) {
	if c.hasRecentLeader() || c.awaitsElection(m.From) {
		return
	}
	if m.Term > c.term && c.log.isUpToDate(m.Index, m.LogTerm) {
		c.send(Message{Type: MessagePreVoteResponse, To: m.From, Term: m.Term})
		return
	}
	c.send(Message{Type: MessagePreVoteResponse, To: m.From, Term: c.term, Reject: true})
}

func (c *Core) handleVote(m Message) {
	canVote := c.vote == 0 && c.leader == 0 || c.vote == m.From
	grant := canVote && c.log.isUpToDate(m.Index, m.LogTerm)
	if grant {
		c.vote = m.From
		c.voteElapsed = 0
		c.electionElapsed = 0
	}
	c.send(Message{Type: MessageVoteResponse, To: m.From, Term: c.term, Reject: !grant})
}

func (c *Core) handleVoteResponse(m Message) {
	switch {
	case m.Type == MessageVoteResponse && c.votes != nil:
		c.votes[m.From] = !m.Reject
		if c.hasWon(c.votes) {
			c.becomeLeader()
		}
	case m.Type == MessagePreVoteResponse && c.preVotes != nil && (m.Reject || m.Term == c.term+1):
		c.preVotes[m.From] = !m.Reject
		if c.hasWon(c.preVotes) {
			c.campaign(false)
		}
	}
}

// becomeLeader takes the leadership of the current term and appends an entry
// without data; committing it commits all earlier entries.
func (c *Core) becomeLeader() {
	c.changeRole(Leader)
	c.candidacies = 0
	c.leader = c.id
	c.round++
	c.progress = make(map[MemberID]*progress)
	c.syncProgress()
	c.termStart = c.appendAsLeader(Entry{Type: EntryNoop})
}

// checkQuorum steps down if no majority of the voters responded within the
// election timeout.
func (c *Core) checkQuorum() {
	if c.safeguards.noCheckQuorum || c.hasActiveQuorum() {
		return
	}
	c.becomeFollower(c.term, 0)
}

// TransferLeadership steps down and asks an active voter that holds the whole
// log to start an election. It returns false if there is no such voter or this
// member does not lead.
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
	c.becomeFollower(c.term, 0)
	return true
}

// StepDown gives up the leadership and asks the voter with the longest known log, if one is
// active, to start an election. The next leader, which may be this member, leads a later term.
func (c *Core) StepDown() {
	if m, ok := c.Abandon(); ok {
		c.send(m)
	}
}

// Abandon gives up the leadership of a member that can't persist anything any more, and
// returns the message that asks the voter with the longest known log to start an election.
// It returns false if no other voter is active or this member does not lead. Unlike
// TransferLeadership it does not require the voter to hold the whole log, of which the end
// may not be durable here.
func (c *Core) Abandon() (Message, bool) {
	if c.role != Leader {
		return Message{}, false
	}
	var best *progress
	m := Message{Type: MessageTimeoutNow, From: c.id, Term: c.term}
	for _, member := range c.membership().Members {
		p := c.progress[member.ID]
		if member.ID == c.id || !member.Voter || p == nil || !c.IsActive(member.ID) {
			continue
		}
		if best == nil || p.match > best.match {
			best, m.To = p, member.ID
		}
	}
	c.becomeFollower(c.term, 0)
	return m, best != nil
}

func (c *Core) handleTimeoutNow() {
	if c.isVoter() && c.role != Leader {
		c.campaign(true)
	}
}
