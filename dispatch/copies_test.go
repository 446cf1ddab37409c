package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/runtimes"
	"mangohill.example/mangohill/workflow"
)

// addLasting submits a job of lasting tasks, so that the budget of copies is not zero on a
// few workers.
func (s *sim) addLasting(id workflow.JobID, count uint32) {
	lasting := step(count)
	lasting.Lasting, lasting.Resources.MilliProcessors, lasting.Resources.MemoryMB = true, 10, 10
	s.submit(id, lasting)
}

// inTime returns the part of the jobs that completed within 1.5 times their usual run time
// and 275 ms, of those accepted between two times.
func (l *loadSim) inTime(fromMs, toMs int64) (part float64, jobs int) {
	good := 0
	for id := workflow.JobID(1); id <= l.next; id++ {
		job := l.committed.Job(id)
		if job == nil || job.AcceptedMs < fromMs || job.AcceptedMs >= toMs {
			continue
		}
		jobs++
		if job.State() == workflow.JobCompleted && float64(job.FinishedMs-job.AcceptedMs) <= 1.5*l.trueMs[id]+275 {
			good++
		}
	}
	return float64(good) / float64(max(jobs, 1)), jobs
}

// Guards against jobs that are late for a single run that takes seven times as long as the
// others: without copies that is a quarter of the jobs of ten tasks.
func TestCopiesOfStragglersKeepJobsInTime(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		var missed [2]float64
		for i, duplicable := range []bool{false, true} {
			l := newLoadSim(t, seed, 60)
			l.errorFactor, l.stragglers = 2.5, 0.03
			l.addLasting(1000, 200)
			mostCopies := 0.0
			l.every(tickInterval, func() {
				copies := 0
				for _, v := range l.engine.sortedViews {
					for _, a := range v.attemptList {
						if a.isCopy && !a.stopWanted {
							copies++
						}
					}
				}
				mostCopies = max(mostCopies, float64(copies)/float64(max(l.engine.runningAttempts(), 1)))
			})
			l.offerEach(80*time.Millisecond, func(s *workflow.Step) { s.Duplicable = duplicable })
			l.run(5 * time.Second) // Until the run times are learned.
			from := l.wall()
			l.run(20 * time.Second)
			part, jobs := l.inTime(from, l.wall()-5000)
			missed[i] = 1 - part
			c := l.engine.Counters()
			t.Logf("seed %d, duplicable %v: %.3f of %d jobs in time, %d copies of %d placements, %d won, %d probes, at most %.3f of the attempts", seed, duplicable, part, jobs, c.Copied, c.Placed, c.CopiesWon, c.Probes, mostCopies)
			assert.LessOrEqual(t, mostCopies, 1.0/maxCopyPart+0.01, "the budget")
			assert.Empty(t, l.violations)
		}
		assert.Less(t, missed[1], missed[0]/2, "seed %d: copies must keep most jobs in time", seed)
	}
}

// Guards against a task with copies that ends twice or not at all, runs a third time, or
// runs on after its end, whatever is lost, late or crashes, and against a task whose step
// is not duplicable that is copied.
func TestCopiesUnderFaults(t *testing.T) {
	t.Parallel()
	first, last := seeds()
	copied := 0
	for seed := first; seed <= last; seed++ {
		s, seen := newSim(t, seed), make(map[uint64]bool)
		s.setCatalog()
		for i, name := range []string{"w1", "w2", "w3", "w4"} {
			s.addWorkerOn(name, 16, []string{"r1", "r2"}[i%2]).guardsCapacity = name == "w4"
		}
		s.run(time.Second)
		s.addLasting(100, 120)
		s.every(tickInterval, func() {
			for id := workflow.JobID(1); id <= 20; id++ {
				if job := s.committed.Job(id); job != nil {
					for _, c := range job.Copies {
						seen[s.term<<40|uint64(id)<<20|uint64(c.Step)<<12|uint64(c.Index)<<4|uint64(c.Attempt)] = true
					}
				}
			}
		})
		s.runTime = func(run *simRun) time.Duration {
			ms := float64(run.step.EstimatedMs) * (0.8 + 0.4*s.rng.Float64())
			if s.rng.IntN(5) == 0 {
				ms *= stragglerFactor
			}
			return time.Duration(ms * float64(time.Millisecond))
		}
		s.faults = faults{
			lostOrder: 0.05, lostAnswer: 0.05, late: 0.05, slow: 0.1, slowStop: 0.5,
			failing: 0.02, shedding: 0.1, noRoom: 0.1, lostReport: 0.2, lateReport: 0.2,
		}
		for id := workflow.JobID(1); id <= 20; id++ {
			duplicable, plain := step(6), step(3, 0)
			duplicable.Duplicable = true
			saving := step(2, 0)
			saving.Duplicable, saving.Resumable, saving.EstimatedMs = true, true, 900
			s.submit(id, duplicable, plain, saving)
			s.injectFault(int(id))
			s.run(time.Duration(200+s.rng.IntN(1200)) * time.Millisecond)
		}
		s.faults = faults{}
		assert.True(t, s.runUntil(90*time.Second, func() bool { return s.allEnded(20) }), "seed %d", seed)
		s.run(latestArrival + maxRealTime(s.settings.MaxLease)) // Orders and leases that are still under way.
		for ref, runs := range s.runs {
			if len(runs) > 0 && ref.Job <= 20 {
				s.violate("task %s runs after its end", ref)
			}
		}
		for id := workflow.JobID(1); id <= 20; id++ {
			s.checkTasksEndedOnce(s.committed.Job(id))
		}
		assert.Empty(t, s.violations, "seed %d", seed)
		copied += len(seen)
	}
	assert.Greater(t, copied, 5*int(last-first+1), "the simulation must copy tasks")
}

