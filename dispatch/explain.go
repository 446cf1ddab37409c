package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

const (
	// maxExplainedSteps, maxExplainedWorkers and maxRejectionExamples bound an explanation,
	// maxExplainedTasks the simulated placements of all steps together, which may filter all
	// workers each: the leader's loop decides on nothing else meanwhile.
	maxExplainedSteps    = 16
	maxExplainedWorkers  = 5
	maxRejectionExamples = 2
	maxExplainedTasks    = 64
	// stopTime is the longest time that a stop takes.
	stopTime = 900 * time.Millisecond
)

// PlacementQuestion asks where the tasks of a job would be placed now. It names an accepted
// job by its ID, or describes one with its queue.
type PlacementQuestion struct {
	// JobID is the ID of an accepted job, empty for a job that is described.
	JobID string
	Job   *workflow.JobSpec
	// Queue is the name of a queue. If it is empty, Host and Path select the queue as those
	// of a caller's request do.
	Queue, Host, Path string
}

// PlacementExplanation answers a PlacementQuestion.
type PlacementExplanation struct {
	Queue, Service string
	JobID          string `json:",omitempty"`
	// State is the state of an accepted job.
	State workflow.JobState `json:",omitempty"`
	// Term is the leader's term, LeadsForMs the time since it took over.
	Term       uint64
	LeadsForMs int64
	// UncommittedBatches counts the batches of decisions that the answer rests on and that
	// are not committed yet.
	UncommittedBatches int
	// Workers counts the recorded workers of the service.
	Workers int
	Steps   []StepExplanation
	// OmittedSteps counts the further steps.
	OmittedSteps int `json:",omitempty"`
}

// StepExplanation tells where the next task of a step would be placed. All steps are
// explained as if they were ready, each without the others.
type StepExplanation struct {
	Occurrence, Step uint32
	// Tasks counts the tasks of the step, Pending those that are not placed.
	Tasks, Pending int
	// Needs is what a task requests. The processors of scavengers are not reserved.
	Needs workflow.Resources
	// Blocked is why no task of the step is placed now whatever the workers have room for,
	// empty if nothing keeps it back.
	Blocked string `json:",omitempty"`
	// TasksAhead counts the pending tasks of the service that are placed first.
	TasksAhead int
	// Held counts the pending tasks that open starts keep from all workers, OpenStarts are
	// some of these starts. A worker is sought for the other tasks, if there are any.
	Held       int                  `json:",omitempty"`
	OpenStarts []ExplainedOpenStart `json:",omitempty"`
	// Kept counts the placed tasks that do not run and stay with their worker, since a start of
	// them is open, KeptStarts are some of these starts.
	Kept       int                  `json:",omitempty"`
	KeptStarts []ExplainedOpenStart `json:",omitempty"`
	// Fitting counts the workers that would take the next task. Best are those with the highest
	// scores, the first choice first.
	Fitting int
	Best    []RankedWorker
	// RoomFor counts the pending tasks, up to RoomLimit, that would find a worker now.
	RoomFor, RoomLimit int
	// Rejections are the filters that reject workers, in the order in which they apply.
	Rejections []Rejection
	// NextFree tells where capacity for the task is expected first, if no worker fits.
	NextFree *ExpectedCapacity `json:",omitempty"`
}

// RankedWorker is a worker that would take a task.
type RankedWorker struct {
	Worker string
	Score  int64
	// Parts add up to Score.
	Parts []ScorePart
	Free  workflow.Resources
	// LastAnswerMs is the time since the worker's last answer to this leader, -1 for none.
	LastAnswerMs int64
}

// ScorePart is a part of a score.
type ScorePart struct {
	Name  string
	Value int64
}

// Rejection counts the workers that a filter rejects.
type Rejection struct {
	Filter   string
	Workers  int
	Examples []RejectedWorker
}

// RejectedWorker is an example of a rejected worker.
type RejectedWorker struct {
	Worker string
	Detail string `json:",omitempty"`
	// LastAnswerMs is as in RankedWorker.
	LastAnswerMs int64
}

// ExpectedCapacity is when a worker is expected to have capacity for a task.
type ExpectedCapacity struct {
	Worker string
	InMs   int64
	// Ends counts the attempts that must end before.
	Ends int
	// LastAnswerMs is as in RankedWorker.
	LastAnswerMs int64
}

