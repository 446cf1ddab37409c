package consensus

import (
	"math/rand/v2"

	"mangohill.example/mangohill/kind"
)

// Defaults of Config, in ticks, bytes and entries.
const (
	DefaultElectionTicks      = 20
	DefaultHeartbeatTicks     = 6
	DefaultMaxMessageBytes    = 256 << 10
	DefaultMaxInflightEntries = 8192
)

// Config configures one member. Zero values of the timeouts and limits select
// the defaults. Times are in ticks, that is calls of Tick.
type Config struct {
	ID MemberID
	// ElectionTicks is the minimum election timeout. Each timeout is random,
	// between this and twice as long.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats.
	HeartbeatTicks int
	// MaxMessageBytes limits the entries in one message. MaxInflightEntries
	// limits the unacknowledged entries sent to one member.
	MaxMessageBytes    int
	MaxInflightEntries uint64
	// Voters is the intended number of voters. While there are more, the leader
	// removes one that has not responded for RemovalTicks. Zero disables the
	// removal.
	Voters       int
	RemovalTicks int
	Seed         uint64 // of the random election timeouts
}

// Restored is the durable state that a member starts from. Entries may start at
// or before the first index after the snapshot.
type Restored struct {
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry
	// Applied is the last entry that the state machine has applied already, zero if it
	// has applied none after the snapshot. It is set if only the core starts again.
	Applied uint64
}

// safeguards lets tests disable safety checks of the algorithm, to show that a
// test fails without them.
type safeguards struct {
	noPreVote     bool
	noCheckQuorum bool
	countLearners bool
	localReads    bool
	commitAnyTerm bool
}

// Core is the Raft state of one member. It is not safe for concurrent use.
type Core struct {
	id                 MemberID
	electionTicks      int
	heartbeatTicks     int
	maxMessageBytes    int
	maxInflightEntries uint64
	neededVoters       int
	removalTicks       int
	// ticksWithoutLeader counts the ticks since this member last knew a leader.
	ticksWithoutLeader int
	random             *rand.Rand
	safeguards         safeguards

	role   Role
	term   uint64
	vote   MemberID
	leader MemberID
	// persistedState is the HardState that the driver last persisted.
	persistedState HardState
	log            entryLog
	snapshot       SnapshotMeta
	// pendingSnapshot is a received snapshot that the driver has not installed
	// yet.
	pendingSnapshot *SnapshotMeta
	// memberships holds the membership at the base of the log and every later
	// one in the log, by index.
	memberships []indexedMembership

	// The elapsed times and the timeout are in ticks. leaderContactElapsed
	// counts from the last message of a leader, or from the start, voteElapsed
	// from the latest vote; after a start, leaderContactElapsed covers it.
	electionElapsed      int
	electionTimeout      int
	leaderContactElapsed int
	voteElapsed          int
	heartbeatElapsed     int
	// votes are those of the election in the current term, nil if this member has not asked for any.
	// They are kept while it asks for pre-votes again: it still wins if they arrive late. preVotes are
	// those of a pre-candidate.
	votes, preVotes voteTally
	// candidacies counts how often this member has asked for votes since it knew a leader.
	candidacies int
	progress    map[MemberID]*progress
	// termStart is the index of the entry that this member appended when it
	// became leader.
	termStart uint64

	// round is the number of the latest heartbeat round; rounds are never
	// reused.
	round uint64
	reads []pendingRead
	// readRequested is set while a read waits for the next heartbeat round to
	// start.
	readRequested bool
	// readStates holds the confirmed reads for the next Ready.
	readStates []ReadState
	outbox     []Message
}

// New returns a follower with the given durable state. Errors are of kind
// corrupt.
func New(config Config, restored Restored) (*Core, error) {
	c := &Core{
		id:                 config.ID,
		electionTicks:      orDefault(config.ElectionTicks, DefaultElectionTicks),
		heartbeatTicks:     orDefault(config.HeartbeatTicks, DefaultHeartbeatTicks),
		maxMessageBytes:    orDefault(config.MaxMessageBytes, DefaultMaxMessageBytes),
		maxInflightEntries: orDefault(config.MaxInflightEntries, DefaultMaxInflightEntries),
		neededVoters:       config.Voters,
		removalTicks:       config.RemovalTicks,
		random:             rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		term:               restored.HardState.Term,
		vote:               restored.HardState.Vote,
		persistedState:     restored.HardState,
		snapshot:           restored.Snapshot,
	}
	if err := c.restoreLog(restored); err != nil {
		return nil, err
	}
	c.voteElapsed = c.electionTicks
	c.resetElectionTimeout()
	return c, nil
}

