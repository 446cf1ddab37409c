package dispatch

import (
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/headroom"
	"mangohill.example/mangohill/workflow"
)

const (
	// preemptedWait is how long a preempted lasting task may wait, from its stop on, for
	// capacity that is not held for urgent tasks. The platform's rules allow six seconds
	// from its last run, and three more of waiting beside free capacity.
	preemptedWait = 5 * time.Second
	// firstRunWait is the same for a lasting task that never ran, from the time when it
	// could be started; the platform's rules allow three seconds.
	firstRunWait = 2 * time.Second
	// passedOverLimit is how long an urgent task may be passed over before the room that is
	// assigned to it is kept from other urgent tasks. The room stays empty until it is complete,
	// which takes up to the 0.9 s of a stop.
	passedOverLimit = 400 * time.Millisecond
	// wideFactor times the mean width of urgent tasks is the width from which on a task keeps
	// the room that is assigned to it at once: narrower ones would take most of what each stop
	// frees before there is enough.
	wideFactor = 2
	// gapWeight is the score of a thousandth of a processor of gaps that urgent tasks could
	// use. Two processors count as much as a unit of imageAffinity.
	gapWeight = affinityWeight / 2000
	// assignedWeight ranks workers with room that is assigned to an urgent task behind others.
	assignedWeight = 1 << 48
)

// urgentPool is the capacity of a service that is kept free for urgent tasks: those of the
// highest priority that are neither lasting nor scavengers.
type urgentPool struct {
	priority  int32
	demand    headroom.Demand
	sampledAt Instant
	// neededAt is when an urgent task that could be in time was last left without room, or a
	// lasting task last waited or was preempted for the pool; zero for never. The pool is
	// kept from then on for headroom.Window.
	neededAt    Instant
	evaluatedAt Instant
	// preemptedAt holds when tasks were preempted in the last preemptionPeriod, oldest first.
	preemptedAt []Instant
	// unplaced is the number of lasting tasks that wait and for which the fleet has no room.
	// withheld is set while no task is preempted whose room would be owed to them.
	unplaced int
	withheld bool
	// widths are those in demand.
	widths []headroom.Width
	// assigned is the room that is assigned to urgent tasks that wait, by worker.
	assigned map[workflow.WorkerID][]assignedRoom
	// targetMilliProcessors and heldMilliProcessors are the latest target, and what of it
	// is held in gaps.
	targetMilliProcessors, heldMilliProcessors int64
}

// assignedRoom is room that is assigned to a task of a step.
type assignedRoom struct {
	ref  workflow.StepRef
	need workflow.Resources
}

// isUrgent reports whether the tasks of a step are urgent.
func (p *urgentPool) isUrgent(job *workflow.Job, step *workflow.Step) bool {
	return !step.Lasting && !step.Scavenger && !step.Gang && job.Priority == p.priority
}

// isUrgentTask reports whether the tasks of a step are urgent for their service.
func (e *Engine) isUrgentTask(job *workflow.Job, step uint32) bool {
	p := e.urgentPools[job.Service]
	return p != nil && p.isUrgent(job, &job.Spec.Steps[step])
}

// poolActive reports whether capacity is held for urgent tasks of a service.
func (e *Engine) poolActive(service string) bool {
	p := e.urgentPools[service]
	return p != nil && p.neededAt != 0 && e.since(p.neededAt) < headroom.Window
}

// updatePools creates the pools of the services in the catalog and samples their demand.
func (e *Engine) updatePools() {
	sampled := false
	for service, priority := range e.state.ServicePriorities() {
		p := e.urgentPools[service]
		if p == nil {
			p = &urgentPool{}
			e.urgentPools[service] = p
		}
		p.priority = priority
		if e.since(p.sampledAt) >= headroom.SampleInterval {
			p.sampledAt, sampled = e.now, true
			load := e.urgentLoad(service, p)
			for _, s := range e.ready.sorted {
				if s.job.Service == service && e.waits(p, s) && s.latenessAt(e.wallMs) == onTime {
					for range s.pending {
						load.Add(s.step.Resources)
					}
				}
			}
			p.demand.Record(&load)
			p.widths = p.demand.Widths()
		}
	}
	if sampled {
		maps.DeleteFunc(e.preemptions, func(ref workflow.TaskRef, _ preemption) bool {
			job := e.state.Job(ref.Job)
			return job == nil || !job.Active()
		})
		maps.DeleteFunc(e.stopsForLasting, func(ref workflow.TaskRef, _ int) bool {
			job := e.state.Job(ref.Job)
			return job == nil || !job.Active()
		})
	}
}

