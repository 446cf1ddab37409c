package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mangohill.example/mangohill/types"
)

// Result holds the measurements of a run.
type Result struct {
	Rejected         int // actions that Apply refused
	Evictions        int // checkpoints and stops decided by the planner
	Kills            int // evictions without a checkpoint
	RackEvictions    int // attempts ended by the loss of the rack
	Throttles        int
	Failures         int
	Quarantines      int
	WrongQuarantines int // quarantines of workers that don't fail every task
	Parks            int
	WrongParks       int // parks of tasks that don't fail everywhere
	Finished         int
	Useful           time.Duration // batch work done and not lost, in processor time
	Lost             time.Duration // batch work that must be repeated, in processor time

	services      []serviceResult
	urgentStarts  []time.Duration
	serviceStarts []time.Duration
	measuredHours float64
	capacity      float64 // processors of the fleet
}

// serviceResult holds the request latencies of a service, in microseconds, with
// (measured) and without (baseline) interference, and the time of its replicas.
type serviceResult struct {
	measured    *hdrhistogram.Histogram
	baseline    *hdrhistogram.Histogram
	seconds     float64
	slowSeconds float64 // seconds with a slowdown above slowLimit
}

const (
	// slowLimit is the latency ratio above which a replica counts as slow.
	slowLimit = 1.15
	// maxMicros is the largest latency recorded, in microseconds.
	maxMicros = 600_000_000
	// logLatencyDeviation is the standard deviation of the logarithm of a request's
	// latency.
	logLatencyDeviation = 0.5
	// p99StandardScore is the standard score of the 99th percentile.
	p99StandardScore = 2.326
	// warmUp is the time at the start of a run that is not measured, or half of the
	// run if that is shorter.
	warmUp = 30 * time.Minute
)

func (r *Result) init(spec *Spec) {
	for range spec.Services {
		r.services = append(r.services, serviceResult{
			measured: hdrhistogram.New(1, maxMicros, 3),
			baseline: hdrhistogram.New(1, maxMicros, 3),
		})
	}
	counted := max(spec.Duration-warmUp, spec.Duration/2)
	r.measuredHours = counted.Hours()
	r.capacity = float64(spec.Workers) * float64(spec.Capacity.MilliProcessors) / types.MilliPerProcessor
}

func (f *Fleet) measuring() bool { return f.elapsed() > min(warmUp, f.spec.Duration/2) }

// recordLatency draws two request latencies of a replica and records them with and
// without the slowdown, which is given as a logarithm.
func (r *Result) recordLatency(f *Fleet, t *task, slowdown float64) {
	if !f.measuring() {
		return
	}
	s := &r.services[t.service]
	s.seconds += f.spec.Tick.Seconds()
	if slowdown > math.Log(slowLimit) {
		s.slowSeconds += f.spec.Tick.Seconds()
	}
	logMedian := math.Log(f.baselineUs(t)) - p99StandardScore*logLatencyDeviation
	for range 2 {
		request := logMedian + logLatencyDeviation*f.random.NormFloat64()
		_ = s.baseline.RecordValue(int64(math.Exp(request)))
		_ = s.measured.RecordValue(int64(min(math.Exp(request+slowdown), maxMicros)))
	}
}

// addProgress adds progress of a batch task.
func (r *Result) addProgress(f *Fleet, t *task, step time.Duration) {
	if f.measuring() {
		r.Useful += processorTime(t, step)
	}
}

// processorTime converts the run time of a task to processor time.
func processorTime(t *task, d time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(t.Job.Request.MilliProcessors) / types.MilliPerProcessor)
}

func (r *Result) addLost(t *task, lost time.Duration) {
	if t.service >= 0 {
		return
	}
	r.Lost += processorTime(t, lost)
	r.Useful -= processorTime(t, lost)
}

func (r *Result) countEviction(f *Fleet, t *task, checkpoint bool, finalState types.TaskState) {
	if finalState != types.TaskEvicted {
		return
	}
	r.Evictions++
	if !checkpoint {
		r.Kills++
	}
}

func (r *Result) recordStart(f *Fleet, t *task) {
	wait := f.now.Sub(t.waitingSince)
	if t.Job.Urgent {
		r.urgentStarts = append(r.urgentStarts, wait)
	}
	if t.service >= 0 && f.measuring() {
		r.serviceStarts = append(r.serviceStarts, wait)
	}
}

// WorstP99 returns the largest ratio among the services of the p99 latency to the p99
// without interference.
func (r *Result) WorstP99() float64 {
	worst := 0.0
	for _, s := range r.services {
		worst = max(worst, float64(s.measured.ValueAtQuantile(99))/float64(s.baseline.ValueAtQuantile(99)))
	}
	return worst
}

// SlowShare returns the share of the replicas' time in which they were slow.
func (r *Result) SlowShare() float64 {
	slow, all := 0.0, 0.0
	for _, s := range r.services {
		slow += s.slowSeconds
		all += s.seconds
	}
	return slow / all
}

// Throughput returns the useful batch work as a share of the fleet's processor time.
func (r *Result) Throughput() float64 { return r.Useful.Hours() / r.measuredHours / r.capacity }

// UrgentStart returns the longest time to start of an urgent job.
func (r *Result) UrgentStart() time.Duration { return longest(r.urgentStarts) }

// ServiceStart returns the longest time to start of a replica after the warm-up.
func (r *Result) ServiceStart() time.Duration { return longest(r.serviceStarts) }

func longest(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return slices.Max(list)
}
