package consensus

import (
	"math/rand/v2"

	"mangohill.example/mangohill/kind"
)

// Defaults of Config.
const (
	DefaultElectionTicks   = 20
	DefaultHeartbeatTicks  = 6
	DefaultMaxMessageBytes = 256 << 10
	DefaultMaxInflight     = 8192
)

// Config describes one member. Zero values stand for the defaults.
type Config struct {
	ID MemberID
	// ElectionTicks is the election timeout.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats.
	HeartbeatTicks int
	// MaxMessageBytes bounds the entries in one message, MaxInflight the number
	// of entries sent to a member ahead of its acknowledgement.
	MaxMessageBytes int
	MaxInflight     uint64
	// Voters is the number of voters that the group needs. The leader removes a
	// voter beyond it that has been silent for RemovalTicks. Zero keeps all.
	Voters       int
	RemovalTicks int
	Seed         uint64
}

// Restored is the durable state that a member starts from. Entries may begin
// anywhere at or before the entry after the snapshot.
type Restored struct {
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry
}

// safeguards can be switched off by tests, to see that they are needed.
type safeguards struct {
	noPreVote     bool
	noCheckQuorum bool
	countLearners bool
	localReads    bool
	commitAnyTerm bool
}

// Core is the state of one member. It is not safe for concurrent use.
type Core struct {
	id              MemberID
	electionTicks   int
	heartbeatTicks  int
	maxMessageBytes int
	maxInflight     uint64
	neededVoters    int
	removalTicks    int
	// leaderless is the number of ticks without a leader.
	leaderless int
	random     *rand.Rand
	safeguards safeguards

	role        Role
	term        uint64
	vote        MemberID
	leader      MemberID
	saved       HardState
	log         entryLog
	snapshot    SnapshotMeta
	received    *SnapshotMeta
	memberships []indexedMembership

	electionElapsed  int
	electionTimeout  int
	contactElapsed   int
	heartbeatElapsed int
	votes            ballot
	progress         map[MemberID]*progress
	// termStart is the index of the first entry of this leader.
	termStart uint64

	round         uint64
	reads         []pendingRead
	readRequested bool
	confirmed     []ReadState
	outbox        []Message
}

// New returns a follower with the given durable state. Errors are of kind
// corrupt.
func New(config Config, restored Restored) (*Core, error) {
	c := &Core{
		id:              config.ID,
		electionTicks:   orDefault(config.ElectionTicks, DefaultElectionTicks),
		heartbeatTicks:  orDefault(config.HeartbeatTicks, DefaultHeartbeatTicks),
		maxMessageBytes: orDefault(config.MaxMessageBytes, DefaultMaxMessageBytes),
		maxInflight:     orDefault(config.MaxInflight, DefaultMaxInflight),
		neededVoters:    config.Voters,
		removalTicks:    config.RemovalTicks,
		random:          rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		term:            restored.HardState.Term,
		vote:            restored.HardState.Vote,
		saved:           restored.HardState,
		snapshot:        restored.Snapshot,
	}
	if err := c.restoreLog(restored); err != nil {
		return nil, err
	}
	c.resetElectionTimeout()
	return c, nil
}

func orDefault[T int | uint64](value, otherwise T) T {
	if value == 0 {
		return otherwise
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
		if err := c.noteMemberships([]Entry{e}); err != nil {
			return err
		}
	}
	c.log.stable = c.log.last()
	return nil
}

// Tick advances the member's clock by one tick.
func (c *Core) Tick() {
	if c.role != Leader {
		c.leaderless++
		if c.leader != 0 {
			c.leaderless = 0
		}
		c.tickElection()
		return
	}
	c.leaderless = 0
	c.heartbeatElapsed++
	for _, p := range c.progress {
		p.silence++
	}
	c.checkQuorum()
	if c.role == Leader && c.heartbeatElapsed >= c.heartbeatTicks {
		c.broadcastHeartbeat()
	}
}

// Step takes a message from another member. An error of kind bad_request means
// that the message is malformed and was not taken. Any other error means that
// the member must stop: its log conflicts with the leader's.
func (c *Core) Step(m Message) error {
	if err := m.check(); err != nil {
		return err
	}
	if m.Term > c.term && !c.acceptTerm(m) {
		return nil
	}
	if m.Term < c.term {
		c.answerOldTerm(m)
		return nil
	}
	return c.dispatch(m)
}

