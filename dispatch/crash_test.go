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

// deadlySim returns a simulation with workers that restart, and a stream of short jobs.
// The first task of each job in deadly crashes its workers after delay.
func deadlySim(t *testing.T, seed uint64, workers, jobs int, delay time.Duration, deadly ...workflow.JobID) *sim {
	s := newSim(t, seed)
	s.setCatalog()
	for i := range workers {
		s.addWorker(fmt.Sprintf("w%d", i+1), 16)
	}
	s.run(time.Second)
	for _, id := range deadly {
		s.crashes.deadly[workflow.TaskRef{Job: id}] = delay
	}
	for id := workflow.JobID(1); id <= workflow.JobID(jobs); id++ {
		first := step(6)
		if _, isDeadly := s.crashes.deadly[workflow.TaskRef{Job: id}]; isDeadly {
			first.EstimatedMs += max(2*delay.Milliseconds(), 0) // So that the crash comes before the end.
		}
		s.submit(id, first, step(4, 0))
		s.run(time.Duration(s.rng.IntN(100)) * time.Millisecond)
	}
	return s
}

// Guards against a task that crashes worker after worker: its job must fail after few
// crashes, and the jobs beside it must complete.
func TestADeadlyTaskIsGivenUp(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{unconfirmed, 0, 10 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second} {
		for seed := uint64(1); seed <= 5; seed++ {
			s := deadlySim(t, seed, 12, 40, delay, 3, 11, 12, 30)
			require.True(t, s.runUntil(90*time.Second, func() bool { return s.allEnded(40) }), "seed %d, delay %v", seed, delay)
			for ref := range s.crashes.deadly {
				assert.Equal(t, workflow.JobFailed, s.state(ref.Job), "seed %d, delay %v: %d crashes", seed, delay, s.crashes.under[ref])
			}
			s.checkJobsWithoutDeadlyTasks()
			assert.Empty(t, s.violations, "seed %d, delay %v", seed, delay)
		}
	}
}

// As TestADeadlyTaskIsGivenUp, for tasks of a gang, tasks that last, and tasks of a later
// step that resume from checkpoints.
func TestDeadlyTasksOfOtherKindsAreGivenUp(t *testing.T) {
	gang, lasting, resumable := step(4), step(3), step(2, 0)
	gang.Gang, gang.EstimatedMs = true, 500
	lasting.Lasting = true
	resumable.Resumable = true
	for name, steps := range map[string][]workflow.Step{"gang": {gang}, "lasting": {lasting}, "later step": {step(2), resumable}} {
		t.Run(name, func(t *testing.T) {
			s := deadlySim(t, 1, 8, 0, 0)
			last := uint32(len(steps) - 1)
			s.crashes.deadly[workflow.TaskRef{Job: 1, Step: last, Index: 1}] = 10 * time.Millisecond
			s.submit(1, steps...)
			for id := workflow.JobID(2); id <= 30; id++ {
				s.submit(id, step(6))
			}
			require.True(t, s.runUntil(90*time.Second, func() bool { return s.allEnded(30) }))
			assert.Equal(t, workflow.JobFailed, s.state(1))
			s.checkJobsWithoutDeadlyTasks()
			assert.Empty(t, s.violations)
		})
	}
}

// Guards against a count of crashes that a change of leader, or cut-off and leaving
// workers, falsify: with them, deadly tasks are still given up, and no other job fails.
func TestDeadlyTasksBesideOtherFaults(t *testing.T) {
	t.Parallel()
	first, last := seeds()
	for seed := first; seed <= last; seed++ {
		const jobs = 40
		s := deadlySim(t, seed, 10, 0, 0)
		for id := workflow.JobID(1); id <= jobs; id++ {
			if s.rng.IntN(8) == 0 {
				s.crashes.deadly[workflow.TaskRef{Job: id, Index: uint32(s.rng.IntN(6))}] = time.Duration(s.rng.IntN(200))*time.Millisecond + unconfirmed
			}
			s.submit(id, step(6), step(4, 0))
			address := fmt.Sprintf("w%d:1", 1+s.rng.IntN(10))
			switch s.rng.IntN(8) {
			case 0:
				s.takeOver()
			case 1:
				s.partition(s.workers[address])
			case 2:
				s.workers[address].draining = true
				s.after(2*time.Second, s.workers[address].crashAndReturn)
			}
			s.run(time.Duration(s.rng.IntN(500)) * time.Millisecond)
		}
		assert.True(t, s.runUntil(120*time.Second, func() bool { return s.allEnded(jobs) }), "seed %d", seed)
		s.checkJobsWithoutDeadlyTasks()
		assert.Empty(t, s.violations, "seed %d", seed)
	}
}