// ExplainPlacement explains where the tasks of a job would be placed now. It changes nothing:
// it works on a copy, with the functions that decide on placements. The error is of kind
// bad_request for an invalid question, not_found for an unknown job or queue name,
// unknown_service if no queue serves the host and path, and overloaded without a catalog.
func (e *Engine) ExplainPlacement(q *PlacementQuestion) (*PlacementExplanation, *kind.Error) {
	job, err := e.explainedJob(q)
	if err != nil {
		return nil, err
	}
	x := &PlacementExplanation{Queue: job.Queue, Service: job.Service, Term: e.term, LeadsForMs: e.since(e.tookOverAt).Milliseconds(), UncommittedBatches: len(e.waiting)}
	if e.inFlight != nil {
		x.UncommittedBatches++
	}
	if q.JobID != "" {
		x.JobID, x.State = job.ID.String(), job.State()
	}
	if !job.Active() {
		return x, nil
	}
	c := e.scratchCopy()
	c.ready.refresh(c.state, c.wallMs)
	c.forgetMoves()
	set := c.newCandidateSet()
	c.reserveForLasting(set)
	for _, v := range c.sortedViews {
		if v.worker.Service == job.Service {
			x.Workers++
		}
	}
	occurrence := explainedOccurrence(job)
	explained := min(len(job.Spec.Steps), maxExplainedSteps)
	for i := range explained {
		x.Steps = append(x.Steps, c.explainStep(set, job, occurrence, uint32(i), maxExplainedTasks/explained))
	}
	x.OmittedSteps = len(job.Spec.Steps) - explained
	return x, nil
}

// explainedJob returns the accepted job of a question, or one that is not recorded.
func (e *Engine) explainedJob(q *PlacementQuestion) (*workflow.Job, *kind.Error) {
	if q.JobID != "" {
		id, err := workflow.ParseJobID(q.JobID)
		if err != nil {
			return nil, toKindError(err)
		}
		if job := e.state.Job(id); job != nil {
			return job, nil
		}
		return nil, kind.Errorf(kind.NotFound, "job %s", id)
	}
	if q.Job == nil {
		return nil, kind.Errorf(kind.BadRequest, "the question has neither a job nor the ID of one")
	}
	if err := q.Job.Validate(); err != nil {
		return nil, toKindError(err)
	}
	queue, err := e.explainedQueue(q)
	if err != nil {
		return nil, err
	}
	job := &workflow.Job{
		Queue: queue.Name, Service: queue.Service, Priority: queue.Priority, MaxAttempts: max(queue.MaxAttempts, 1), Spec: *q.Job, AcceptedMs: e.wallMs,
		StretchMilli: queue.StretchMilli, LatencyObjectiveMs: queue.LatencyObjectiveMs, Advised: queue.Advised, AdviceValidMs: queue.AdviceValidMs,
		AdviceBaseMs: queue.AdviceBaseMs, AdviceEachMs: queue.AdviceEachMs,
	}
	for e.state.Job(job.ID) != nil {
		job.ID++ // What is known of another job must not count for this one.
	}
	for i := range job.Spec.Steps {
		job.OpenTasks += job.Spec.Steps[i].Count
	}
	job.Occurrences = workflow.NewOccurrences(&job.Spec)
	return job, nil
}

func (e *Engine) explainedQueue(q *PlacementQuestion) (*workflow.Queue, *kind.Error) {
	if e.state.Catalog() == nil {
		return nil, kind.Errorf(kind.Overloaded, "there is no configuration yet")
	}
	if q.Queue == "" {
		if queue, _, ok := e.state.MatchQueue(q.Host, q.Path); ok {
			return queue, nil
		}
		return nil, kind.Errorf(kind.UnknownService, "no queue serves %s%s", q.Host, q.Path)
	}
	queue := e.state.QueueNamed(q.Queue)
	if queue == nil {
		return nil, kind.Errorf(kind.NotFound, "queue %q", q.Queue)
	}
	return queue, nil
}

// explainedOccurrence returns the first occurrence of a job that is not done.
func explainedOccurrence(job *workflow.Job) uint32 {
	for o := job.Occurrences.Next(0); o < job.Occurrences.Len(); o = job.Occurrences.Next(o + 1) {
		for i := range job.Spec.Steps {
			if job.Occurrences.Done(o, uint32(i)) < job.Spec.Steps[i].Count {
				return o
			}
		}
	}
	return 0
}

