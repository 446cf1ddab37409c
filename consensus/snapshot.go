package consensus

// sendSnapshot offers the latest snapshot to a member that lags behind the log.
func (c *Core) sendSnapshot(to MemberID, p *progress) {
	p.state = transferring
	p.snapshot = c.snapshot.Index
	meta := c.snapshot
	c.send(Message{Type: MessageSnapshot, To: to, Term: c.term, Round: c.round, Snapshot: &meta})
}

// handleSnapshot is the follower's side of MessageSnapshot; the driver holds the
// data.
func (c *Core) handleSnapshot(m Message) {
	response := Message{Type: MessageAppendResponse, To: m.From, Term: c.term, Round: m.Round}
	if m.Snapshot != nil {
		c.install(*m.Snapshot)
	}
	response.Index = c.log.committed
	c.send(response)
}

func (c *Core) install(meta SnapshotMeta) {
	if meta.Index <= c.log.committed {
		return
	}
	if c.log.matches(meta.Index, meta.Term) {
		c.log.committed = meta.Index
		return
	}
	c.log.reset(meta.Index, meta.Term)
	c.snapshot = meta
	c.received = &meta
	c.memberships = []indexedMembership{{meta.Index, meta.Membership}}
}

// ReportSnapshot tells the leader that the transfer of a snapshot ended without
// success; replication starts over with a probe.
func (c *Core) ReportSnapshot(id MemberID) {
	if p := c.progress[id]; p != nil && p.state == transferring {
		p.probe()
	}
}

// Compact drops the entries up to keep, which a durable snapshot covers. The
// snapshot is sent to members that need them.
func (c *Core) Compact(meta SnapshotMeta, keep uint64) {
	if meta.Index < c.snapshot.Index || meta.Index > c.log.applied {
		return
	}
	c.snapshot = meta
	c.log.compact(min(keep, meta.Index))
	c.compactMemberships()
}

// compactMemberships keeps the membership in force at the base of the log and
// those after it.
func (c *Core) compactMemberships() {
	for len(c.memberships) > 1 && c.memberships[1].index <= c.log.base {
		c.memberships = c.memberships[1:]
	}
}

// LogSize returns the number of entries after the last snapshot and the bytes
// that the whole log holds in memory.
func (c *Core) LogSize() (entries uint64, bytes int) {
	return c.log.applied - min(c.snapshot.Index, c.log.applied), c.log.bytes
}

// NextSnapshot describes a snapshot of what was handed out as committed, false
// if the latest snapshot covers it.
func (c *Core) NextSnapshot() (SnapshotMeta, bool) {
	index := c.log.applied
	term, ok := c.log.term(index)
	return SnapshotMeta{Index: index, Term: term, Membership: c.MembershipAt(index)}, ok && index > c.snapshot.Index
}

// Snapshot returns the latest snapshot that the core knows.
func (c *Core) Snapshot() SnapshotMeta { return c.snapshot }