// checkTasksEndedOnce compares the count of open tasks of a job that has ended with its
// tasks, and requires that nothing of it is recorded as running.
func (s *sim) checkTasksEndedOnce(job *workflow.Job) {
	open := uint32(0)
	for st := range job.Spec.Steps {
		for i, task := range job.Occurrences.Tasks(0, uint32(st)) {
			if task.State != workflow.TaskDone {
				open++
			}
			for _, w := range s.committed.Workers() {
				ref := workflow.TaskRef{Job: job.ID, Step: uint32(st), Index: uint32(i)}
				if _, held := w.Attempts[ref]; held {
					s.violate("task %s of an ended job is recorded on %s", ref, w.Life.Name)
				}
			}
		}
	}
	if open != job.OpenTasks {
		s.violate("job %s has %d open tasks, %d are counted", job.ID, open, job.OpenTasks)
	}
}

// learnStragglers feeds the engine with run times of 700 ms by estimates of 700 ms, of which
// one in 33 is a straggler's if there are any.
func (l *loadSim) learnStragglers(stragglers bool) {
	for i := range 200 {
		took := 700 * time.Millisecond
		if stragglers && i%33 == 0 {
			took *= stragglerFactor
		}
		key := runtimes.Key{Queue: "q", Image: "quick"}
		l.engine.ready.runTimes.Observe(key, 700*time.Millisecond, took, time.Duration(l.now))
		l.engine.copies.countRun(key, took > time.Second)
	}
}

// submitWithStraggler submits a job of ten tasks of which the first run of one takes seven
// times as long. Each task has a worker for itself. Further steps may follow.
func (l *loadSim) submitWithStraggler(further ...workflow.Step) {
	l.runTime = func(run *simRun) time.Duration {
		if run.ref.Step == 0 && run.ref.Index == 3 && run.attempt == 1 {
			return 4900 * time.Millisecond
		}
		if run.ref.Step > 0 {
			return 10 * time.Second
		}
		return 700 * time.Millisecond
	}
	l.next++
	l.trueMs[l.next] = 700
	s := step(10)
	s.Duplicable, s.MaxPerWorker, s.EstimatedMs, s.Image = true, 1, 700, "quick"
	l.submit(l.next, append([]workflow.Step{s}, further...)...)
}

// Guards against a straggler that is known only with the answer to the poll in flight, up to
// a second after its start, and against polls for the progress of tasks that have no
// stragglers.
func TestProgressIsAskedForWhereThereAreStragglers(t *testing.T) {
	for _, stragglers := range []bool{true, false} {
		for phase := time.Duration(0); phase < pollWait; phase += 100 * time.Millisecond {
			l := newLoadSim(t, 1, 12)
			l.addLasting(1000, 60)
			l.learnStragglers(stragglers)
			l.run(phase)
			l.submitWithStraggler()
			l.run(5 * time.Second)
			c := l.engine.Counters()
			if !stragglers {
				assert.Zero(t, c.Probes)
				continue
			}
			job := l.committed.Job(l.next)
			assert.Equal(t, workflow.JobCompleted, job.State())
			assert.LessOrEqual(t, job.FinishedMs-job.AcceptedMs, int64(1325), "1.5 times 700 ms and 275 ms")
			assert.LessOrEqual(t, c.Probes, uint64(10), "one for each attempt at most")
			assert.EqualValues(t, 1, c.Copied)
			assert.EqualValues(t, 1, c.CopiesWon)
			assert.Empty(t, l.violations)
		}
	}
}

