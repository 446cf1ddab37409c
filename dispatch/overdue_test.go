package dispatch

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// recordLog has the present leader log into a buffer.
func (s *sim) recordLog() *bytes.Buffer {
	lines := new(bytes.Buffer)
	s.engine.log = zerolog.New(lines)
	return lines
}

// logged returns the lines of an event about a task.
func logged(t *testing.T, lines *bytes.Buffer, message string, ref workflow.TaskRef) []map[string]any {
	var events []map[string]any
	for line := range bytes.Lines(lines.Bytes()) {
		var event map[string]any
		require.NoError(t, json.Unmarshal(line, &event))
		if event["message"] == message && event["task"] == ref.String() {
			events = append(events, event)
		}
	}
	return events
}

func lastingStep(count uint32, milliProcessors int64) workflow.Step {
	return workflow.Step{Count: count, Lasting: true, Resources: workflow.Resources{MilliProcessors: milliProcessors, MemoryMB: 100}}
}

// Guards against waits beyond the bound that begin and end between two readings of the metrics.
func TestOverdueWaitsThatEndedAreCounted(t *testing.T) {
	s := newSim(t, 62)
	lines := s.recordLog()
	s.setCatalog()
	s.addWorker("a", 4)
	s.run(time.Second)
	s.submit(1, lastingStep(4, 1000))
	s.run(time.Second)
	assert.Less(t, s.engine.Counters().LongestWaitsMs.NeverRan, int64(500))
	s.submit(2, lastingStep(2, 1000))
	s.run(firstRunBound + time.Second)
	s.addWorker("b", 4)
	s.run(2 * time.Second)
	c := s.engine.Counters()
	assert.Zero(t, c.Overdue)
	assert.Equal(t, OverdueTasks{NeverRan: 2, NoCapacity: 2}, c.OverdueTotal, "each is counted once")
	assert.InDelta(t, (firstRunBound + 1200*time.Millisecond).Milliseconds(), c.LongestWaitsMs.NeverRan, 300)
	assert.Zero(t, c.LongestWaitsMs.Lapsed)
	again := logged(t, lines, "lasting task runs again", workflow.TaskRef{Job: 2, Index: 1})
	require.Len(t, again, 1)
	assert.Equal(t, "never_ran", again[0]["cause"])
	assert.InDelta(t, c.LongestWaitsMs.NeverRan, again[0]["waited"], 100)
	assert.Empty(t, logged(t, lines, "lasting task runs again", workflow.TaskRef{Job: 1}))

	s.workers["a:1"].crash()
	s.run(s.settings.MaxLease + 2*time.Second)
	s.addWorker("c", 4)
	s.run(2 * time.Second)
	c = s.engine.Counters()
	assert.Equal(t, OverdueTasks{NeverRan: 2, NoCapacity: 2}, c.OverdueTotal, "they came back in time")
	assert.Positive(t, c.LongestWaitsMs.Lapsed)
	assert.Less(t, c.LongestWaitsMs.Lapsed, returnBound.Milliseconds())
	assert.Empty(t, s.violations)
}

// Guards against a log that names an overdue task and free workers, and not what keeps the one from
// the others. The members of gangs are not stopped for other tasks.
func TestTheLogTellsWhatKeepsCapacityFromAnOverdueTask(t *testing.T) {
	s := newSim(t, 63)
	lines := s.recordLog()
	s.setCatalog()
	s.addWorker("a", 4).hangs = true
	s.run(time.Second)
	gang := step(2)
	gang.Gang = true
	s.submit(1, gang)
	s.run(time.Second)
	narrow := lastingStep(2, 500)
	narrow.MaxPerWorker = 1
	s.submit(2, narrow)
	s.submit(3, lastingStep(1, 3000))
	s.run(firstRunBound + time.Second)

	wide := logged(t, lines, "lasting task overdue", workflow.TaskRef{Job: 3})
	require.Len(t, wide, 1)
	assert.Equal(t, true, wide[0]["reserved"])
	assert.EqualValues(t, 0, wide[0]["workers_free"])
	assert.EqualValues(t, 1, wide[0]["workers_fitting"])
	assert.Greater(t, wide[0]["reservations"], 1.0)
	assert.Positive(t, wide[0]["reservations_lost"])
	second := logged(t, lines, "lasting task overdue", workflow.TaskRef{Job: 2, Index: 1})
	require.Len(t, second, 1)
	assert.Equal(t, false, second[0]["reserved"])
	assert.EqualValues(t, 1, second[0]["workers_free"])
	assert.EqualValues(t, 1, second[0]["workers_full"])
	assert.EqualValues(t, 0, second[0]["workers_open"])
	for _, state := range []string{"placed", "held", "suspect", "yields"} {
		assert.Equal(t, false, second[0][state], state)
	}
}

