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
	bound        bool  // the request is committed on host and counted for team
	trial        bool  // runs to learn how its class affects services
	assumedEpoch uint64
	assumedAt    time.Time

	orderMs   int64 // position in its queue, in Unix milliseconds
	notBefore time.Time
	group     *group
	index     int // position in the heap of its group or in the backoff heap, -1 in neither
	inBackoff bool

	// Measurements, most of them of the current attempt.
	usedMilli            float64 // thousandths of processors
	usedMilliUnthrottled float64 // the same while not throttled
	usedAt               time.Time
	load                 float64 // services: fraction of the requested processors that is used
	loadPeak             float64
	usedMemory           float64 // bytes
	progress             int64   // last reported, in thousandths
	savedProgress        int64   // progress at the last checkpoint
	throttledAt          time.Time
	startedAt            time.Time // of the current attempt
	runningSince         time.Time
	slowdown             slowdownTracker
	throttles            int          // of the current attempt
	reliefEvictedAt      time.Time    // when relief evicted the attempt
	reservation          *reservation // room reserved while the task waits
	replacement          *task        // the replica that replaces this one
	replacementRefused   bool         // the replicated state refused a replacement
	startShareMilli      int64        // share of a throttled start, in thousandths; zero for a full start
	throttledStart       bool         // the attempt started throttled
	vacating             bool         // the attempt was asked to checkpoint and release its room
	inFlightUntil        time.Time    // an action is assumed to be in flight until then
	avoidHost            types.WorkerID
	avoidUntil           time.Time
	keptRuntime          time.Duration // run time of earlier attempts that checkpoints saved

	decision decision
	events   []Event
}

// band is a priority class of the queue. Lower bands go first.
type band uint8

const (
	bandUrgent band = iota
	bandService
	bandWatcher
	bandBatch
	bandCount
)

func (t *task) band() band {
	switch {
	case t.Job.Urgent:
		return bandUrgent
	case t.Job.Kind == types.KindService && t.Epoch > 0:
		return bandUrgent // A lost replica reduces the service's capacity.
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

// queueOrder returns the position of t within its queue, in Unix milliseconds: the
// latest start that meets its deadline, if it has one, and at most the time at which
// it becomes overdue.
func queueOrder(t *task) int64 {
	overdue := t.SubmittedMs + overdueAfter.Milliseconds()
	if t.Job.DeadlineMs == 0 {
		return overdue
	}
	return min(overdue, t.Job.DeadlineMs-t.Job.ExpectedMs)
}

func (s *Scheduler) newTask(update types.Task) *task {
	t := &task{Task: update, index: -1}
	t.team = s.teamFor(update.Job.Team)
	t.job = s.jobFor(update.Job)
	t.job.tasks++
	s.tasks[update.ID] = t
	return t
}