// urgentLoad returns what urgent tasks of a service hold.
func (e *Engine) urgentLoad(service string, p *urgentPool) headroom.Load {
	var load headroom.Load
	for _, v := range e.sortedViews {
		if v.worker.Service != service {
			continue
		}
		for _, a := range v.attemptList {
			if a.class == unknownClass {
				a.class = otherClass
				if job := e.state.Job(a.ref.Job); job != nil && p.isUrgent(job, &job.Spec.Steps[a.ref.Step]) {
					a.class = urgentClass
				}
			}
			if a.class != urgentClass || a.stopWanted {
				continue
			}
			if step := e.step(a.ref); step != nil {
				load.Add(step.Resources)
			}
		}
	}
	return load
}

// attemptClass tells whether an attempt is of an urgent task.
type attemptClass uint8

const (
	unknownClass attemptClass = iota
	urgentClass
	otherClass
)

// waits reports whether tasks of an urgent step are pending that may be started.
func (e *Engine) waits(p *urgentPool, s *readyStep) bool {
	return len(s.pending) > 0 && p.isUrgent(s.job, s.step) && s.job.Active() && s.job.Spec.DueMs(s.ref.Occurrence) <= e.wallMs
}

// waitsForRoom reports whether the pending tasks of an urgent step wait for nothing but room on
// any worker, and are still of value.
func (e *Engine) waitsForRoom(p *urgentPool, s *readyStep) bool {
	return e.waits(p, s) && s.latenessAt(e.wallMs) != tooLate && s.step.MaxPerWorker == 0 && s.step.Label == "" && !s.job.Advised && !e.failedRecently(s)
}

// poolView is the pool's view of the workers in one plan: the gaps that are wanted, and where
// they are.
type poolView struct {
	service    string
	candidates []*candidate
	// waiting are the steps whose tasks wait; the gap with Key i+1 is for waiting[i], those
	// with Key 0 are for tasks to come.
	waiting []*readyStep
	gaps    []headroom.Gap
	// free is the capacity of each candidate that is free, or will be once what is being
	// stopped there has ended, and is not assigned to a gap.
	free    []workflow.Resources
	packed  []headroom.Opening
	missing []int
}

// viewPool assigns the gaps of a pool to workers.
func (e *Engine) viewPool(set *candidateSet, service string) *poolView {
	p := e.urgentPools[service]
	view := &poolView{service: service, candidates: set.byService[service]}
	waitingMilliProcessors := int64(0)
	for _, s := range e.ready.sorted {
		if s.job.Service != service || !e.waitsForRoom(p, s) {
			continue
		}
		view.waiting = append(view.waiting, s)
		view.gaps = append(view.gaps, headroom.Gap{Need: s.step.Resources, Count: len(s.pending), Key: len(view.waiting)})
		waitingMilliProcessors += int64(len(s.pending)) * s.step.Resources.MilliProcessors
	}
	headroom.SortGaps(view.gaps)
	held := e.urgentLoad(service, p)
	p.targetMilliProcessors = p.demand.Target() + waitingMilliProcessors
	view.gaps = append(view.gaps, p.demand.Gaps(p.demand.Target()-held.MilliProcessors())...)
	view.free = make([]workflow.Resources, len(view.candidates))
	for i, c := range view.candidates {
		if !c.takesUrgent() {
			continue
		}
		c.stopping = workflow.Resources{}
		for _, a := range c.view.attemptList {
			if a.stopWanted {
				if step := e.step(a.ref); step != nil {
					c.stopping = c.stopping.Add(step.Reserved())
				}
			}
		}
		view.free[i] = c.free.Add(c.stopping).Sub(c.keptFor)
	}
	view.packed, view.missing = headroom.Pack(view.free, view.gaps)
	for g := range view.gaps {
		if key := view.gaps[g].Key; key > 0 && view.waiting[key-1].latenessAt(e.wallMs) != onTime {
			view.missing[g] = 0 // Nothing is preempted for it.
		}
	}
	p.heldMilliProcessors = 0
	for _, o := range view.packed {
		p.heldMilliProcessors += view.gaps[o.Gap].Need.MilliProcessors
	}
	return view
}

// takesUrgent reports whether the worker is one on which urgent tasks are started.
func (c *candidate) takesUrgent() bool {
	return !c.quarantined && !c.silent && c.view.test == nil
}

