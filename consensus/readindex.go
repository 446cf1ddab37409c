package consensus

// pendingRead is a read that waits for a majority to answer the heartbeat round
// numbered round, the first one that starts after the read was requested. index
// is the commit index at which the read may be served, zero until it is known.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// RequestRead requests a linearizable read (Ongaro's dissertation, section
// 6.4). Ready returns a ReadState with the same ID when it may be served. The
// error is of kind not_leader if this member does not lead. Pending reads are
// dropped when the leadership ends.
func (c *Core) RequestRead(id uint64) error {
	if c.role != Leader {
		return c.NotLeader()
	}
	c.reads = append(c.reads, pendingRead{id: id, round: c.round + 1})
	c.readRequested = true
	return nil
}

// startReadRound starts one heartbeat round for all reads requested since the
// previous one.
func (c *Core) startReadRound() {
	if !c.readRequested || c.role != Leader {
		return
	}
	c.readRequested = false
	c.broadcastHeartbeat()
	c.confirmReads()
}

// QuorumRound returns the latest heartbeat round that a majority of the voters
// answered, zero if none.
func (c *Core) QuorumRound() uint64 {
	return c.quorumProgress(c.round, func(p *progress) uint64 { return p.answeredRound })
}

// Round returns the number of the latest heartbeat round of this leader. It
// never decreases.
func (c *Core) Round() uint64 { return c.round }

// confirmReads confirms the reads whose heartbeat round a majority answered. It
// waits for the first commit of the leader's term, because before that the
// leader's commit index may lag behind the group's.
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
		c.readStates = append(c.readStates, ReadState{ID: r.id, Index: r.index})
	}
	c.reads = waiting
}
