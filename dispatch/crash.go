package dispatch

import (
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// youngAge is the time from the start of an attempt to the worker's last answer up to
	// which the attempt is taken to be a likely cause of a crash.
	youngAge = 500 * time.Millisecond
	// immediateAge is the time from the start of an attempt to the worker's silence up to
	// which a cause of the worker's own is unlikely.
	immediateAge = 100 * time.Millisecond
	// unknownAge is the age of an attempt that an earlier leader started.
	unknownAge = -1
	// coincidence is the time within which crashes count as simultaneous. A worker that is
	// silent is noticed after a poll's wait at most.
	coincidence = time.Second
	// recentCrashRetention is how long a crash is kept for comparison with others.
	recentCrashRetention = 10 * time.Second
)

// crashVictim is an attempt that a worker ran or may have run when it fell silent.
type crashVictim struct {
	ref workflow.TaskRef
	// ran is set if the worker had confirmed the start, or an earlier leader sent it.
	ran bool
	// age is for how long the attempt had run when the worker answered last. beganAt is when
	// it began or, if that was not confirmed, when its first start was sent.
	age     time.Duration
	beganAt Instant
	// immediate is set if the worker fell silent just after the start.
	immediate bool
	// sentLate is set if the start was sent when the worker was silent already.
	sentLate bool
	// tested is set if the worker was kept free of other new attempts for this one.
	tested bool
}

// suspicious reports whether the attempt may have caused the crash.
func (c *crashVictim) suspicious() bool {
	return !c.sentLate && (c.tested || c.age >= 0 && c.age <= youngAge)
}

// recentCrash is a crash that was recorded.
type recentCrash struct {
	silentSince Instant
	// explained is set if an attempt may have caused it.
	explained bool
}

// victimOf returns the attempt as a victim of a crash of its worker, or false if it did
// certainly not run there.
func (e *Engine) victimOf(v *workerView, a *attempt) (crashVictim, bool) {
	c := crashVictim{ref: a.ref, tested: v.test.find(a.ref) >= 0, beganAt: a.firstSentAt}
	switch {
	case a.running:
		c.ran, c.age, c.beganAt = true, max(v.answeredAt.Sub(a.runningSince), 0), a.runningSince
		c.immediate = v.silentSince != 0 && v.silentSince.Sub(a.runningSince) <= immediateAge
	case !a.startCallInFlight && a.deliverableStarts == 0 && !a.adopted:
		return c, false
	case a.carried && a.startsSent == 0:
		return c, false // It was counted as the incarnation crashed to which its start was sent.
	}
	if a.adopted {
		// The earlier leader sent the start as soon as it was recorded.
		c.ran, c.age, c.beganAt, c.immediate = a.running || !v.fenced, unknownAge, e.tookOverAt, false
	}
	return c, a.committed
}

// victimsOf returns the attempts that a silent worker ran or may have run, and those that
// were taken for over since, as its lease was over.
func (e *Engine) victimsOf(v *workerView) []crashVictim {
	victims := slices.Clone(v.lost)
	for _, a := range v.attemptList {
		if c, ok := e.victimOf(v, a); ok {
			victims = append(victims, c)
		}
	}
	markSentLate(victims, v.answeredAt)
	return victims
}

// window returns the length of the time in which the crash came, as far as it would be blamed
// on the attempt: from its start to the worker's silence. A sound worker answers a start at
// once, so that without an answer it crashed between the answer before and that one.
func (c *crashVictim) window(v *workerView, now Instant) time.Duration {
	switch {
	case !c.ran:
		return c.beganAt.Add(immediateAge).Sub(min(v.answeredAt, c.beganAt))
	case v.silentSince == 0:
		return now.Sub(c.beganAt)
	}
	return v.silentSince.Sub(c.beganAt)
}