func orDefault[T int | uint64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

func (c *Core) restoreLog(restored Restored) error {
	meta := restored.Snapshot
	c.log.reset(meta.Index, meta.Term)
	c.memberships = []indexedMembership{{meta.Index, meta.Membership}}
	for _, e := range restored.Entries {
		if e.Index <= meta.Index {
			continue
		}
		if e.Index != c.log.last()+1 {
			return kind.Errorf(kind.Corrupt, "log entry %d follows entry %d", e.Index, c.log.last())
		}
		c.log.append(e)
		if err := c.recordMemberships([]Entry{e}); err != nil {
			return err
		}
	}
	c.log.persisted = c.log.last()
	if restored.Applied > c.log.last() {
		return kind.Errorf(kind.Corrupt, "entry %d is applied, but the log ends at entry %d", restored.Applied, c.log.last())
	}
	c.log.committed = max(c.log.committed, restored.Applied)
	c.log.applied = c.log.committed
	return nil
}

// Tick advances the member's logical clock by one tick.
func (c *Core) Tick() {
	if c.role != Leader {
		c.ticksWithoutLeader++
		if c.leader != 0 {
			c.ticksWithoutLeader = 0
		}
		c.tickElection()
		return
	}
	c.ticksWithoutLeader = 0
	c.heartbeatElapsed++
	for _, p := range c.progress {
		p.ticksSinceResponse++
	}
	c.checkQuorum()
	if c.role == Leader && c.heartbeatElapsed >= c.heartbeatTicks {
		c.broadcastHeartbeat()
	}
}

// Step processes a message from another member. An error of kind bad_request
// means that the message is malformed and was ignored. After any other error
// the member must stop, because its log conflicts with the leader's.
func (c *Core) Step(m Message) error {
	if err := m.validate(); err != nil {
		return err
	}
	if m.Term > c.term && !c.acceptNewerTerm(m) {
		return nil
	}
	if m.Term < c.term {
		c.rejectOldTerm(m)
		return nil
	}
	return c.dispatch(m)
}

// acceptNewerTerm handles the newer term of m and becomes a follower in it.
// Pre-vote requests and granted pre-votes do not change the term. It returns
// false if m must be ignored: a vote request while this member may still have a
// leader, unless the leader itself asked for the election.
func (c *Core) acceptNewerTerm(m Message) bool {
	switch m.Type {
	case MessagePreVote:
		return true
	case MessagePreVoteResponse:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if !m.Transfer && c.hasRecentLeader() {
			return false
		}
	}
	c.becomeFollower(m.Term, 0)
	return true
}

// rejectOldTerm tells the sender of a request with an old term about the
// current term.
func (c *Core) rejectOldTerm(m Message) {
	switch m.Type {
	case MessageAppend, MessageSnapshot:
		c.send(Message{Type: MessageAppendResponse, To: m.From, Term: c.term, Reject: true})
	case MessagePreVote:
		c.send(Message{Type: MessagePreVoteResponse, To: m.From, Term: c.term, Reject: true})
	}
}

func (c *Core) dispatch(m Message) error {
	switch m.Type {
	case MessageAppend:
		c.recordLeaderContact(m.From)
		return c.handleAppend(m)
	case MessageSnapshot:
		c.recordLeaderContact(m.From)
		c.handleSnapshot(m)
	case MessageAppendResponse:
		c.handleAppendResponse(m)
	case MessagePreVote:
		c.handlePreVote(m)
	case MessageVote:
		c.handleVote(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		c.handleVoteResponse(m)
	case MessageTimeoutNow:
		c.handleTimeoutNow()
	}
	return nil
}

func (c *Core) recordLeaderContact(leader MemberID) {
	if c.role != Follower {
		c.changeRole(Follower)
	}
	c.leader = leader
	c.electionElapsed = 0
	c.leaderContactElapsed = 0
	c.candidacies = 0
}

// becomeFollower becomes a follower in term; leader is zero if unknown.
func (c *Core) becomeFollower(term uint64, leader MemberID) {
	c.changeRole(Follower)
	c.setTerm(term)
	c.leader = leader
}

func (c *Core) setTerm(term uint64) {
	if term == c.term {
		return
	}
	c.term = term
	c.vote = 0
	c.leader = 0
}

// changeRole changes the role and resets the state that belongs to the previous
// one.
func (c *Core) changeRole(role Role) {
	if c.role == Leader {
		c.leaderContactElapsed, c.voteElapsed = c.electionTicks, c.electionTicks
		c.leader = 0
	}
	c.role = role
	c.votes, c.preVotes = nil, nil
	c.progress = nil
	c.reads = nil
	c.readRequested = false
	c.heartbeatElapsed = 0
	c.electionElapsed = 0
	c.resetElectionTimeout()
}

// maxBackoff limits the doublings of a candidate's timeout.
const maxBackoff = 3

// resetElectionTimeout draws a new random election timeout: for a follower, one
// to two times electionTicks. A candidate retries after a quarter to three
// quarters of electionTicks: retrying a pre-vote early is harmless, since it does not
// disturb the other members. Each time it has asked for votes in vain it waits twice as
// long: the others may need longer to record them, and its next term makes them void.
func (c *Core) resetElectionTimeout() {
	shortest, spread := c.electionTicks, c.electionTicks
	if c.role == PreCandidate || c.role == Candidate {
		backoff := min(max(c.candidacies-1, 0), maxBackoff)
		shortest, spread = c.electionTicks<<backoff/4, c.electionTicks<<backoff/2
	}
	c.electionTimeout = max(1, shortest) + c.random.IntN(max(1, spread))
}

func (c *Core) send(m Message) {
	m.From = c.id
	c.outbox = append(c.outbox, m)
}

// NotLeader returns an error of kind not_leader whose detail is the leader's
// address, empty if unknown.
func (c *Core) NotLeader() error {
	leader, _ := c.membership().Find(c.leader)
	return kind.Errorf(kind.NotLeader, "%s", leader.Address)
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	c.startReadRound()
	return c.pendingSnapshot != nil || c.HardState() != c.persistedState || c.log.persisted < c.log.last() ||
		len(c.outbox) > 0 || c.log.applied < c.log.committed || len(c.readStates) > 0
}

// HardState returns the current term and vote.
func (c *Core) HardState() HardState { return HardState{Term: c.term, Vote: c.vote} }

// maxApplyBytes limits the size of the entries in one Ready.Committed.
const maxApplyBytes = 4 << 20

// Ready returns the pending work. The driver must call Advance with it before
// it calls any other method.
func (c *Core) Ready() Ready {
	c.startReadRound()
	ready := Ready{
		Snapshot:  c.pendingSnapshot,
		Entries:   c.log.slice(c.log.persisted+1, c.log.last(), int(^uint(0)>>1)),
		Messages:  c.outbox,
		Committed: c.log.slice(c.log.applied+1, c.log.committed, maxApplyBytes),
		Reads:     c.readStates,
	}
	if state := c.HardState(); state != c.persistedState {
		ready.HardState = &state
	}
	return ready
}

// Advance confirms that the driver has carried out the work of ready, so that
// everything in it that had to be persisted is durable.
func (c *Core) Advance(ready Ready) {
	c.pendingSnapshot = nil
	c.outbox = nil
	c.readStates = nil
	if ready.HardState != nil {
		c.persistedState = *ready.HardState
	}
	if n := len(ready.Entries); n > 0 {
		c.log.persisted = ready.Entries[n-1].Index
	}
	if n := len(ready.Committed); n > 0 {
		c.log.applied = ready.Committed[n-1].Index
	}
	if c.role == Leader {
		c.advanceCommit()
		c.confirmReads()
	}
}

// Status is a member's view of the group. Commit, Applied and LastIndex are log
// indexes.
type Status struct {
	ID        MemberID
	Role      Role
	Term      uint64
	Leader    MemberID
	Commit    uint64
	Applied   uint64
	LastIndex uint64
}

// Status returns the member's current view of the group.
func (c *Core) Status() Status {
	return Status{
		ID: c.id, Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.log.committed, Applied: c.log.applied, LastIndex: c.log.last(),
	}
}
