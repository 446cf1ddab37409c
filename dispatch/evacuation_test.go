package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// addWorkerIn starts a worker in a failure domain.
func (s *sim) addWorkerIn(domain, name string, processors int64) *simWorker {
	w := s.newWorker(name, name+":1", processors, "r-"+domain)
	w.domain = domain
	w.report()
	return w
}

// evacuate orders an evacuation and returns after its confirmation.
func (s *sim) evacuate(domain string) {
	confirmed := false
	s.engine.SetEvacuation(&workflow.SetEvacuation{Domain: domain, Evacuated: true}, func(err *kind.Error) { confirmed = err == nil })
	require.True(s.t, s.runUntil(time.Second, func() bool { return confirmed }))
}

func (s *sim) restore(domain string) {
	confirmed := false
	s.engine.SetEvacuation(&workflow.SetEvacuation{Domain: domain}, func(err *kind.Error) { confirmed = err == nil })
	require.True(s.t, s.runUntil(time.Second, func() bool { return confirmed }))
}

// startsIn records when starts reach workers of a domain, by task.
func (s *sim) startsIn(domain string) map[workflow.TaskRef]Instant {
	starts := make(map[workflow.TaskRef]Instant)
	s.send = func(engine *Engine, order Order) {
		if w := s.workers[order.Address]; order.Verb == Start && w != nil && w.domain == domain {
			starts[order.Task] = s.now
		}
		s.deliver(engine, order)
	}
	return starts
}

// Guards against a task that waits for an evacuated domain, and against one that is placed
// there again before the withdrawal.
func TestTasksRunOutsideAnEvacuatedDomain(t *testing.T) {
	s := newSim(t, 1)
	s.setCatalog()
	s.addWorkerIn("a", "a1", 8)
	s.addWorkerIn("b", "b1", 8)
	s.run(time.Second)
	starts := s.startsIn("a")
	s.evacuate("a")
	s.submit(1, step(8))
	require.True(t, s.runUntil(5*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	assert.Empty(t, starts)
	s.addWorkerIn("a", "a2", 8)
	s.submit(2, step(16))
	s.takeOver()
	require.True(t, s.runUntil(5*time.Second, func() bool { return s.state(2) == workflow.JobCompleted }))
	assert.Empty(t, starts, "neither a worker that joins nor a new leader may start work there")
	s.restore("a")
	s.submit(3, step(16))
	require.True(t, s.runUntil(5*time.Second, func() bool { return s.state(3) == workflow.JobCompleted }))
	assert.NotEmpty(t, starts)
	require.Empty(t, s.violations)
}

// Guards against a start of a placement that was recorded before the order, and against its
// task waiting for the domain.
func TestPlacementsBeforeAnEvacuationAreNotStarted(t *testing.T) {
	s := newSim(t, 2)
	s.setCatalog()
	a := s.addWorkerIn("a", "a1", 8)
	b := s.addWorkerIn("b", "b1", 6)
	s.run(time.Second)
	starts := s.startsIn("a")
	s.commitDelay = 200 * time.Millisecond
	s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + workflow.JobID(1).String(), Job: &workflow.JobSpec{Steps: []workflow.Step{step(8)}}}, func(Reply) {})
	view := s.engine.views[s.engine.state.WorkerNamed(a.life.Name).ID]
	require.True(t, s.runUntil(time.Second, func() bool { return len(view.attempts) > 0 }))
	require.False(t, view.attemptList[0].committed)
	s.evacuate("a")
	s.run(5 * time.Second)
	assert.Empty(t, starts)
	assert.Empty(t, a.running)
	assert.Equal(t, workflow.JobCompleted, s.state(1))
	assert.False(t, b.dead)
	require.Empty(t, s.violations)
}

// Guards against a repeated start after the order whose first one was lost, and against one
// that a withdrawal permits before it is committed.
func TestUnansweredStartsAreNotRepeatedInAnEvacuatedDomain(t *testing.T) {
	s := newSim(t, 3)
	s.setCatalog()
	a := s.addWorkerIn("a", "a1", 8)
	s.run(time.Second)
	lost := 0
	s.send = func(engine *Engine, order Order) {
		if order.Verb == Start {
			lost++
			s.after(order.Timeout(), func() { engine.HandleAnswer(&Answer{Order: order}) })
			return
		}
		s.deliver(engine, order)
	}
	s.submit(1, step(1))
	s.run(200 * time.Millisecond)
	require.Equal(t, 1, lost)
	s.evacuate("a")
	s.run(5 * time.Second)
	assert.Equal(t, 1, lost, "no start may be sent after the confirmation")
	s.commitDelay = 10 * time.Second
	s.engine.SetEvacuation(&workflow.SetEvacuation{Domain: "a"}, func(*kind.Error) {})
	s.run(5 * time.Second)
	assert.Equal(t, 1, lost, "the withdrawal is not committed yet")
	assert.True(t, s.engine.EvacuatedDomains()["a"])
	assert.Empty(t, a.running)
}

// Guards against a refusal of a domain that exists, and an order for one that does not.
func TestUnknownDomainsAreRefused(t *testing.T) {
	s := newSim(t, 4)
	s.settings.Domains = []string{"a", "b"}
	s.takeOver()
	s.setCatalog()
	s.addWorkerIn("c", "c1", 8)
	s.run(time.Second)
	for domain, known := range map[string]bool{"a": true, "c": true, "d": false, "": false} {
		var result *kind.Error
		s.engine.SetEvacuation(&workflow.SetEvacuation{Domain: domain, Evacuated: true}, func(err *kind.Error) { result = err })
		s.run(100 * time.Millisecond)
		if known {
			assert.Nil(t, result, domain)
		} else if assert.NotNil(t, result, domain) {
			assert.Equal(t, kind.NotFound, result.Kind)
		}
	}
}

// Guards against an evacuation that ends with the commit of a withdrawal before it: the last order
// wins.
func TestAnEvacuationAfterAWithdrawalStaysInForce(t *testing.T) {
	s := newSim(t, 5)
	s.setCatalog()
	s.addWorkerIn("a", "a1", 8)
	s.run(time.Second)
	starts := s.startsIn("a")
	s.evacuate("a")
	for _, evacuated := range []bool{false, true, true} {
		s.engine.SetEvacuation(&workflow.SetEvacuation{Domain: "a", Evacuated: evacuated}, func(err *kind.Error) { assert.Nil(t, err) })
	}
	s.run(time.Second)
	s.submit(1, step(1))
	s.run(time.Second)
	assert.True(t, s.committed.Evacuated("a"))
	assert.Empty(t, starts)
}