// markSentLate marks the starts that were sent when an earlier one had been without an answer
// for longer than a worker takes to answer: it was silent by then for another cause.
func markSentLate(victims []crashVictim, answeredAt Instant) {
	firstUnanswered := Instant(0)
	for i := range victims {
		if c := &victims[i]; !c.ran && c.beganAt > answeredAt && (firstUnanswered == 0 || c.beganAt < firstUnanswered) {
			firstUnanswered = c.beganAt
		}
	}
	for i := range victims {
		c := &victims[i]
		c.sentLate = !c.ran && firstUnanswered != 0 && c.beganAt > firstUnanswered.Add(immediateAge)
	}
}

// recordCrash counts the crash of an incarnation under the tasks on it. Only another
// incarnation of the worker, or another worker at its address, proves a crash: one that is
// silent may be cut off. An end that was announced or ordered is no crash.
func (e *Engine) recordCrash(v *workerView, proof string) {
	victims := e.victimsOf(v)
	if e.plannedEnd(v) {
		e.recordEndOfTests(victims)
		return
	}
	suspects := 0
	for i := range victims {
		if victims[i].suspicious() {
			suspects++
		}
	}
	coincides := e.coincides(v)
	e.counters.Crashed++
	e.log.Warn().Str("worker", v.worker.Life.Name).Int64("born_ms", v.worker.Life.BornMs).Str("proof", proof).Int("attempts", len(victims)).Int("suspects", suspects).
		Bool("coincides", coincides).Float64("host_crashes_per_day", e.hostCrashes.perSecond()*(24*time.Hour).Seconds()).Dur("unheard", e.since(v.answeredAt)).Uint64("term", e.term).Msg("worker crashed")
	if v.fenced {
		e.rememberCrash(v, suspects > 0)
		if !slices.ContainsFunc(victims, func(c crashVictim) bool { return c.suspicious() || c.age == unknownAge }) {
			e.hostCrashes.crashes++
		}
	}
	crash := &workflow.Crash{}
	for i := range victims {
		c := &victims[i]
		if c.sentLate {
			continue // The crash says nothing about the task.
		}
		blameless := coincides && !c.tested || c.age > maxTest-testMargin || e.hostCrashes.coincidental(c.window(v, e.now))
		crash.Tasks = append(crash.Tasks, workflow.CrashedTask{
			// A task that crashes its worker before the answer to its start is never confirmed.
			Task: c.ref, Ran: c.ran || c.tested || c.age != unknownAge, AgeMs: ageMs(c.age), Alone: !blameless && !coincides && e.soleSuspect(victims, c), Coincides: blameless, Immediate: c.immediate,
		})
	}
	if len(crash.Tasks) > 0 {
		e.proposeCrash(crash)
	}
}

// recordLoss remembers an attempt that is over on a silent worker, which may have crashed. In a
// test it counts as a crash at once: the proof may come after further starts of the task.
func (e *Engine) recordLoss(v *workerView, c crashVictim) {
	if !c.tested {
		v.lost = append(v.lost, c)
		return
	}
	e.recordEndOfTests([]crashVictim{c})
}

// recordEndOfTests counts a crash under each of the victims that was tested, of a worker that
// has not certainly crashed. It proves nothing, but leaves the task one start less.
func (e *Engine) recordEndOfTests(victims []crashVictim) {
	crash := &workflow.Crash{}
	for i := range victims {
		if c := &victims[i]; c.tested && !c.sentLate {
			crash.Tasks = append(crash.Tasks, workflow.CrashedTask{Task: c.ref, Ran: true, AgeMs: ageMs(c.age), Coincides: true})
		}
	}
	if len(crash.Tasks) > 0 {
		e.proposeCrash(crash)
	}
}

func ageMs(age time.Duration) int64 {
	if age < 0 {
		return unknownAge
	}
	return age.Milliseconds()
}

