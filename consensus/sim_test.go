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
	// simSnapshotEntries is small, so that most runs transfer snapshots.
	simSnapshotEntries = 12
	simSegmentBytes    = 2 << 10
	// maxHosts bounds the growth of a group.
	maxHosts  = 7
	simFolder = "data"
	// warmUp is a time in ticks in which a group without faults elects a leader.
	warmUp = 6 * simElectionTicks
	// rateUnit is one tick of a clock that runs at its nominal rate.
	rateUnit = 100
)

// violation is what checkers panic with; the tests turn it into a failure.
type violation string

func violate(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// faults are the conditions of a run.
type faults struct {
	loss, duplicate float64 // probabilities for each message
	delay           int     // bound in ticks
	keepIdentity    bool    // a lost disk restarts under its old identity
	keepLearners    bool    // learners are not promoted
	ignoreSync      bool
	adjust          func(*consensus.Core)
}

// sim runs a group of real cores over real stores, on disks in memory and a
// network with virtual time.
type sim struct {
	random *rand.Rand
	faults faults
	now    int
	hosts  []*host
	net    []packet
	// cut holds the hosts that reach nobody.
	cut map[*host]bool
	// links holds the pairs that do not reach each other.
	links map[[2]*host]bool

	leaders   map[uint64]consensus.MemberID
	committed map[uint64]string
	// committedIn holds for each entry the term of the host that applied it first,
	// which is at least the term in which it was committed.
	committedIn map[uint64]uint64
	last        uint64
	members     consensus.Membership
	acked       map[string]uint64
	ackedTo     uint64
	commands    int
	elections   int
}

// host is one control host.
type host struct {
	sim     *sim
	address string
	rate    int
	phase   int
	id      consensus.MemberID
	disk    *memdisk.Disk
	store   *storage.Store
	core    *consensus.Core
	frozen  int // until this time
	repair  bool
	term    uint64 // in which it was last seen leading

	machine  []string
	applied  uint64
	waiting  map[uint64]proposed
	reads    map[uint64]uint64
	nextRead uint64
	rounds   map[uint64]int
	incoming *packet
}

type proposed struct {
	term    uint64
	command string
}

// packet is a message under way, with the data of the snapshot it offers.
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
		random: rand.New(rand.NewPCG(seed, 1)), faults: f, cut: map[*host]bool{}, links: map[[2]*host]bool{},
		leaders: map[uint64]consensus.MemberID{}, committed: map[uint64]string{}, committedIn: map[uint64]uint64{}, acked: map[string]uint64{},
	}
	var members consensus.Membership
	for i := range size {
		h := &host{sim: s, address: fmt.Sprint("host-", i), id: consensus.MemberID(i + 1), rate: rateUnit}
		s.hosts = append(s.hosts, h)
		members.Members = append(members.Members, consensus.Member{ID: h.id, Address: h.address, Voter: true})
	}
	first := consensus.Entry{Index: 1, Term: 1, Type: consensus.EntryMembership, Data: members.Encode()}
	for _, h := range s.hosts {
		h.disk = memdisk.New(s.random)
		h.create(consensus.HardState{Term: 1}, []consensus.Entry{first})
		h.boot()
	}
	s.members = members
	return s
}

// add starts one more host on an empty disk.
func (s *sim) add() *host {
	h := &host{sim: s, address: fmt.Sprint("host-", len(s.hosts)), rate: rateUnit, disk: memdisk.New(s.random), repair: true}
	s.hosts = append(s.hosts, h)
	h.renew()
	return h
}

// create makes the first state of a member. It reports whether the host lived
// through it.
func (h *host) create(state consensus.HardState, entries []consensus.Entry) bool {
	store, _, err := h.open()
	if err == nil {
		err = store.Create(storage.Identity{Cluster: 1, Member: h.id}, state, entries)
	}
	return err == nil
}

func (h *host) open() (*storage.Store, storage.LoadedState, error) {
	return storage.Open(simFolder, storage.Options{FileSystem: h.disk, SegmentBytes: simSegmentBytes})
}

// boot starts the host from its disk.
func (h *host) boot() {
	store, loaded, err := h.open()
	if err == memdisk.ErrCrashed {
		return
	}
	if err != nil {
		violate("%s does not start: %v", h.address, err)
	}
	if loaded.Identity == nil {
		h.renew()
		return
	}
	h.store, h.id = store, loaded.Identity.Member
	h.machine, h.applied = nil, loaded.Restored.Snapshot.Index
	if h.applied > 0 {
		h.restore(loaded.Restored.Snapshot.Index)
	}
	config := consensus.Config{
		ID: h.id, ElectionTicks: simElectionTicks, HeartbeatTicks: simHeartbeatTicks,
		MaxMessageBytes: 400, MaxInflight: 16, Seed: h.sim.random.Uint64(),
	}
	h.core, err = consensus.New(config, loaded.Restored)
	if err != nil {
		violate("%s does not start: %v", h.address, err)
	}
	if h.sim.faults.adjust != nil {
		h.sim.faults.adjust(h.core)
	}
	h.waiting, h.reads, h.rounds = map[uint64]proposed{}, map[uint64]uint64{}, map[uint64]int{}
	h.frozen, h.incoming = 0, nil
	if h.sim.faults.ignoreSync {
		h.disk.IgnoreSync()
	}
}

