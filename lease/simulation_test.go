package lease

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangohill.example/mangohill/types"
)

// clock runs at ratePermille thousandths of the rate of true time.
type clock struct{ ratePermille int64 }

func (c clock) read(now time.Duration) time.Duration {
	return time.Duration(int64(now) / 1000 * c.ratePermille)
}

// simWorker is a worker that may run the only task of the simulation.
type simWorker struct {
	clock       clock
	lease       WorkerLease
	incarnation uint64
	running     bool
	frozenUntil time.Duration
}

// simLeader is the leader of one term. A deposed leader continues to grant leases.
type simLeader struct {
	clock         clock
	table         *Table
	quorumContact time.Time
	frozenUntil   time.Duration
}

// grantMessage is a renewal in transit to a leader or, once granted, its answer in
// transit to the worker.
type grantMessage struct {
	arrivesAt   time.Duration
	worker      types.WorkerID
	incarnation uint64
	sentAt      time.Duration // on the worker's clock
	leader      *simLeader
	granted     bool
}

// simulation holds the true time, the replicated state and all processes.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	workers  map[types.WorkerID]*simWorker
	sessions map[types.WorkerID]uint64
	lost     map[types.WorkerID]bool
	owner    types.WorkerID // the worker on which the replicated state places the task
	leader   *simLeader
	deposed  []*simLeader
	messages []grantMessage
	entries  []simEntry
}

// simEntry is a log entry that records the expiry of a lease, before it is applied.
type simEntry struct {
	appliesAt time.Duration
	holder    Holder
}

const simWorkers = 3

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t:        t,
		workers:  make(map[types.WorkerID]*simWorker),
		sessions: make(map[types.WorkerID]uint64),
		lost:     make(map[types.WorkerID]bool),
		owner:    1,
	}
	for id := types.WorkerID(1); id <= simWorkers; id++ {
		s.workers[id] = &simWorker{clock: drawClock(t), incarnation: 1}
		s.sessions[id] = 1
	}
	s.elect()
	return s
}

func drawClock(t *rapid.T) clock {
	return clock{ratePermille: rapid.SampledFrom([]int64{990, 1000, 1010}).Draw(t, "rate")}
}

func (l *simLeader) time(now time.Duration) time.Time { return at(l.clock.read(now)) }

// elect starts another term. The deposed leader does not learn of it.
func (s *simulation) elect() {
	if s.leader != nil {
		s.deposed = append(s.deposed, s.leader)
		if rapid.Bool().Draw(s.t, "entries survive") {
			s.applyAll()
		}
		s.entries = nil
	}
	var holders []Holder
	for id := types.WorkerID(1); id <= simWorkers; id++ {
		if !s.lost[id] {
			holders = append(holders, Holder{Worker: id, Incarnation: s.workers[id].incarnation, Session: s.sessions[id]})
		}
	}
	l := &simLeader{clock: drawClock(s.t)}
	l.table = New(Options{}, l.time(s.now), testLease, holders)
	l.quorumContact = l.time(s.now)
	s.leader = l
}

func (s *simulation) drawWorker() types.WorkerID {
	return types.WorkerID(rapid.IntRange(1, simWorkers).Draw(s.t, "worker"))
}

func (s *simulation) drawDelay(longest time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, int(longest/time.Millisecond)).Draw(s.t, "delay")) * time.Millisecond
}

func (s *simulation) renew() {
	id := s.drawWorker()
	w := s.workers[id]
	if w.frozenUntil > s.now {
		return
	}
	destination := s.leader
	if len(s.deposed) > 0 && rapid.Bool().Draw(s.t, "to the deposed leader") {
		destination = s.deposed[len(s.deposed)-1]
	}
	s.messages = append(s.messages, grantMessage{
		arrivesAt:   s.now + s.drawDelay(8*time.Second),
		worker:      id,
		incarnation: w.incarnation,
		sentAt:      w.clock.read(s.now),
		leader:      destination,
	})
}

// deliver processes the messages that have arrived. A lost message is the same as
// one that was never sent.
func (s *simulation) deliver() {
	var waiting []grantMessage
	for _, m := range s.messages {
		switch {
		case m.arrivesAt > s.now:
			waiting = append(waiting, m)
		case !m.granted:
			if renew(m.leader.table, m.leader.time(s.now), m.leader.quorumContact, m.worker, m.incarnation) {
				m.granted = true
				m.arrivesAt = s.now + s.drawDelay(8*time.Second)
				waiting = append(waiting, m)
			}
		default:
			if w := s.workers[m.worker]; w.incarnation == m.incarnation {
				w.lease.Extend(m.sentAt, testLease)
			}
		}
	}
	s.messages = waiting
}

// recordExpiries has the leader append entries for expired leases. Their tasks are
// placed on another worker as soon as the entry applies.
func (s *simulation) recordExpiries() {
	if s.leader.frozenUntil > s.now {
		return
	}
	for _, h := range s.leader.table.Expired(s.leader.time(s.now)) {
		if !slices.ContainsFunc(s.entries, func(e simEntry) bool { return e.holder == h }) {
			s.entries = append(s.entries, simEntry{appliesAt: s.now + s.drawDelay(3*time.Second), holder: h})
		}
	}
}

