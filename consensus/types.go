package consensus

import (
	"fmt"

	"mangohill.example/mangohill/kind"
)

// MemberID identifies one member for the life of its disk. It is random; zero
// stands for no member.
type MemberID uint64

// String renders the ID in hexadecimal.
func (id MemberID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// Role is the part that a member plays in its term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// EntryType tells what the data of an entry is.
type EntryType uint8

// Types of entries.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryType = iota
	// EntryNoop is the first entry of each leader and has no data.
	EntryNoop
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one entry of the log. Its index is implied by its place when it is
// encoded.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64   `cbor:"-"`
	Term  uint64
	Type  EntryType
	Data  []byte
}

// entryOverhead is the memory in bytes that an entry takes beside its data.
const entryOverhead = 48

func (e Entry) size() int { return entryOverhead + len(e.Data) }

// HardState is what a member must not forget: its term and its vote in it.
type HardState struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Vote MemberID
}

// SnapshotMeta names a snapshot: the last entry that it covers and the
// membership in force there.
type SnapshotMeta struct {
	_          struct{} `cbor:",toarray"`
	Index      uint64
	Term       uint64
	Membership Membership
}

// MessageType tells what a message asks or answers.
type MessageType uint8

// Types of messages.
const (
	// MessageAppend replicates entries; without entries it is a heartbeat.
	MessageAppend MessageType = iota + 1
	// MessageAppendResponse answers MessageAppend and MessageSnapshot.
	MessageAppendResponse
	// MessagePreVote asks whether an election could be won.
	MessagePreVote
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageSnapshot offers a snapshot to a member that lags behind the log. The
	// driver transfers the data and hands the message over when it has it all.
	MessageSnapshot
	// MessageTimeoutNow asks a voter to start an election at once.
	MessageTimeoutNow
)

// Message is sent from one member to another. From and To are not encoded: the
// driver's envelope carries them.
type Message struct {
	_    struct{} `cbor:",toarray"`
	From MemberID `cbor:"-"`
	To   MemberID `cbor:"-"`
	Type MessageType
	Term uint64
	// Index is the entry before Entries (append), the last entry of the log
	// (votes), the last matching entry (accepting response), or the entry that
	// was refused (rejecting response).
	Index uint64
	// LogTerm is the term of the entry at Index, in requests.
	LogTerm uint64
	// Commit is the sender's commit index, in appends.
	Commit uint64
	// Round is the leader's heartbeat round; responses repeat it.
	Round uint64
	// Hint is the last index that may match, in a rejecting append response.
	Hint uint64
	// Reject is set in a response that refuses.
	Reject bool
	// Transfer is set in a vote request that a leader asked for.
	Transfer bool
	Entries  []Entry
	Snapshot *SnapshotMeta
}

// check refuses a message that no member sends.
func (m Message) check() error {
	if m.Type < MessageAppend || m.Type > MessageTimeoutNow {
		return kind.Errorf(kind.BadRequest, "message of unknown type %d", m.Type)
	}
	if (m.Type == MessageSnapshot) != (m.Snapshot != nil) {
		return kind.Errorf(kind.BadRequest, "message of type %d with or without a snapshot", m.Type)
	}
	for _, e := range m.Entries {
		if err := e.check(); err != nil {
			return err
		}
	}
	return nil
}

func (e Entry) check() error {
	switch e.Type {
	case EntryCommand, EntryNoop:
		return nil
	case EntryMembership:
		_, err := DecodeMembership(e.Data)
		return kind.Wrap(kind.BadRequest, err, "entry")
	default:
		return kind.Errorf(kind.BadRequest, "entry of unknown type %d", e.Type)
	}
}

// ReadState tells that a read requested under ID may be served once the state
// machine has applied Index.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Early reports whether m may be sent before the entries of the same Ready are
// durable: the leader's appends may, since it counts itself only afterwards
// (Ongaro's dissertation, section 10.2.1), unless a term or vote is to be saved.
func (r Ready) Early(m Message) bool {
	return m.Type == MessageAppend && r.HardState == nil
}

// Ready is the work that the driver must carry out, in the order of the fields.
type Ready struct {
	// Snapshot, if set, is a received snapshot that replaces log and state.
	Snapshot *SnapshotMeta
	// HardState, if set, must be durable before Messages are sent.
	HardState *HardState
	// Entries must be durable before Messages are sent, but for those that Early
	// names. An entry replaces any entry at or after its index.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}