// Guards against stragglers that are forgotten since their runs are stopped: then progress
// would not be asked for any more until some have made jobs late again.
func TestStragglersAreKnownWhileTheirCopiesAreDoneFirst(t *testing.T) {
	l := newLoadSim(t, 2, 60)
	l.stragglers = 0.03
	l.addLasting(1000, 200)
	l.offerEach(80*time.Millisecond, func(s *workflow.Step) { s.Duplicable = true })
	l.run(5 * time.Second)
	key := runtimes.Key{Queue: "q", Image: "quick"}
	forgotten := 0
	l.every(tickInterval, func() {
		if !l.engine.copies.hasStragglers(key) {
			forgotten++
		}
	})
	l.run(20 * time.Second)
	assert.Zero(t, forgotten)
	assert.Empty(t, l.engine.paces[workflow.StepRef{Job: 1}], "nothing is kept of a job that has ended")
	assert.Less(t, len(l.engine.paces), 30)
}

// Guards against copies that take the capacity of tasks that wait, or more than their part
// of the running attempts.
func TestCopiesWaitForOthers(t *testing.T) {
	for _, c := range []struct {
		name             string
		lasting, waiting uint32
		copies           uint64
	}{{"room", 60, 0, 1}, {"a task waits", 60, 1, 0}, {"few attempts run", 5, 0, 0}} {
		l := newLoadSim(t, 1, 12)
		l.addLasting(1000, c.lasting)
		l.learnStragglers(true)
		if c.waiting > 0 {
			wide := step(c.waiting)
			wide.Resources.MilliProcessors = 15_900
			wide.MaxPerWorker, wide.Label = 1, "r9" // No worker has the label.
			l.submit(1001, wide)
		}
		l.submitWithStraggler()
		l.run(3 * time.Second)
		assert.Equal(t, c.copies, l.engine.Counters().Copied, c.name)
		assert.Empty(t, l.violations)
	}
}

// Guards against a copy that is not stopped once the first attempt is done, and against a
// new leader that does not know which of two attempts of an ended task still runs.
func TestTheOtherAttemptIsStopped(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		l := newLoadSim(t, 1, 12)
		l.addLasting(1000, 60)
		l.learnStragglers(true)
		l.submitWithStraggler(step(1, 0)) // The job goes on after the task.
		ref := workflow.TaskRef{Job: l.next, Index: 3}
		require.True(t, l.runUntil(2*time.Second, func() bool { return len(l.runs[ref]) == 2 }))
		if leaderChanges {
			l.takeOver()
			assert.Len(t, l.engine.otherAttempts(ref, 1), 1, "the copy is recorded")
		}
		require.True(t, l.runUntil(2*time.Second, func() bool { return l.committed.Job(l.next).Task(ref).State == workflow.TaskDone }))
		if leaderChanges {
			l.takeOver()
		}
		l.run(maxStop + time.Second)
		assert.Empty(t, l.runs[ref], "leader changes: %v", leaderChanges)
		assert.Empty(t, l.violations)
	}
}

// Guards against an attempt that runs on since the leader that recorded the end of the other
// one was replaced before it sent the stop.
func TestANewLeaderStopsTheOtherAttempt(t *testing.T) {
	l := newLoadSim(t, 1, 12)
	l.addLasting(1000, 60)
	l.learnStragglers(true)
	l.submitWithStraggler(step(1, 0))
	ref := workflow.TaskRef{Job: l.next, Index: 3}
	require.True(t, l.runUntil(2*time.Second, func() bool { return len(l.runs[ref]) == 2 }))
	l.run(100 * time.Millisecond)
	c := l.committed.Job(l.next).CopyOf(ref)
	w := l.committed.Worker(c.Worker)
	require.NoError(t, l.committed.Apply(&workflow.Op{End: &workflow.End{Worker: c.Worker, Number: w.Acked + 1, Task: ref, Attempt: c.Attempt, How: workflow.EndDone}}))
	l.takeOver()
	l.run(2 * time.Second)
	for _, run := range l.runs[ref] {
		assert.NotEqual(t, uint32(1), run.attempt, "the first attempt must be stopped")
	}
}

// Guards against a straggler that is not copied under a new leader, which has learned
// nothing and did not see the starts. It assumes three times the estimate for a fresh run;
// after a later change less than 1.5 times that is left when the progress rate is known.
func TestANewLeaderCopiesAStraggler(t *testing.T) {
	for after := 100 * time.Millisecond; after <= 400*time.Millisecond; after += 100 * time.Millisecond {
		l := newLoadSim(t, 1, 12)
		l.addLasting(1000, 60)
		l.submitWithStraggler()
		l.run(after)
		l.takeOver()
		l.run(4 * time.Second)
		assert.Equal(t, workflow.JobCompleted, l.state(l.next), "after %v", after)
		assert.EqualValues(t, 1, l.engine.Counters().Copied, "after %v", after)
		assert.Empty(t, l.violations)
	}
}