// applyEntries applies the entries that are due.
func (s *simulation) applyEntries() {
	var waiting []simEntry
	for _, e := range s.entries {
		if e.appliesAt > s.now {
			waiting = append(waiting, e)
			continue
		}
		s.endLease(e.holder)
		s.leader.table.RemoveExpired(e.holder)
	}
	s.entries = waiting
}

func (s *simulation) applyAll() {
	for _, e := range s.entries {
		s.endLease(e.holder)
	}
}

// endLease applies the expiry of a lease as the replicated state does: only if the
// session is still the worker's latest.
func (s *simulation) endLease(h Holder) {
	if s.sessions[h.Worker] != h.Session {
		return
	}
	s.lost[h.Worker] = true
	if s.owner == h.Worker {
		s.placeTask()
	}
}

// cutOffWorker cuts one worker off right after a renewal, while the others continue
// to renew.
func (s *simulation) cutOffWorker() {
	id := s.drawWorker()
	s.heartbeat()
	s.renewNow(id)
	for range 130 {
		s.now += 100 * time.Millisecond
		s.heartbeat()
		for other := types.WorkerID(1); other <= simWorkers; other++ {
			if other != id {
				s.renewNow(other)
			}
		}
		s.processEvents()
	}
}

// renewNow renews a lease without delay.
func (s *simulation) renewNow(id types.WorkerID) {
	w := s.workers[id]
	if w.frozenUntil > s.now || s.leader.frozenUntil > s.now {
		return
	}
	sent := w.clock.read(s.now)
	if renew(s.leader.table, s.leader.time(s.now), s.leader.quorumContact, id, w.incarnation) {
		w.lease.Extend(sent, testLease)
	}
}

// processEvents processes every event that is due and checks the invariant.
func (s *simulation) processEvents() {
	s.deliver()
	s.recordExpiries()
	s.applyEntries()
	s.deliverStart()
	s.checkTaskRunsOnce()
}

// placeTask moves the task to another worker in the replicated state.
func (s *simulation) placeTask() {
	old := s.owner
	s.owner = 0
	for id := types.WorkerID(1); id <= simWorkers; id++ {
		if !s.lost[id] && (id != old || s.owner == 0) {
			s.owner = id
		}
	}
}

// deliverStart delivers the start command, which is resent until the worker runs
// the task.
func (s *simulation) deliverStart() {
	if s.owner == 0 {
		return
	}
	w := s.workers[s.owner]
	if w.frozenUntil <= s.now && !w.lease.Expired(w.clock.read(s.now)) {
		w.running = true
	}
}

func (s *simulation) register() {
	id := s.drawWorker()
	w := s.workers[id]
	if w.frozenUntil > s.now {
		return
	}
	if rapid.Bool().Draw(s.t, "restart") {
		w.incarnation++
		w.lease = WorkerLease{}
		w.running = false
		if s.owner == id {
			defer s.placeTask()
		}
	}
	s.sessions[id]++
	s.lost[id] = false
	holder := Holder{Worker: id, Incarnation: w.incarnation, Session: s.sessions[id]}
	s.leader.table.Register(s.leader.time(s.now), holder, testLease)
	if s.owner == 0 {
		s.placeTask()
	}
}

func (s *simulation) heartbeat() {
	if s.leader.frozenUntil <= s.now {
		s.leader.quorumContact = s.leader.time(s.now)
	}
}

// checkTaskRunsOnce checks the invariant: the task runs on at most one worker. A
// worker whose lease has expired stops the task. A frozen worker runs no code, and
// checks its lease first when it resumes.
func (s *simulation) checkTaskRunsOnce() {
	runningWorkers := 0
	for _, w := range s.workers {
		if w.running && w.lease.Expired(w.clock.read(s.now)) {
			w.running = false
		}
		if w.running && w.frozenUntil <= s.now {
			runningWorkers++
		}
	}
	if runningWorkers > 1 {
		s.t.Fatalf("the task runs on %d workers at %v", runningWorkers, s.now)
	}
}

// TestTaskIsNeverLiveTwice draws sequences of renewals, message delays, elections,
// restarts and frozen processes under clocks that are up to 1% fast or slow. The task
// must never run on two workers at once.
func TestTaskIsNeverLiveTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		step := func(d time.Duration) {
			for end := s.now + d; s.now < end; {
				s.now += 100 * time.Millisecond
				s.processEvents()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"renew":      func(*rapid.T) { s.renew() },
			"renew many": func(*rapid.T) { s.renew(); s.renew(); s.renew() },
			"silence":    func(*rapid.T) { s.cutOffWorker() },
			"heartbeat":  func(*rapid.T) { s.heartbeat() },
			"short step": func(*rapid.T) { step(s.drawDelay(time.Second)) },
			"long step":  func(*rapid.T) { s.heartbeat(); step(s.drawDelay(12 * time.Second)) },
			"elect":      func(*rapid.T) { s.elect() },
			"register":   func(*rapid.T) { s.register() },
			"freeze worker": func(*rapid.T) {
				s.workers[s.drawWorker()].frozenUntil = s.now + s.drawDelay(20*time.Second)
			},
			"freeze leader": func(*rapid.T) { s.leader.frozenUntil = s.now + s.drawDelay(20*time.Second) },
			"":              func(*rapid.T) { s.checkTaskRunsOnce() },
		})
	})
}
