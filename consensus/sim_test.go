package consensus_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/internal/fake/memdisk"
	"mangohill.example/mangohill/storage"
)

const (
	simElectionTicks  = consensus.DefaultElectionTicks
	simHeartbeatTicks = consensus.DefaultHeartbeatTicks
	// simSnapshotEntries is small so that most runs transfer snapshots.
	simSnapshotEntries = 12
	simSegmentBytes    = 2 << 10
	// maxHosts limits how many hosts a plan can add to the group.
	maxHosts   = 7
	simDataDir = "data"
	// warmUpTicks is enough time for a group without faults to elect a leader.
	warmUpTicks = 6 * simElectionTicks
	// nominalClockRate is the rate of a clock that ticks once per step, in
	// hundredths of a tick per step.
	nominalClockRate = 100
)

// violation is the panic value of the invariant checks; the tests turn it into
// a failure.
type violation string

func violate(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// faults configures the faults of a run.
type faults struct {
	loss, duplicate float64               // probabilities for each message
	delay           int                   // maximum in ticks
	keepIdentity    bool                  // a host with a lost disk restarts under its old identity
	keepLearners    bool                  // learners are never promoted
	ignoreSync      bool                  // disks report success for a sync and do nothing
	keepCore        bool                  // a host with a full disk keeps what it has in memory
	adjust          func(*consensus.Core) // called on each core when it starts
}

// sim runs a group of cores with real stores, on in-memory disks and a
// simulated network with virtual time in ticks.
type sim struct {
	random   *rand.Rand
	faults   faults
	now      int
	hosts    []*host
	inFlight []packet
	// isolated holds the hosts without any connection.
	isolated map[*host]bool
	// cutLinks holds the pairs of hosts whose connection is cut.
	cutLinks map[[2]*host]bool

	// leaders holds the leader of each term, committed the entry at each index.
	leaders   map[uint64]consensus.MemberID
	committed map[uint64]string
	// committedTerm holds, for each entry, the term of the host that applied it
	// first. It is at least the term in which the entry was committed.
	committedTerm map[uint64]uint64
	lastCommitted uint64
	membership    consensus.Membership
	// acked holds the index of each acknowledged command, highestAcked the
	// highest of them.
	acked        map[string]uint64
	highestAcked uint64
	commands     int
	// refusedWrites counts the cores that were discarded since a disk was full, resumed those
	// that started again without a restart of their host.
	refusedWrites, resumed int
	elections              int
}

// host is one simulated control host.
type host struct {
	sim          *sim
	address      string
	clockRate    int // hundredths of a tick by which the clock advances per step
	clockPhase   int // hundredths of a tick since the last tick of the clock
	id           consensus.MemberID
	disk         *memdisk.Disk
	store        *storage.Store
	core         *consensus.Core
	frozenUntil  int  // time in ticks at which the host resumes
	full         bool // the disk is full, and the host has no core
	awaitsRepair bool
	lastLedTerm  uint64 // the last term in which this host was seen leading

	state            []string
	applied          uint64
	pendingProposals map[uint64]pendingProposal
	// reads holds, for each read, the highest index that was acknowledged
	// before it.
	reads    map[uint64]uint64
	nextRead uint64
	// rounds holds the start time of each heartbeat round in ticks.
	rounds map[uint64]int
	// incoming is the last received snapshot.
	incoming *packet
}

type pendingProposal struct {
	term    uint64
	command string
}

// packet is a message in flight, with the data of the snapshot that it offers.
type packet struct {
	at     int
	m      consensus.Message
	from   *host
	to     *host
	header storage.SnapshotHeader
	data   []byte
}

func newSim(seed uint64, size int, f faults) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 1)), faults: f, isolated: map[*host]bool{}, cutLinks: map[[2]*host]bool{},
		leaders: map[uint64]consensus.MemberID{}, committed: map[uint64]string{}, committedTerm: map[uint64]uint64{}, acked: map[string]uint64{},
	}
	var members consensus.Membership
	for i := range size {
		h := &host{sim: s, address: fmt.Sprint("host-", i), id: consensus.MemberID(i + 1), clockRate: nominalClockRate}
		s.hosts = append(s.hosts, h)
		members.Members = append(members.Members, consensus.Member{ID: h.id, Address: h.address, Voter: true})
	}
	first := consensus.Entry{Index: 1, Term: 1, Type: consensus.EntryMembership, Data: members.Encode()}
	for _, h := range s.hosts {
		h.disk = memdisk.New(s.random)
		h.createStore(consensus.HardState{Term: 1}, []consensus.Entry{first})
		h.boot()
	}
	s.membership = members
	return s
}

// add starts another host with an empty disk.
func (s *sim) add() *host {
	h := &host{sim: s, address: fmt.Sprint("host-", len(s.hosts)), clockRate: nominalClockRate, disk: memdisk.New(s.random), awaitsRepair: true}
	s.hosts = append(s.hosts, h)
	h.createNewMember()
	return h
}

