package schedule

import (
	"fmt"
	"time"

	"mangohill.example/mangohill/types"
)

// maxEvents bounds the past decisions recorded for a task besides its last
// placement.
const maxEvents = 4

// Event is a past decision on a task.
type Event struct {
	At   time.Time
	Text string
}

// remember records a decision for explanations and drops the oldest beyond
// maxEvents.
func (t *task) remember(at time.Time, text string) {
	if len(t.events) == maxEvents {
		copy(t.events, t.events[1:])
		t.events = t.events[:maxEvents-1]
	}
	t.events = append(t.events, Event{at, text})
}

// emit adds an action to the plan and records it with its task.
func (s *Scheduler) emit(action Action) {
	s.actions = append(s.actions, action)
	id, text := describe(action)
	if t := s.tasks[id]; t != nil {
		t.remember(s.now, text)
	}
}

// describe returns the task of an action and what the action does in words. The task
// is zero for starts and for actions on workers.
func describe(action Action) (types.TaskID, string) {
	switch a := action.(type) {
	case Checkpoint:
		return a.Task, "checkpointed and moved: " + a.Reason
	case Throttle:
		return a.Task, fmt.Sprintf("throttled to %d%%: %s", a.ShareMilli/10, a.Reason)
	case Unthrottle:
		return a.Task, "throttle lifted: " + a.Reason
	case Stop:
		return a.Task, "stopped: " + a.Reason
	case Replace:
		return a.Task, "to be replaced: " + a.Reason
	case Park:
		return a.Task, "parked: " + a.Reason
	}
	return 0, ""
}
