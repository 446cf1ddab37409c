package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// urgentLoad is a fleet of workers filled with lasting tasks to which quick, batch and
// further lasting jobs are submitted. It checks the platform's limits on lasting tasks
// every tickInterval.
type urgentLoad struct {
	*sim
	nextJob workflow.JobID
	quick   map[workflow.JobID]*quickJob
	lasting map[workflow.JobID]*servingJob
	// stops counts the stops of lasting tasks. stopsAt holds the time of each.
	stopsAt []Instant
	// away holds for how long lasting tasks that were stopped did not run.
	away []time.Duration
	// operational and expected count samples of lasting tasks, and all of them.
	operational, expected int
	// capacity is that of the fleet, requested what lasting jobs request, in thousandths of a
	// processor.
	capacity, requested int64
	// estimateError is the factor by which the estimates of quick tasks may be off, zero for none.
	estimateError float64
	runs          map[*simRun]bool
}

type quickJob struct {
	submittedAt, startedAt, finishedAt Instant
	objective                          time.Duration
	work                               float64
	// widthMilli is the width of its tasks in thousandths of a processor.
	widthMilli int64
}

type servingJob struct {
	submittedAt Instant
	step        workflow.Step
	tasks       []servingTask
}

type servingTask struct {
	run *simRun
	// endedAt is when its last run ended, or its job was submitted. roomSince is since when
	// the task has waited while the fleet had capacity for two such tasks.
	startedAt, endedAt, roomSince Instant
	ran, stopped                  bool
}

// urgentFleetShare is the size of the simulated fleet as a part of the users' fleet of 490
// workers, and of its load.
const urgentFleetShare = 0.2

// quickStretchMilli is the stretch of the quick queue. Simulated steps take up to 1.6 times their
// estimate, so that half of it is left for waiting, as for the users' quick jobs.
const quickStretchMilli = 2000

func newUrgentLoad(s *sim) *urgentLoad {
	return newUrgentLoadOn(s, int(490*urgentFleetShare), 16, 24)
}

// newUrgentLoadOn starts the given number of workers. Every third has the second number of
// processors, the others the first.
func newUrgentLoadOn(s *sim, workers int, processors, thirdProcessors int64) *urgentLoad {
	u := &urgentLoad{sim: s, quick: make(map[workflow.JobID]*quickJob), lasting: make(map[workflow.JobID]*servingJob), runs: make(map[*simRun]bool)}
	s.faults.slowStop = 1
	queue := func(name string, priority int32, stretch, objective int64) workflow.Queue {
		return workflow.Queue{Name: name, Host: "h", PathPrefix: "/" + name + "/", Service: "pool", TimeoutMs: 3000, MaxAttempts: 3, Priority: priority, StretchMilli: stretch, LatencyObjectiveMs: objective}
	}
	s.engine.SetCatalog(&workflow.Catalog{Version: 1, Queues: []workflow.Queue{queue("quick", 0, quickStretchMilli, 275), queue("batch", 2, 2000, 1000), queue("lasting", 0, 1000, 2500)}, Services: []workflow.Service{{Name: "pool"}}},
		func(err *kind.Error) { require.Nil(s.t, err) })
	for i := range workers {
		size := processors
		if i%3 == 0 {
			size = thirdProcessors
		}
		w := s.newWorker(fmt.Sprint("w", i), fmt.Sprint("w", i, ":1"), size, fmt.Sprint("r", i%4))
		w.capacity.MemoryMB = 64_000
		w.domain = fmt.Sprint("z", i%8)
		u.capacity += w.capacity.MilliProcessors
		w.report()
	}
	s.every(tickInterval, u.check)
	s.run(time.Second)
	return u
}

func (u *urgentLoad) submitJob(queue string, steps ...workflow.Step) workflow.JobID {
	u.nextJob++
	u.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/" + queue + "/" + u.nextJob.String(), Job: &workflow.JobSpec{Payload: "p", Steps: steps}}, func(r Reply) { require.Nil(u.t, r.Err) })
	return u.nextJob
}

// submitLasting submits a job of 14 lasting tasks of 1.9 to 5.1 processors.
func (u *urgentLoad) submitLasting() {
	width := int64(1900 + min(u.rng.ExpFloat64()*1300, 3200))
	step := workflow.Step{Count: 14, Lasting: true, Image: fmt.Sprint("serving", u.rng.IntN(10)), MaxUnavailable: u.rng.Int32N(4), Resources: workflow.Resources{MilliProcessors: width, MemoryMB: 6400}}
	job := &servingJob{submittedAt: u.now, step: step, tasks: make([]servingTask, step.Count)}
	for i := range job.tasks {
		job.tasks[i].endedAt = u.now
	}
	u.lasting[u.submitJob("lasting", step)] = job
	u.requested += int64(step.Count) * width
}

