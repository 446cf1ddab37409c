package dispatch

import (
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

// A task that may have caused the crash of a worker is tested before it runs among others
// again: on a worker where all other attempts have run for a while, and which gets no new
// ones until the task has proved sound. If that worker crashes, the task is the cause. If
// many tasks wait, they are tested in groups, and alone after a further crash. Tasks of
// gangs start together and are not tested.

const (
	// settledAge is for how long the other attempts on a worker must have run when a test
	// begins, so that none of them is taken for the cause of a crash.
	settledAge = 2 * youngAge
	// maxSettling is how long a worker is kept for a test that can't begin.
	maxSettling = 3 * time.Second
	// youngTest is how long a test takes if the task was young when its worker crashed.
	// Others are tested until they are older than then by testMargin, which includes the
	// wait of a poll, by which ages are measured.
	youngTest  = time.Second
	testMargin = 2 * time.Second
	maxTest    = 8 * time.Second
	// workersPerTest is the number of workers of a service for each test at the same time.
	workersPerTest = 4
	// maxTestGroup bounds the tasks in a test.
	maxTestGroup = 16
	// repeatedBlame is the number of crashes that a task may have caused, and repeatedCrashes
	// that of all crashes under it, from which on it is tested although it was not young at
	// the latest one. After repeatedBlame it is tested alone.
	repeatedBlame   = 2
	repeatedCrashes = 3
)

// crashTest is a test of one task or, if many wait for one, of several on a worker.
type crashTest struct {
	tasks []testedTask
	since Instant
}

// testedTask is a task in a test.
type testedTask struct {
	ref workflow.TaskRef
	// started is set once the task has been placed.
	started bool
}

// find returns the index of a task in the test, -1 if it is not in it or there is no test.
func (t *crashTest) find(ref workflow.TaskRef) int {
	if t == nil {
		return -1
	}
	return slices.IndexFunc(t.tasks, func(other testedTask) bool { return other.ref == ref })
}

// needsTest reports whether a task that waits must be tested.
func needsTest(s *workflow.Suspect) bool {
	if s == nil {
		return false
	}
	young := s.Blamed > 0 && s.AgeMs >= 0 && s.AgeMs <= youngAge.Milliseconds()
	return young || s.Blamed >= repeatedBlame || s.Crashes >= repeatedCrashes
}

// testDuration returns for how long the task must run to prove sound.
func testDuration(s *workflow.Suspect) time.Duration {
	age := time.Duration(s.AgeMs) * time.Millisecond
	if s.AgeMs >= 0 && age <= youngAge {
		return youngTest
	}
	return min(age+testMargin, maxTest)
}

// splitSuspects returns the tasks that need no test, and a step of its own for each of the
// others.
func splitSuspects(s *readyStep) (untested []uint32, suspects []*readyStep) {
	if s.step.Gang || len(s.job.Suspects) == 0 {
		return s.pending, nil
	}
	for _, index := range s.pending {
		if !needsTest(s.job.Suspect(s.task(index))) {
			untested = append(untested, index)
			continue
		}
		suspect := *s
		suspect.pending = []uint32{index}
		suspects = append(suspects, &suspect)
	}
	return untested, suspects
}

// waitsForTest reports whether a task may be tested now.
func (e *Engine) waitsForTest(s *readyStep) bool {
	return len(s.pending) > 0 && s.job.Active() && s.job.Spec.DueMs(s.ref.Occurrence) <= e.wallMs && !e.heldAnywhere(s.firstPending())
}

// testRoom is the room for tests in the pool of workers of a service.
type testRoom struct {
	// free is the number of further workers that may be kept for tests.
	free int
	// group is the number of tasks in a test of those with one crash: all that wait are
	// tested at about the same time, as after the failure of a rack.
	group int
}

func (e *Engine) testRooms(p *candidateSet) map[string]*testRoom {
	waiting := make(map[string]int)
	for _, steps := range e.ready.suspects {
		for _, s := range steps {
			if e.waitsForTest(s) {
				waiting[s.job.Service]++
			}
		}
	}
	rooms := make(map[string]*testRoom)
	for service, n := range waiting {
		most := max(len(p.byService[service])/workersPerTest, 1)
		rooms[service] = &testRoom{free: most, group: min((n+most-1)/most, maxTestGroup)}
	}
	for _, v := range e.sortedViews {
		if room := rooms[v.worker.Service]; room != nil && v.test != nil {
			room.free--
		}
	}
	return rooms
}

// placeSuspects continues the tests of the tasks that wait for one, and begins others.
func (e *Engine) placeSuspects(p *candidateSet) {
	if len(e.ready.suspects) == 0 {
		return
	}
	rooms := e.testRooms(p)
	for _, id := range slices.Sorted(maps.Keys(e.ready.suspects)) {
		for _, s := range e.ready.suspects[id] {
			if !e.waitsForTest(s) {
				continue
			}
			c := e.testCandidate(p, s, rooms[s.job.Service])
			if c == nil {
				e.prepareQuestion(p, s)
				continue
			}
			e.placeSuspect(c, s)
		}
	}
}

// testCandidate returns the worker for the test of a task: the one that is kept for it, one
// with a test that it may join, or another if there is room for a further test. It returns
// nil if there is none.
func (e *Engine) testCandidate(p *candidateSet, s *readyStep, room *testRoom) *candidate {
	ref := s.firstPending()
	var best *candidate
	places := e.placesFor(s.step, ref)
	for _, c := range p.byService[s.job.Service] {
		if !places.allows(c.view.worker) {
			continue
		}
		switch t := c.view.test; {
		case t.find(ref) >= 0:
			return c
		case t != nil && !e.testedAlone(ref) && e.joinable(t, room.group):
			t.tasks = append(t.tasks, testedTask{ref: ref})
			if e.admits(c, s) {
				return c
			}
			t.tasks = t.tasks[:len(t.tasks)-1]
		case t == nil && room.free > 0 && e.admits(c, s) && (best == nil || e.betterForTest(c.view, best.view)):
			best = c // The fewest attempts are lost there.
		}
	}
	if best == nil {
		return nil
	}
	room.free--
	best.view.test = &crashTest{tasks: []testedTask{{ref: ref}}, since: e.now}
	e.log.Info().Stringer("task", ref).Str("worker", best.view.worker.Life.Name).Int("attempts", len(best.view.attemptList)).Int("group", room.group).Uint64("term", e.term).Msg("test of a task begins")
	return best
}

// testedAlone reports whether a task has met so many crashes that it shares no test.
func (e *Engine) testedAlone(ref workflow.TaskRef) bool {
	job := e.state.Job(ref.Job)
	if job == nil {
		return false
	}
	suspect := job.Suspect(ref)
	return suspect != nil && suspect.Blamed >= repeatedBlame
}

// joinable reports whether a test takes a further task: none of its tasks is tested alone,
// and none has started yet.
func (e *Engine) joinable(t *crashTest, group int) bool {
	return len(t.tasks) < group && !slices.ContainsFunc(t.tasks, func(other testedTask) bool {
		return other.started || e.testedAlone(other.ref)
	})
}

// placeSuspect places a task on the worker that is kept for its test, once the other
// attempts there have run for long enough.
func (e *Engine) placeSuspect(c *candidate, s *readyStep) {
	v, ref := c.view, s.firstPending()
	settled := !slices.ContainsFunc(v.attemptList, func(a *attempt) bool {
		return v.test.find(a.ref) < 0 && (!a.running || e.since(a.runningSince) < settledAge)
	})
	if !settled && e.since(v.test.since) < maxSettling {
		return
	}
	at := v.test.find(ref)
	if !e.admits(c, s) || !e.place(c, s, ref, s.job.LastAttempt(ref)+1) {
		v.test.tasks = slices.Delete(v.test.tasks, at, at+1)
		return
	}
	v.test.tasks[at].started = true
	s.pending = nil
	e.ready.markDirty(s.ref.Job)
}

// checkTest ends the tests on a worker of tasks that have proved sound or do not run there.
func (e *Engine) checkTest(v *workerView) {
	if v.test == nil {
		return
	}
	v.test.tasks = slices.DeleteFunc(v.test.tasks, func(t testedTask) bool { return e.testOver(v, t) })
	if len(v.test.tasks) == 0 {
		v.test = nil
	}
}

func (e *Engine) testOver(v *workerView, t testedTask) bool {
	a, job := v.attempts[t.ref], e.state.Job(t.ref.Job)
	switch {
	case job == nil || !job.Active():
		return true
	case !t.started:
		return e.since(v.test.since) > 2*maxSettling || job.Task(t.ref).State != workflow.TaskPending
	case a == nil:
		return true
	case a.running && v.answeredAt.Sub(a.runningSince) >= testDuration(job.Suspect(t.ref)):
		e.log.Info().Stringer("task", t.ref).Uint32("attempt", a.number).Str("worker", v.worker.Life.Name).Dur("ran", v.answeredAt.Sub(a.runningSince)).Uint64("term", e.term).Msg("task proved sound")
		return true
	}
	return false
}

// heldAnywhere reports whether a stray of the task runs, or may begin to.
func (e *Engine) heldAnywhere(ref workflow.TaskRef) bool {
	if step := e.step(ref); step != nil && e.placesFor(step, ref).none {
		return true
	}
	return slices.ContainsFunc(e.strays, func(s stray) bool { return s.ref == ref })
}
