package schedule

import (
	"time"

	"mangohill.example/mangohill/types"
)

// task is the scheduler's record of a task.
type task struct {
	types.Task
	job  *job
	team *team

	host         *host // nil while not placed, or placed on an unknown worker
	bound        bool  // the request is committed
	trial        bool  // runs to learn about its class
	assumedEpoch uint64
	assumedAt    time.Time

	order     int64 // position in its queue, in Unix milliseconds
	notBefore time.Time
	group     *group
	index     int // position in the heap of its group, or in the delayed heap
	delayed   bool

	// Measurements of the current attempt.
	used            float64 // thousandths of processors
	fullUse         float64 // the same while not throttled
	usedAt          time.Time
	load            float64 // services: used against requested processors
	loadPeak        float64
	usedMemory      float64 // bytes
	progress        int64   // last reported, in thousandths
	savedProgress   int64   // at the last checkpoint
	throttledAt     time.Time
	startedAt       time.Time // of the current attempt
	runningSince    time.Time
	slowness        slowness
	throttles       int       // of the current attempt
	reliefAt        time.Time // when relief evicted the attempt
	claim           *claim    // room that is kept while the task waits
	replacement     *task     // the replica that runs in its stead
	irreplaceable   bool      // the state refused a replacement
	startShareMilli int64     // share with which the attempt begins, in thousandths, zero for all
	throttledStart  bool      // the attempt began so
	leaving         bool      // the attempt was asked to make room
	awaitUntil      time.Time // an action is under way until then
	avoidHost       types.WorkerID
	avoidUntil      time.Time
	ranBefore       time.Duration // run time of earlier attempts that was kept

	decision decision
	events   []Event
}

// band is the rank of a task's kind in the queue. Lower bands go first.
type band uint8

const (
	bandUrgent band = iota
	bandService
	bandWatcher
	bandBatch
	bands
)

func (t *task) band() band {
	switch {
	case t.Job.Urgent:
		return bandUrgent
	case t.Job.Kind == types.KindService && t.Epoch > 0:
		return bandUrgent // A replica that was lost is missed at once.
	case t.Job.Kind == types.KindService:
		return bandService
	case t.Job.Kind == types.KindWatcher:
		return bandWatcher
	}
	return bandBatch
}

// class returns the task class under which use and interference are learned.
func class(j *types.JobSpec) string {
	switch {
	case j.Class != "":
		return j.Class
	case j.Kind == types.KindService:
		return j.Name
	}
	return string(j.Kind)
}

// queueOrder ranks t within its queue: by its latest start where it has a
// deadline, else by its age.
func queueOrder(t *task) int64 {
	overdue := t.SubmittedMs + patience.Milliseconds()
	if t.Job.DeadlineMs == 0 {
		return overdue
	}
	return min(overdue, t.Job.DeadlineMs-t.Job.ExpectedMs)
}

func (s *Scheduler) newTask(update types.Task) *task {
	t := &task{Task: update, index: -1}
	t.team = s.teamOf(update.Job.Team)
	t.job = s.jobOf(update.Job)
	t.job.tasks++
	s.tasks[update.ID] = t
	return t
}
