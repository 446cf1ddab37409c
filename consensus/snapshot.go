package consensus

// sendSnapshot offers the latest snapshot to a member whose next entry was
// compacted away.
func (c *Core) sendSnapshot(to MemberID, p *progress) {
	p.state = transferring
	p.snapshot = c.snapshot.Index
	meta := c.snapshot
	c.send(Message{Type: MessageSnapshot, To: to, Term: c.term, Round: c.round, Snapshot: &meta})
}

// handleSnapshot processes a MessageSnapshot on a follower. The driver holds
// the snapshot's data.
func (c *Core) handleSnapshot(m Message) {
	response := Message{Type: MessageAppendResponse, To: m.From, Term: c.term, Round: m.Round}
	if m.Snapshot != nil {
		c.applySnapshotMeta(*m.Snapshot)
	}
	response.Index = c.log.committed
	c.send(response)
}

// applySnapshotMeta replaces the log by the snapshot, unless the log already
// holds the entries that it covers.
func (c *Core) applySnapshotMeta(meta SnapshotMeta) {
	if meta.Index <= c.log.committed {
		return
	}
	if c.log.matches(meta.Index, meta.Term) {
		c.log.committed = meta.Index
		return
	}
	c.log.reset(meta.Index, meta.Term)
	c.snapshot = meta
	c.pendingSnapshot = &meta
	c.memberships = []indexedMembership{{meta.Index, meta.Membership}}
}

// ReportSnapshot records that the transfer of a snapshot to the member failed.
// Replication restarts with a probe.
func (c *Core) ReportSnapshot(id MemberID) {
	if p := c.progress[id]; p != nil && p.state == transferring {
		p.probe()
	}
}

// Compact drops the entries up to and including index compactTo, which the
// durable snapshot meta must cover. From then on this snapshot is sent to
// members that need the dropped entries.
func (c *Core) Compact(meta SnapshotMeta, compactTo uint64) {
	if meta.Index < c.snapshot.Index || meta.Index > c.log.applied {
		return
	}
	c.snapshot = meta
	c.log.compact(min(compactTo, meta.Index))
	c.compactMemberships()
}

// compactMemberships drops all memberships before the one in force at the base
// of the log.
func (c *Core) compactMemberships() {
	for len(c.memberships) > 1 && c.memberships[1].index <= c.log.base {
		c.memberships = c.memberships[1:]
	}
}

// LogSize returns the number of applied entries after the last snapshot, and
// the memory in bytes of the whole log.
func (c *Core) LogSize() (entries uint64, bytes int) {
	return c.log.applied - min(c.snapshot.Index, c.log.applied), c.log.bytes
}

// NextSnapshot returns the description of a snapshot at the applied index,
// false if the latest snapshot already covers it.
func (c *Core) NextSnapshot() (SnapshotMeta, bool) {
	index := c.log.applied
	term, ok := c.log.term(index)
	return SnapshotMeta{Index: index, Term: term, Membership: c.MembershipAt(index)}, ok && index > c.snapshot.Index
}

// Snapshot returns the description of the latest snapshot that the core knows.
func (c *Core) Snapshot() SnapshotMeta { return c.snapshot }
