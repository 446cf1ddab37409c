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
	simMaintenance = 2 * time.Second
	simProcessors  = 8
)

// simPool is the pool of hosts of a simulation, one worker on each.
type simPool struct {
	sim    *sim
	hosts  map[string]*simHost
	down   int
	most   int
	orders int
	// lostAnswers is the number of the next answers that are lost.
	lostAnswers int
}

type simHost struct {
	worker *simWorker
	life   int
	done   bool
	down   bool
}

func newSimPool(s *sim, hosts int) *simPool {
	p := &simPool{sim: s, hosts: make(map[string]*simHost)}
	for i := range hosts {
		name := fmt.Sprintf("h%d", i)
		p.hosts[name] = &simHost{worker: s.addWorker(name+"-0", simProcessors)}
	}
	s.every(10*time.Millisecond, p.act)
	return p
}

// act carries out the engine's orders to the pool.
func (p *simPool) act() {
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
	p.most = max(p.most, p.down)
	host.worker.crash()
	p.sim.after(simMaintenance, func() {
		p.down--
		host.down = false
		host.life++
		host.worker = p.sim.addWorker(fmt.Sprintf("%s-%d", name, host.life), simProcessors)
	})
}

func (s *sim) startWave(parallel uint32, hosts ...string) {
	s.engine.StartWave(&workflow.StartWave{ID: 1, Hosts: hosts, Parallel: parallel, WithinMs: 30_000}, func(err *kind.Error) { require.Nil(s.t, err) })
}

func (s *sim) waveCompleted() bool {
	wave := s.committed.Wave(1)
	return wave != nil && wave.Completed()
}

// serve submits a job whose tasks last, of which some may be missed.
func (s *sim) serve(id workflow.JobID, count uint32, maxUnavailable int32) {
	lasting := step(count)
	lasting.Lasting, lasting.MaxUnavailable = true, maxUnavailable
	s.submit(id, lasting)
	s.run(500 * time.Millisecond)
}

// away is the number of tasks of a job that do not run.
func (s *sim) away(id workflow.JobID, count int) int {
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
	require.Zero(t, s.away(1, tasks))
	worst := 0
	s.every(5*time.Millisecond, func() { worst = max(worst, s.away(1, tasks)) })
	s.startWave(2, "h0", "h1", "h2", "h3", "h4", "h5")
	require.True(t, s.runUntil(30*time.Second, s.waveCompleted))
	s.run(4 * time.Second)
	for name, host := range pool.hosts {
		assert.True(t, host.done, name)
	}
	assert.LessOrEqual(t, pool.most, 2, "hosts that are down at a time")
	assert.LessOrEqual(t, worst, 2, "tasks that are missed at a time")
	assert.Zero(t, s.away(1, tasks))
	assert.Empty(t, s.violations)
}

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
	assert.Equal(t, orders, pool.orders, "a new leader waits")
	require.True(t, s.runUntil(40*time.Second, s.waveCompleted))
	assert.Equal(t, 1, pool.most)
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