// explainStep explains a step on a scratch copy of the engine, with at most maxTasks simulated
// placements.
func (e *Engine) explainStep(set *candidateSet, job *workflow.Job, occurrence, index uint32, maxTasks int) StepExplanation {
	step := &job.Spec.Steps[index]
	x := StepExplanation{Occurrence: occurrence, Step: index, Tasks: int(step.Count), Needs: step.Resources}
	s := e.explainedStep(job, occurrence, index)
	x.Pending = len(s.pending)
	e.explainOpenStarts(&x, s)
	if x.Pending == 0 {
		x.Blocked = "no task is pending"
		return x
	}
	x.Blocked = e.blockedBy(set, s)
	for _, other := range e.ready.sorted {
		if other.job.Service == job.Service && other.ref != s.ref && len(other.pending) > 0 && other.job.Spec.DueMs(other.ref.Occurrence) <= e.wallMs && compareSchedulingOrder(other, s) < 0 {
			x.TasksAhead += len(other.pending)
		}
	}
	ranked := e.rank(set, s)
	first := ranked.best(e)
	e.explainRanking(&x, ranked, first)
	e.explainRejections(&x, set, s)
	x.RoomLimit = min(len(s.pending), maxTasks)
	x.RoomFor = e.roomFor(ranked, s, x.RoomLimit)
	if step.Gang && x.Blocked == "" && x.RoomFor < x.RoomLimit {
		x.Blocked = "the gang has no room for all of its tasks"
	}
	if first == nil {
		x.NextFree = e.nextFree(set, s)
	}
	return x
}

// explainedStep returns the step with its pending tasks as the next plan would see it, or as if
// it were ready.
func (e *Engine) explainedStep(job *workflow.Job, occurrence, index uint32) *readyStep {
	ref := workflow.StepRef{Job: job.ID, Occurrence: occurrence, Step: index}
	for _, known := range slices.Concat(e.ready.byJob[job.ID], e.ready.suspects[job.ID]) {
		if known.ref == ref && known.job == job {
			s := *known
			s.pending, s.limited = slices.Concat(known.pending, known.limited), nil
			slices.Sort(s.pending)
			return &s
		}
	}
	chains := e.ready.remainingPathsMs(job)
	s := &readyStep{
		ref: ref, job: job, step: &job.Spec.Steps[index], waitingSinceMs: e.wallMs, baseValueDensity: e.ready.baseValueDensity(job),
		criticalPathMs: slices.Max(chains), remainingMs: chains[index], errorPart: e.ready.errorPart(job, index),
	}
	s.pending = job.Occurrences.AppendPending(nil, occurrence, index)
	s.lateness = s.latenessAt(e.wallMs)
	s.sortDeadlineMs, s.valueDensity = s.deadlineMs(s.lateness), s.valueDensityAt(e.wallMs)
	return s
}

// blockedBy returns why the next plan would place no task of the step on any worker, empty if it
// might. It prepares the step and the candidates as the plan does.
func (e *Engine) blockedBy(set *candidateSet, s *readyStep) string {
	held := e.dropTasksOfOpenStarts(s)
	belowTarget := false
	if s.step.Lasting && e.poolActive(s.job.Service) {
		belowTarget = e.holdGaps(set, s.job.Service)
		s.yields = e.mayYield(s, s.pending[0])
	}
	due := s.job.Spec.DueMs(s.ref.Occurrence)
	switch {
	case !s.job.StepReady(s.ref.Occurrence, s.ref.Step):
		return fmt.Sprintf("it waits for the steps %v", s.step.After)
	case due > e.wallMs:
		return fmt.Sprintf("it is due in %v", time.Duration(due-e.wallMs)*time.Millisecond)
	case held:
		return "starts or runs of its tasks may not be over yet"
	case !s.step.Gang && needsTest(s.job.Suspect(s.firstPending())):
		return "its next task is tested first, on a worker that takes nothing else meanwhile"
	case set.blockedByGang(s):
		return "scavengers are held back for a gang"
	case s.step.Gang && uint32(len(s.pending)) < s.step.Count:
		return "tasks of an earlier run of the gang have not ended yet"
	case s.yields && belowTarget:
		return "capacity held for urgent tasks is below its target"
	}
	return ""
}

// explainRanking records the best workers. first is the one that is chosen.
func (e *Engine) explainRanking(x *StepExplanation, r *ranking, first *candidate) {
	entries := slices.DeleteFunc(slices.Clone(r.entries), func(entry rankedCandidate) bool {
		return !entry.admitted || e.failedRecentlyOn(r.step, entry.candidate.view)
	})
	slices.SortStableFunc(entries, func(a, b rankedCandidate) int {
		return cmp.Or(compareBools(b.candidate == first, a.candidate == first), cmp.Compare(b.score, a.score))
	})
	x.Fitting = len(entries)
	for _, entry := range entries[:min(len(entries), maxExplainedWorkers)] {
		v := entry.candidate.view
		x.Best = append(x.Best, RankedWorker{Worker: v.worker.Life.Name, Score: entry.score, Parts: e.scoreParts(r.set, entry.candidate, r.step), Free: entry.candidate.free, LastAnswerMs: e.lastAnswerMs(v)})
	}
}

