package consensus

// progressState is the leader's way of replicating to one member.
type progressState uint8

const (
	// probing sends one batch at a time until the matching index is known.
	probing progressState = iota
	// replicating sends batches ahead of their acknowledgements.
	replicating
	// transferring waits for the transfer of a snapshot.
	transferring
)

// progress is what the leader knows about one member.
type progress struct {
	state progressState
	// match is the last index known to be durable there.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probeSent is set while the answer to a probe is awaited.
	probeSent bool
	// snapshot is the index of the snapshot under transfer.
	snapshot uint64
	// silence is the number of ticks since the last response.
	silence int
	// round is the last heartbeat round that the member answered.
	round uint64
}

// isPaused reports whether no entries may be sent now.
func (p *progress) isPaused(maxInflight uint64) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return p.next-1-p.match >= maxInflight
	default:
		return true
	}
}

// accept records that index is durable at the member.
func (p *progress) accept(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.probeSent = false
	if p.state == transferring && p.match < p.snapshot {
		return
	}
	p.state = replicating
}

// reject records that the member refused the entries after index and holds none
// after hint that could match.
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

// probe goes back to probing from the last index known to match.
func (p *progress) probe() {
	p.state = probing
	p.probeSent = false
	p.snapshot = 0
	p.next = p.match + 1
}
