package lease

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangohill.example/mangohill/types"
)

// clock runs at a rate of its own, in parts per thousand of true time.
type clock struct{ permille int64 }

func (c clock) read(now time.Duration) time.Duration {
	return time.Duration(int64(now) / 1000 * c.permille)
}

// simWorker is a worker that runs the one task under its lease.
type simWorker struct {
	clock       clock
	held        WorkerLease
	incarnation uint64
	running     bool
	frozenUntil time.Duration
}

// simLeader is a leader of one term. A deposed one goes on granting.
type simLeader struct {
	clock       clock
	table       *Table
	contact     time.Time
	frozenUntil time.Duration
}

// grantMessage is a renewal on its way to a leader, or its answer on the way
// back.
type grantMessage struct {
	arrives     time.Duration
	worker      types.WorkerID
	incarnation uint64
	sent        time.Duration // on the worker's clock
	leader      *simLeader
	granted     bool
}

// simulation holds the true time, the log's view and all processes.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	workers  map[types.WorkerID]*simWorker
	sessions map[types.WorkerID]uint64
	lost     map[types.WorkerID]bool
	owner    types.WorkerID // where the log places the task
	leader   *simLeader
	deposed  []*simLeader
	messages []grantMessage
	entries  []simEntry
}

// simEntry is the end of a lease on its way into the log.
type simEntry struct {
	applies time.Duration
	holder  Holder
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
	return clock{permille: rapid.SampledFrom([]int64{990, 1000, 1010}).Draw(t, "rate")}
}

func (l *simLeader) time(now time.Duration) time.Time { return at(l.clock.read(now)) }

// elect deposes the leader, which does not notice, and starts another term.
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
	l.contact = l.time(s.now)
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
	to := s.leader
	if len(s.deposed) > 0 && rapid.Bool().Draw(s.t, "to the deposed leader") {
		to = s.deposed[len(s.deposed)-1]
	}
	s.messages = append(s.messages, grantMessage{
		arrives:     s.now + s.drawDelay(8*time.Second),
		worker:      id,
		incarnation: w.incarnation,
		sent:        w.clock.read(s.now),
		leader:      to,
	})
}

// deliver hands over the messages that have arrived; lost ones were never sent.
func (s *simulation) deliver() {
	var waiting []grantMessage
	for _, m := range s.messages {
		switch {
		case m.arrives > s.now:
			waiting = append(waiting, m)
		case !m.granted:
			if renews(m.leader.table, m.leader.time(s.now), m.leader.contact, m.worker, m.incarnation) {
				m.granted = true
				m.arrives = s.now + s.drawDelay(8*time.Second)
				waiting = append(waiting, m)
			}
		default:
			if w := s.workers[m.worker]; w.incarnation == m.incarnation {
				w.held.Extend(m.sent, testLease)
			}
		}
	}
	s.messages = waiting
}

// expire lets the leader record ends of leases, whose tasks start elsewhere at
// once.
func (s *simulation) expire() {
	if s.leader.frozenUntil > s.now {
		return
	}
	for _, h := range s.leader.table.Expired(s.leader.time(s.now)) {
		if !slices.ContainsFunc(s.entries, func(e simEntry) bool { return e.holder == h }) {
			s.entries = append(s.entries, simEntry{applies: s.now + s.drawDelay(3*time.Second), holder: h})
		}
	}
}

// apply applies the entries whose time has come.
func (s *simulation) apply() {
	var waiting []simEntry
	for _, e := range s.entries {
		if e.applies > s.now {
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

// endLease applies the end of a lease as the replicated state does.
func (s *simulation) endLease(h Holder) {
	if s.sessions[h.Worker] != h.Session {
		return
	}
	s.lost[h.Worker] = true
	if s.owner == h.Worker {
		s.place()
	}
}

// silence cuts one worker off right after a renewal, while the others renew.
func (s *simulation) silence() {
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
		s.pass()
	}
}

// renewNow renews a lease without delay.
func (s *simulation) renewNow(id types.WorkerID) {
	w := s.workers[id]
	if w.frozenUntil > s.now || s.leader.frozenUntil > s.now {
		return
	}
	sent := w.clock.read(s.now)
	if renews(s.leader.table, s.leader.time(s.now), s.leader.contact, id, w.incarnation) {
		w.held.Extend(sent, testLease)
	}
}

// pass lets everything happen whose time has come.
func (s *simulation) pass() {
	s.deliver()
	s.expire()
	s.apply()
	s.start()
	s.check()
}

// place moves the task to another worker in the log.
func (s *simulation) place() {
	old := s.owner
	s.owner = 0
	for id := types.WorkerID(1); id <= simWorkers; id++ {
		if !s.lost[id] && (id != old || s.owner == 0) {
			s.owner = id
		}
	}
}

// start delivers the start command, which is repeated until the worker runs it.
func (s *simulation) start() {
	if s.owner == 0 {
		return
	}
	w := s.workers[s.owner]
	if w.frozenUntil <= s.now && !w.held.Expired(w.clock.read(s.now)) {
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
		w.held = WorkerLease{}
		w.running = false
		if s.owner == id {
			defer s.place()
		}
	}
	s.sessions[id]++
	s.lost[id] = false
	holder := Holder{Worker: id, Incarnation: w.incarnation, Session: s.sessions[id]}
	s.leader.table.Register(s.leader.time(s.now), holder, testLease)
	if s.owner == 0 {
		s.place()
	}
}

func (s *simulation) heartbeat() {
	if s.leader.frozenUntil <= s.now {
		s.leader.contact = s.leader.time(s.now)
	}
}

// check is the promise: the task is live on one worker at most. A worker whose
// lease is over runs nothing; a frozen one computes nothing, and looks at its
// clock first when it wakes.
func (s *simulation) check() {
	live := 0
	for _, w := range s.workers {
		if w.running && w.held.Expired(w.clock.read(s.now)) {
			w.running = false
		}
		if w.running && w.frozenUntil <= s.now {
			live++
		}
	}
	if live > 1 {
		s.t.Fatalf("the task is live on %d workers at %v", live, s.now)
	}
}

func TestTaskIsNeverLiveTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		step := func(d time.Duration) {
			for end := s.now + d; s.now < end; {
				s.now += 100 * time.Millisecond
				s.pass()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"renew":      func(*rapid.T) { s.renew() },
			"renew many": func(*rapid.T) { s.renew(); s.renew(); s.renew() },
			"silence":    func(*rapid.T) { s.silence() },
			"heartbeat":  func(*rapid.T) { s.heartbeat() },
			"short step": func(*rapid.T) { step(s.drawDelay(time.Second)) },
			"long step":  func(*rapid.T) { s.heartbeat(); step(s.drawDelay(12 * time.Second)) },
			"elect":      func(*rapid.T) { s.elect() },
			"register":   func(*rapid.T) { s.register() },
			"freeze worker": func(*rapid.T) {
				s.workers[s.drawWorker()].frozenUntil = s.now + s.drawDelay(20*time.Second)
			},
			"freeze leader": func(*rapid.T) { s.leader.frozenUntil = s.now + s.drawDelay(20*time.Second) },
			"":              func(*rapid.T) { s.check() },
		})
	})
}
