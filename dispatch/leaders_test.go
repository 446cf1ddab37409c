package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// leadersSim is a simulation in which the engine of an earlier leader goes on for a
// while beside the current one.
type leadersSim struct {
	*sim
	// leaders holds all leaders so far in the order of their terms.
	leaders []*simLeader
	// ordersOutliveWorkers lets a late order reach the next incarnation of the worker
	// that it was sent to; otherwise it is lost with the addressee.
	ordersOutliveWorkers bool
	// changeEvery is the number of jobs after which the leader changes.
	changeEvery int
	// formerOrders counts the orders of earlier leaders that reached a worker.
	formerOrders int
}

// simLeader is a member of the control group that leads or still believes to do so.
type simLeader struct {
	engine *Engine
	former bool
	// over is set once the leader has noticed that it does not lead any more.
	over bool
	// thawAt is when the orders leave that the leader issues: it was frozen after it
	// had checked that it leads.
	thawAt Instant
	cuts   map[string]cut // by the worker's address
}

// cut is what is lost between a leader and a worker until a time.
type cut struct {
	orders, answers bool
	until           Instant
}

// maxBelief is how long a leader may go on after another has taken over.
const maxBelief = 500 * time.Millisecond

func newLeadersSim(t *testing.T, seed uint64) *leadersSim {
	s := &leadersSim{sim: newSim(t, seed), changeEvery: []int{1, 2, 5, 10}[seed%4]}
	s.lead()
	s.send = func(_ *Engine, order Order) { s.carry(s.leader(), order) }
	s.every(tickInterval, func() {
		for _, l := range s.leaders {
			if l.former && !l.over {
				l.engine.Tick(s.now, s.wall())
				s.runFormer(l)
			}
		}
	})
	return s
}

// lead registers the current engine as that of a new leader, which does not reach some
// of the workers.
func (s *leadersSim) lead() {
	l := &simLeader{engine: s.engine, cuts: make(map[string]cut)}
	s.leaders = append(s.leaders, l)
	for _, address := range s.addresses() {
		if s.rng.IntN(3) == 0 {
			s.cutOff(l, address)
		}
	}
}

// leader returns the current leader.
func (s *leadersSim) leader() *simLeader { return s.leaders[len(s.leaders)-1] }

func (s *leadersSim) addresses() []string { return []string{"w1:1", "w2:1", "w3:1", "w4:1"} }

// cutOff cuts the link between a leader and a worker, in one direction or in both.
func (s *leadersSim) cutOff(l *simLeader, address string) {
	kind := s.rng.IntN(3)
	l.cuts[address] = cut{orders: kind != 0, answers: kind != 1, until: s.now.Add(time.Duration(s.rng.IntN(14_000)) * time.Millisecond)}
}

// changeLeader elects another leader. The earlier one goes on for up to maxBelief, or is
// frozen and sends its last orders seconds later. Of its batches, only the one in
// flight may still be committed, and it may learn so.
func (s *leadersSim) changeLeader() {
	old := s.leader()
	committed := s.pending != nil && s.rng.IntN(2) == 0
	if committed {
		s.commit()
	}
	s.pending = nil
	s.takeOver()
	s.lead()
	old.former = true
	belief := time.Duration(s.rng.Int64N(int64(maxBelief)))
	s.after(belief, func() { old.over = true })
	if s.rng.IntN(2) == 0 {
		old.thawAt = s.now.Add(belief + time.Duration(s.rng.IntN(12_000))*time.Millisecond)
	}
	if committed {
		s.after(time.Duration(s.rng.Int64N(int64(maxBelief))), func() {
			if !old.over {
				old.engine.Advance(s.now, s.wall())
				old.engine.Committed()
				s.runFormer(old)
			}
		})
	}
	for _, address := range s.addresses() {
		if s.rng.IntN(4) == 0 {
			s.cutOff(old, address)
		}
	}
	s.announceTo(old)
}

// announceTo makes the workers announce themselves to an earlier leader.
func (s *leadersSim) announceTo(l *simLeader) {
	for _, address := range s.addresses() {
		if w := s.workers[address]; w != nil && !w.dead && s.rng.IntN(2) == 0 {
			report := w.announcement()
			l.engine.Announce(&report, func(*kind.Error) {})
		}
	}
	s.runFormer(l)
}

// runFormer executes the decisions of an earlier leader. Its batches are never
// committed.
func (s *leadersSim) runFormer(l *simLeader) {
	l.engine.TakeBatch()
	for _, order := range l.engine.TakeOrders() {
		s.carry(l, order)
	}
}

