package dispatch

import (
	"slices"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/workflow"
)

// candidate is a worker that may get tasks, less what the current plan has
// reserved on it.
type candidate struct {
	view *workerView
	// quarantined workers get only lasting tasks, which the platform wants to run
	// wherever there is room.
	quarantined bool
	// silent workers owe an answer, and get tasks only if no other has room.
	silent bool
	// refusing workers have just refused a start, and get no lasting tasks for a while.
	refusing bool
	// free is the capacity that is not reserved.
	free workflow.Resources
	// idleMilliProcessors is the estimate of the unused processors, in
	// thousandths.
	idleMilliProcessors int64
	// latestHeadroom is the headroom for the scavenger for which the worker was last checked.
	latestHeadroom float64
	// tasksPerStep counts the tasks of each step on the worker, nil until first
	// needed.
	tasksPerStep map[workflow.StepRef]uint32
	// keptFor is the capacity that is kept for lasting tasks that wait.
	keptFor workflow.Resources
	// room is the capacity that lasting tasks leave over, valid once roomKnown is set. ends
	// are the times when capacity becomes free, nil until first needed.
	room      workflow.Resources
	roomKnown bool
	ends      []capacityEnd
	// reclaims is what stops of short tasks can make free, nil until first needed.
	reclaims *reclaimableRoom
	// held is the capacity that is held for urgent tasks, of what is free or becomes free
	// by the stops in progress, whose reservations are stopping.
	held, stopping workflow.Resources
	// lookAhead is the reservation of the worker for an urgent task that fits nowhere, nil
	// for none.
	lookAhead *capacityReservation
}

// candidateSet holds the workers that may get tasks in one plan.
type candidateSet struct {
	byService map[string][]*candidate
	// byID holds the same by worker, nil until first needed.
	byID map[workflow.WorkerID]*candidate
	// unplaceable lists the requests for which no worker had room in this plan.
	unplaceable []requestShape
	// gangHolds holds, by service, the gang for which other scavengers are held
	// back.
	gangHolds map[string]workflow.StepRef
	// meanLosses caches PairModel.MeanLoss by victim; unknownMean stands for one that is not
	// cached.
	meanLosses []float64
	// belowTarget tells whether the pool of urgent capacity of a service is below its
	// target, for those whose candidate.held is known.
	belowTarget map[string]bool
	// evaluated counts the evaluations of workers in this plan. work is what it spent on
	// placements, and on steps that were not tried before, in evaluations; from limit on, no
	// further steps of scavengers are tried in it. renewals counts the searches that were
	// repeated among all workers.
	evaluated, work, limit, renewals int
}

const unknownMean = -1.0

// meanLoss returns the slack that a victim loses to scavengers on average.
func (p *candidateSet) meanLoss(e *Engine, victim interference.Image) float64 {
	for len(p.meanLosses) <= int(victim) {
		p.meanLosses = append(p.meanLosses, unknownMean)
	}
	if p.meanLosses[victim] == unknownMean {
		p.meanLosses[victim] = e.slowdown.pairs.MeanLoss(victim)
	}
	return p.meanLosses[victim]
}

// requestShape holds what decides whether a task fits a worker.
type requestShape struct {
	service   string
	label     string
	need      workflow.Resources
	scavenger bool
	lasting   bool
	yields    bool
	// image is set for scavengers only: how much they disturb serving tasks
	// depends on it.
	image string
}

func requestShapeOf(job *workflow.Job, step *workflow.Step) requestShape {
	s := requestShape{service: job.Service, label: step.Label, need: step.Resources, scavenger: step.Scavenger, lasting: step.Lasting}
	if step.Scavenger {
		s.image = step.Image
	}
	return s
}

func (e *Engine) newCandidateSet() *candidateSet {
	p := &candidateSet{byService: make(map[string][]*candidate), gangHolds: e.activeGangHolds(), belowTarget: make(map[string]bool)}
	p.limit = max(searchesPerPlan*len(e.sortedViews), minPlanLimit)
	candidates := make([]candidate, len(e.sortedViews))
	for i, v := range e.sortedViews {
		if !e.schedulable(v) || e.closedForMaintenance(v) {
			continue
		}
		candidates[i] = e.candidateOf(v)
		p.byService[v.worker.Service] = append(p.byService[v.worker.Service], &candidates[i])
	}
	return p
}

const (
	// searchesPerPlan times the workers, but at least minPlanLimit, is the work of a plan, in
	// evaluations of a worker, from which on the steps of scavengers wait for the next one.
	searchesPerPlan = 24
	minPlanLimit    = 20_000
	// renewalsPerPlan bounds the searches that a plan repeats among all workers.
	renewalsPerPlan = 12
	// placementWork is the work of recording a placement, in evaluations of a worker.
	placementWork = 64
)

