package dispatch

import (
	"fmt"
	"maps"
	"slices"
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
	// downOf is the number of hosts in maintenance for each wave.
	downOf map[uint64]uint32
	orders int
	// busy is the number of orders for hosts that were down.
	busy int
	// lostAnswers is how many of the next answers to orders get lost.
	lostAnswers int
	// listingDelay is the time from reading the hosts to the answer of a listing.
	listingDelay time.Duration
	// unlisted is how many of the next listings are not answered, missed in how many of
	// the next listings each host is missing.
	unlisted int
	missed   map[string]int
}

type simHost struct {
	worker     *simWorker
	generation int
	waves      map[uint64]bool
	down       bool
}

func newSimPool(s *sim, hosts int) *simPool {
	p := &simPool{sim: s, hosts: make(map[string]*simHost), listingDelay: 5 * time.Millisecond, missed: make(map[string]int), downOf: make(map[uint64]uint32)}
	for i := range hosts {
		p.add(fmt.Sprintf("h%d", i))
	}
	s.every(10*time.Millisecond, p.carryOutOrders)
	return p
}

// add lets a host join the pool.
func (p *simPool) add(name string) {
	p.hosts[name] = &simHost{worker: p.sim.addWorker(name+"-0", processorsPerWorker), waves: make(map[uint64]bool)}
}

// remove takes a host away for good.
func (p *simPool) remove(name string) {
	host := p.hosts[name]
	delete(p.hosts, name)
	host.worker.crash()
}

// carryOutOrders carries out the engine's orders to the pool.
func (p *simPool) carryOutOrders() {
	for _, order := range p.sim.engine.TakeHostOrders() {
		p.orders++
		engine, answer, delay := p.sim.engine, HostAnswer{Order: order, Outcome: HostDone}, 5*time.Millisecond
		switch {
		case order.Verb == MaintainHost:
			answer.Outcome = p.maintain(order.Host, order.Wave)
			if p.lostAnswers > 0 {
				p.lostAnswers--
				answer.Outcome = HostUnanswered
			}
		case p.unlisted > 0:
			p.unlisted--
			answer.Outcome, delay = HostUnanswered, order.Timeout()
		default:
			answer.Hosts, delay = p.list(), p.listingDelay
		}
		p.sim.after(delay, func() {
			if p.sim.engine == engine {
				engine.HandleHostAnswer(&answer)
			}
		})
	}
}

func (p *simPool) list() []Host {
	var hosts []Host
	for _, name := range slices.Sorted(maps.Keys(p.hosts)) {
		host := p.hosts[name]
		if p.missed[name] > 0 {
			p.missed[name]--
			continue
		}
		entry := Host{Name: name, State: HostUp, Worker: host.worker.life.Name}
		if host.down {
			entry.State, entry.Worker = HostInMaintenance, ""
		}
		hosts = append(hosts, entry)
	}
	return hosts
}

func (p *simPool) maintain(name string, wave uint64) HostOutcome {
	host := p.hosts[name]
	switch {
	case host == nil:
		return HostUnknown
	case host.waves[wave]:
		return HostDone
	case host.down:
		p.busy++
		return HostBusy
	}
	host.waves[wave], host.down = true, true
	p.down++
	p.maxDown = max(p.maxDown, p.down)
	p.downOf[wave]++
	if limit := p.sim.committed.Wave(wave).Parallel; p.downOf[wave] > limit {
		p.sim.violations = append(p.sim.violations, fmt.Sprintf("%d hosts of wave %d are down, %d may be", p.downOf[wave], wave, limit))
	}
	host.worker.crash()
	p.sim.after(maintenanceTime, func() {
		p.down--
		p.downOf[wave]--
		host.down = false
		if p.hosts[name] != host {
			return
		}
		host.generation++
		host.worker = p.sim.startWorker(fmt.Sprintf("%s-%d", name, host.generation), host.worker)
	})
	return HostDone
}

// missing returns the hosts that stay in the pool and whose maintenance for a wave has not begun.
func (p *simPool) missing(id uint64) []string {
	var names []string
	for _, name := range p.sim.committed.Wave(id).Hosts {
		if host := p.hosts[name]; host != nil && !host.waves[id] {
			names = append(names, name)
		}
	}
	return names
}