// acceptTerm moves to the newer term of m, where m may cause that. It returns
// false if m is to be ignored.
func (c *Core) acceptTerm(m Message) bool {
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
	c.follow(m.Term, 0)
	return true
}

// answerOldTerm tells the sender of an old term about the newer one.
func (c *Core) answerOldTerm(m Message) {
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
		c.heardFromLeader(m.From)
		return c.handleAppend(m)
	case MessageSnapshot:
		c.heardFromLeader(m.From)
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

func (c *Core) heardFromLeader(leader MemberID) {
	if c.role != Follower {
		c.become(Follower)
	}
	c.leader = leader
	c.electionElapsed = 0
	c.contactElapsed = 0
}

// follow becomes a follower in term.
func (c *Core) follow(term uint64, leader MemberID) {
	c.become(Follower)
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

// become changes the role and drops what belonged to the former one.
func (c *Core) become(role Role) {
	if c.role == Leader {
		c.contactElapsed = c.electionTicks
		c.leader = 0
	}
	c.role = role
	c.votes = nil
	c.progress = nil
	c.reads = nil
	c.readRequested = false
	c.heartbeatElapsed = 0
	c.electionElapsed = 0
	c.resetElectionTimeout()
}

// resetElectionTimeout draws the wait before the next election. A follower waits
// for the election timeout, or up to twice as long. An election that came to
// nothing is repeated sooner: a pre-vote disturbs nobody.
func (c *Core) resetElectionTimeout() {
	shortest, spread := c.electionTicks, c.electionTicks
	if c.role == PreCandidate || c.role == Candidate {
		shortest, spread = c.electionTicks/4, c.electionTicks/2
	}
	c.electionTimeout = max(1, shortest) + c.random.IntN(max(1, spread))
}

func (c *Core) send(m Message) {
	m.From = c.id
	c.outbox = append(c.outbox, m)
}

// NotLeader returns the error of kind not_leader with the leader's address.
func (c *Core) NotLeader() error {
	leader, _ := c.membership().Find(c.leader)
	return kind.Errorf(kind.NotLeader, "%s", leader.Address)
}

// HasReady reports whether Ready would return work.
func (c *Core) HasReady() bool {
	c.startReadRound()
	return c.received != nil || c.HardState() != c.saved || c.log.stable < c.log.last() ||
		len(c.outbox) > 0 || c.log.applied < c.log.committed || len(c.confirmed) > 0
}

// HardState returns the present term and vote.
func (c *Core) HardState() HardState { return HardState{Term: c.term, Vote: c.vote} }

// maxApplyBytes bounds the entries in one Ready.Committed.
const maxApplyBytes = 4 << 20

// Ready returns the work to be done. The driver calls Advance with it before it
// calls any other method.
func (c *Core) Ready() Ready {
	c.startReadRound()
	ready := Ready{
		Snapshot:  c.received,
		Entries:   c.log.slice(c.log.stable+1, c.log.last(), int(^uint(0)>>1)),
		Messages:  c.outbox,
		Committed: c.log.slice(c.log.applied+1, c.log.committed, maxApplyBytes),
		Reads:     c.confirmed,
	}
	if state := c.HardState(); state != c.saved {
		ready.HardState = &state
	}
	return ready
}

// Advance tells that the work of ready is done: what it asked to persist is
// durable.
func (c *Core) Advance(ready Ready) {
	c.received = nil
	c.outbox = nil
	c.confirmed = nil
	if ready.HardState != nil {
		c.saved = *ready.HardState
	}
	if n := len(ready.Entries); n > 0 {
		c.log.stable = ready.Entries[n-1].Index
	}
	if n := len(ready.Committed); n > 0 {
		c.log.applied = ready.Committed[n-1].Index
	}
	if c.role == Leader {
		c.advanceCommit()
		c.confirmReads()
	}
}

// Status is a member's view of the group.
type Status struct {
	ID        MemberID
	Role      Role
	Term      uint64
	Leader    MemberID
	Commit    uint64
	Applied   uint64
	LastIndex uint64
}

// Status returns the member's view of the group.
func (c *Core) Status() Status {
	return Status{
		ID: c.id, Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.log.committed, Applied: c.log.applied, LastIndex: c.log.last(),
	}
}