func (h *host) restore(index uint64) {
	_, data, err := h.store.ReadSnapshot(index)
	if err == nil {
		err = json.Unmarshal(data, &h.machine)
	}
	if err != nil {
		violate("%s: snapshot %d: %v", h.address, index, err)
	}
}

// crash stops the host and loses what was not synced.
func (h *host) crash() {
	h.core, h.store = nil, nil
	h.disk.Crash()
}

// loseDisk replaces the disk by an empty one and starts the host with it.
func (h *host) loseDisk() {
	h.core, h.store = nil, nil
	h.disk = memdisk.New(h.sim.random)
	if h.sim.faults.keepIdentity {
		h.create(consensus.HardState{}, nil)
		h.boot()
		return
	}
	h.repair = true
	h.renew()
}

// renew creates a new identity on an empty disk.
func (h *host) renew() {
	h.id = consensus.MemberID(h.sim.random.Uint64() | 1<<63)
	if h.create(consensus.HardState{}, nil) {
		h.boot()
		return
	}
	h.crash()
}

func (h *host) isRunning() bool { return h.core != nil && h.sim.now >= h.frozen }

// step advances time by one nominal tick.
func (s *sim) step() {
	s.now++
	s.deliver()
	for _, h := range s.hosts {
		if !h.isRunning() {
			continue
		}
		h.tick()
	}
}

func (h *host) tick() {
	h.phase += h.rate
	for ; h.phase >= rateUnit; h.phase -= rateUnit {
		h.core.Tick()
		if !h.sim.faults.keepLearners {
			h.core.MaintainMembership()
		}
	}
	h.askToJoin()
	h.settle()
}

// askToJoin asks a leader for admission where that is due.
func (h *host) askToJoin() {
	if !h.core.NeedsAdmission() || h.sim.now%5 != 0 {
		return
	}
	for _, leader := range h.sim.hosts {
		if leader != h && leader.isRunning() && leader.core.Status().Role == consensus.Leader && h.sim.connected(h, leader) {
			_, err := leader.core.Admit(consensus.Member{ID: h.id, Address: h.address})
			if err == nil {
				leader.settle()
			}
		}
	}
}

func (s *sim) connected(a, b *host) bool {
	return !s.cut[a] && !s.cut[b] && !s.links[[2]*host{a, b}] && !s.links[[2]*host{b, a}]
}

// settle carries out the work of the core, as the package comment describes.
func (h *host) settle() {
	for h.core != nil && h.core.HasReady() {
		h.noteRound()
		ready := h.core.Ready()
		h.sendAll(ready, true)
		if err := h.persist(ready); err != nil {
			h.crash()
			return
		}
		h.observe()
		h.sendAll(ready, false)
		h.apply(ready)
		h.core.Advance(ready)
	}
	if h.core != nil && h.compact() != nil {
		h.crash()
	}
}

func (h *host) sendAll(ready consensus.Ready, early bool) {
	for _, m := range ready.Messages {
		if ready.Early(m) == early {
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
	h.sim.noteCommitted(h, e)
	if e.Type != consensus.EntryCommand {
		return
	}
	command := string(e.Data)
	h.machine = append(h.machine, command)
	if p, ok := h.waiting[e.Index]; ok && p.term == e.Term {
		h.sim.acked[command] = e.Index
		h.sim.ackedTo = max(h.sim.ackedTo, e.Index)
	}
	delete(h.waiting, e.Index)
}

func (h *host) compact() error {
	if entries, _ := h.core.LogSize(); entries < simSnapshotEntries {
		return nil
	}
	meta, ok := h.core.NextSnapshot()
	if !ok {
		return nil
	}
	data, err := json.Marshal(h.machine)
	if err != nil {
		return err
	}
	if err := h.store.WriteSnapshot(meta, data); err != nil {
		return err
	}
	keep := meta.Index - simSnapshotEntries/2
	h.core.Compact(meta, keep)
	if err := h.store.Compact(keep); err != nil {
		return err
	}
	return h.store.RemoveSnapshotsBefore(meta.Index)
}

// propose gives a new command to every host that believes it leads, and requests
// a read there.
func (s *sim) propose() {
	for _, h := range s.hosts {
		if !h.isRunning() || h.core.Status().Role != consensus.Leader {
			continue
		}
		s.commands++
		command := fmt.Sprint("command ", s.commands)
		index, term, err := h.core.Propose([]byte(command))
		if err != nil {
			violate("a leader refuses: %v", err)
		}
		h.waiting[index] = proposed{term, command}
		h.nextRead++
		h.reads[h.nextRead] = s.ackedTo
		if err := h.core.RequestRead(h.nextRead); err != nil {
			violate("a leader refuses a read: %v", err)
		}
		h.settle()
	}
}
