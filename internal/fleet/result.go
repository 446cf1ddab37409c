package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mangohill.example/mangohill/types"
)

// Result holds the measures of a run.
type Result struct {
	Rejected         int
	Evictions        int // checkpoints and stops decided by the planner
	Kills            int // the stops among them
	RackEvictions    int
	Throttles        int
	Failures         int
	Quarantines      int
	WrongQuarantines int
	Parks            int
	WrongParks       int
	Finished         int
	Useful           time.Duration // progress of batch work, in processor time
	Lost             time.Duration // work done again, in processor time

	services []serviceResult
	urgent   []time.Duration
	service  []time.Duration
	hours    float64
	capacity float64
}

type serviceResult struct {
	measured *hdrhistogram.Histogram
	alone    *hdrhistogram.Histogram
	seconds  float64
	slow     float64 // seconds beyond slowLimit
}

const (
	// slowLimit is the slowdown from which a replica counts as slow.
	slowLimit = 1.15
	maxMicros = 600_000_000
	// tailDeviation is the deviation of the logarithm of a request's latency.
	tailDeviation = 0.5
	// tailQuantile is the standard score of the 99th percentile.
	tailQuantile = 2.326
	// warmUp is the time at the beginning of a run that does not count.
	warmUp = 30 * time.Minute
)

func (r *Result) init(spec *Spec) {
	for range spec.Services {
		r.services = append(r.services, serviceResult{
			measured: hdrhistogram.New(1, maxMicros, 3),
			alone:    hdrhistogram.New(1, maxMicros, 3),
		})
	}
	counted := max(spec.Duration-warmUp, spec.Duration/2)
	r.hours = counted.Hours()
	r.capacity = float64(spec.Workers) * float64(spec.Capacity.MilliProcessors) / types.MilliPerProcessor
}

func (f *Fleet) counts() bool { return f.elapsed() > min(warmUp, f.spec.Duration/2) }

// serve records the latencies of a few requests of a replica with and without
// its slowdown.
func (r *Result) serve(f *Fleet, t *task, slowdown float64) {
	if !f.counts() {
		return
	}
	s := &r.services[t.service]
	s.seconds += f.spec.Tick.Seconds()
	if slowdown > math.Log(slowLimit) {
		s.slow += f.spec.Tick.Seconds()
	}
	alone := math.Log(f.alone(t)) - tailQuantile*tailDeviation
	for range 2 {
		request := alone + tailDeviation*f.random.NormFloat64()
		_ = s.alone.RecordValue(int64(math.Exp(request)))
		_ = s.measured.RecordValue(int64(min(math.Exp(request+slowdown), maxMicros)))
	}
}

// gain adds progress of a batch task.
func (r *Result) gain(f *Fleet, t *task, step time.Duration) {
	if f.counts() {
		r.Useful += scaled(t, step)
	}
}

// scaled turns the run time of a task into processor time.
func scaled(t *task, d time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(t.Job.Request.MilliProcessors) / types.MilliPerProcessor)
}

func (r *Result) lose(t *task, lost time.Duration) {
	if t.service >= 0 {
		return
	}
	r.Lost += scaled(t, lost)
	r.Useful -= scaled(t, lost)
}

func (r *Result) evict(f *Fleet, t *task, checkpoint bool, then types.TaskState) {
	if then != types.TaskEvicted {
		return
	}
	r.Evictions++
	if !checkpoint {
		r.Kills++
	}
}

func (r *Result) started(f *Fleet, t *task) {
	wait := f.now.Sub(t.since)
	if t.Job.Urgent {
		r.urgent = append(r.urgent, wait)
	}
	if t.service >= 0 && f.counts() {
		r.service = append(r.service, wait)
	}
}

// WorstP99 returns the largest ratio of a service's p99 to its p99 alone.
func (r *Result) WorstP99() float64 {
	worst := 0.0
	for _, s := range r.services {
		worst = max(worst, float64(s.measured.ValueAtQuantile(99))/float64(s.alone.ValueAtQuantile(99)))
	}
	return worst
}

// SlowShare returns the part of the replicas' time in which they were slow.
func (r *Result) SlowShare() float64 {
	slow, all := 0.0, 0.0
	for _, s := range r.services {
		slow += s.slow
		all += s.seconds
	}
	return slow / all
}

// Throughput returns the useful batch work as a part of the fleet's processors.
func (r *Result) Throughput() float64 { return r.Useful.Hours() / r.hours / r.capacity }

// UrgentStart returns the longest time to start of the urgent jobs.
func (r *Result) UrgentStart() time.Duration { return longest(r.urgent) }

// ServiceStart returns the longest time to start of replicas after the warm-up.
func (r *Result) ServiceStart() time.Duration { return longest(r.service) }

func longest(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return slices.Max(list)
}