// carry carries an order of a leader to its worker and the answer back.
func (s *leadersSim) carry(l *simLeader, order Order) {
	answered := false
	reply := func(a Answer) {
		if answered || l.over {
			return
		}
		answered = true
		l.engine.Advance(s.now, s.wall())
		if a.Outcome == Fenced && !l.former {
			s.violate("the leader is fenced by %s", order.Life.Name)
		}
		l.engine.HandleAnswer(&a)
		if l.former {
			s.runFormer(l)
		}
	}
	s.after(order.Timeout(), func() { reply(Answer{Order: order}) })
	if l.former && l.over {
		return
	}
	delay := s.delay + max(l.thawAt.Sub(s.now), 0)
	lostOrder, lostAnswer := s.rng.Float64() < s.faults.lostOrder, s.rng.Float64() < s.faults.lostAnswer
	if s.rng.Float64() < s.faults.late {
		delay += time.Duration(2+s.rng.IntN(10)) * time.Second
	}
	addressee := s.workers[order.Address]
	s.after(delay, func() {
		w := s.workers[order.Address]
		c := l.cuts[order.Address]
		isCut := s.now < c.until
		switch {
		case lostOrder || w == nil || w.dead || w.partitioned || isCut && c.orders:
			return
		case w != addressee && !s.ordersOutliveWorkers:
			return
		}
		if l.former {
			s.formerOrders++
		}
		w.handleOrder(order, func(a Answer) {
			if order.Life != w.life && w.showsLife(&a) {
				a = Answer{Order: order} // As the platform's client takes it.
			}
			if !lostAnswer && !w.partitioned && !(isCut && c.answers) {
				s.after(s.delay, func() { reply(a) })
			}
		})
	})
}

// play simulates jobs of short, long and lasting tasks under faults.
func (s *leadersSim) play() {
	s.setCatalog()
	for _, name := range []string{"w1", "w2", "w3", "w4"} {
		s.addWorker(name, 6)
	}
	s.run(time.Minute) // So that the clocks are far ahead of those of the next incarnations.
	lasting := step(8)
	lasting.Lasting = true
	s.request(lastingJob, lasting)
	s.faults = faults{lostOrder: 0.05, lostAnswer: 0.05, late: 0.05, failing: 0.02, shedding: 0.1, lostReport: 0.2, lateReport: 0.2}
	for id := workflow.JobID(1); id <= simulatedJobs; id++ {
		bounded, long := step(3), step(2, 0)
		bounded.MaxPerWorker = 2
		long.EstimatedMs = int64(2000 + s.rng.IntN(12_000))
		s.request(id, bounded, long, step(2, 0))
		s.injectLeaderFault(int(id))
		s.run(time.Duration(200+s.rng.IntN(1500)) * time.Millisecond)
	}
	s.faults = faults{}
	for _, w := range s.workers {
		w.partitioned = false
	}
	for _, l := range s.leaders {
		clear(l.cuts)
	}
}

// simulatedJobs is the number of jobs that end; lastingJob does not.
const (
	simulatedJobs = 20
	lastingJob    = 100
)

// request submits a job until it is accepted: a batch of an earlier leader is lost with
// it.
func (s *leadersSim) request(id workflow.JobID, steps ...workflow.Step) {
	for range 50 {
		s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + id.String(), Job: &workflow.JobSpec{Payload: "p", Steps: steps}}, func(Reply) {})
		s.run(100 * time.Millisecond)
		if s.committed.Job(id) != nil {
			return
		}
	}
	s.violate("job %s is not accepted", id)
}

// injectLeaderFault injects faults: a change of leader, often with a crash or a
// partition of a worker about the same time, or one of these alone.
func (s *leadersSim) injectLeaderFault(turn int) {
	address := s.addresses()[s.rng.IntN(4)]
	around := time.Duration(s.rng.IntN(1000)) * time.Millisecond
	if turn%s.changeEvery == 0 {
		s.after(time.Duration(s.rng.IntN(1000))*time.Millisecond, s.changeLeader)
	}
	switch s.rng.IntN(4) {
	case 0:
		s.after(around, func() { s.restart(address) })
	case 1:
		s.after(around, func() { s.partition(address) })
	case 2:
		s.after(around, func() { s.cutOff(s.leader(), address) })
	}
}

// restart lets a worker crash and come back under its name.
func (s *leadersSim) restart(address string) {
	w := s.workers[address]
	if w.dead {
		return
	}
	w.crash()
	s.after(time.Duration(100+s.rng.IntN(3000))*time.Millisecond, func() { s.addWorker(w.life.Name, 6) })
}

func (s *leadersSim) partition(address string) {
	w := s.workers[address]
	w.partitioned = true
	s.after(time.Duration(1+s.rng.IntN(14))*time.Second, func() { w.partitioned = false })
}

