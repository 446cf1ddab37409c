package consensus

// pendingRead waits for a round that began after it was requested.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// RequestRead asks for a linearizable read (Ongaro's dissertation, section 6.4).
// The answer is a ReadState with the same ID. A follower refuses with
// not_leader; reads that are pending when the leadership ends are dropped.
func (c *Core) RequestRead(id uint64) error {
	if c.role != Leader {
		return c.NotLeader()
	}
	c.reads = append(c.reads, pendingRead{id: id, round: c.round + 1})
	c.readRequested = true
	return nil
}

// startReadRound sends one heartbeat round for all reads requested since.
func (c *Core) startReadRound() {
	if !c.readRequested || c.role != Leader {
		return
	}
	c.readRequested = false
	c.broadcastHeartbeat()
	c.confirmReads()
}

// QuorumRound returns the latest heartbeat round that a majority of the voters
// answered, zero if there is none.
func (c *Core) QuorumRound() uint64 {
	return c.byQuorum(c.round, func(p *progress) uint64 { return p.round })
}

// Round returns the latest heartbeat round of this leader. Rounds never go back.
func (c *Core) Round() uint64 { return c.round }

// confirmReads answers the reads whose round a majority answered. Before the
// first commit of its term a leader may not know what is committed.
func (c *Core) confirmReads() {
	if c.role != Leader || len(c.reads) == 0 || !c.hasCommittedInTerm() {
		return
	}
	confirmed := c.QuorumRound()
	var waiting []pendingRead
	for _, r := range c.reads {
		if r.index == 0 {
			r.index = c.log.committed
		}
		if r.round > confirmed && !c.safeguards.localReads {
			waiting = append(waiting, r)
			continue
		}
		c.confirmed = append(c.confirmed, ReadState{ID: r.id, Index: r.index})
	}
	c.reads = waiting
}
