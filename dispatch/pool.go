package dispatch

import (
	"slices"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/workflow"
)

// candidate is a worker as one plan sees it.
type candidate struct {
	view *workerView
	// quarantined workers get only tasks that last, which the platform wants to run
	// wherever there is room.
	quarantined bool
	// free is what is not reserved.
	free workflow.Resources
	// idleMilliProcessors is the estimate of the processors that nothing uses, in thousandths.
	idleMilliProcessors int64
	// tasksPerStep counts the tasks of a step on the worker.
	tasksPerStep map[workflow.StepRef]uint32
	// reservedFor is the job for whose task that lasts the worker is kept.
	reservedFor *workflow.Job
	// roomBesideLasting is what the worker has beside its tasks that last.
	roomBesideLasting      workflow.Resources
	roomBesideLastingKnown bool
}

// candidateSet is the workers that may get work in one plan.
type candidateSet struct {
	byService map[string][]*candidate
	// unplaceable lists requests for which no worker had room in this plan.
	unplaceable []requestShape
	// gangHolds are the gangs for which other scavengers are held back.
	gangHolds map[string]workflow.StepRef
}

// requestShape is what decides whether a task fits a worker.
type requestShape struct {
	service   string
	label     string
	need      workflow.Resources
	scavenger bool
	lasting   bool
	// image decides for scavengers, which disturb by it.
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
	p := &candidateSet{byService: make(map[string][]*candidate), gangHolds: e.activeGangHolds()}
	for _, v := range e.sortedViews {
		if !e.schedulable(v) || e.closedForMaintenance(v) {
			continue
		}
		p.byService[v.worker.Service] = append(p.byService[v.worker.Service], e.candidateOf(v))
	}
	return p
}

func (e *Engine) candidateOf(v *workerView) *candidate {
	return &candidate{view: v, quarantined: e.now < v.quarantinedUntil, free: v.worker.Capacity.Sub(v.worker.Reserved), idleMilliProcessors: e.placementStateOf(v).idleMilliProcessors}
}

// schedulable reports whether a worker can take orders and stays.
func (e *Engine) schedulable(v *workerView) bool {
	return !v.worker.Draining && e.reachable(v) && v.clockMs > 0
}

// recordUnplaceable remembers that no worker has room for a task of the step. A step
// with a bound for each worker, with advice or with a task that avoids a worker
// may have failed by that alone.
func (p *candidateSet) recordUnplaceable(s *readyStep, avoids bool) {
	if s.step.MaxPerWorker == 0 && !s.job.Advised && !avoids {
		p.unplaceable = append(p.unplaceable, requestShapeOf(s.job, s.step))
	}
}

// knownUnplaceable reports whether a request that is no larger has failed in this plan.
func (p *candidateSet) knownUnplaceable(s *readyStep) bool {
	want := requestShapeOf(s.job, s.step)
	return slices.ContainsFunc(p.unplaceable, func(f requestShape) bool {
		return f.service == want.service && f.scavenger == want.scavenger && f.lasting == want.lasting && f.image == want.image && (f.label == "" || f.label == want.label) && f.need.Fits(want.need)
	})
}

func (c *candidate) reserve(s *readyStep) {
	c.free = c.free.Sub(s.step.Reserved())
	c.idleMilliProcessors -= s.step.Resources.MilliProcessors
	c.taskCount(s)
	c.tasksPerStep[s.ref]++
}

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

// selectWorker filters and scores the workers for one task of a step.
func (e *Engine) selectWorker(p *candidateSet, s *readyStep) *candidate {
	var best *candidate
	bestScore := int64(0)
	if s.step.OneRack {
		s.rack = e.selectRack(p, s)
	}
	for _, c := range p.byService[s.job.Service] {
		if !e.admits(c, s) || e.failedRecentlyOn(s, c.view) {
			continue
		}
		if score := e.score(c, s); best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// selectRack returns the rack on which a step's tasks run already, or else the one on
// which most of them find room now.
func (e *Engine) selectRack(p *candidateSet, s *readyStep) string {
	for _, task := range s.job.Occurrences[s.ref.Occurrence].Steps[s.ref.Step] {
		if v := e.views[task.Worker]; task.State == workflow.TaskPlaced && v != nil {
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

// failedRecentlyOn reports whether the next task of the step failed on the worker lately.
func (e *Engine) failedRecentlyOn(s *readyStep, v *workerView) bool {
	a, failed := e.lastFailures[s.firstPending()]
	return failed && !s.step.Lasting && a.worker == v.worker.ID && e.now < a.until
}

// failedRecently reports whether the next task of the step keeps away from a worker.
func (e *Engine) failedRecently(s *readyStep) bool {
	a, failed := e.lastFailures[s.firstPending()]
	return failed && !s.step.Lasting && e.now < a.until
}

// admits reports whether a worker may run a task of the step.
func (e *Engine) admits(c *candidate, s *readyStep) bool {
	return e.fits(c, s) && e.hasTicket(c, s)
}

// fits reports whether a worker suits the step and can take one more task.
func (e *Engine) fits(c *candidate, s *readyStep) bool {
	step := s.step
	switch {
	case c.quarantined && !step.Lasting:
		return false
	case c.reservedFor != nil && !step.Lasting && !step.Scavenger:
		return false
	case !step.Reserved().Fits(c.free):
		return false
	case step.Scavenger && (c.idleMilliProcessors < minIdleFor(step) || c.headroom(e, step, e.imageOf(s)) < 0):
		return false
	}
	return c.allows(s)
}

// allows reports whether the step's label and its bound for each worker allow one
// more task there.
func (c *candidate) allows(s *readyStep) bool {
	return c.view.worker.MayRun(s.step) && (s.step.MaxPerWorker == 0 || c.taskCount(s) < s.step.MaxPerWorker)
}

// imageOf returns the index of the step's image.
func (e *Engine) imageOf(s *readyStep) interference.Image {
	if !s.imageKnown {
		s.image, s.imageKnown = e.slowdown.pairs.Image(s.step.Image), true
	}
	return s.image
}

// score prefers, for a task that takes unused processors, the worker with most
// of them, and for any other the one that has least left, so that room for wide
// tasks remains. A task near its data comes first.
func (e *Engine) score(c *candidate, s *readyStep) int64 {
	score := int64(0)
	if s.step.DataRack != "" && c.view.worker.HasLabel(s.step.DataRack) || s.step.OneRack && c.view.worker.Rack == s.rack {
		score = rackWeight
	}
	if s.step.Scavenger {
		image := e.imageOf(s)
		return score + c.idleMilliProcessors + int64(min(c.headroom(e, s.step, image), maxHeadroom)*headroomWeight+c.advantage(e, image)*advantageWeight)
	}
	if c.quarantined {
		score -= quarantineWeight
	}
	if s.step.Lasting {
		score += int64(c.imageAffinity(e, s.step)) * affinityWeight
	}
	return score - c.free.MilliProcessors
}

// rackWeight puts a worker on the rack of a task's data, or of the other tasks of
// its step, before all others.
const rackWeight = 1 << 40

// quarantineWeight puts a suspected worker behind all others.
const quarantineWeight = 1 << 50

// affinityWeight makes one task of another image outweigh any difference in room,
// in thousandths of a processor.
const affinityWeight = 1 << 30

// imageAffinity prefers workers on which the serving tasks have the step's image: each
// image is hurt by other scavengers, and a mixture by all of them.
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
