package consensus

import "mangohill.example/mangohill/kind"

// Propose appends commands to the log as one batch and returns the index of the
// first one and their term. The error is of kind not_leader if this member does
// not lead.
func (c *Core) Propose(commands ...[]byte) (first, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, c.NotLeader()
	}
	entries := make([]Entry, len(commands))
	for i, data := range commands {
		entries[i] = Entry{Type: EntryCommand, Data: data}
	}
	return c.appendAsLeader(entries...), c.term, nil
}

// appendAsLeader appends entries in the current term, sends them to the other
// members and returns the index of the first one. The messages are a heartbeat round of their
// own, so that acknowledging them confirms the leader as of now.
func (c *Core) appendAsLeader(entries ...Entry) uint64 {
	c.round++
	first := c.log.last() + 1
	for i := range entries {
		entries[i].Index = first + uint64(i)
		entries[i].Term = c.term
	}
	c.log.append(entries...)
	if err := c.recordMemberships(entries); err != nil {
		panic("consensus: membership entry appended by this leader does not decode: " + err.Error())
	}
	c.broadcastEntries()
	return first
}

func (c *Core) broadcastEntries() {
	for _, m := range c.membership().Members {
		c.sendEntries(m.ID)
	}
}

// broadcastHeartbeat starts a new heartbeat round and sends a message to every
// member, even to those whose replication is paused.
func (c *Core) broadcastHeartbeat() {
	c.heartbeatElapsed = 0
	c.round++
	for _, m := range c.membership().Members {
		c.sendHeartbeat(m.ID)
	}
}

func (c *Core) sendHeartbeat(to MemberID) {
	p := c.progress[to]
	if p == nil {
		return
	}
	if p.state == transferring {
		c.sendAppend(to, p.match, nil)
		return
	}
	p.probeSent = false
	if p.next <= c.log.last() && !p.isPaused(c.maxInflightEntries) {
		c.sendEntries(to)
		return
	}
	c.sendAppend(to, p.next-1, nil)
}

// sendEntries sends the entries that the member lacks, or a snapshot if the log
// no longer holds them.
func (c *Core) sendEntries(to MemberID) {
	p := c.progress[to]
	if p == nil {
		return
	}
	for p.next <= c.log.last() && !p.isPaused(c.maxInflightEntries) {
		if p.next <= c.log.base {
			c.sendSnapshot(to, p)
			return
		}
		entries := c.log.slice(p.next, c.log.last(), c.maxMessageBytes)
		c.sendAppend(to, p.next-1, entries)
		if p.state == probing {
			p.probeSent = true
			return
		}
		p.next += uint64(len(entries))
	}
}

func (c *Core) sendAppend(to MemberID, previous uint64, entries []Entry) {
	term, ok := c.log.term(previous)
	if !ok {
		previous, term = c.log.base, c.log.baseTerm
	}
	c.send(Message{
		Type: MessageAppend, To: to, Term: c.term,
		Index: previous, LogTerm: term,
		Commit: c.log.committed, Round: c.round,
		Entries: entries,
	})
}

// handleAppend processes a MessageAppend on a follower.
func (c *Core) handleAppend(m Message) error {
	response := Message{Type: MessageAppendResponse, To: m.From, Term: c.term, Round: m.Round}
	if m.Index < c.log.committed {
		response.Index = c.log.committed
		c.send(response)
		return nil
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		response.Reject = true
		response.Index = m.Index
		response.Hint = c.log.lastPossibleMatch(m.Index-1, m.LogTerm)
		c.send(response)
		return nil
	}
	last, err := c.mergeEntries(m.Index, m.Entries)
	if err != nil {
		return err
	}
	c.log.committed = max(c.log.committed, min(m.Commit, last))
	response.Index = last
	c.send(response)
	return nil
}

// mergeEntries appends those of the entries after index previous that the log
// lacks, and truncates conflicting ones first. It returns the index of the last
// one.
func (c *Core) mergeEntries(previous uint64, entries []Entry) (uint64, error) {
	last := previous + uint64(len(entries))
	for i, e := range entries {
		index := previous + 1 + uint64(i)
		if c.log.matches(index, e.Term) {
			continue
		}
		if index <= c.log.committed {
			return 0, kind.Errorf(kind.Internal, "entry %d of term %d conflicts with a committed entry", index, e.Term)
		}
		if index <= c.log.last() {
			c.log.truncate(index)
			c.truncateMemberships(index)
		}
		missing := make([]Entry, len(entries)-i)
		copy(missing, entries[i:])
		for j := range missing {
			missing[j].Index = index + uint64(j)
		}
		c.log.append(missing...)
		return last, c.recordMemberships(missing)
	}
	return last, nil
}

// handleAppendResponse processes a MessageAppendResponse on the leader.
func (c *Core) handleAppendResponse(m Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.ticksSinceResponse = 0
	p.answeredRound = max(p.answeredRound, m.Round)
	if m.Reject {
		p.reject(m.Index, m.Hint)
	} else {
		p.accept(min(m.Index, c.log.last()))
		c.advanceCommit()
	}
	c.confirmReads()
	c.sendEntries(m.From)
}

// advanceCommit advances the commit index to the highest index that a majority
// of the voters have made durable, if that entry is of the current term (Raft
// paper, section 5.4.2). A leader that has committed its own removal steps
// down.
func (c *Core) advanceCommit() {
	index := c.quorumProgress(c.log.persisted, func(p *progress) uint64 { return p.match })
	if index <= c.log.committed || !c.log.matches(index, c.term) && !c.safeguards.commitAnyTerm {
		return
	}
	c.log.committed = index
	if _, ok := c.membership().Find(c.id); !ok && c.membershipIndex() <= index {
		c.becomeFollower(c.term, 0)
	}
}

// hasCommittedInTerm reports whether an entry of the current term is committed.
func (c *Core) hasCommittedInTerm() bool {
	return c.log.matches(c.log.committed, c.term)
}

// TermStart returns the index of the first entry of this leader's term, and
// whether this member leads and has committed that entry.
func (c *Core) TermStart() (uint64, bool) {
	return c.termStart, c.role == Leader && c.log.committed >= c.termStart
}

// ReportUnreachable records that a message to the member was not delivered.
func (c *Core) ReportUnreachable(id MemberID) {
	if p := c.progress[id]; p != nil && p.state == replicating {
		p.probe()
	}
}