// freeCapacity returns the capacity of a worker that is neither reserved nor taken by an open start
// of a task without an attempt there: the next incarnation may carry out all of them at once. Those
// of an earlier leader, of which many are only assumed, take none, nor do those of tasks that may be
// placed meanwhile.
func (e *Engine) freeCapacity(v *workerView) workflow.Resources {
	free := v.worker.Capacity.Sub(v.worker.Reserved)
	for o := range e.openStarts.ofWorker(v.worker.Life.Name) {
		job := e.state.Job(o.ref.Job)
		if o.attempt == 0 || o.assumed || v.attempts[o.ref] != nil || job == nil || job.Task(o.ref) == nil {
			continue
		}
		if step := &job.Spec.Steps[o.ref.Step]; exclusive(step) {
			free = free.Sub(step.Reserved())
		}
	}
	return free
}

func (e *Engine) candidateOf(v *workerView) candidate {
	c := candidate{view: v, quarantined: e.now < v.quarantinedUntil, silent: e.silent(v), refusing: e.now < v.refusingUntil, free: e.freeCapacity(v), idleMilliProcessors: e.placementStateOf(v).idleMilliProcessors, keptFor: e.reservations.kept[v.worker.ID], lookAhead: e.lookAhead.byWorker[v.worker.ID]}
	e.reserveForMoves(&c)
	return c
}

// schedulable reports whether a worker can take orders, is not draining, is in no evacuated
// domain, and has a known capacity.
func (e *Engine) schedulable(v *workerView) bool {
	return !v.worker.Draining && !e.evacuated(v) && e.reachable(v) && v.clockMs > 0 && e.capacityKnown(v)
}

// silent reports whether an answer of a worker is overdue: it may be cut off, and what is
// placed there then waits for the end of its lease.
func (e *Engine) silent(v *workerView) bool {
	return v.silentSince != 0 || v.pollDueAt != 0 && e.now > v.pollDueAt
}

// recordUnplaceable remembers that no worker has room for a task of the step. A
// step that may have failed for another reason is not recorded: a bound per
// worker, a missing ticket, or a worker that its task avoids.
func (p *candidateSet) recordUnplaceable(s *readyStep, avoids bool) {
	if s.step.MaxPerWorker == 0 && !s.job.Advised && !avoids {
		shape := requestShapeOf(s.job, s.step)
		shape.yields = s.yields
		p.unplaceable = append(p.unplaceable, shape)
	}
}

// knownUnplaceable reports whether a request that is no larger has found no room
// in this plan.
func (p *candidateSet) knownUnplaceable(s *readyStep) bool {
	want := requestShapeOf(s.job, s.step)
	want.yields = s.yields
	return slices.ContainsFunc(p.unplaceable, func(f requestShape) bool {
		return f.service == want.service && f.scavenger == want.scavenger && f.lasting == want.lasting && (!f.yields || want.yields) && f.image == want.image && (f.label == "" || f.label == want.label) && f.need.Fits(want.need)
	})
}

// reserve subtracts the resources of one task of the step from those of the
// candidate.
func (c *candidate) reserve(s *readyStep) {
	c.free = c.free.Sub(s.step.Reserved())
	c.idleMilliProcessors -= s.step.Resources.MilliProcessors
	c.taskCount(s)
	c.tasksPerStep[s.ref]++
}

// release undoes reserve.
func (c *candidate) release(s *readyStep) {
	c.free = c.free.Add(s.step.Reserved())
	c.idleMilliProcessors += s.step.Resources.MilliProcessors
	c.tasksPerStep[s.ref]--
}

// taskCount returns the number of the step's tasks on the worker.
func (c *candidate) taskCount(s *readyStep) uint32 {
	if c.tasksPerStep == nil {
		c.tasksPerStep = make(map[workflow.StepRef]uint32)
		for _, a := range c.view.attemptList {
			c.tasksPerStep[a.ref.StepRef()]++
		}
	}
	return c.tasksPerStep[s.ref]
}

// selectRack returns the rack on which tasks of the step run already, outside of evacuated
// domains, or else the one that has room for most of them.
func (e *Engine) selectRack(p *candidateSet, s *readyStep) string {
	for _, task := range s.job.Occurrences.Tasks(s.ref.Occurrence, s.ref.Step) {
		if v := e.views[task.Worker]; task.State == workflow.TaskPlaced && v != nil && !e.evacuated(v) {
			return v.worker.Rack
		}
	}
	if s.rack != "" {
		return s.rack
	}
	room, best := make(map[string]int64), ""
	need := max(s.step.Resources.MilliProcessors, 1)
	for _, c := range p.byService[s.job.Service] {
		if !e.admits(c, s) {
			continue
		}
		left := c.free.MilliProcessors
		if s.step.Scavenger {
			left = c.idleMilliProcessors
		}
		rack := c.view.worker.Rack
		room[rack] += max(left/need, 1)
		if best == "" || room[rack] > room[best] {
			best = rack
		}
	}
	return best
}

// failedRecentlyOn reports whether the next task of the step failed on the worker
// within avoidDuration.
func (e *Engine) failedRecentlyOn(s *readyStep, v *workerView) bool {
	a, failed := e.lastFailures[s.firstPending()]
	return failed && !s.step.Lasting && a.worker == v.worker.ID && e.now < a.until
}