// Guards against jobs that are given up for crashes which they did not cause: workers that
// fail one after the other, and many at once.
func TestCrashesOfTheHostsFailNoJob(t *testing.T) {
	t.Parallel()
	first, last := seeds()
	for seed := first; seed <= last; seed++ {
		const jobs = 30
		s := deadlySim(t, seed, 10, 0, 0)
		lasting := step(5)
		lasting.Lasting = true
		s.submit(100, lasting)
		for id := workflow.JobID(1); id <= jobs; id++ {
			long := step(4)
			long.EstimatedMs = 3000
			s.submit(id, long, step(2, 0))
			switch s.rng.IntN(6) {
			case 0:
				s.workers[fmt.Sprintf("w%d:1", 1+s.rng.IntN(10))].crashAndReturn()
			case 1:
				for i := range 10 {
					if s.rng.IntN(2) == 0 {
						s.workers[fmt.Sprintf("w%d:1", 1+i)].crashAndReturn()
					}
				}
			}
			s.run(time.Duration(s.rng.IntN(600)) * time.Millisecond)
		}
		assert.True(t, s.runUntil(120*time.Second, func() bool { return s.allEnded(jobs) }), "seed %d", seed)
		assert.Equal(t, workflow.JobRunning, s.state(100), "seed %d", seed)
		s.checkJobsWithoutDeadlyTasks()
		assert.Empty(t, s.violations, "seed %d", seed)
	}
}

// Guards against starts on a worker by the capacity that it joined with, after it has
// reported a smaller one, also by a delayed report or at the next leader; and against a
// worker that stays small when it has grown again.
func TestAWorkerGetsStartsByItsLatestCapacity(t *testing.T) {
	s := newSim(t, 1)
	s.setCatalog()
	w := s.addWorker("w1", 16)
	s.run(time.Second)
	before := w.announcement()
	long := step(40)
	long.EstimatedMs = 2000
	w.resize(4)
	s.run(2 * time.Second)
	s.engine.Announce(&before, func(*kind.Error) {}) // A delayed report.
	s.submit(1, long)
	s.run(shrinkNotice + time.Second)
	assert.Len(t, w.running, 4)
	s.takeOver()
	s.run(5 * time.Second)
	assert.LessOrEqual(t, len(w.running), 4)
	w.resize(8)
	s.run(5 * time.Second)
	assert.Len(t, w.running, 8)
	assert.Empty(t, s.violations)
}

// Guards against a delayed report that passes for a sign of the present capacity.
func TestADelayedReportDoesNotRenewTheCapacity(t *testing.T) {
	s := newSim(t, 1)
	s.setCatalog()
	w := s.addWorker("w1", 4)
	s.run(2 * time.Second)
	delayed := w.announcement()
	s.run(2 * time.Second)
	w.silent = true
	s.every(time.Second, func() { s.engine.Announce(&delayed, func(*kind.Error) {}) })
	s.run(shrinkNotice)
	s.submit(1, step(4))
	s.run(3 * time.Second)
	assert.Zero(t, s.starts)
	w.silent = false
	assert.True(t, s.runUntil(5*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	assert.Empty(t, s.violations)
}

// Guards against starts that were decided before a worker shrank and are sent, or sent
// again, afterwards.
func TestAStartIsNotRepeatedOnAShrunkWorker(t *testing.T) {
	s := newSim(t, 1)
	s.setCatalog()
	w := s.addWorker("w1", 8)
	s.run(time.Second)
	w.partitioned = true
	long := step(8)
	long.EstimatedMs = 20_000
	s.submit(1, long)
	w.resize(2)
	s.run(shrinkNotice + time.Second)
	w.partitioned = false
	s.run(3 * time.Second)
	assert.LessOrEqual(t, len(w.running), 2)
	assert.Empty(t, s.violations)
}

// Workers shrink and grow at random; none is given more than it has.
func TestCapacitiesThatChange(t *testing.T) {
	first, last := seeds()
	for seed := first; seed <= last; seed++ {
		const jobs = 25
		s := deadlySim(t, seed, 5, 0, 0)
		s.faults = faults{lostOrder: 0.05, lostAnswer: 0.05, lostReport: 0.1, lateReport: 0.2, slow: 0.1}
		for id := workflow.JobID(1); id <= jobs; id++ {
			s.submit(id, step(8), step(4, 0))
			w := s.workers[fmt.Sprintf("w%d:1", 1+s.rng.IntN(5))]
			if s.now.Sub(w.shrunkAt) > 2*shrinkNotice {
				w.resize(int64(2 + s.rng.IntN(14)))
			}
			if s.rng.IntN(10) == 0 {
				s.takeOver()
			}
			s.run(time.Duration(s.rng.IntN(600)) * time.Millisecond)
		}
		s.faults = faults{}
		assert.True(t, s.runUntil(120*time.Second, func() bool { return s.allEnded(jobs) }), "seed %d", seed)
		assert.Empty(t, s.violations, "seed %d", seed)
	}
}