// checkLeaders plays the seeds and checks the invariants.
func checkLeaders(t *testing.T, ordersOutliveWorkers bool) {
	t.Parallel()
	first, last := seeds()
	formerOrders := 0
	for seed := first; seed <= last; seed++ {
		s := newLeadersSim(t, seed)
		s.ordersOutliveWorkers = ordersOutliveWorkers
		s.play()
		assert.True(t, s.runUntil(60*time.Second, func() bool { return s.allEnded(simulatedJobs) }), "seed %d", seed)
		s.run(latestArrival) // Orders that are still under way.
		assert.Empty(t, s.violations, "seed %d", seed)
		formerOrders += s.formerOrders
	}
	assert.Positive(t, formerOrders, "earlier leaders must reach workers")
}

// Guards against two leaders at a time, or one whose orders leave seconds after it was
// replaced, that make a task run twice: an earlier leader still renews leases and sends
// starts, to workers that the new one may not reach.
func TestNothingRunsTwiceBesideAnEarlierLeader(t *testing.T) { checkLeaders(t, false) }

// Guards against the same with late orders that reach the next incarnation of a worker.
func TestNothingRunsTwiceBesideAnEarlierLeaderAndLateOrders(t *testing.T) { checkLeaders(t, true) }

// Guards against a lease that is taken for over before it has expired on a clock that
// runs 2% slow, with polls in flight whose answers, or which themselves, are lost.
func TestALeaseIsNotOverBeforeItExpires(t *testing.T) {
	for phase := range time.Duration(40) {
		s := newLeadersSim(t, uint64(phase))
		s.setCatalog()
		s.addWorker("w1", 4)
		clear(s.leader().cuts)
		s.run(time.Second)
		lasting := step(4)
		lasting.Lasting = true
		s.request(lastingJob, lasting)
		s.run(time.Second + phase*27*time.Millisecond)
		s.addWorker("w2", 4)
		s.leader().cuts["w1:1"] = cut{orders: phase%3 != 0, answers: phase%3 != 1, until: s.now.Add(time.Hour)}
		s.run(12 * time.Second)
		assert.Equal(t, 8, s.starts, "the tasks must run on the other worker, phase %d", phase)
		assert.Empty(t, s.violations, "phase %d", phase)
	}
}

// restartedSim simulates a worker that restarts under its name while the starts of two
// lasting tasks are under way to it, and is cut off. It returns the new incarnation,
// which has reported itself, and these starts. Another worker has room for both tasks.
func restartedSim(t *testing.T) (s *sim, next *simWorker, starts []Order) {
	s = newSim(t, 31)
	s.setCatalog()
	first := s.addWorker("w1", 2)
	s.run(time.Minute) // So that its clock is far ahead of that of its successor.
	s.send = func(engine *Engine, order Order) {
		if order.Verb == Start && order.Life == first.life {
			starts = append(starts, order)
			return
		}
		s.deliver(engine, order)
	}
	lasting := step(2)
	lasting.Lasting = true
	s.submit(1, lasting)
	require.Len(t, starts, 2)
	first.crash()
	next = s.addWorker("w1", 2)
	next.partitioned = true
	s.addWorker("w2", 2)
	return s, next, starts
}

// Guards against an attempt that is taken for over with the lease that its worker's new
// incarnation can have had at its report, while a start to the previous incarnation
// arrives later and brings a lease of its own.
func TestALateStartAtACutOffWorkerThatRestarted(t *testing.T) {
	s, next, starts := restartedSim(t)
	s.run(9 * time.Second)
	next.handleOrder(starts[0], func(Answer) {})
	require.Len(t, next.running, 1)
	s.run(30 * time.Second)
	assert.Empty(t, s.violations)
	assert.Equal(t, 3, s.starts, "both tasks must run elsewhere in the end")
}

// Guards against a lease that is taken for over too early after the first poll of a new
// incarnation: an order to the previous one, whose end of lease lies far in the future on
// the new clock, brought a lease of the longest time just before.
func TestALateStartJustBeforeTheFirstPoll(t *testing.T) {
	s, next, starts := restartedSim(t)
	s.run(1890 * time.Millisecond)
	next.partitioned = false
	s.commitDelay = 2 * time.Second // No further order leaves before the worker counts as unreachable.
	s.send = func(engine *Engine, order Order) {
		if order.Verb == Start {
			s.after(0, func() { engine.HandleAnswer(&Answer{Order: order, Outcome: NotSent}) })
			return
		}
		s.deliver(engine, order)
	}
	next.handleOrder(starts[0], func(Answer) {})
	require.True(t, s.runUntil(200*time.Millisecond, func() bool { return s.engine.views[s.engine.state.WorkerNamed("w1").ID].fenced }))
	s.awaitCommitBeforePolls("w1")
	next.partitioned, s.commitDelay, s.send = true, commitDelay, nil
	s.run(30 * time.Second)
	assert.Empty(t, s.violations)
	assert.Equal(t, 3, s.starts, "both tasks must run elsewhere in the end")
}
