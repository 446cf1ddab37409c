package consensus

import "mangohill.example/mangohill/kind"

// Propose appends commands to the log in one batch and returns the index of the
// first and their term. A follower refuses with not_leader.
func (c *Core) Propose(commands ...[]byte) (first, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, c.NotLeader()
	}
	entries := make([]Entry, len(commands))
	for i, data := range commands {
		entries[i] = Entry{Type: EntryCommand, Data: data}
	}
	return c.appendOwn(entries...), c.term, nil
}

// appendOwn appends the leader's entries, sends them and returns the index of
// the first.
func (c *Core) appendOwn(entries ...Entry) uint64 {
	first := c.log.last() + 1
	for i := range entries {
		entries[i].Index = first + uint64(i)
		entries[i].Term = c.term
	}
	c.log.append(entries...)
	if err := c.noteMemberships(entries); err != nil {
		panic("consensus: own membership entry: " + err.Error())
	}
	c.broadcastEntries()
	return first
}

func (c *Core) broadcastEntries() {
	for _, m := range c.membership().Members {
		c.sendEntries(m.ID)
	}
}

// broadcastHeartbeat starts a new round and sends to every member, paused or
// not.
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
	if p.next <= c.log.last() && !p.isPaused(c.maxInflight) {
		c.sendEntries(to)
		return
	}
	c.sendAppend(to, p.next-1, nil)
}

// sendEntries sends what the member lacks, a snapshot if the log no longer holds
// it.
func (c *Core) sendEntries(to MemberID) {
	p := c.progress[to]
	if p == nil {
		return
	}
	for p.next <= c.log.last() && !p.isPaused(c.maxInflight) {
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

// handleAppend is the follower's side of MessageAppend.
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
		response.Hint = c.log.lastIndexBelow(m.Index-1, m.LogTerm)
		c.send(response)
		return nil
	}
	last, err := c.store(m.Index, m.Entries)
	if err != nil {
		return err
	}
	c.log.committed = max(c.log.committed, min(m.Commit, last))
	response.Index = last
	c.send(response)
	return nil
}

// store adds the entries after previous that the log lacks, and removes those
// that conflict. It returns the index of the last of them.
func (c *Core) store(previous uint64, entries []Entry) (uint64, error) {
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
			c.dropMemberships(index)
		}
		fresh := make([]Entry, len(entries)-i)
		copy(fresh, entries[i:])
		for j := range fresh {
			fresh[j].Index = index + uint64(j)
		}
		c.log.append(fresh...)
		return last, c.noteMemberships(fresh)
	}
	return last, nil
}

// handleAppendResponse is the leader's side of MessageAppendResponse.
func (c *Core) handleAppendResponse(m Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.silence = 0
	p.round = max(p.round, m.Round)
	if m.Reject {
		p.reject(m.Index, m.Hint)
	} else {
		p.accept(min(m.Index, c.log.last()))
		c.advanceCommit()
	}
	c.confirmReads()
	c.sendEntries(m.From)
}

// advanceCommit commits what a majority of the voters holds durably, if its last
// entry is of the current term (Raft paper, section 5.4.2).
func (c *Core) advanceCommit() {
	index := c.byQuorum(c.log.stable, func(p *progress) uint64 { return p.match })
	if index <= c.log.committed || !c.log.matches(index, c.term) && !c.safeguards.commitAnyTerm {
		return
	}
	c.log.committed = index
	if _, ok := c.membership().Find(c.id); !ok && c.membershipIndex() <= index {
		c.follow(c.term, 0)
	}
}

// hasCommittedInTerm reports whether an entry of the current term is committed.
func (c *Core) hasCommittedInTerm() bool {
	return c.log.matches(c.log.committed, c.term)
}

// TermStart returns the index of the first entry of this leader, false if it is
// not committed or this member does not lead.
func (c *Core) TermStart() (uint64, bool) {
	return c.termStart, c.role == Leader && c.log.committed >= c.termStart
}

// ReportUnreachable tells that a message to the member was not delivered.
func (c *Core) ReportUnreachable(id MemberID) {
	if p := c.progress[id]; p != nil && p.state == replicating {
		p.probe()
	}
}
