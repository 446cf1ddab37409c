package dispatch

import (
	"math"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

// sizeClass is a class of the jobs of a queue by their work.
type sizeClass uint8

const (
	largestTenth sizeClass = iota
	fifthBelow
	otherSizes
	sizeClasses
)

var sizeNames = [sizeClasses]string{largestTenth: "largest_tenth", fifthBelow: "fifth_below", otherSizes: "other"}

// String returns the name of the class.
func (c sizeClass) String() string { return sizeNames[c] }

// JobSizes counts jobs by their size within their queue: the largest tenth, the fifth below it,
// and all others.
type JobSizes [sizeClasses]uint64

const (
	// leastServedPart times the share of the jobs of a queue that are served is the share that is
	// to be served of each size. The users require half.
	leastServedPart = 0.8
	// preferAfter is how long a step of a job waits before the job is preferred: without overload
	// none waits for long.
	preferAfter = 500 * time.Millisecond
	// minSized is the number of jobs of a size from which on their share tells something.
	minSized = 5
	// servedWindow is the time after which an ended job counts for 1/e in these shares.
	servedWindow = 15 * time.Second
)

// maxRecentWorks is the number of jobs of a queue whose work decides which are large.
const maxRecentWorks = 512

// recentWorks holds the work of the jobs that a queue accepted lately.
type recentWorks struct {
	works []float64
	next  int
	// sorted is a sorted copy, nil if it is not known.
	sorted []float64
}

func (r *recentWorks) add(work float64) {
	r.sorted = nil
	if len(r.works) < maxRecentWorks {
		r.works = append(r.works, work)
		return
	}
	r.works[r.next] = work
	r.next = (r.next + 1) % maxRecentWorks
}

// classOf returns the class of a job with the given work.
func (r *recentWorks) classOf(work float64) sizeClass {
	if r.sorted == nil {
		r.sorted = slices.Clone(r.works)
		slices.Sort(r.sorted)
	}
	n := len(r.sorted)
	switch below, _ := slices.BinarySearch(r.sorted, work); {
	case 10*below >= 9*n:
		return largestTenth
	case 10*below >= 7*n:
		return fifthBelow
	}
	return otherSizes
}

// sizedJob is an active job whose tasks end by themselves.
type sizedJob struct {
	queue string
	// work is the expected work of the job when it was accepted.
	work float64
	// tasks is the number of its tasks.
	tasks uint32
	// lateness is that of the step of the job that was found latest.
	lateness lateness
	// preferred is set once the job goes before others of more value, so that enough jobs of its
	// size are served, reported once that is logged.
	preferred, reported bool
}

// servedPart returns the part of an active job that counts as served.
func (j *sizedJob) servedPart(openTasks uint32) float64 {
	switch {
	case j.lateness == tooLate:
		return 0
	case j.preferred:
		return 1
	}
	return math.Floor(doneParts*(1-float64(openTasks)/float64(j.tasks))) / doneParts
}

// doneParts is the number of parts of a job that are told apart. Sums of such parts do not depend
// on their order.
const doneParts = 1 << 10

// servedCount counts the jobs of a size and those that were served of them.
type servedCount struct{ jobs, served float64 }

func (c *servedCount) add(jobs, served float64) { c.jobs, c.served = c.jobs+jobs, c.served+served }

func (c *servedCount) share() float64 { return c.served / c.jobs }

// servedCounts are those of a queue by size, and of all its jobs.
type servedCounts struct {
	bySize [sizeClasses]servedCount
	all    servedCount
}

func (c *servedCounts) add(class sizeClass, jobs, served float64) {
	c.bySize[class].add(jobs, served)
	c.all.add(jobs, served)
}

// owed reports whether too few jobs of a size are served.
func (c *servedCounts) owed(class sizeClass) bool {
	size := &c.bySize[class]
	return size.jobs >= minSized && size.share() < leastServedPart*c.all.share()
}

// jobSizes holds the sizes of the jobs of each queue.
type jobSizes struct {
	jobs  map[workflow.JobID]*sizedJob
	works map[string]*recentWorks
	// ended counts the jobs that ended, at countedMs, of each queue.
	ended     map[string]*servedCounts
	countedMs int64
}

func newJobSizes() jobSizes {
	return jobSizes{jobs: make(map[workflow.JobID]*sizedJob), works: make(map[string]*recentWorks), ended: make(map[string]*servedCounts)}
}

// record records a job that was accepted. Jobs that last, and those with several due times, have
// no size: what they take does not depend on their work alone.
func (s *jobSizes) record(job *workflow.Job, work float64) {
	if !hasSize(job) {
		return
	}
	works := s.works[job.Queue]
	if works == nil {
		works = new(recentWorks)
		s.works[job.Queue], s.ended[job.Queue] = works, new(servedCounts)
	}
	works.add(work)
	if job.Active() {
		s.jobs[job.ID] = &sizedJob{queue: job.Queue, work: work, tasks: job.OpenTasks}
	}
}

func hasSize(job *workflow.Job) bool {
	return job.Occurrences.Len() == 1 && !slices.ContainsFunc(job.Spec.Steps, func(s workflow.Step) bool { return s.Lasting })
}

// classOf returns the class of an active job.
func (s *jobSizes) classOf(job *sizedJob) sizeClass { return s.works[job.queue].classOf(job.work) }

// counts returns the counts of the jobs that ended lately and of the active ones.
func (s *jobSizes) counts(state *workflow.View, nowMs int64) map[string]*servedCounts {
	kept := math.Exp(-float64(max(nowMs-s.countedMs, 0)) / float64(servedWindow.Milliseconds()))
	s.countedMs = nowMs
	counts := make(map[string]*servedCounts)
	for queue := range s.ended {
		counts[queue] = new(servedCounts)
	}
	for id, job := range s.jobs {
		if recorded := state.Job(id); recorded != nil {
			counts[job.queue].add(s.classOf(job), 1, job.servedPart(recorded.OpenTasks))
		}
	}
	for queue, ended := range s.ended {
		for class := range sizeClasses {
			ended.bySize[class].jobs *= kept
			ended.bySize[class].served *= kept
			counts[queue].bySize[class].add(ended.bySize[class].jobs, ended.bySize[class].served)
		}
		ended.all.jobs *= kept
		ended.all.served *= kept
		counts[queue].all.add(ended.all.jobs, ended.all.served)
	}
	return counts
}

// prefer has the large jobs of most value go first while too few of their size are served. Value
// per unit of work alone leaves them for last: a part of a job's value does not grow with its
// work. Once preferred, a job stays so, since one that has begun and waits again is of no value.
func (r *readySteps) prefer(state *workflow.View, nowMs int64) (changed bool) {
	counts := r.sizes.counts(state, nowMs)
	for _, s := range r.sorted {
		job := r.sizes.jobs[s.ref.Job]
		if job == nil || job.preferred || s.lateness == tooLate || nowMs-s.waitingSinceMs < preferAfter.Milliseconds() {
			continue
		}
		class := r.sizes.classOf(job)
		if c := counts[job.queue]; class != otherSizes && c.owed(class) {
			c.add(class, 0, 1-job.servedPart(s.job.OpenTasks))
			job.preferred, changed = true, true
		}
	}
	return changed
}

// recordSized records the jobs that have become late, and reports those that are preferred and
// those that are of no value any more.
func (e *Engine) recordSized() {
	for _, s := range e.ready.sorted {
		job := e.ready.sizes.jobs[s.ref.Job]
		if job == nil {
			continue
		}
		if job.preferred && !job.reported {
			job.reported = true
			class := e.ready.sizes.classOf(job)
			e.counters.Preferred[class]++
			e.log.Info().Stringer("job", s.ref.Job).Str("queue", job.queue).Stringer("size", class).Int64("waited_ms", e.wallMs-s.waitingSinceMs).Uint64("term", e.term).Msg("job preferred")
		}
		if s.lateness <= job.lateness {
			continue
		}
		job.lateness = s.lateness
		if s.lateness == tooLate {
			class := e.ready.sizes.classOf(job)
			e.counters.TooLate[class]++
			e.log.Info().Stringer("job", s.ref.Job).Str("queue", job.queue).Stringer("size", class).Uint32("step", s.ref.Step).Int("pending", len(s.pending)).Int64("mcpu", s.step.Resources.MilliProcessors).
				Int64("memory_mb", s.step.Resources.MemoryMB).Int64("waited_ms", e.wallMs-s.waitingSinceMs).Uint64("term", e.term).Msg("job too late")
		}
	}
}

// endSized records that a job has ended, and returns its class.
func (e *Engine) endSized(job *workflow.Job) (class sizeClass, sized bool) {
	ended := e.ready.sizes.jobs[job.ID]
	if ended == nil {
		return otherSizes, false
	}
	delete(e.ready.sizes.jobs, job.ID)
	class = e.ready.sizes.classOf(ended)
	served := job.State() == workflow.JobCompleted && ended.lateness != tooLate
	if served {
		e.counters.Served[class]++
	}
	e.ready.sizes.recordEnd(ended, class, served)
	return class, true
}

// recordEnd counts a job that has ended.
func (s *jobSizes) recordEnd(job *sizedJob, class sizeClass, served bool) {
	part := 0.0
	if served {
		part = 1
	}
	s.ended[job.queue].add(class, 1, part)
}