// holdGaps sets the capacity that is held on each candidate, once in a plan, and reports whether
// the pool is below its target.
func (e *Engine) holdGaps(set *candidateSet, service string) bool {
	belowTarget, known := set.belowTarget[service]
	if known {
		return belowTarget
	}
	view := e.viewPool(set, service)
	for _, o := range view.packed {
		c := view.candidates[o.Worker]
		c.held = c.held.Add(view.gaps[o.Gap].Need)
	}
	belowTarget = view.isMissing()
	set.belowTarget[service] = belowTarget
	return belowTarget
}

// isMissing reports whether a gap found no worker.
func (v *poolView) isMissing() bool {
	return slices.ContainsFunc(v.missing, func(n int) bool { return n > 0 })
}

// placeLasting places the tasks of a lasting step. While capacity is held for urgent tasks, those
// that may still wait are placed beside it, and only once the pool has reached its target: room
// that is of no use yet becomes part of a gap when a task next to it is preempted.
func (e *Engine) placeLasting(set *candidateSet, s *readyStep) {
	if !e.poolActive(s.job.Service) {
		if !set.knownUnplaceable(s) {
			e.placeStep(set, s)
		}
		return
	}
	belowTarget := e.holdGaps(set, s.job.Service)
	var due, yielding []uint32
	for _, i := range s.pending {
		if e.mayYield(s, i) {
			yielding = append(yielding, i)
		} else {
			due = append(due, i)
		}
	}
	s.pending, s.yields = due, false
	if len(s.pending) > 0 && !set.knownUnplaceable(s) {
		e.placeStep(set, s)
	}
	due = s.pending
	s.pending, s.yields = yielding, true
	if len(s.pending) > 0 && !belowTarget && !set.knownUnplaceable(s) {
		e.placeStep(set, s)
	}
	if p := e.urgentPools[s.job.Service]; len(s.pending) > 0 && p.demand.Target() > 0 {
		p.neededAt = e.now
	}
	s.pending = append(due, s.pending...)
	slices.Sort(s.pending)
	s.yields = false
}

// mayYield reports whether a pending lasting task may still wait for capacity that is not held
// for urgent tasks.
func (e *Engine) mayYield(s *readyStep, index uint32) bool {
	if !e.poolActive(s.job.Service) {
		return false
	}
	ref := s.task(index)
	attempt := s.job.Task(ref).Attempt
	if p, known := e.preemptions[ref]; known && p.attempt == attempt {
		return e.since(p.at) < preemptedWait
	}
	return attempt == 0 && e.wallMs-s.waitingSinceMs < firstRunWait.Milliseconds()
}

// fitsBesideHeld reports whether one more task of the step leaves the capacity that is held for
// other tasks.
func (e *Engine) fitsBesideHeld(c *candidate, s *readyStep) bool {
	if s.yields {
		return s.step.Reserved().Fits(c.free.Add(c.stopping).Sub(c.held))
	}
	if s.step.Lasting || s.step.Scavenger {
		return true
	}
	p := e.urgentPools[s.job.Service]
	if p == nil || len(p.assigned) == 0 {
		return true
	}
	kept := workflow.Resources{}
	for _, r := range p.assigned[c.view.worker.ID] {
		if r.ref != s.ref && r.need.MilliProcessors >= s.step.Resources.MilliProcessors {
			kept = kept.Add(r.need)
		}
	}
	return kept == (workflow.Resources{}) || s.step.Reserved().Fits(c.free.Sub(kept))
}

// roomAssigned reports whether room is kept from a task of the step for others that wait, which
// may find room where the task finds none.
func (e *Engine) roomAssigned(s *readyStep) bool {
	p := e.urgentPools[s.job.Service]
	return p != nil && len(p.assigned) > 0 && !s.step.Lasting && !s.step.Scavenger
}

// gapScore returns the score of a worker for a lasting task by what is left there for urgent
// tasks, zero if none is held.
func (e *Engine) gapScore(c *candidate, s *readyStep) int64 {
	if !e.poolActive(s.job.Service) {
		return 0
	}
	p := e.urgentPools[s.job.Service]
	if p.assigned[c.view.worker.ID] != nil {
		return -assignedWeight
	}
	widths := p.widths
	return -int64(headroom.Useful(widths, c.free)-headroom.Useful(widths, c.free.Sub(s.step.Resources))) * gapWeight
}