// fillWithLasting submits lasting jobs until they request the given part of the fleet.
func (u *urgentLoad) fillWithLasting(part float64) {
	for u.requested < int64(part*float64(u.capacity)) {
		u.submitLasting()
	}
}

// submitQuick submits a job of one or two steps of some 10 tasks of 0.8 to 8.5 processors.
func (u *urgentLoad) submitQuick() {
	width := int64(min(800+u.rng.ExpFloat64()*1900, 8500))
	estimate := 580 + u.rng.Int64N(150) // Runs take 0.6 to 1.6 times as long.
	if u.estimateError > 0 {
		estimate = int64(float64(estimate) * math.Pow(u.estimateError, 2*u.rng.Float64()-1))
	}
	first := workflow.Step{Count: 6 + u.rng.Uint32N(9), Resources: workflow.Resources{MilliProcessors: width, MemoryMB: 5200}, EstimatedMs: estimate}
	steps := []workflow.Step{first}
	if u.rng.Float64() < 0.6 {
		second := first
		second.After = []uint32{0}
		steps = append(steps, second)
	}
	job := &quickJob{submittedAt: u.now, widthMilli: width, objective: time.Duration(float64(len(steps))*float64(estimate)*quickStretchMilli/1000+275) * time.Millisecond}
	for _, step := range steps {
		job.work += float64(int64(step.Count) * width * estimate)
	}
	u.quick[u.submitJob("quick", steps...)] = job
}

func (u *urgentLoad) submitBatch() {
	step := workflow.Step{Count: 20, Resources: workflow.Resources{MilliProcessors: 1800, MemoryMB: 1500}, EstimatedMs: 2200, Scavenger: true, Resumable: true, Image: fmt.Sprint("batch", u.rng.IntN(18))}
	second := step
	second.After = []uint32{0}
	u.submitJob("batch", step, second)
}

// arrivals calls submit at random times, rate times a second for the given duration.
func (u *urgentLoad) arrivals(from, duration time.Duration, rate float64, submit func()) {
	for at := from; ; {
		at += time.Duration(u.rng.ExpFloat64() / (rate * urgentFleetShare) * float64(time.Second))
		if at >= from+duration {
			return
		}
		u.after(at, submit)
	}
}

// check records what began and ended, and checks the limits on lasting tasks.
func (u *urgentLoad) check() {
	for id, job := range u.quick {
		if job.startedAt == 0 {
			accepted := u.engine.state.Job(id)
			if accepted == nil {
				continue // A leader took it that did not last until it was committed.
			}
			for i := range accepted.Spec.Steps[0].Count {
				if at, ok := u.lastStartAt[workflow.TaskRef{Job: id, Index: i}]; ok && (job.startedAt == 0 || at < job.startedAt) {
					job.startedAt = at
				}
			}
		}
		if committed := u.committed.Job(id); job.finishedAt == 0 && committed != nil && committed.State() == workflow.JobCompleted {
			job.finishedAt = u.now
		}
	}
	var free []workflow.Resources
	for _, w := range u.workers {
		if w.dead || w.partitioned {
			continue // Nobody can use its capacity.
		}
		left := w.capacity
		for _, run := range w.running {
			left = left.Sub(run.step.Reserved())
		}
		free = append(free, left)
	}
	for id, job := range u.lasting {
		u.checkLasting(id, job, free)
	}
}

func (u *urgentLoad) checkLasting(id workflow.JobID, job *servingJob, free []workflow.Resources) {
	unavailable := int32(0)
	stopsBefore := len(u.stopsAt)
	for i := range job.tasks {
		task := &job.tasks[i]
		ref := workflow.TaskRef{Job: id, Index: uint32(i)}
		var run *simRun
		if runs := u.sim.runs[ref]; len(runs) > 0 {
			run = runs[0]
		}
		if run != nil && run.stopping && !u.runs[run] {
			u.runs[run] = true
			u.stopsAt = append(u.stopsAt, u.now)
			if task.stopped && u.now.Sub(task.startedAt) < 10*time.Second {
				u.violate("lasting task %s is stopped %v after its return", ref, u.now.Sub(task.startedAt))
			}
			task.stopped = true
		}
		switch {
		case run != nil && task.run != run:
			task.startedAt = run.startedAt
			if task.stopped {
				u.away = append(u.away, run.startedAt.Sub(task.endedAt))
			}
			task.ran = true
		case run == nil && task.run != nil:
			task.endedAt = u.now
		}
		task.run = run
		if run == nil || run.stopping {
			unavailable++
		}
		u.expected++
		if run != nil && !run.stopping {
			u.operational++
		}
		u.checkWaiting(ref, job, task, free)
	}
	if limit := job.step.MaxUnavailable; limit > 0 && len(u.stopsAt) > stopsBefore && unavailable > limit {
		u.violate("%d of at most %d tasks of lasting job %s are unavailable after a stop", unavailable, limit, id)
	}
	if len(u.stopsAt) > stopsBefore && unavailable == int32(job.step.Count) {
		u.violate("the last running task of lasting job %s is stopped", id)
	}
}

