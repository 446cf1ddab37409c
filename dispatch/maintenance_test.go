package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

const (
	maintenanceTime     = 2 * time.Second
	processorsPerWorker = 8
)

// simPool simulates the pool of hosts, with one worker on each host.
type simPool struct {
	sim     *sim
	hosts   map[string]*simHost
	down    int
	maxDown int
	orders  int
	// lostAnswers is how many of the next answers get lost.
	lostAnswers int
}

type simHost struct {
	worker     *simWorker
	generation int
	done       bool
	down       bool
}

func newSimPool(s *sim, hosts int) *simPool {
	p := &simPool{sim: s, hosts: make(map[string]*simHost)}
	for i := range hosts {
		name := fmt.Sprintf("h%d", i)
		p.hosts[name] = &simHost{worker: s.addWorker(name+"-0", processorsPerWorker)}
	}
	s.every(10*time.Millisecond, p.carryOutOrders)
	return p
}

// carryOutOrders carries out the engine's orders to the pool.
func (p *simPool) carryOutOrders() {
	for _, order := range p.sim.engine.TakeHostOrders() {
		p.orders++
		engine, answer := p.sim.engine, HostAnswer{Order: order, Outcome: HostDone}
		if order.Verb == ListHosts {
			for name, host := range p.hosts {
				state := HostUp
				if host.down {
					state = HostInMaintenance
				}
				answer.Hosts = append(answer.Hosts, Host{Name: name, State: state, Worker: host.worker.life.Name})
			}
		} else {
			p.maintain(order.Host)
			if p.lostAnswers > 0 {
				p.lostAnswers--
				answer.Outcome = HostUnanswered
			}
		}
		p.sim.after(5*time.Millisecond, func() {
			if p.sim.engine == engine {
				engine.HandleHostAnswer(&answer)
			}
		})
	}
}

func (p *simPool) maintain(name string) {
	host := p.hosts[name]
	if host.done {
		return
	}
	host.done, host.down = true, true
	p.down++
	p.maxDown = max(p.maxDown, p.down)
	host.worker.crash()
	p.sim.after(maintenanceTime, func() {
		p.down--
		host.down = false
		host.generation++
		host.worker = p.sim.addWorker(fmt.Sprintf("%s-%d", name, host.generation), processorsPerWorker)
	})
}

func (s *sim) startWave(parallel uint32, hosts ...string) {
	s.engine.StartWave(&workflow.StartWave{ID: 1, Hosts: hosts, Parallel: parallel, WithinMs: 30_000}, func(err *kind.Error) { require.Nil(s.t, err) })
}

func (s *sim) waveCompleted() bool {
	wave := s.committed.Wave(1)
	return wave != nil && wave.Completed()
}

// serve submits a job of lasting tasks of which at most maxUnavailable may be
// unavailable.
func (s *sim) serve(id workflow.JobID, count uint32, maxUnavailable int32) {
	lasting := step(count)
	lasting.Lasting, lasting.MaxUnavailable = true, maxUnavailable
	s.submit(id, lasting)
	s.run(500 * time.Millisecond)
}

// notRunning returns the number of tasks of a job that do not run.
func (s *sim) notRunning(id workflow.JobID, count int) int {
	running := 0
	for ref, runs := range s.runs {
		if ref.Job == id && len(runs) > 0 {
			running++
		}
	}
	return count - running
}

func TestAWaveMaintainsAllHosts(t *testing.T) {
	s := newSim(t, 41)
	s.setCatalog()
	pool := newSimPool(s, 6)
	s.run(time.Second)
	const tasks = 12
	s.serve(1, tasks, 2)
	require.Zero(t, s.notRunning(1, tasks))
	worst := 0
	s.every(5*time.Millisecond, func() { worst = max(worst, s.notRunning(1, tasks)) })
	s.startWave(2, "h0", "h1", "h2", "h3", "h4", "h5")
	require.True(t, s.runUntil(30*time.Second, s.waveCompleted))
	s.run(4 * time.Second)
	for name, host := range pool.hosts {
		assert.True(t, host.done, name)
	}
	assert.LessOrEqual(t, pool.maxDown, 2, "most hosts down at a time")
	assert.LessOrEqual(t, worst, 2, "most tasks unavailable at a time")
	assert.Zero(t, s.notRunning(1, tasks))
	assert.Empty(t, s.violations)
}

// Right after a change of leader, orders of both leaders could reach the pool. The
// new leader must wait, then continue the wave with no more hosts down.
func TestANewLeaderContinuesAWave(t *testing.T) {
	s := newSim(t, 42)
	s.settings.HostTakeoverDelay = time.Second
	s.setCatalog()
	pool := newSimPool(s, 4)
	s.run(time.Second)
	s.serve(1, 4, 1)
	pool.lostAnswers = 2
	s.startWave(1, "h0", "h1", "h2", "h3")
	require.True(t, s.runUntil(10*time.Second, func() bool { return pool.down == 1 }))
	s.takeOver()
	orders := pool.orders
	s.run(900 * time.Millisecond)
	assert.Equal(t, orders, pool.orders, "a new leader must send no orders before HostTakeoverDelay")
	require.True(t, s.runUntil(40*time.Second, s.waveCompleted))
	assert.Equal(t, 1, pool.maxDown)
	assert.Empty(t, s.violations)
}

func TestAHostThatIsGoneDoesNotHoldUpAWave(t *testing.T) {
	s := newSim(t, 43)
	s.setCatalog()
	newSimPool(s, 2)
	s.run(time.Second)
	s.startWave(1, "h0", "gone")
	require.True(t, s.runUntil(10*time.Second, s.waveCompleted))
}

// The pool has seen a higher fencing token: another leader maintains the hosts.
func TestAFencedLeaderOrdersNothingMore(t *testing.T) {
	s := newSim(t, 44)
	s.setCatalog()
	pool := newSimPool(s, 2)
	s.run(time.Second)
	s.startWave(1, "h0", "h1")
	require.True(t, s.runUntil(10*time.Second, func() bool { return pool.down == 1 }))
	s.engine.maintenance.fenced = true
	orders := pool.orders
	s.run(10 * time.Second)
	assert.Equal(t, orders, pool.orders)
	assert.False(t, s.waveCompleted())
}