// scoreParts returns the parts of Engine.score that are not zero.
func (e *Engine) scoreParts(p *candidateSet, c *candidate, s *readyStep) []ScorePart {
	var parts []ScorePart
	add := func(name string, applies bool, value int64) {
		if applies && value != 0 {
			parts = append(parts, ScorePart{name, value})
		}
	}
	add("silent", c.silent, -silentWeight)
	add("unanswered", e.leftUnanswered(c, s), -unansweredWeight)
	add("cold", e.cold(c.view), -coldWeight)
	add("rack", s.step.DataRack != "" && c.view.worker.HasLabel(s.step.DataRack) || s.step.OneRack && c.view.worker.Rack == s.rack, rackWeight)
	if s.step.Scavenger {
		image := e.imageOf(s)
		headroom, advantage := min(c.headroom(e, s.step, image), maxHeadroom)*headroomWeight, c.advantage(e, p, image)*advantageWeight
		add("idle_processors", true, c.idleMilliProcessors)
		add("headroom", true, int64(headroom))
		// The score rounds the sum of both.
		add("advantage", true, int64(headroom+advantage)-int64(headroom))
		return parts
	}
	add("quarantined", c.quarantined, -quarantineWeight)
	if s.step.Lasting {
		add("image", true, int64(c.imageAffinity(e, s.step))*affinityWeight)
		add("urgent_gaps", true, e.gapScore(c, s))
	}
	add("reserved", c.lookAhead != nil && c.lookAhead.ref != s.ref && !s.step.Lasting, -assignedWeight)
	add("best_fit", true, -c.free.MilliProcessors)
	return parts
}

// roomFor returns how many tasks of the step would find a worker, up to limit.
func (e *Engine) roomFor(r *ranking, s *readyStep, limit int) int {
	var chosen []*candidate
	for len(chosen) < limit {
		c := r.best(e)
		if c == nil {
			break
		}
		c.reserve(s)
		r.update(e, c)
		chosen = append(chosen, c)
	}
	for _, c := range chosen {
		c.release(s)
	}
	return len(chosen)
}

// nextFree returns the worker that is expected first to have capacity for the step, nil if none
// is: of those that lack nothing else.
func (e *Engine) nextFree(set *candidateSet, s *readyStep) *ExpectedCapacity {
	var best *ExpectedCapacity
	for _, c := range set.byService[s.job.Service] {
		if filter, _ := e.rejection(c, s); filter != filterCapacity || !c.allows(s) {
			continue
		}
		in, ends, known := e.capacityIn(c, s)
		if known && (best == nil || in.Milliseconds() < best.InMs) {
			best = &ExpectedCapacity{Worker: c.view.worker.Life.Name, InMs: in.Milliseconds(), Ends: ends, LastAnswerMs: e.lastAnswerMs(c.view)}
		}
	}
	return best
}

// capacityIn returns after which time and how many ends a worker is expected to have capacity
// for the step, by the medians of the remaining times of its attempts.
func (e *Engine) capacityIn(c *candidate, s *readyStep) (in time.Duration, ends int, known bool) {
	type expectedEnd struct {
		in   time.Duration
		need workflow.Resources
	}
	var expected []expectedEnd
	for _, a := range c.view.attemptList {
		step := e.step(a.ref)
		if step == nil || step.Lasting && !a.stopWanted {
			continue
		}
		left, known := e.remainingQuantile(a, 0.5)
		if !known {
			left = estimateOf(step) * time.Duration(fullShare-a.percent) / fullShare
		}
		if a.stopWanted && (step.Lasting || left > stopTime) {
			left = stopTime
		}
		expected = append(expected, expectedEnd{left, step.Reserved()})
	}
	slices.SortStableFunc(expected, func(a, b expectedEnd) int { return cmp.Compare(a.in, b.in) })
	free := c.free
	for i, end := range expected {
		if free = free.Add(end.need); s.step.Reserved().Fits(free) {
			return end.in, i + 1, true
		}
	}
	return 0, 0, false
}

// lastAnswerMs returns the time since a worker's last answer to this leader, -1 for none.
func (e *Engine) lastAnswerMs(v *workerView) int64 {
	if !v.fenced {
		return -1 // Its answeredAt is when this leader learned of it.
	}
	return e.since(v.answeredAt).Milliseconds()
}
