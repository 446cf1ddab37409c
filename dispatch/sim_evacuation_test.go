package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// simOperator evacuates and restores failure domains. It sends an order again until it is
// confirmed, as the platform's documentation states.
type simOperator struct {
	// confirmedAt holds when the evacuation in force of a domain was confirmed; it lacks domains
	// whose withdrawal was sent, or whose latest order was not confirmed.
	confirmedAt map[string]Instant
	busy        map[string]bool
	// evacuations and restores count confirmations, repeated the orders that were sent again,
	// startsAfterRestore the starts in a domain after its restore.
	evacuations, restores, repeated, startsAfterRestore int
	restored                                            map[string]bool
	moves                                               uint64
}

const (
	// evacuateLimit is the time after the confirmation from which on no worker of the domain
	// may start a task.
	evacuateLimit = 5 * time.Second
	// operatorTimeout is the time after which an order is sent again, operatorBudget that after
	// which the operator gives up.
	operatorTimeout = time.Second
	operatorBudget  = 5 * time.Second
)

func newSimOperator() simOperator {
	return simOperator{confirmedAt: make(map[string]Instant), busy: make(map[string]bool), restored: make(map[string]bool)}
}

// order orders an evacuation or a restore until it is confirmed, unless an order for the domain
// is not decided yet.
func (s *sim) order(domain string, evacuated bool) {
	o := &s.operator
	if o.busy[domain] {
		return
	}
	o.busy[domain] = true
	delete(o.confirmedAt, domain)
	delete(o.restored, domain)
	s.sendOrder(&workflow.SetEvacuation{Domain: domain, Evacuated: evacuated}, s.now)
}

func (s *sim) sendOrder(op *workflow.SetEvacuation, begin Instant) {
	o, engine, answered := &s.operator, s.engine, false
	lostAnswer := s.happens(s.faults.lostAnswer)
	engine.SetEvacuation(op, func(err *kind.Error) {
		if engine != s.engine || lostAnswer || answered {
			return // The member answers that the outcome is not known.
		}
		answered, o.busy[op.Domain] = true, false
		switch {
		case err != nil:
			s.violate("the order for domain %q is refused: %v", op.Domain, err)
		case op.Evacuated:
			o.confirmedAt[op.Domain] = s.now
			o.evacuations++
		default:
			o.restores++
			o.restored[op.Domain] = true
		}
	})
	s.after(operatorTimeout, func() {
		switch {
		case answered:
		case s.now.Sub(begin) >= operatorBudget:
			answered, o.busy[op.Domain] = true, false
		default:
			answered = true
			o.repeated++
			s.sendOrder(op, begin)
		}
	})
}

// checkSentStart checks that no start leaves for a domain after its evacuation was confirmed.
func (s *sim) checkSentStart(order *Order) {
	w := s.workers[order.Address]
	if order.Verb != Start || w == nil {
		return
	}
	if at, ok := s.operator.confirmedAt[w.domain]; ok {
		s.violate("a start of %s is sent to domain %q %v after its evacuation was confirmed", order.Task, w.domain, s.now.Sub(at))
	}
	if s.operator.restored[w.domain] {
		s.operator.startsAfterRestore++
	}
}

// checkArrivedStart checks a start that reaches a worker. An order that took longer than
// earliestArrival is carried out late, which the platform allows.
func (s *sim) checkArrivedStart(w *simWorker, order *Order) {
	at, ok := s.operator.confirmedAt[w.domain]
	if ok && s.now.Sub(at) > evacuateLimit && s.now.Sub(order.SentAt) < earliestArrival {
		s.violate("a start of %s reaches domain %q %v after its evacuation was confirmed", order.Task, w.domain, s.now.Sub(at))
	}
}

// losePower stops all members of the control group for some seconds. What is committed remains.
func (s *sim) losePower() {
	s.takeOver()
	s.notSent, s.commitDelay = true, time.Hour
	s.run(time.Duration(500+s.rng.IntN(4000)) * time.Millisecond)
	s.notSent, s.commitDelay, s.pending = false, commitDelay, nil
	s.takeOver()
}

// orderSomething evacuates or restores a domain, mostly alternately.
func (s *sim) orderSomething() {
	domain := []string{"a", "b"}[s.rng.IntN(2)]
	s.order(domain, !s.committed.Evacuated(domain) != (s.rng.IntN(6) == 0))
}

// injectEvacuationFault injects faults of the control group and of the workers at about the time
// of an order.
func (s *sim) injectEvacuationFault(turn int) {
	around := func(fault func()) { s.after(time.Duration(s.rng.IntN(600))*time.Millisecond, fault) }
	around(s.orderSomething)
	switch s.rng.IntN(6) {
	case 0, 1:
		around(s.takeOver)
	case 2:
		s.run(time.Duration(s.rng.IntN(600)) * time.Millisecond)
		s.losePower()
	}
	s.injectFault(turn)
}