// proposeCrash proposes a crash and handles the end of the jobs that it ends.
func (e *Engine) proposeCrash(crash *workflow.Crash) {
	var active []*workflow.Job
	for i := range crash.Tasks {
		if job := e.state.Job(crash.Tasks[i].Task.Job); job != nil && job.Active() && !slices.Contains(active, job) {
			active = append(active, job)
		}
	}
	if err := e.propose(workflow.Op{Crash: crash}); err != nil {
		e.log.Error().Err(err).Int("tasks", len(crash.Tasks)).Msg("crash not recorded")
		return
	}
	for _, job := range active {
		e.ready.markDirty(job.ID)
		if job.Active() {
			continue
		}
		for i := range crash.Tasks {
			t := &crash.Tasks[i]
			if s := job.Suspect(t.Task); t.Task.Job == job.ID && s != nil && s.GivenUp(t) {
				e.log.Warn().Stringer("task", t.Task).Uint32("crashes", s.Crashes).Uint32("blamed", s.Blamed).Uint32("alone", s.Alone).Int64("age_ms", s.AgeMs).Uint64("term", e.term).Msg("task given up")
			}
		}
		e.handleJobEnd(job)
	}
}

// soleSuspect reports whether no other job may have caused the crash: the task was tested,
// or is of a gang, which has to start together, and all other suspects are of its job.
func (e *Engine) soleSuspect(victims []crashVictim, c *crashVictim) bool {
	step := e.step(c.ref)
	if !c.suspicious() || step == nil || !c.tested && !step.Gang {
		return false
	}
	return !slices.ContainsFunc(victims, func(other crashVictim) bool {
		return other.suspicious() && other.ref.Job != c.ref.Job
	})
}

// coincides reports whether the crash seems to have a cause outside of the worker, such as a
// failure of its rack: at the same time another worker fell silent without an attempt that
// may have caused it. This is not known of workers that have not answered this leader yet.
func (e *Engine) coincides(v *workerView) bool {
	if !v.fenced || e.hostCrashes.noisy(len(e.views)) {
		return false
	}
	near := func(at Instant) bool {
		return at != 0 && max(at.Sub(v.silentSince), v.silentSince.Sub(at)) <= coincidence
	}
	for _, c := range e.recentCrashes {
		if near(c.silentSince) && !c.explained {
			return true
		}
	}
	for _, other := range e.sortedViews {
		if other == v || !other.fenced || !near(other.silentSince) || e.plannedEnd(other) {
			continue
		}
		if !slices.ContainsFunc(e.victimsOf(other), func(c crashVictim) bool { return c.suspicious() }) {
			return true
		}
	}
	return false
}

func (e *Engine) rememberCrash(v *workerView, explained bool) {
	e.recentCrashes = slices.DeleteFunc(e.recentCrashes, func(c recentCrash) bool { return e.since(c.silentSince) > recentCrashRetention })
	e.recentCrashes = append(e.recentCrashes, recentCrash{v.silentSince, explained})
}

// plannedEnd reports whether the end of an incarnation was announced by the worker or
// ordered from the pool of hosts.
func (e *Engine) plannedEnd(v *workerView) bool {
	if v.worker.Draining || e.maintenance.goingDown[v.worker.Life.Name] {
		return true
	}
	for _, wave := range e.state.Waves() {
		for name, stage := range wave.Progress {
			if stage != workflow.MaintenanceEnded && e.mayEndByOrder(v, hostOfWave{wave.ID, name}, stage) {
				return true
			}
		}
	}
	return false
}

// mayEndByOrder reports whether the order to maintain a host may have ended an incarnation.
// This leader knows the incarnations that its own orders end. On which workers an earlier
// leader's orders act is not known without an entry of the host that names one.
func (e *Engine) mayEndByOrder(v *workerView, key hostOfWave, stage workflow.Maintenance) bool {
	call := e.maintenance.calls[key]
	if call != nil && !call.inherited {
		return call.worker == v.worker.ID
	}
	host, listed := e.maintenance.listings.host(key.host)
	return stage == workflow.MaintenanceOrdered && (!listed || host.Worker == "" || host.Worker == v.worker.Life.Name)
}
