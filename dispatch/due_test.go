package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

const manyTimes = 20_000

// repeating returns the description of a job of one task that runs manyTimes times.
func repeating(firstMs int64, every time.Duration) *workflow.JobSpec {
	return &workflow.JobSpec{Steps: []workflow.Step{step(1)}, Schedule: workflow.Schedule{Times: manyTimes, FirstMs: firstMs, EveryMs: every.Milliseconds()}}
}

func (s *sim) submitSpec(id workflow.JobID, spec *workflow.JobSpec) {
	s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + id.String(), Job: spec}, func(r Reply) { require.Nil(s.t, r.Err) })
}

// Guards against work and memory for occurrences that are not due: jobs that repeat often took
// each leader over its memory, and a plan took seconds.
func TestOccurrencesThatAreNotDueCostNothing(t *testing.T) {
	e := New(Settings{}, zerolog.Nop(), 1, workflow.NewState(), 0)
	e.SetCatalog(queueCatalog(1, "q"), func(*kind.Error) {})
	commit := func() {
		for e.TakeBatch() != nil {
			e.Committed()
		}
	}
	now := int64(1_000_000)
	e.Tick(0, now)
	const jobs = 60
	for id := workflow.JobID(1); id <= jobs; id++ {
		spec := repeating(now+time.Hour.Milliseconds(), time.Minute)
		e.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + id.String(), Job: spec}, func(r Reply) { require.Nil(t, r.Err) })
	}
	commit()
	assert.Zero(t, len(e.ready.sorted), "no occurrence is due")
	assert.Zero(t, e.state.HeldOccurrences())
	allocated := testing.AllocsPerRun(20, func() {
		for id := workflow.JobID(1); id <= jobs; id++ {
			e.ready.markDirty(id)
		}
		commit()
	})
	assert.Less(t, allocated, float64(jobs*50), "allocations of a plan after a change of each job")
	now += time.Hour.Milliseconds() + 2*time.Minute.Milliseconds()
	e.Tick(0, now)
	commit()
	assert.Equal(t, 3*jobs, len(e.ready.sorted), "three occurrences of each job are due")
}

// Guards against occurrences that start late, never or twice, and callers that get no answer,
// because plans take long: six jobs that repeat each half second beside ten idle workers.
func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	for seed, last := seeds(); seed <= min(last, 5); seed++ {
		s := newSim(t, seed)
		s.setCatalog()
		for i := range 10 {
			s.addWorker(fmt.Sprintf("w%d", i), processorsPerWorker)
		}
		s.runTime = func(*simRun) time.Duration { return 300 * time.Millisecond }
		s.run(time.Second)
		first := s.wall() + time.Second.Milliseconds()
		const jobs, every = 6, 500 * time.Millisecond
		for id := workflow.JobID(1); id <= jobs; id++ {
			s.submitSpec(id, repeating(first, every))
		}
		started, latest := make(map[workflow.TaskRef]bool), time.Duration(0)
		s.send = func(engine *Engine, order Order) {
			if order.Verb == Start && !started[order.Task] {
				started[order.Task] = true
				late := time.Duration(s.wall()-first)*time.Millisecond - time.Duration(order.Task.Occurrence)*every
				require.GreaterOrEqual(t, late, time.Duration(0), "task %s starts before it is due", order.Task)
				latest = max(latest, late)
			}
			s.deliver(engine, order)
		}
		s.run(20 * time.Second)
		s.takeOver()
		s.run(11 * time.Second)
		due := int((s.wall()-first)/every.Milliseconds()) * jobs
		assert.GreaterOrEqual(t, len(started), due, "seed %d: due occurrences that were started", seed)
		assert.Less(t, latest, 3*time.Second, "seed %d: latest start after its time, with a change of leader", seed)
		assert.LessOrEqual(t, s.engine.state.HeldOccurrences(), 2*jobs, "seed %d: occurrences that take memory", seed)
		cancelled := false
		s.engine.HandleRequest(&Request{Verb: CancelJob, Host: "h", Path: "/q/" + workflow.JobID(1).String()}, func(r Reply) { cancelled = r.Err == nil })
		require.True(t, s.runUntil(time.Second, func() bool { return cancelled }))
		assert.Empty(t, s.violations, "seed %d", seed)
	}
}

// Guards against a plan that looks at all due occurrences of a job, as after a long outage of the
// workers: it takes the oldest and the latest, which are worth most, and all run in the end.
func TestABacklogOfOccurrencesIsWorkedOffInParts(t *testing.T) {
	s := newSim(t, 7)
	s.setCatalog()
	s.runTime = func(*simRun) time.Duration { return 50 * time.Millisecond }
	const times, every = 3000, 20 * time.Millisecond
	spec := repeating(s.wall(), every)
	spec.Schedule.Times = times
	s.submitSpec(1, spec)
	most, latestFirst := 0, false
	s.every(5*time.Millisecond, func() {
		most = max(most, len(s.engine.ready.byJob[1]))
		if job := s.committed.Job(1); job != nil && job.Occurrences.Done(times-1, 0) == 1 && job.OpenTasks > times/2 {
			latestFirst = true
		}
	})
	s.run(times * every)
	assert.Zero(t, s.committed.HeldOccurrences())
	for i := range 8 {
		s.addWorker(fmt.Sprintf("w%d", i), processorsPerWorker)
	}
	require.True(t, s.runUntil(60*time.Second, func() bool { return s.committed.Job(1).State() == workflow.JobCompleted }))
	assert.LessOrEqual(t, most, workflow.MaxReadyOccurrences)
	assert.True(t, latestFirst, "the latest occurrence waits for older ones, which are too late")
	assert.Len(t, s.done, times)
	assert.Empty(t, s.violations)
}