// Guards against free capacity that is counted under a wrong reason.
func TestWorkersWithFreeCapacityAreCountedByWhatClosesThem(t *testing.T) {
	s := newSim(t, 64)
	s.setCatalog()
	for _, name := range []string{"silent", "test", "own_test", "draining", "kept", "own", "full", "open"} {
		s.addWorker(name, 4)
	}
	s.addWorker("narrow", 1)
	s.run(time.Second)
	s.submit(1, lastingStep(1, 4000))
	s.submit(2, lastingStep(9, 100))
	s.run(time.Second)
	e := s.engine
	view := func(name string) *workerView { return e.views[e.state.WorkerNamed(name).ID] }
	for _, v := range e.sortedViews {
		for _, a := range v.attemptList {
			v.remove(a)
		}
		v.worker.Reserved = workflow.Resources{}
	}
	ref := workflow.TaskRef{Job: 1}
	need := lastingStep(1, 4000)
	need.MaxPerWorker = 1
	view("silent").silentSince = s.now
	view("test").test = &crashTest{tasks: []testedTask{{ref: workflow.TaskRef{Job: 2}}}}
	view("own_test").test = &crashTest{tasks: []testedTask{{ref: ref}}}
	view("draining").worker.Draining = true
	e.reservations.add(&lastingReservation{ref: workflow.TaskRef{Job: 2}, need: workflow.Resources{MilliProcessors: 1}, worker: view("kept").worker.ID})
	e.reservations.add(&lastingReservation{ref: ref, need: need.Resources, worker: view("own").worker.ID})
	view("full").add(&attempt{ref: workflow.TaskRef{Job: 1, Index: 1}})
	assert.Equal(t, workersForTask{free: 5, fitting: 4, kept: 1, full: 1, silent: 1, open: 2, inTest: 1, closed: 1}, e.countWorkers(e.roomBesideLastingTasks()["pool"], ref, &need))
}

// Guards against a lasting task that waits for a test, and that a new leader does not count.
func TestANewLeaderCountsLastingTasksThatWaitForATest(t *testing.T) {
	s := newSim(t, 65)
	s.setCatalog()
	a := s.addWorker("a", 4)
	s.run(time.Second)
	s.submit(1, lastingStep(1, 4000))
	s.addWorker("b", 1)
	a.crash()
	a = s.startUnreported("a", a)
	a.capacity.MilliProcessors = 1000
	a.report()
	ref := workflow.TaskRef{Job: 1}
	suspected := func() bool {
		job := s.committed.Job(1)
		return job.Task(ref).State == workflow.TaskPending && needsTest(job.Suspect(ref))
	}
	require.True(t, s.runUntil(s.settings.MaxLease+2*time.Second, suspected))
	s.run(time.Second)
	assert.Equal(t, 1, s.engine.Counters().LastingWaiting)
	s.takeOver()
	lines := s.recordLog()
	s.run(returnBound + time.Second)
	require.True(t, suspected())
	assert.Equal(t, 1, s.engine.Counters().LastingWaiting)
	assert.Equal(t, OverdueTasks{EarlierTerm: 1, NoCapacity: 1}, s.engine.Counters().OverdueTotal)
	overdue := logged(t, lines, "lasting task overdue", ref)
	require.Len(t, overdue, 1)
	assert.Equal(t, true, overdue[0]["suspect"])
}

// Guards against a lasting task that open starts keep from workers, and that a new leader does not
// count.
func TestANewLeaderCountsLastingTasksThatOpenStartsHold(t *testing.T) {
	lasting := step(1)
	lasting.Lasting = true
	l := newLateStarts(t, lasting)
	l.submit(2, lastingStep(1, 2000)) // It takes all of w2.
	l.w1.crash()
	for id := workflow.JobID(3); id <= 4; id++ {
		l.run(300 * time.Millisecond)
		l.submit(id, lastingStep(1, 500))
	}
	ref := workflow.TaskRef{Job: 4} // No suspect: w1 had left the start of another unanswered.
	l.w1 = l.startUnreported("w1", l.w1)
	l.w1.capacity.MilliProcessors = 400
	l.w1.report()
	held := func() bool {
		job := l.committed.Job(4)
		return l.engine.heldAnywhere(ref) && job.Task(ref).State == workflow.TaskPending && !needsTest(job.Suspect(ref))
	}
	require.True(t, l.runUntil(time.Second, held))
	l.takeOver()
	l.run(2 * tickInterval)
	require.True(t, held())
	assert.NotNil(t, l.engine.lastingWaits[ref])
}

// Guards against a lasting task that does not run and is not counted, since its worker has restarted
// and is cut off before it answers.
func TestLastingTasksOfARestartedWorkerAreCounted(t *testing.T) {
	for name, newLeader := range map[string]bool{"one leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 66)
			s.settings.Lease = s.settings.MaxLease // Else its end comes before the task is overdue.
			s.takeOver()
			s.setCatalog()
			a := s.addWorker("a", 4)
			s.run(time.Second)
			s.submit(1, lastingStep(1, 1000))
			s.run(2 * time.Second)
			a.crash()
			b := s.startUnreported("a", a)
			b.report()
			b.partitioned = true
			cause := "lapsed"
			if newLeader {
				s.run(time.Second)
				s.takeOver()
				cause = "earlier_term"
			}
			lines := s.recordLog()
			s.run(time.Second)
			assert.Equal(t, 1, s.engine.Counters().LastingWaiting)
			s.run(returnBound)
			require.NotNil(t, s.engine.placedAttempt(workflow.TaskRef{Job: 1}), "its lease is not over")
			overdue := logged(t, lines, "lasting task overdue", workflow.TaskRef{Job: 1})
			require.Len(t, overdue, 1)
			assert.Equal(t, cause, overdue[0]["cause"])
			assert.Equal(t, "a", overdue[0]["worker"])
			for _, state := range []string{"placed", "carried", "silent"} {
				assert.Equal(t, true, overdue[0][state], state)
			}
			b.partitioned = false
			s.run(20 * time.Second)
			assert.Zero(t, s.engine.Counters().LastingWaiting)
			again := logged(t, lines, "lasting task runs again", workflow.TaskRef{Job: 1})
			require.Len(t, again, 1)
			assert.Greater(t, again[0]["away"], float64(returnBound.Milliseconds()))
			assert.Empty(t, s.violations)
		})
	}
}
