package dispatch

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// loadSim is a simulation of workers under a steady load of jobs whose estimates are off.
type loadSim struct {
	*sim
	rng *rand.Rand
	// errorFactor bounds the factor by which the estimate of a job is off in either
	// direction.
	errorFactor float64
	// stragglers is the part of the runs that take stragglerFactor times as long.
	stragglers float64
	// trueMs holds the usual time of a run of each job.
	trueMs map[workflow.JobID]float64
	next   workflow.JobID
	// quarantined holds the workers that were quarantined so far.
	quarantined map[string]Instant
}

const stragglerFactor = 7

func newLoadSim(t *testing.T, seed uint64, workers int) *loadSim {
	l := &loadSim{sim: newSim(t, seed), rng: rand.New(rand.NewPCG(seed, 3)), errorFactor: 1, trueMs: make(map[workflow.JobID]float64), quarantined: make(map[string]Instant)}
	l.setCatalog()
	for i := range workers {
		l.addWorkerOn(fmt.Sprintf("w%02d", i), 16, fmt.Sprint("r", i%4))
	}
	l.run(time.Second)
	l.runTime = func(run *simRun) time.Duration {
		ms := l.trueMs[run.ref.Job] * math.Exp(0.2*l.rng.NormFloat64())
		if l.rng.Float64() < l.stragglers {
			ms *= stragglerFactor
		}
		return time.Duration(ms * float64(time.Millisecond))
	}
	l.every(tickInterval, func() {
		for _, v := range l.engine.sortedViews {
			if _, known := l.quarantined[v.worker.Life.Name]; !known && v.quarantinedUntil > l.now {
				l.quarantined[v.worker.Life.Name] = l.now
			}
		}
	})
	return l
}

// offerEach submits a job of ten tasks each interval. Their runs take some 700 ms.
func (l *loadSim) offerEach(interval time.Duration, change func(*workflow.Step)) {
	l.every(interval, func() {
		l.next++
		id, s := l.next, step(10)
		l.trueMs[id] = 700
		s.EstimatedMs = int64(700 * math.Pow(l.errorFactor, 2*l.rng.Float64()-1))
		s.Resources.MilliProcessors, s.Image = 2600, "quick"
		if change != nil {
			change(&s)
		}
		l.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + id.String(), Job: &workflow.JobSpec{Steps: []workflow.Step{s}}}, func(r Reply) { require.Nil(l.t, r.Err) })
	})
}

// Guards against sound workers that are taken for slow, and tasks that are moved, since
// callers' estimates are off by a factor of three.
func TestEstimatesAloneMakeNoWorkerSlow(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		l := newLoadSim(t, seed, 12)
		l.errorFactor = 3
		l.offerEach(130*time.Millisecond, nil)
		l.run(20 * time.Second)
		assert.Empty(t, slices.Collect(maps.Keys(l.quarantined)), "seed %d", seed)
		assert.Zero(t, l.engine.Counters().Relocated, "seed %d", seed)
		assert.Greater(t, l.engine.Counters().Done, uint64(500), "the load must run")
		assert.Empty(t, l.violations)
	}
}

// Guards against a slow worker that is not found beside estimates that are off, against
// sound workers that are taken for it, and against single runs that make a worker slow.
// Tasks that are spread have siblings on three other workers; packed ones often have not,
// and are compared with the learned run times, which say little if estimates are off.
func TestASlowWorkerIsFoundByItsSiblings(t *testing.T) {
	t.Parallel()
	for _, mixture := range []struct {
		name                    string
		errorFactor, stragglers float64
		packed                  bool
	}{
		{"exact estimates", 1, 0, false}, {"exact estimates, packed", 1, 0, true}, {"estimates off by three", 3, 0, false},
		{"stragglers and estimates off by three", 3, 0.03, false},
	} {
		for seed := uint64(1); seed <= 5; seed++ {
			l := newLoadSim(t, seed, 12)
			l.errorFactor, l.stragglers = mixture.errorFactor, mixture.stragglers
			slow := l.workers["w03:1"]
			slow.slowdown = 5
			l.offerEach(130*time.Millisecond, func(s *workflow.Step) {
				if !mixture.packed {
					s.MaxPerWorker = 2
				}
			})
			// A reading needs runs of two jobs, and the first poll after their start.
			twoJobs := func() bool {
				jobs := make(map[workflow.JobID]bool)
				for ref := range slow.running {
					jobs[ref.Job] = true
				}
				return len(jobs) >= minSlowJobs
			}
			require.True(t, l.runUntil(10*time.Second, twoJobs), "%s, seed %d", mixture.name, seed)
			found := func() bool { _, found := l.quarantined["w03"]; return found }
			assert.True(t, l.runUntil(pollWait+2*time.Second, found), "%s, seed %d: the slow worker must be found", mixture.name, seed)
			l.run(15 * time.Second)
			delete(l.quarantined, "w03")
			assert.Empty(t, slices.Collect(maps.Keys(l.quarantined)), "%s, seed %d: sound workers", mixture.name, seed)
			assert.Empty(t, l.violations)
		}
	}
}