func (s *sim) startWave(parallel uint32, hosts ...string) { s.startWaveNumbered(1, parallel, hosts...) }

func (s *sim) startWaveNumbered(id uint64, parallel uint32, hosts ...string) {
	s.engine.StartWave(&workflow.StartWave{ID: id, Hosts: hosts, Parallel: parallel, WithinMs: 30_000}, func(err *kind.Error) { require.Nil(s.t, err) })
}

func (s *sim) waveCompleted() bool { return s.waveNumberedCompleted(1) }

func (s *sim) waveNumberedCompleted(id uint64) bool {
	wave := s.committed.Wave(id)
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
		assert.True(t, host.waves[1], name)
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

// Guards against a wave that is completed without the maintenance of hosts that joined after
// the listing of an earlier wave.
func TestASecondWaveDoesNotDecideByTheListingOfTheFirst(t *testing.T) {
	s := newSim(t, 45)
	s.setCatalog()
	pool := newSimPool(s, 4)
	s.run(time.Second)
	s.startWave(1, "h0")
	require.True(t, s.runUntil(10*time.Second, s.waveCompleted))
	s.run(5 * time.Second)
	pool.remove("h3")
	pool.add("joined")
	s.run(2 * time.Second)
	s.startWaveNumbered(2, 1, "h1", "joined")
	require.True(t, s.runUntil(15*time.Second, func() bool { return s.waveNumberedCompleted(2) }))
	assert.Empty(t, pool.missing(2))
}

// Guards against deciding a wave by a listing that was asked for before the operator's order:
// it was under way for an earlier wave, and the pool answered none for a while.
func TestAListingUnderWayDoesNotDecideANewWave(t *testing.T) {
	s := newSim(t, 46)
	s.setCatalog()
	pool := newSimPool(s, 4)
	s.run(time.Second)
	pool.listingDelay = 500 * time.Millisecond
	s.startWave(1, "h0", "h1")
	require.True(t, s.runUntil(10*time.Second, func() bool { return pool.down == 1 }))
	for id := uint64(2); id < 12; id++ {
		s.run(170 * time.Millisecond)
		name := fmt.Sprintf("joined%d", id)
		pool.add(name)
		pool.unlisted = int(id) % 2
		s.startWaveNumbered(id, 1, name)
	}
	for id := uint64(2); id < 12; id++ {
		require.True(t, s.runUntil(60*time.Second, func() bool { return s.waveNumberedCompleted(id) }), "wave %d", id)
		assert.Empty(t, pool.missing(id))
	}
}

// Guards against taking a host that one listing misses, as one of several pages may, for one
// that is gone: neither may its wave go on without it, nor may another host go down for it.
func TestOneListingDoesNotProveThatAHostIsGone(t *testing.T) {
	s := newSim(t, 47)
	s.setCatalog()
	pool := newSimPool(s, 3)
	s.run(time.Second)
	pool.missed["h1"] = 1
	s.startWave(1, "h0", "h1", "h2")
	for id := range 3 {
		name := fmt.Sprintf("h%d", id)
		require.True(t, s.runUntil(20*time.Second, func() bool { return pool.hosts[name].down || pool.hosts[name].waves[1] }))
		pool.missed[name] = 3
	}
	require.True(t, s.runUntil(30*time.Second, s.waveCompleted))
	assert.Empty(t, pool.missing(1))
	assert.Equal(t, 1, pool.maxDown, "a host that listings miss is still in maintenance")
}

// Guards against counting the end of a worker that a maintenance order caused as a crash,
// if the answer to the order is lost and the host is listed with another worker by then.
func TestMaintenanceIsNoCrash(t *testing.T) {
	s := newSim(t, 48)
	s.setCatalog()
	pool := newSimPool(s, 3)
	s.run(time.Second)
	s.serve(1, 3, 1)
	pool.lostAnswers = 8
	s.startWave(1, "h0", "h1", "h2")
	require.True(t, s.runUntil(60*time.Second, s.waveCompleted))
	s.run(20 * time.Second)
	assert.Zero(t, s.engine.Counters().Crashed)
	assert.Empty(t, s.violations)
}

// Guards against ordering the maintenance of hosts that joined after the latest listings as
// that of hosts which these lack: unprepared, with all their lasting tasks at once.
func TestHostsThatJoinedArePreparedForTheirMaintenance(t *testing.T) {
	s := newSim(t, 50)
	s.setCatalog()
	pool := newSimPool(s, 2)
	s.run(time.Second)
	s.startWave(1, "h0")
	require.True(t, s.runUntil(10*time.Second, s.waveCompleted))
	s.run(5 * time.Second)
	pool.add("joined0")
	pool.add("joined1")
	s.run(time.Second)
	const tasks = 4 * processorsPerWorker
	s.serve(1, tasks, processorsPerWorker)
	require.Zero(t, s.notRunning(1, tasks))
	worst := 0
	s.every(5*time.Millisecond, func() { worst = max(worst, s.notRunning(1, tasks)) })
	s.startWaveNumbered(2, 2, "joined0", "joined1")
	require.True(t, s.runUntil(30*time.Second, func() bool { return s.waveNumberedCompleted(2) }))
	assert.Empty(t, pool.missing(2))
	assert.LessOrEqual(t, worst, processorsPerWorker, "most tasks unavailable at a time")
}

// Guards against the maintenance of a host for a second wave right after that for the first:
// what runs there by then was not prepared for it.
func TestAHostOfTwoWavesIsPreparedForEach(t *testing.T) {
	s := newSim(t, 51)
	s.setCatalog()
	pool := newSimPool(s, 3)
	s.run(time.Second)
	const tasks = 3 * processorsPerWorker
	s.serve(1, tasks, processorsPerWorker)
	require.Zero(t, s.notRunning(1, tasks))
	s.startWaveNumbered(1, 1, "h0", "h1")
	s.startWaveNumbered(2, 1, "h0", "h1")
	for id := range uint64(2) {
		require.True(t, s.runUntil(40*time.Second, func() bool { return s.waveNumberedCompleted(id + 1) }))
		assert.Empty(t, pool.missing(id+1))
	}
	assert.Zero(t, pool.busy, "orders for a host that was down")
	assert.Empty(t, s.violations)
}

// Waves in series and at once, with hosts that come and go, listings that are slow, missing
// or incomplete, lost answers and new leaders: no wave is completed without a host that stays,
// and no more hosts are down for a wave than it allows.
func TestWavesReachAllHostsThatStay(t *testing.T) {
	for seed, last := seeds(); seed <= last; seed++ {
		s := newSim(t, seed)
		s.settings.HostTakeoverDelay = time.Second
		s.setCatalog()
		pool := newSimPool(s, 8)
		s.run(time.Second)
		checked := make(map[uint64]bool)
		s.every(10*time.Millisecond, func() {
			for id, wave := range s.committed.Waves() {
				if wave.Completed() && !checked[id] {
					checked[id] = true
					assert.Empty(t, pool.missing(id), "seed %d, wave %d", seed, id)
				}
			}
		})
		joined := 0
		s.every(700*time.Millisecond, func() {
			names := slices.Sorted(maps.Keys(pool.hosts))
			name := names[s.rng.IntN(len(names))]
			switch s.rng.IntN(6) {
			case 0:
				if !pool.hosts[name].down && len(names) > 5 {
					pool.remove(name)
				}
			case 1:
				joined++
				pool.add(fmt.Sprintf("joined%d", joined))
			case 2:
				pool.missed[name] = s.rng.IntN(3)
			case 3:
				pool.lostAnswers = s.rng.IntN(3)
			case 4:
				pool.listingDelay = time.Duration(s.rng.IntN(900)) * time.Millisecond
				pool.unlisted = s.rng.IntN(2)
			case 5:
				if s.rng.IntN(5) == 0 {
					s.takeOver()
				}
			}
		})
		const waves = 6
		for id := uint64(1); id <= waves; id++ {
			names := slices.Sorted(maps.Keys(pool.hosts))
			s.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
			s.startWaveNumbered(id, 1, names[:3]...)
			s.run(time.Duration(1+s.rng.IntN(9)) * time.Second)
		}
		s.runUntil(90*time.Second, func() bool { return len(checked) == waves })
		assert.Len(t, checked, waves, "seed %d: waves that were completed", seed)
		assert.Empty(t, s.violations, "seed %d", seed)
	}
}
