package dispatch

import (
	"slices"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/workflow"
)

// candidate is a worker as one plan sees it.
type candidate struct {
	view *view
	// suspect workers get only tasks that last, which the platform wants to run
	// wherever there is room.
	suspect bool
	// free is what is not reserved.
	free workflow.Resources
	// idle is the estimate of the processors that nothing uses, in thousandths.
	idle int64
	// perStep counts the tasks of a step on the worker.
	perStep map[workflow.StepRef]uint32
	// keptFor is the job for whose task that lasts the worker is kept.
	keptFor *workflow.Job
	// lastingRoom is what the worker has beside its tasks that last.
	lastingRoom  workflow.Resources
	lastingKnown bool
}

// pool is the workers that may get work in one plan.
type pool struct {
	byService map[string][]*candidate
	// failed lists requests for which no worker had room in this plan.
	failed []shape
	// holders are the gangs for which other scavengers are held back.
	holders map[string]workflow.StepRef
}

// shape is what decides whether a task fits a worker.
type shape struct {
	service   string
	label     string
	need      workflow.Resources
	scavenger bool
	lasting   bool
	// image decides for scavengers, which disturb by it.
	image string
}

func shapeOf(job *workflow.Job, step *workflow.Step) shape {
	s := shape{service: job.Service, label: step.Label, need: step.Resources, scavenger: step.Scavenger, lasting: step.Lasting}
	if step.Scavenger {
		s.image = step.Image
	}
	return s
}

func (e *Engine) newPool() *pool {
	p := &pool{byService: make(map[string][]*candidate), holders: e.holds()}
	for _, v := range e.list {
		if !e.answers(v) || e.preparingWorker(v) {
			continue
		}
		p.byService[v.worker.Service] = append(p.byService[v.worker.Service], e.candidateOf(v))
	}
	return p
}

func (e *Engine) candidateOf(v *view) *candidate {
	return &candidate{view: v, suspect: e.now < v.suspectTo, free: v.worker.Capacity.Sub(v.worker.Reserved), idle: e.standingOf(v).idle}
}

// answers reports whether a worker can take orders and stays.
func (e *Engine) answers(v *view) bool {
	return !v.worker.Draining && e.reachable(v) && v.clockMs > 0
}

// noteExhausted remembers that no worker has room for a task of the step. A step
// with a bound for each worker, with advice or with a task that avoids a worker
// may have failed by that alone.
func (p *pool) noteExhausted(s *readyStep, avoids bool) {
	if s.step.MaxPerWorker == 0 && !s.job.Advised && !avoids {
		p.failed = append(p.failed, shapeOf(s.job, s.step))
	}
}

// covered reports whether a request that is no larger has failed in this plan.
func (p *pool) covered(s *readyStep) bool {
	want := shapeOf(s.job, s.step)
	return slices.ContainsFunc(p.failed, func(f shape) bool {
		return f.service == want.service && f.scavenger == want.scavenger && f.lasting == want.lasting && f.image == want.image && (f.label == "" || f.label == want.label) && f.need.Fits(want.need)
	})
}

func (c *candidate) take(s *readyStep) {
	c.free = c.free.Sub(s.step.Reserved())
	c.idle -= s.step.Resources.MilliProcessors
	c.count(s)
	c.perStep[s.ref]++
}

func (c *candidate) give(s *readyStep) {
	c.free = c.free.Add(s.step.Reserved())
	c.idle += s.step.Resources.MilliProcessors
	c.perStep[s.ref]--
}

// count returns the number of the step's tasks on the worker.
func (c *candidate) count(s *readyStep) uint32 {
	if c.perStep == nil {
		c.perStep = make(map[workflow.StepRef]uint32)
		for _, a := range c.view.list {
			c.perStep[a.ref.StepRef()]++
		}
	}
	return c.perStep[s.ref]
}

// choose filters and scores the workers for one task of a step.
func (e *Engine) choose(p *pool, s *readyStep) *candidate {
	var best *candidate
	bestScore := int64(0)
	if s.step.OneRack {
		s.rack = e.rackFor(p, s)
	}
	for _, c := range p.byService[s.job.Service] {
		if !e.admits(c, s) || e.failedOn(s, c.view) {
			continue
		}
		if score := e.score(c, s); best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// rackFor returns the rack on which a step's tasks run already, or else the one on
// which most of them find room now.
func (e *Engine) rackFor(p *pool, s *readyStep) string {
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
			left = c.idle
		}
		rack := c.view.worker.Rack
		room[rack] += max(left/need, 1)
		if best == "" || room[rack] > room[best] {
			best = rack
		}
	}
	return best
}

// failedOn reports whether the next task of the step failed on the worker lately.
func (e *Engine) failedOn(s *readyStep, v *view) bool {
	a, failed := e.avoid[s.next()]
	return failed && !s.step.Lasting && a.worker == v.worker.ID && e.now < a.until
}

// avoids reports whether the next task of the step keeps away from a worker.
func (e *Engine) avoids(s *readyStep) bool {
	a, failed := e.avoid[s.next()]
	return failed && !s.step.Lasting && e.now < a.until
}

// admits reports whether a worker may run a task of the step.
func (e *Engine) admits(c *candidate, s *readyStep) bool {
	return e.hasRoom(c, s) && e.permitted(c, s)
}

// hasRoom reports whether a worker suits the step and can take one more task.
func (e *Engine) hasRoom(c *candidate, s *readyStep) bool {
	step := s.step
	switch {
	case c.suspect && !step.Lasting:
		return false
	case c.keptFor != nil && !step.Lasting && !step.Scavenger:
		return false
	case !step.Reserved().Fits(c.free):
		return false
	case step.Scavenger && (c.idle < scavengerRoom(step) || c.headroom(e, step, e.imageOf(s)) < 0):
		return false
	}
	return c.suits(s)
}

// suits reports whether the step's label and its bound for each worker allow one
// more task there.
func (c *candidate) suits(s *readyStep) bool {
	return c.view.worker.HasRequiredLabel(s.step) && (s.step.MaxPerWorker == 0 || c.count(s) < s.step.MaxPerWorker)
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
		return score + c.idle + int64(min(c.headroom(e, s.step, image), maxHeadroom)*headroomWeight+c.advantage(e, image)*advantageWeight)
	}
	if c.suspect {
		score -= suspectWeight
	}
	if s.step.Lasting {
		score += int64(c.affinity(e, s.step)) * affinityWeight
	}
	return score - c.free.MilliProcessors
}

// rackWeight puts a worker on the rack of a task's data, or of the other tasks of
// its step, before all others.
const rackWeight = 1 << 40

// suspectWeight puts a suspected worker behind all others.
const suspectWeight = 1 << 50

// affinityWeight makes one task of another image outweigh any difference in room,
// in thousandths of a processor.
const affinityWeight = 1 << 30

// affinity prefers workers on which the serving tasks have the step's image: each
// image is hurt by other scavengers, and a mixture by all of them.
func (c *candidate) affinity(e *Engine, step *workflow.Step) int {
	same, others := 0, 0
	for _, a := range c.view.list {
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
