package consensus

import (
	"fmt"

	"mangohill.example/mangohill/kind"
)

// MemberID identifies one member for as long as its disk keeps its state. A
// member that lost its disk joins again under a new random ID. Zero means no
// member.
type MemberID uint64

// String renders the ID in hexadecimal.
func (id MemberID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// Role is the Raft role of a member in its current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// EntryType states how the data of an entry is interpreted.
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

// Entry is one entry of the log. Index is not encoded: it follows from the
// entry's position in the message or in the stored log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64   `cbor:"-"`
	Term  uint64
	Type  EntryType
	Data  []byte
}

// entryOverheadBytes is the memory in bytes that an entry takes in addition to
// its data.
const entryOverheadBytes = 48

func (e Entry) size() int { return entryOverheadBytes + len(e.Data) }

// HardState is the state that a member must persist before it sends messages
// that depend on it: the current term and the member that it voted for in that
// term, zero if none.
type HardState struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Vote MemberID
}

// SnapshotMeta describes a snapshot: index and term of the last entry that it
// covers, and the membership in force at that index.
type SnapshotMeta struct {
	_          struct{} `cbor:",toarray"`
	Index      uint64
	Term       uint64
	Membership Membership
}

// MessageType is the kind of a request or response between members.
type MessageType uint8

// Types of messages.
const (
	// MessageAppend replicates entries (AppendEntries in Raft). Without entries
	// it is a heartbeat.
	MessageAppend MessageType = iota + 1
	// MessageAppendResponse answers MessageAppend and MessageSnapshot.
	MessageAppendResponse
	// MessagePreVote asks whether the receiver would vote for the sender,
	// without raising the term.
	MessagePreVote
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote asks for a vote (RequestVote in Raft).
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageSnapshot offers a snapshot to a member whose next entry was
	// compacted away (InstallSnapshot in Raft). The driver transfers the data,
	// and calls Step with the message once the transfer is complete.
	MessageSnapshot
	// MessageTimeoutNow asks a voter to start an election at once (leadership
	// transfer).
	MessageTimeoutNow
)

// Message is a request or response from one member to another. From and To are
// not encoded: the driver's envelope carries them.
type Message struct {
	_    struct{} `cbor:",toarray"`
	From MemberID `cbor:"-"`
	To   MemberID `cbor:"-"`
	Type MessageType
	Term uint64
	// Index is, depending on the message: the index of the entry before Entries
	// (append); the last index of the sender's log (vote requests); the last
	// index known to match (accepted append response); the Index of the
	// rejected request (rejected append response).
	Index uint64
	// LogTerm is the term of the entry at Index, in requests.
	LogTerm uint64
	// Commit is the leader's commit index, in appends.
	Commit uint64
	// Round is the leader's heartbeat round; the response repeats it.
	Round uint64
	// Hint is the highest index at which the logs may still match, in a
	// rejected append response.
	Hint uint64
	// Reject is set in a response that rejects the request.
	Reject bool
	// Transfer is set in a vote request of an election that the leader asked
	// for by MessageTimeoutNow.
	Transfer bool
	Entries  []Entry
	Snapshot *SnapshotMeta
}

// validate returns an error of kind bad_request for a message that no correct
// member sends.
func (m Message) validate() error {
	if m.Type < MessageAppend || m.Type > MessageTimeoutNow {
		return kind.Errorf(kind.BadRequest, "message of unknown type %d", m.Type)
	}
	if (m.Type == MessageSnapshot) != (m.Snapshot != nil) {
		return kind.Errorf(kind.BadRequest, "message of type %d: exactly the messages of type MessageSnapshot carry a snapshot", m.Type)
	}
	for _, e := range m.Entries {
		if err := e.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (e Entry) validate() error {
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

// ReadState states that the read requested under ID may be served once the
// state machine has applied Index.
type ReadState struct {
	ID    uint64
	Index uint64
}

// MaySendBeforeSync reports whether m may be sent before the entries of the
// same Ready are durable. This holds for the leader's appends, because the
// leader counts its own copy of an entry only after Advance (Ongaro's
// dissertation, section 10.2.1), unless the Ready also has a HardState to
// persist.
func (r Ready) MaySendBeforeSync(m Message) bool {
	return m.Type == MessageAppend && r.HardState == nil
}

// Ready is the pending work of the core. The driver carries it out in the order
// of the fields.
type Ready struct {
	// Snapshot, if set, is a received snapshot that replaces the log and the
	// state machine's state.
	Snapshot *SnapshotMeta
	// HardState, if set, must be durable before Messages are sent.
	HardState *HardState
	// Entries must be durable before Messages are sent, except the messages for
	// which MaySendBeforeSync returns true. An entry replaces all stored
	// entries from its index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}