// createStore writes the initial state of a member to the disk. It returns
// false if the disk crashed during the write.
func (h *host) createStore(state consensus.HardState, entries []consensus.Entry) bool {
	store, _, err := h.open()
	if err == nil {
		err = store.Create(storage.Identity{Cluster: 1, Member: h.id}, state, entries)
	}
	return err == nil
}

func (h *host) open() (*storage.Store, storage.LoadedState, error) {
	return storage.Open(simDataDir, storage.Options{FileSystem: h.disk, SegmentBytes: simSegmentBytes})
}

// boot starts the host from the state on its disk.
func (h *host) boot() {
	store, loaded, err := h.open()
	if err == memdisk.ErrCrashed {
		return
	}
	h.store = store
	h.state, h.applied = nil, 0
	h.pendingProposals, h.reads, h.rounds = map[uint64]pendingProposal{}, map[uint64]uint64{}, map[uint64]int{}
	if storage.IsFull(err) {
		h.full = true
		return
	}
	if err != nil {
		violate("%s: cannot open its store: %v", h.address, err)
	}
	if loaded.Identity == nil {
		h.createNewMember()
		return
	}
	h.startCore(loaded)
}

// startCore starts a core from the durable state. The state machine keeps what it has
// applied.
func (h *host) startCore(loaded storage.LoadedState) {
	h.id = loaded.Identity.Member
	if meta := loaded.Restored.Snapshot; meta.Index > h.applied {
		h.applied = meta.Index
		h.restore(meta.Index)
	}
	loaded.Restored.Applied = h.applied
	config := consensus.Config{
		ID: h.id, ElectionTicks: simElectionTicks, HeartbeatTicks: simHeartbeatTicks,
		MaxMessageBytes: 400, MaxInflightEntries: 16, Seed: h.sim.random.Uint64(),
	}
	core, err := consensus.New(config, loaded.Restored)
	if err != nil {
		violate("%s: cannot start its core: %v", h.address, err)
	}
	h.core = core
	if h.sim.faults.adjust != nil {
		h.sim.faults.adjust(h.core)
	}
	clear(h.rounds)
	h.frozenUntil, h.incoming = 0, nil
	if h.sim.faults.ignoreSync {
		h.disk.IgnoreSync()
	}
}

func (h *host) restore(index uint64) {
	_, data, err := h.store.ReadSnapshot(index)
	h.state = nil
	if err == nil {
		err = json.Unmarshal(data, &h.state)
	}
	if err != nil {
		violate("%s: cannot restore snapshot %d: %v", h.address, index, err)
	}
}

// crash stops the host and discards unsynced writes.
func (h *host) crash() {
	h.core, h.store, h.full = nil, nil, false
	h.disk.Crash()
}

// loseDisk replaces the disk by an empty one and starts the host with it.
func (h *host) loseDisk() {
	h.core, h.store, h.full = nil, nil, false
	h.disk = memdisk.New(h.sim.random)
	if h.sim.faults.keepIdentity {
		h.createStore(consensus.HardState{}, nil)
		h.boot()
		return
	}
	h.awaitsRepair = true
	h.createNewMember()
}

// createNewMember starts the host on its empty disk as a new member with a
// random ID.
func (h *host) createNewMember() {
	h.id = consensus.MemberID(h.sim.random.Uint64() | 1<<63)
	if h.createStore(consensus.HardState{}, nil) {
		h.boot()
		return
	}
	h.crash()
}

func (h *host) isRunning() bool { return h.core != nil && h.sim.now >= h.frozenUntil }

// step advances the time by one tick.
func (s *sim) step() {
	s.now++
	s.deliver()
	for _, h := range s.hosts {
		if h.full {
			h.resumeWithSpace()
		}
		if !h.isRunning() {
			continue
		}
		h.tick()
	}
}

func (h *host) tick() {
	h.clockPhase += h.clockRate
	for ; h.clockPhase >= nominalClockRate; h.clockPhase -= nominalClockRate {
		h.core.Tick()
		if !h.sim.faults.keepLearners {
			h.core.MaintainMembership()
		}
	}
	h.requestAdmission()
	h.processReady()
}

// requestAdmission asks every reachable leader for admission, if this member
// needs it.
func (h *host) requestAdmission() {
	if !h.core.NeedsAdmission() || h.sim.now%5 != 0 {
		return
	}
	for _, leader := range h.sim.hosts {
		if leader != h && leader.isRunning() && leader.core.Status().Role == consensus.Leader && h.sim.connected(h, leader) {
			_, err := leader.core.Admit(consensus.Member{ID: h.id, Address: h.address})
			if err == nil {
				leader.processReady()
			}
		}
	}
}