// Guards against expected times that stay with the callers' estimates although the runs of
// the queue take three times as long, and against a mean that is learned from throttled
// or restarted attempts.
func TestExpectedTimesFollowTheRuns(t *testing.T) {
	l := newLoadSim(t, 3, 6)
	l.offerEach(400*time.Millisecond, func(s *workflow.Step) { s.EstimatedMs = 233 })
	l.run(time.Second)
	job := func() *workflow.Job { return l.engine.State().Job(l.next) }
	assert.EqualValues(t, 233, l.engine.ready.meanMs(job(), 0), "nothing is learned yet")
	assert.InDelta(t, estimateErrorPart, l.engine.ready.errorPart(job(), 0), 0)
	l.run(5 * time.Second)
	assert.InEpsilon(t, 730, l.engine.ready.meanMs(job(), 0), 0.1)
	assert.InDelta(t, 0.27, l.engine.ready.errorPart(job(), 0), 0.1)
	running := func() *attempt {
		for _, v := range l.engine.sortedViews {
			for _, a := range v.attemptList {
				if a.running && a.gaugeReadAt.Sub(a.runningSince) < minPaceWindow {
					return a
				}
			}
		}
		return nil
	}
	require.True(t, l.runUntil(time.Second, func() bool { return running() != nil }))
	a := running()
	left, known := l.engine.remainingQuantile(a, 0.5)
	require.True(t, known)
	assert.InDelta(t, 700, float64((left + l.engine.progressOf(a, l.engine.step(a.ref)).Elapsed).Milliseconds()), 250)
	chance, known := l.engine.endsWithin(a, 2*time.Second)
	assert.True(t, known && chance > 0.95)
	a.throttled = true
	before, _ := l.engine.ready.runTimes.Count(runTimeKey(job(), 0))
	for _, v := range l.engine.sortedViews {
		if v.attempts[a.ref] == a {
			l.engine.learnRunTime(v, a)
		}
	}
	after, _ := l.engine.ready.runTimes.Count(runTimeKey(job(), 0))
	assert.InDelta(t, before, after, 0, "a throttled attempt is censored")
	latest := job()
	l.takeOver()
	assert.EqualValues(t, 233, l.engine.ready.meanMs(latest, 0), "a new leader relearns")
}

// Guards against a scavenger that takes seven times as long as the others of its step and
// delays its job by that, although it saves its progress.
func TestAStragglingScavengerIsRelocated(t *testing.T) {
	l := newLoadSim(t, 4, 8)
	l.runTime = func(run *simRun) time.Duration {
		if run.ref.Index == 5 && run.attempt == 1 {
			return stragglerFactor * 2400 * time.Millisecond
		}
		return 2400 * time.Millisecond
	}
	batch := step(16)
	batch.Scavenger, batch.Resumable, batch.MaxPerWorker, batch.EstimatedMs = true, true, 2, 5000
	l.submit(1, batch)
	require.True(t, l.runUntil(10*time.Second, func() bool { return l.state(1) == workflow.JobCompleted }))
	assert.EqualValues(t, 1, l.engine.Counters().Relocated)
	assert.Empty(t, l.violations)
}

// Guards against scavengers that are stopped as stragglers although they only lack processors.
func TestScavengersThatLackProcessorsAreNoStragglers(t *testing.T) {
	scavenger := &workflow.Step{Scavenger: true}
	assert.Less(t, slowLimit(scavenger, -1), slowLimit(scavenger, 0))
	assert.Greater(t, slowLimit(scavenger, 0), 1.0/7, "a straggler of factor 7 must be found on a worker with idle processors")
	assert.Equal(t, slowPace, slowLimit(new(workflow.Step), -1))
}