// playEvacuations simulates jobs of short, resumable, gang and lasting tasks while domains are evacuated and
// restored under faults.
func (s *sim) playEvacuations() {
	s.setCatalog()
	for i, name := range []string{"w1", "w2", "w3", "w4"} {
		s.addWorkerIn([]string{"a", "b"}[i/2], name, 6).guardsCapacity = name == "w4"
	}
	s.addWorkerIn("c", "w5", 8)
	s.run(time.Second)
	s.faults = faults{lostOrder: 0.05, lostAnswer: 0.05, late: 0.05, slow: 0.1, slowStop: 0.5, failing: 0.02, shedding: 0.1, noRoom: 0.1, lostReport: 0.2, lateReport: 0.2}
	s.send = func(engine *Engine, order Order) {
		if !s.notSent {
			s.checkSentStart(&order)
		}
		s.deliver(engine, order)
	}
	lasting := step(4)
	lasting.Lasting, lasting.MaxUnavailable = true, 2
	s.mustAccept(lastingJob, lasting)
	for id := workflow.JobID(1); id <= simulatedJobs; id++ {
		bounded, long, gang := step(3), step(2, 0), step(2)
		bounded.MaxPerWorker = 2
		long.EstimatedMs, long.Resumable = 2500, true
		gang.Gang = true
		s.mustAccept(id, bounded, long, step(2, 0), gang)
		s.injectEvacuationFault(int(id))
		s.run(time.Duration(200+s.rng.IntN(1800)) * time.Millisecond)
		s.operator.moves = max(s.operator.moves, s.engine.Counters().Relocated)
	}
	s.faults = faults{}
}

// mustAccept submits a job until it is accepted: the batch of a leader may be lost with it.
func (s *sim) mustAccept(id workflow.JobID, steps ...workflow.Step) {
	for range 50 {
		s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + id.String(), Job: &workflow.JobSpec{Payload: "p", Steps: steps}}, func(Reply) {})
		s.run(100 * time.Millisecond)
		if s.committed.Job(id) != nil {
			return
		}
	}
	s.violate("job %s is not accepted", id)
}

// Guards against a start in a domain whose evacuation was confirmed, by a leader that has just
// taken over, after a loss of power of all control hosts, or by a repeated, carried or tested
// start; and against an order that is lost, or one that is carried out after a newer one.
func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	t.Parallel()
	first, last := seeds()
	total := newSimOperator()
	for seed := first; seed <= last; seed++ {
		s := newSim(t, seed)
		s.playEvacuations()
		s.run(operatorBudget + operatorTimeout)
		for domain := range s.operator.confirmedAt {
			assert.True(t, s.committed.Evacuated(domain), "seed %d: the confirmed order for %q is lost", seed, domain)
		}
		for domain := range s.operator.restored {
			assert.False(t, s.committed.Evacuated(domain), "seed %d: the confirmed restore of %q is lost", seed, domain)
		}
		s.order("a", false)
		s.order("b", false)
		assert.True(t, s.runUntil(60*time.Second, func() bool { return s.allEnded(simulatedJobs) }), "seed %d", seed)
		s.run(latestArrival)                      // Orders that are still under way.
		if s.committed.Job(lastingJob).Active() { // Otherwise the hosts crashed so often under one of its tasks that it was given up.
			assert.Zero(t, s.notRunning(lastingJob, 4), "seed %d", seed)
		}
		assert.Empty(t, s.engine.moves, "seed %d", seed)
		assert.Empty(t, s.violations, "seed %d", seed)
		total.evacuations += s.operator.evacuations
		total.restores += s.operator.restores
		total.repeated += s.operator.repeated
		total.startsAfterRestore += s.operator.startsAfterRestore
		total.moves += s.operator.moves
	}
	t.Logf("%d evacuations and %d restores confirmed, %d orders repeated, %d starts after a restore, %d or more moves", total.evacuations, total.restores, total.repeated, total.startsAfterRestore, total.moves)
	assert.Positive(t, total.evacuations*total.restores*total.repeated*total.startsAfterRestore)
	assert.Positive(t, total.moves)
}

// Guards against a start by an earlier leader that goes on beside the next one, or whose orders
// leave seconds later, after the next one has confirmed an evacuation.
func TestEarlierLeadersStartNothingInAnEvacuatedDomain(t *testing.T) {
	first, last := seeds()
	evacuations, formerOrders := 0, 0
	for seed := first; seed <= last; seed++ {
		s := newLeadersSim(t, seed)
		s.every(500*time.Millisecond, func() { // An evacuation lasts 9 s on average, a pause 1 s.
			if evacuated := s.committed.Evacuated("z"); s.rng.IntN(18) == 0 || !evacuated && s.rng.IntN(2) == 0 {
				s.order("z", !evacuated)
			}
		})
		s.play()
		evacuations, formerOrders = evacuations+s.operator.evacuations, formerOrders+s.formerOrders
		assert.Empty(t, s.violations, "seed %d", seed)
	}
	t.Logf("%d evacuations confirmed, %d orders of earlier leaders", evacuations, formerOrders)
	assert.Positive(t, evacuations*formerOrders)
}
