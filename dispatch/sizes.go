package dispatch

import (
	"slices"

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
}

// jobSizes holds the sizes of the jobs of each queue.
type jobSizes struct {
	jobs  map[workflow.JobID]*sizedJob
	works map[string]*recentWorks
}

func newJobSizes() jobSizes {
	return jobSizes{jobs: make(map[workflow.JobID]*sizedJob), works: make(map[string]*recentWorks)}
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
		s.works[job.Queue] = works
	}
	works.add(work)
	if job.Active() {
		s.jobs[job.ID] = &sizedJob{queue: job.Queue, work: work, tasks: job.OpenTasks}
	}
}

func hasSize(job *workflow.Job) bool {
	return len(job.Occurrences) == 1 && !slices.ContainsFunc(job.Spec.Steps, func(s workflow.Step) bool { return s.Lasting })
}

// classOf returns the class of an active job.
func (s *jobSizes) classOf(job *sizedJob) sizeClass { return s.works[job.queue].classOf(job.work) }

// recordLateness records the jobs that have become late, and reports those that are of no value
// any more.
func (e *Engine) recordLateness() {
	for _, s := range e.ready.sorted {
		job := e.ready.sizes.jobs[s.ref.Job]
		if job == nil || s.lateness <= job.lateness {
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
	if job.State() == workflow.JobCompleted && ended.lateness != tooLate {
		e.counters.Served[class]++
	}
	return class, true
}