// failedRecently reports whether the next task of the step failed on any worker
// within avoidDuration.
func (e *Engine) failedRecently(s *readyStep) bool {
	a, failed := e.lastFailures[s.firstPending()]
	return failed && !s.step.Lasting && e.now < a.until
}

// admits reports whether a worker fits one more task of the step and, if the step
// needs a ticket, has one.
func (e *Engine) admits(c *candidate, s *readyStep) bool {
	return e.fits(c, s) && e.hasTicket(c, s)
}

// fits reports whether a worker is suitable for the step and has room for one
// more task. It does not check tickets.
func (e *Engine) fits(c *candidate, s *readyStep) bool {
	step := s.step
	switch {
	case c.view.test != nil && (len(s.pending) == 0 || c.view.test.find(s.firstPending()) < 0):
		return false
	case c.quarantined && !step.Lasting || c.refusing:
		return false
	case !step.Reserved().Fits(c.free):
		return false
	case !c.fitsBesideKept(s):
		return false
	case !e.fitsBesideHeld(c, s):
		return false
	case step.Scavenger && e.placementStateOf(c.view).paused:
		return false
	case step.Scavenger && c.idleMilliProcessors < minIdleFor(step):
		return false
	}
	if step.Scavenger {
		c.latestHeadroom = c.headroom(e, step, e.imageOf(s))
		if c.latestHeadroom < 0 {
			return false
		}
	}
	return c.allows(s) && e.fitsBesideLookAhead(c, s)
}

// allows reports whether the step's label and its bound per worker allow one more
// task on the worker.
func (c *candidate) allows(s *readyStep) bool {
	return c.view.worker.HasRequiredLabel(s.step) && (s.step.MaxPerWorker == 0 || c.taskCount(s) < s.step.MaxPerWorker)
}

// imageOf returns the index of the step's image.
func (e *Engine) imageOf(s *readyStep) interference.Image {
	if !s.imageKnown {
		s.image, s.imageKnown = e.slowdown.pairs.Image(s.step.Image), true
	}
	return s.image
}

// score ranks a worker that has just been admitted for a task; the highest score wins.
// Scavengers go to workers with many idle processors and little harm to serving tasks. All
// others go to the worker with the least free processors (best fit), so that room for
// wide tasks remains. Workers on the rack of the step's data, or of its other
// tasks, come first.
func (e *Engine) score(p *candidateSet, c *candidate, s *readyStep) int64 {
	score := int64(0)
	if c.silent {
		score = -silentWeight
	}
	if e.leftUnanswered(c, s) {
		score -= unansweredWeight
	}
	if e.cold(c.view) {
		score -= coldWeight
	}
	if s.step.DataRack != "" && c.view.worker.HasLabel(s.step.DataRack) || s.step.OneRack && c.view.worker.Rack == s.rack {
		score += rackWeight
	}
	if s.step.Scavenger {
		image := e.imageOf(s)
		return score + c.idleMilliProcessors + int64(min(c.latestHeadroom, maxHeadroom)*headroomWeight+c.advantage(e, p, image)*advantageWeight)
	}
	if c.quarantined {
		score -= quarantineWeight
	}
	if s.step.Lasting {
		score += int64(c.imageAffinity(e, s.step))*affinityWeight + e.gapScore(c, s)
	}
	if c.lookAhead != nil && c.lookAhead.ref != s.ref && !s.step.Lasting {
		score -= assignedWeight
	}
	return score - c.free.MilliProcessors
}

// rackWeight ranks workers on the rack of a task's data, or of the other tasks of
// its step, before all others.
const rackWeight = 1 << 40

// coldWeight ranks workers that are slow after their start behind others with capacity, also
// behind those on another rack than the task's data.
const coldWeight = 1 << 46

// silentWeight ranks silent workers behind all others.
const silentWeight = 1 << 52

// leftUnanswered reports whether a worker has left a start of the next task without an answer.
func (e *Engine) leftUnanswered(c *candidate, s *readyStep) bool {
	return e.openStarts.len() > 0 && len(s.pending) > 0 && e.openStartOf(s.firstPending(), c.view.worker.Life.Name) != nil
}

// unansweredWeight ranks workers behind others that have left no start of the task unanswered.
const unansweredWeight = 1 << 49

// quarantineWeight ranks quarantined workers behind all others.
const quarantineWeight = 1 << 50

// affinityWeight is the score of one unit of imageAffinity. It outweighs any
// difference in free processors, in thousandths.
const affinityWeight = 1 << 30

// imageAffinity returns 1 if a lasting task on the worker has the step's image,
// else 0, less the number of lasting tasks of other images: each image is
// slowed down by different scavengers, and a mixture of images by all of them.
func (c *candidate) imageAffinity(e *Engine, step *workflow.Step) int {
	same, others := 0, 0
	for _, a := range c.view.attemptList {
		other := e.step(a.ref)
		if other == nil || !other.Lasting {
			continue
		}
		if other.Image == step.Image {
			same = 1
		} else {
			others++
		}
	}
	return same - others
}
