package consensus

// progressState is the leader's replication mode for one member.
type progressState uint8

const (
	// probing sends one batch at a time until the last matching index is known.
	probing progressState = iota
	// replicating pipelines batches without waiting for their acknowledgements.
	replicating
	// transferring waits until a snapshot has been transferred.
	transferring
)

var progressNames = [...]string{probing: "probing", replicating: "replicating", transferring: "transferring"}

// MemberProgress is the leader's view of the replication to one member.
type MemberProgress struct {
	ID MemberID
	// State is "probing", "replicating" or "transferring" (of a snapshot).
	State string
	// Match is the highest index known to be durable there, Next that of the next entry to send.
	Match, Next uint64
	// SilentTicks counts the ticks since the member's last response.
	SilentTicks int
}

// Progress returns the replication to each other member, nothing if this member does not lead.
func (c *Core) Progress() []MemberProgress {
	if c.role != Leader {
		return nil
	}
	var all []MemberProgress
	for _, m := range c.membership().Members {
		if p := c.progress[m.ID]; p != nil && m.ID != c.id {
			all = append(all, MemberProgress{ID: m.ID, State: progressNames[p.state], Match: p.match, Next: p.next, SilentTicks: p.ticksSinceResponse})
		}
	}
	return all
}

// progress is the leader's replication state for one member.
type progress struct {
	state progressState
	// match is the highest index known to be durable at the member.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probeSent is set while a probe awaits its response.
	probeSent bool
	// snapshot is the last index covered by the snapshot being transferred.
	snapshot uint64
	// ticksSinceResponse counts the ticks since the member's last response.
	ticksSinceResponse int
	// answeredRound is the highest heartbeat round that the member responded
	// to.
	answeredRound uint64
}

// isPaused reports whether no further entries may be sent for now.
func (p *progress) isPaused(maxInflightEntries uint64) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return p.next-1-p.match >= maxInflightEntries
	default:
		return true
	}
}

// accept records that all entries up to index are durable at the member.
func (p *progress) accept(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.probeSent = false
	if p.state == transferring && p.match < p.snapshot {
		return
	}
	p.state = replicating
}

// reject handles the rejection of an append whose preceding entry was at index.
// The logs cannot match after hint. Rejections of outdated appends are ignored.
// While a snapshot is being transferred, a rejection counts only if its hint
// shows that the member has installed the snapshot.
func (p *progress) reject(index, hint uint64) {
	if index < p.match || p.state == probing && index != p.next-1 {
		return
	}
	if p.state == transferring && hint < p.snapshot {
		return
	}
	p.state = probing
	p.probeSent = false
	p.next = max(min(index, hint+1), p.match+1)
}

// probe returns to probing from the highest index known to match.
func (p *progress) probe() {
	p.state = probing
	p.probeSent = false
	p.snapshot = 0
	p.next = p.match + 1
}