// Guards against what the leader keeps of each occurrence until its job ends.
func TestNothingIsKeptOfDoneOccurrences(t *testing.T) {
	s := newSim(t, 8)
	s.setCatalog()
	s.addWorker("w", processorsPerWorker)
	s.faults.failing = 0.03
	s.runTime = func(*simRun) time.Duration { return 700 * time.Millisecond }
	s.run(time.Second)
	s.submitSpec(1, repeating(s.wall(), 150*time.Millisecond))
	s.run(60 * time.Second)
	e := s.engine
	require.Greater(t, len(s.done), 300)
	assert.Less(t, len(e.lastFailures)+len(e.paces)+e.state.HeldOccurrences(), 60)
}

func TestDueOccurrencesByTime(t *testing.T) {
	for _, c := range []struct {
		schedule workflow.Schedule
		nowMs    int64
		due      uint32
		nextMs   int64
	}{
		{workflow.Schedule{}, 0, 1, 0},
		{workflow.Schedule{Times: 3, FirstMs: 100, EveryMs: 10}, 99, 0, 100},
		{workflow.Schedule{Times: 3, FirstMs: 100, EveryMs: 10}, 100, 1, 110},
		{workflow.Schedule{Times: 3, FirstMs: 100, EveryMs: 10}, 119, 2, 120},
		{workflow.Schedule{Times: 3, FirstMs: 100, EveryMs: 10}, 120, 3, 0},
		{workflow.Schedule{Times: 3, FirstMs: 100}, 99, 0, 100},
		{workflow.Schedule{Times: 3, FirstMs: 100}, 100, 3, 0},
		{workflow.Schedule{Times: 3, FirstMs: 100, EveryMs: -10}, 79, 0, 80},
		{workflow.Schedule{Times: 3, FirstMs: 100, EveryMs: -10}, 80, 3, 0},
		{workflow.Schedule{Times: 3, FirstMs: math.MinInt64, EveryMs: 10}, math.MaxInt64, 3, 0},
		{workflow.Schedule{Times: 3, FirstMs: math.MaxInt64, EveryMs: 10}, 0, 3, 0},
	} {
		spec := workflow.JobSpec{Schedule: c.schedule}
		assert.Equal(t, c.due, spec.DueBy(c.nowMs), "%+v at %d", c.schedule, c.nowMs)
		next, more := spec.NextDueMs(c.nowMs)
		assert.Equal(t, c.due < spec.Occurrences(), more)
		assert.Equal(t, c.nextMs, next, "%+v at %d", c.schedule, c.nowMs)
	}
}

// Guards against an occurrence that does not start because a question was asked when it became
// due: the copy of the engine that answers takes note of that, and must do so for itself.
func TestAQuestionTakesNoDueOccurrence(t *testing.T) {
	s := newSim(t, 9)
	s.setCatalog()
	s.addWorker("w", processorsPerWorker)
	s.run(time.Second)
	spec := repeating(s.wall()+time.Second.Milliseconds(), time.Hour)
	s.submitSpec(1, spec)
	s.run(500 * time.Millisecond)
	e := s.engine
	e.Advance(s.now, spec.Schedule.FirstMs)
	require.NotEmpty(t, s.explain(&PlacementQuestion{JobID: workflow.JobID(1).String()}).Steps)
	e.Place()
	assert.True(t, e.state.Job(1).Started)
}

// Jobs that repeat, beside faults and changes of leader: no occurrence runs twice or is lost, and
// none is kept once the jobs have ended.
func TestOccurrencesRunOnceBesideFaults(t *testing.T) {
	t.Parallel()
	for seed, last := seeds(); seed <= last; seed++ {
		s := newSim(t, seed)
		s.setCatalog()
		for _, name := range []string{"w1", "w2", "w3", "w4"} {
			s.addWorker(name, 6).guardsCapacity = name == "w4"
		}
		s.run(time.Second)
		s.faults = faults{lostOrder: 0.05, lostAnswer: 0.05, late: 0.05, slow: 0.1, slowStop: 0.5, shedding: 0.1, noRoom: 0.1, lostReport: 0.2, lateReport: 0.2}
		const jobs, times = 4, 20
		for id := workflow.JobID(1); id <= jobs; id++ {
			spec := &workflow.JobSpec{Steps: []workflow.Step{step(2), step(1, 0)}}
			spec.Schedule = workflow.Schedule{Times: times, FirstMs: s.wall() + int64(s.rng.IntN(2000)), EveryMs: int64(100 + s.rng.IntN(500))}
			s.submitSpec(id, spec)
		}
		s.run(100 * time.Millisecond)
		for turn := range 12 {
			s.injectFault(turn)
			s.run(time.Duration(200+s.rng.IntN(800)) * time.Millisecond)
		}
		s.faults = faults{}
		assert.True(t, s.runUntil(90*time.Second, func() bool { return s.allEnded(jobs) }), "seed %d", seed)
		s.run(latestArrival)
		assert.Len(t, s.done, jobs*times*3, "seed %d: tasks that were done", seed)
		assert.Zero(t, s.committed.HeldOccurrences(), "seed %d", seed)
		assert.Empty(t, s.violations, "seed %d", seed)
	}
}