// checkWaiting checks that a lasting task does not wait for 3 s while the fleet has capacity
// for two such tasks, from 6 s after its last run on, or from its submission if it never ran.
func (u *urgentLoad) checkWaiting(ref workflow.TaskRef, job *servingJob, task *servingTask, free []workflow.Resources) {
	grace := 6 * time.Second
	if !task.ran {
		grace = 0
	}
	if task.run != nil || u.now.Sub(task.endedAt) < grace || roomFor(free, job.step.Resources) < 2 {
		task.roomSince = 0
		return
	}
	if task.roomSince == 0 {
		task.roomSince = u.now
	}
	if u.now.Sub(task.roomSince) >= 3*time.Second {
		u.violate("lasting task %s has waited for 3 s while there was capacity", ref)
		task.roomSince = u.now
	}
}

// roomFor returns how many tasks of the given size fit, at most two.
func roomFor(free []workflow.Resources, need workflow.Resources) int {
	count := 0
	for _, left := range free {
		for ; need.Fits(left) && count < 2; left = left.Sub(need) {
			count++
		}
	}
	return count
}

// urgentResult sums up a load.
type urgentResult struct {
	jobs, never, lateStart, onTime int
	// value is the part of their value that quick jobs earned, wideValue that of the tenth
	// with the widest tasks.
	value, wideValue, operational float64
	stops                         int
	maxStopsPerSecond             int
	meanAway, maxAway             time.Duration
	violations                    int
}

// result sums up the quick jobs that were submitted in a period.
func (u *urgentLoad) result(from, to Instant) urgentResult {
	var jobs []*quickJob
	for _, job := range u.quick {
		if job.submittedAt >= from && job.submittedAt < to {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *quickJob) int { return cmp.Compare(b.widthMilli, a.widthMilli) })
	r := urgentResult{jobs: len(jobs), stops: len(u.stopsAt), violations: len(u.violations), operational: float64(u.operational) / float64(max(u.expected, 1))}
	var total, wideTotal float64
	for i, job := range jobs {
		earned := 0.0
		switch took := job.finishedAt.Sub(job.submittedAt); {
		case job.finishedAt == 0:
		case took <= job.objective:
			r.onTime++
			earned = 1
		case took <= lateDeadlineFactor*job.objective:
			earned = lateValuePart
		}
		switch {
		case job.startedAt == 0:
			r.never++
		case job.startedAt.Sub(job.submittedAt) > 500*time.Millisecond:
			r.lateStart++
		}
		total += job.work
		r.value += earned * job.work
		if i < (len(jobs)+9)/10 {
			wideTotal += job.work
			r.wideValue += earned * job.work
		}
	}
	r.value, r.wideValue = r.value/math.Max(total, 1), r.wideValue/math.Max(wideTotal, 1)
	for i := range u.stopsAt {
		n := 0
		for _, at := range u.stopsAt[i:] {
			if at.Sub(u.stopsAt[i]) < time.Second {
				n++
			}
		}
		r.maxStopsPerSecond = max(r.maxStopsPerSecond, n)
	}
	for _, d := range u.away {
		r.meanAway += d / time.Duration(len(u.away))
		r.maxAway = max(r.maxAway, d)
	}
	return r
}

func (r urgentResult) String() string {
	return fmt.Sprintf("%d quick jobs: %d never started, %d started after 0.5 s, %d on time, value %.3f, widest tenth %.3f; lasting %.4f operational, %d stops, at most %d a second, away %v in the mean and %v at most; %d violations",
		r.jobs, r.never, r.lateStart, r.onTime, r.value, r.wideValue, r.operational, r.stops, r.maxStopsPerSecond, r.meanAway.Round(time.Millisecond), r.maxAway.Round(time.Millisecond), r.violations)
}
