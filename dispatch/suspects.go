package dispatch

import (
	"cmp"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

// A task that may have caused the crash of a worker is tested before it runs among others
// again: on an idle worker, or one where all other attempts have run for a while, and which
// gets no new ones until the task has proved sound. If that worker crashes, the task is the
// cause. The task that has waited longest is tested first. If many wait, they are tested in
// groups, and alone after a further crash. Tasks of gangs start together and are not tested.

const (
	// settledAge is for how long the other attempts on a worker must have run when a test
	// begins, so that none of them is taken for the cause of a crash.
	settledAge = 2 * youngAge
	// maxSettling is how long a worker is kept for a test that can't begin.
	maxSettling = 3 * time.Second
	// freshAnswer is how long ago a worker may have answered when the start of a test is
	// sent. It is asked for an answer otherwise, so that a worker that has crashed already
	// is not taken for one that the task crashed.
	freshAnswer = 200 * time.Millisecond
	// youngTest is how long a test takes if the task was young when its worker crashed.
	// Others are tested until they are older than then by testMargin, which includes the
	// wait of a poll, by which ages are measured.
	youngTest  = time.Second
	testMargin = 2 * time.Second
	maxTest    = 8 * time.Second
	// sharedTestFraction is the fraction of a service's workers that may be kept for tests
	// beside other attempts, and openFraction that of the workers that stay open for others
	// whatever waits for a test; both are one in so many.
	sharedTestFraction = 4
	openFraction       = 4
	// maxTestWait is how long a task waits for a test by these fractions. After that it may
	// take any worker but those that stay open.
	maxTestWait = 2 * time.Second
	// maxTestGroup bounds the tasks in a test, maxOlderGroup those with a lasting one that may
	// have caused repeatedBlame crashes, but was not young at the latest: as lasting tasks run
	// for long, such crashes meet many of them at a time.
	maxTestGroup  = 16
	maxOlderGroup = 4
	// repeatedBlame is the number of crashes that a task may have caused, and repeatedCrashes
	// that of all crashes under it, from which on it is tested although it was not young at
	// the latest one. After repeatedBlame, or more than repeatedCrashes, it is tested alone.
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

// leaveTest removes a task from the test on a worker, if it is in one.
func (v *workerView) leaveTest(ref workflow.TaskRef) {
	at := v.test.find(ref)
	if at < 0 {
		return
	}
	if v.test.tasks = slices.Delete(v.test.tasks, at, at+1); len(v.test.tasks) == 0 {
		v.test = nil
	}
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
	return wasYoung(s) || s.Blamed >= repeatedBlame || s.Crashes >= repeatedCrashes
}

// wasYoung reports whether the task had just begun at the latest crash that it may have caused.
func wasYoung(s *workflow.Suspect) bool {
	return s.Blamed > 0 && s.AgeMs >= 0 && s.AgeMs <= youngAge.Milliseconds()
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
	// all is the number of further workers that may be kept for tests, shared that of those
	// which have other attempts.
	all, shared int
	// group is the number of tasks in a test of those with one crash: all that wait are
	// tested at about the same time, as after the failure of a rack.
	group int
	// waiting is the number of tasks that wait.
	waiting int
}

func (e *Engine) testRooms(p *candidateSet, suspects []*readyStep) map[string]*testRoom {
	waiting := make(map[string]int)
	for _, s := range suspects {
		if testOf(p, s) == nil {
			waiting[s.job.Service]++
		}
	}
	rooms := make(map[string]*testRoom)
	for service, n := range waiting {
		workers, idle := p.byService[service], 0
		room := &testRoom{waiting: n, all: max(len(workers)-ceilDiv(len(workers), openFraction), 1), shared: max(len(workers)/sharedTestFraction, 1)}
		for _, c := range workers {
			switch {
			case c.view.test == nil && c.view.idle():
				idle++
			case c.view.test != nil && !c.view.testsOnly():
				room.shared--
			}
		}
		for _, v := range e.sortedViews {
			if v.test != nil && v.worker.Service == service {
				room.all--
			}
		}
		room.group = min(ceilDiv(n, max(min(room.all, idle+room.shared), 1)), maxTestGroup)
		rooms[service] = room
	}
	return rooms
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// idle reports whether no attempt is recorded on the worker.
func (v *workerView) idle() bool { return len(v.attemptList) == 0 }

// testsOnly reports whether all attempts on the worker are of tasks that are tested there.
func (v *workerView) testsOnly() bool {
	return !slices.ContainsFunc(v.attemptList, func(a *attempt) bool { return v.test.find(a.ref) < 0 })
}

// takes reports whether a test may begin on a worker. A task that is overdue may take one
// beside other attempts although enough of these are kept.
func (r *testRoom) takes(v *workerView, overdue bool) bool {
	return r.all > 0 && (v.idle() || r.shared > 0 || overdue)
}

// waitingSuspects returns the tasks that may be tested now, those that have waited longest
// first.
func (e *Engine) waitingSuspects() []*readyStep {
	var suspects []*readyStep
	for _, steps := range e.ready.suspects {
		for _, s := range steps {
			if e.waitsForTest(s) {
				suspects = append(suspects, s)
			}
		}
	}
	slices.SortFunc(suspects, func(a, b *readyStep) int {
		if order := cmp.Compare(a.suspect().CrashedMs, b.suspect().CrashedMs); order != 0 {
			return order
		}
		return compareTaskRefs(a.firstPending(), b.firstPending())
	})
	return suspects
}

// suspect returns what is known of crashes under the next task of the step.
func (s *readyStep) suspect() *workflow.Suspect { return s.job.Suspect(s.firstPending()) }

// testWait returns for how long a task has waited for its test: since the latest crash under it.
func (e *Engine) testWait(s *readyStep) time.Duration {
	return time.Duration(e.wallMs-s.suspect().CrashedMs) * time.Millisecond
}

// placeSuspects continues the tests of the tasks that wait for one, and begins others.
func (e *Engine) placeSuspects(p *candidateSet) {
	suspects := e.waitingSuspects()
	e.suspectsWaiting, e.longestTestWait = len(suspects), 0
	if len(suspects) == 0 {
		return
	}
	e.longestTestWait = e.testWait(suspects[0])
	rooms := e.testRooms(p, suspects)
	workers := make([]*candidate, len(suspects))
	for i, s := range suspects {
		if workers[i] = testOf(p, s); workers[i] == nil {
			workers[i] = e.testCandidate(p, s, rooms[s.job.Service])
		}
		if workers[i] == nil {
			e.prepareQuestion(p, s)
		}
	}
	for i, s := range suspects { // Once the groups are complete.
		if workers[i] != nil {
			e.placeSuspect(workers[i], s)
		}
	}
}

// testOf returns the worker that is kept for the test of the next task of a step, nil if there
// is none.
func testOf(p *candidateSet, s *readyStep) *candidate {
	for _, c := range p.byService[s.job.Service] {
		if c.view.test.find(s.firstPending()) >= 0 {
			return c
		}
	}
	return nil
}

// testCandidate returns the worker for the test of a task: one with a test that it may join, or
// another if there is room for a further test. It returns nil if there is none.
func (e *Engine) testCandidate(p *candidateSet, s *readyStep, room *testRoom) *candidate {
	ref := s.firstPending()
	var best *candidate
	overdue := e.testWait(s) > maxTestWait
	for _, c := range p.byService[s.job.Service] {
		switch t := c.view.test; {
		case t != nil && e.joinable(t, ref, room.group):
			t.tasks = append(t.tasks, testedTask{ref: ref})
			if e.admits(c, s) {
				return c
			}
			t.tasks = t.tasks[:len(t.tasks)-1]
		case t == nil && !c.silent && room.takes(c.view, overdue) && e.admits(c, s) && (best == nil || e.betterForTest(c, best, s)):
			best = c // The fewest attempts are lost there.
		}
	}
	if best == nil {
		return nil
	}
	room.all--
	if !best.view.idle() {
		room.shared--
	}
	best.view.test = &crashTest{tasks: []testedTask{{ref: ref}}, since: e.now}
	e.log.Info().Stringer("task", ref).Str("worker", best.view.worker.Life.Name).Int("attempts", len(best.view.attemptList)).Int("group", room.group).Dur("waited", e.testWait(s)).Int("waiting", room.waiting).Uint64("term", e.term).Msg("test of a task begins")
	return best
}

// groupLimit returns with how many tasks, itself included, a task may be tested: alone after
// repeated crashes that it may have caused, or if the next crash would be the last.
func (e *Engine) groupLimit(ref workflow.TaskRef) int {
	job := e.state.Job(ref.Job)
	if job == nil {
		return 1
	}
	suspect := job.Suspect(ref)
	switch {
	case suspect == nil || suspect.Blamed < repeatedBlame && suspect.Crashes <= repeatedCrashes:
		return maxTestGroup
	case suspect.Blamed == repeatedBlame && !wasYoung(suspect) && suspect.Crashes <= repeatedCrashes && job.Spec.Steps[ref.Step].Lasting:
		return maxOlderGroup
	}
	return 1
}

// joinable reports whether a test takes a further task: none of its tasks has started yet, and
// each may be tested with so many.
func (e *Engine) joinable(t *crashTest, ref workflow.TaskRef, group int) bool {
	group = min(group, e.groupLimit(ref))
	return len(t.tasks) < group && e.fitsTest(t, ref) && !slices.ContainsFunc(t.tasks, func(other testedTask) bool { return other.started })
}

// fitsTest reports whether a task may be tested beside those of the test, if there is one.
func (e *Engine) fitsTest(t *crashTest, ref workflow.TaskRef) bool {
	return t == nil || len(t.tasks) < e.groupLimit(ref) && !slices.ContainsFunc(t.tasks, func(other testedTask) bool {
		return len(t.tasks) >= e.groupLimit(other.ref)
	})
}

// placeSuspect places a task on the worker that is kept for its test, once the other
// attempts there have run for long enough.
func (e *Engine) placeSuspect(c *candidate, s *readyStep) {
	v, ref := c.view, s.firstPending()
	if e.since(v.test.since) < maxSettling && (!(e.settled(v) && e.hasJustAnswered(v)) || v.isStopping() && !e.admits(c, s)) {
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

// settled reports whether the attempts on a worker that are not tested there have run for long
// enough.
func (e *Engine) settled(v *workerView) bool {
	return !slices.ContainsFunc(v.attemptList, func(a *attempt) bool {
		return v.test.find(a.ref) < 0 && (!a.running || e.since(a.runningSince) < settledAge)
	})
}

// isStopping reports whether an attempt on the worker is being stopped.
func (v *workerView) isStopping() bool {
	return slices.ContainsFunc(v.attemptList, func(a *attempt) bool { return a.stopWanted })
}

// hasJustAnswered reports whether a worker has answered within freshAnswer, and asks it
// otherwise.
func (e *Engine) hasJustAnswered(v *workerView) bool {
	if e.since(v.answeredAt) <= freshAnswer {
		return true
	}
	if !v.probeInFlight && !v.hasCarried() && e.reachable(v) {
		e.issueProbe(v)
	}
	return false
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
		return v.silentSince != 0 || e.since(v.test.since) > 2*maxSettling || job.Task(t.ref).State != workflow.TaskPending
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
	if step := e.step(ref); step != nil {
		return e.held(step, ref)
	}
	return e.strayOf(ref)
}
