package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// spread is a distribution of sizes: the logarithm of a value deviates by about sigma, and no
// value exceeds most.
type spread struct{ mean, sigma, most float64 }

func (u *urgentLoad) draw(d spread) float64 {
	return min(d.mean*math.Exp(d.sigma*u.rng.NormFloat64()-d.sigma*d.sigma/2), d.most)
}

// sizeSpread holds the sizes of the jobs of a queue.
type sizeSpread struct {
	queue                                      string
	steps, width, milliProcessors, memory, run spread
	// uneven is how much the run times of the tasks of a step differ, estimateError how much
	// the estimates are off.
	uneven, estimateError float64
	objective             time.Duration
	stretch               float64
	scavenger             bool
}

const (
	// sizedFleet is the number of simulated workers, usersFleet that of the users. As the fleet is
	// smaller, widthDivisor divides the widths of their steps, and more jobs arrive instead.
	sizedFleet, usersFleet, widthDivisor = 50, 890, 4
)

var (
	quickSizes = sizeSpread{
		queue: "quick", steps: spread{1.6, 0.4, 4}, width: spread{9.4 / widthDivisor, 0.8, 56 / widthDivisor}, milliProcessors: spread{21_000, 0.45, 64_000}, memory: spread{42_000, 0.3, 84_000},
		run: spread{640, 0.5, 1600}, uneven: 0.15, estimateError: 0.9, objective: 275 * time.Millisecond, stretch: quickStretchMilli / 1000.0,
	}
	batchSizes = sizeSpread{
		queue: "batch", steps: spread{2, 0.4, 5}, width: spread{39.0 / widthDivisor, 0.6, 160 / widthDivisor}, milliProcessors: spread{7000, 0.3, 14_000}, memory: spread{13_000, 0.3, 26_000},
		run: spread{1700, 0.5, 4300}, uneven: 0.3, estimateError: 0.2, objective: time.Second, stretch: 2, scavenger: true,
	}
)

// sizedLoad is a fleet of workers with lasting tasks to which jobs of many sizes are submitted.
type sizedLoad struct {
	*urgentLoad
	jobs map[workflow.JobID]*loadedJob
	// workMs is the work of each step without deviations, in milliseconds.
	workMs map[workflow.StepRef]float64
}

type loadedJob struct {
	queue       string
	work        float64
	submittedAt Instant
	objective   time.Duration
	finishedAt  Instant
}

func newSizedLoad(t *testing.T, seed uint64) *sizedLoad {
	l := &sizedLoad{urgentLoad: newUrgentLoadOn(newSim(t, seed), sizedFleet, 64, 96), jobs: make(map[workflow.JobID]*loadedJob), workMs: make(map[workflow.StepRef]float64)}
	for _, w := range l.workers {
		w.capacity.MemoryMB = w.capacity.MilliProcessors * 4
	}
	l.runTime = func(run *simRun) time.Duration {
		workMs, sized := l.workMs[run.ref.StepRef()]
		if !sized {
			return time.Duration(run.step.EstimatedMs) * time.Millisecond
		}
		uneven := batchSizes.uneven
		if !run.step.Scavenger {
			uneven = quickSizes.uneven
		}
		return time.Duration(workMs * math.Exp(uneven*l.rng.NormFloat64()-uneven*uneven/2) * float64(time.Millisecond))
	}
	l.every(tickInterval, func() {
		for id, job := range l.jobs {
			if committed := l.committed.Job(id); job.finishedAt == 0 && committed != nil && committed.State() == workflow.JobCompleted {
				job.finishedAt = l.now
			}
		}
	})
	l.run(time.Second)
	return l
}

// submitServing submits a job of serving tasks.
func (l *sizedLoad) submitServing() {
	step := workflow.Step{Count: max(uint32(l.draw(spread{24 / widthDivisor, 0.4, 48 / widthDivisor})), 1), Lasting: true, Image: fmt.Sprint("serving", l.rng.IntN(16)), Resources: workflow.Resources{MilliProcessors: int64(l.draw(spread{13_000, 0.25, 20_000})), MemoryMB: int64(l.draw(spread{26_000, 0.3, 51_000}))}}
	job := &servingJob{submittedAt: l.now, step: step, tasks: make([]servingTask, step.Count)}
	for i := range job.tasks {
		job.tasks[i].endedAt = l.now
	}
	l.lasting[l.submitJob("lasting", step)] = job
	l.requested += int64(step.Count) * step.Resources.MilliProcessors
}