func (s *sim) connected(a, b *host) bool {
	return !s.isolated[a] && !s.isolated[b] && !s.cutLinks[[2]*host{a, b}] && !s.cutLinks[[2]*host{b, a}]
}

// processReady carries out the core's pending work in the order that the
// package comment of consensus specifies.
func (h *host) processReady() {
	for h.core != nil && h.core.HasReady() {
		h.recordRound()
		ready := h.core.Ready()
		h.sendAll(ready, true)
		if err := h.persist(ready); err != nil {
			if h.handleWriteError(err); !h.sim.faults.keepCore {
				return
			}
		}
		h.checkNewLeader()
		h.sendAll(ready, false)
		h.apply(ready)
		h.core.Advance(ready)
	}
	if h.core == nil {
		return
	}
	if err := h.compact(); err != nil {
		h.handleWriteError(err)
	}
}

// handleWriteError discards the core after a write that failed for lack of space, and stops
// the host after any other.
func (h *host) handleWriteError(err error) {
	if !storage.IsFull(err) {
		h.crash()
		return
	}
	h.sim.refusedWrites++
	if h.sim.faults.keepCore {
		return
	}
	core := h.core
	h.core, h.full = nil, true
	if m, ok := core.Abandon(); ok {
		h.send(m)
	}
}

// resumeWithSpace starts a new core, and keeps the state machine, once the disk has space.
func (h *host) resumeWithSpace() {
	loaded, err := h.store.Reload()
	if storage.IsFull(err) {
		return
	}
	if err != nil {
		h.crash()
		return
	}
	h.full = false
	if loaded.Identity == nil {
		h.createNewMember()
		return
	}
	h.sim.resumed++
	h.startCore(loaded)
}

func (h *host) sendAll(ready consensus.Ready, early bool) {
	for _, m := range ready.Messages {
		if ready.MaySendBeforeSync(m) == early {
			h.send(m)
		}
	}
}

func (h *host) persist(ready consensus.Ready) error {
	if meta := ready.Snapshot; meta != nil {
		if err := h.store.InstallSnapshot(h.incoming.header, h.incoming.data); err != nil {
			return err
		}
		if err := h.store.Reset(*meta); err != nil {
			return err
		}
		if err := h.store.RemoveSnapshotsBefore(meta.Index); err != nil {
			return err
		}
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	return h.store.Append(h.core.HardState(), ready.Entries)
}

func (h *host) apply(ready consensus.Ready) {
	if ready.Snapshot != nil {
		h.restore(ready.Snapshot.Index)
		h.applied = ready.Snapshot.Index
	}
	for _, e := range ready.Committed {
		h.applyEntry(e)
	}
	for _, r := range ready.Reads {
		if floor := h.reads[r.ID]; r.Index < floor {
			violate("stale read: %s serves at %d, entry %d was acknowledged before", h.address, r.Index, floor)
		}
	}
}

func (h *host) applyEntry(e consensus.Entry) {
	if e.Index != h.applied+1 {
		violate("%s applies %d after %d", h.address, e.Index, h.applied)
	}
	h.applied = e.Index
	h.sim.recordCommitted(h, e)
	if e.Type != consensus.EntryCommand {
		return
	}
	command := string(e.Data)
	h.state = append(h.state, command)
	if p, ok := h.pendingProposals[e.Index]; ok && p.term == e.Term {
		h.sim.acked[command] = e.Index
		h.sim.highestAcked = max(h.sim.highestAcked, e.Index)
	}
	delete(h.pendingProposals, e.Index)
}

func (h *host) compact() error {
	if entries, _ := h.core.LogSize(); entries < simSnapshotEntries {
		return nil
	}
	meta, ok := h.core.NextSnapshot()
	if !ok {
		return nil
	}
	data, err := json.Marshal(h.state)
	if err != nil {
		return err
	}
	if err := h.store.WriteSnapshot(meta, data); err != nil {
		return err
	}
	compactTo := meta.Index - simSnapshotEntries/2
	h.core.Compact(meta, compactTo)
	if err := h.store.Compact(compactTo); err != nil {
		return err
	}
	return h.store.RemoveSnapshotsBefore(meta.Index)
}

// propose proposes a new command to, and requests a read from, every host that
// believes that it leads.
func (s *sim) propose() {
	for _, h := range s.hosts {
		if !h.isRunning() || h.core.Status().Role != consensus.Leader {
			continue
		}
		s.commands++
		command := fmt.Sprint("command ", s.commands)
		index, term, err := h.core.Propose([]byte(command))
		if err != nil {
			violate("a leader rejects a proposal: %v", err)
		}
		h.pendingProposals[index] = pendingProposal{term, command}
		h.nextRead++
		h.reads[h.nextRead] = s.highestAcked
		if err := h.core.RequestRead(h.nextRead); err != nil {
			violate("a leader rejects a read: %v", err)
		}
		h.processReady()
	}
}