func (l *sizedLoad) submitSized(sizes *sizeSpread) {
	steps := make([]workflow.Step, max(int(math.Round(l.draw(sizes.steps))), 1))
	job, chain := &loadedJob{queue: sizes.queue, submittedAt: l.now}, 0.0
	image, works := fmt.Sprint("image", l.rng.IntN(30)), make([]float64, len(steps))
	for i := range steps {
		works[i] = l.draw(sizes.run)
		steps[i] = workflow.Step{
			Count: max(uint32(math.Round(l.draw(sizes.width))), 1), EstimatedMs: max(int64(works[i]*math.Exp(sizes.estimateError*(2*l.rng.Float64()-1))), 1),
			Resources: workflow.Resources{MilliProcessors: int64(l.draw(sizes.milliProcessors)), MemoryMB: int64(l.draw(sizes.memory))}, Scavenger: sizes.scavenger, Resumable: sizes.scavenger,
		}
		if sizes.scavenger {
			steps[i].Image = image
		}
		if i > 0 {
			steps[i].After = []uint32{uint32(i - 1)}
		}
		chain += works[i]
		job.work += float64(steps[i].Count) * float64(steps[i].Resources.MilliProcessors) * works[i]
	}
	job.objective = sizes.objective + time.Duration(sizes.stretch*chain*float64(time.Millisecond))
	id := l.submitJob(sizes.queue, steps...)
	l.jobs[id] = job
	for i := range steps {
		l.workMs[workflow.StepRef{Job: id, Step: uint32(i)}] = works[i]
	}
}

// servedClass is a part of the jobs of a queue, by their work.
type servedClass struct {
	name         string
	jobs, served int
}

func (c servedClass) String() string { return fmt.Sprintf("%d of %d of %s", c.served, c.jobs, c.name) }

func (c servedClass) share() float64 { return float64(c.served) / float64(max(c.jobs, 1)) }

// bySize returns all jobs of a queue that were submitted in a period, the largest tenth, and the
// fifth below it. Served are those that are completed within three times their objective.
func (l *sizedLoad) bySize(queue string, from, to Instant) (all, largest, next servedClass) {
	var jobs []*loadedJob
	for _, job := range l.jobs {
		if job.queue == queue && job.submittedAt >= from && job.submittedAt < to {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *loadedJob) int { return cmp.Compare(b.work, a.work) })
	count := func(name string, part []*loadedJob) servedClass {
		c := servedClass{name: name, jobs: len(part)}
		for _, job := range part {
			if job.finishedAt != 0 && job.finishedAt.Sub(job.submittedAt) <= lateDeadlineFactor*job.objective {
				c.served++
			}
		}
		return c
	}
	tenth := (len(jobs) + 9) / 10
	return count("all", jobs), count("largest tenth", jobs[:tenth]), count("fifth below it", jobs[tenth:min(3*tenth, len(jobs))])
}

// Guards against large jobs that are served only if no small ones wait: of the largest tenth of
// a queue, and of the fifth below it, at least half as many are served as of the whole queue.
// The loads are multiples of the users'.
func TestLargeJobsAreServedBesideSmallOnes(t *testing.T) {
	const share, duration = float64(sizedFleet) / usersFleet * widthDivisor / urgentFleetShare, 24 * time.Second
	for _, load := range []struct {
		quick, batch float64
		seeds        uint64
	}{{1, 1, 1}, {1, 3, 12}, {1, 5, 2}, {7, 1, 2}} {
		for seed := range load.seeds {
			t.Run(fmt.Sprintf("quick=%v batch=%v seed=%d", load.quick, load.batch, seed+1), func(t *testing.T) {
				t.Parallel()
				l := newSizedLoad(t, seed+1)
				for l.requested < l.capacity*8/10 {
					l.submitServing()
				}
				l.run(2 * time.Second)
				from := l.now
				l.arrivals(0, duration, 17*share*load.quick, func() { l.submitSized(&quickSizes) })
				l.arrivals(0, duration, 24*share*load.batch, func() { l.submitSized(&batchSizes) })
				l.run(duration + 14*time.Second)
				for _, queue := range []string{"quick", "batch"} {
					all, largest, next := l.bySize(queue, from, from.Add(duration))
					t.Logf("%s: %v, %v, %v", queue, all, largest, next)
					for _, class := range []servedClass{largest, next} {
						assert.GreaterOrEqual(t, class.share(), all.share()/2, "queue %s: the %s", queue, class.name)
					}
				}
				require.Empty(t, l.violations)
			})
		}
	}
}
