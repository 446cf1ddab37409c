package state

import "mangohill.example/mangohill/types"

// maxEvents is the number of events that are kept.
const maxEvents = 8192

// EventName is the name of an event.
type EventName string

// The closed list of events.
const (
	EventJobDeclared       EventName = "job_declared"
	EventTaskStarted       EventName = "task_started"
	EventTaskRunning       EventName = "task_running"
	EventTaskThrottled     EventName = "task_throttled"
	EventTaskCheckpointing EventName = "task_checkpointing"
	EventTaskStopping      EventName = "task_stopping"
	EventTaskEvicted       EventName = "task_evicted"
	EventAttemptFailed     EventName = "task_attempt_failed"
	EventTaskFinished      EventName = "task_finished"
	EventTaskFailed        EventName = "task_failed"
	EventTaskCancelled     EventName = "task_cancelled"
	EventTaskParked        EventName = "task_parked"
	EventTaskReplaced      EventName = "task_replaced"
	EventWorkerJoined      EventName = "worker_joined"
	EventWorkerLost        EventName = "worker_lost"
	EventWorkerLeaving     EventName = "worker_leaving"
	EventWorkerDraining    EventName = "worker_draining"
	EventWorkerUndrained   EventName = "worker_undrained"
	EventWorkerQuarantined EventName = "worker_quarantined"
	EventWorkerReleased    EventName = "worker_released"
	EventConfigSet         EventName = "config_set"
)

var endEvents = map[types.TaskState]EventName{
	types.TaskFinished:  EventTaskFinished,
	types.TaskFailed:    EventTaskFailed,
	types.TaskCancelled: EventTaskCancelled,
}

// Event is one entry of the bounded log of events.
type Event struct {
	_       struct{} `cbor:",toarray"`
	AtMs    int64
	Name    EventName
	Subject string
	Detail  string
}

// eventRing keeps the newest events.
type eventRing struct {
	list []Event
	next int
}

func (r *eventRing) add(e Event) {
	if len(r.list) < maxEvents {
		r.list = append(r.list, e)
		return
	}
	r.list[r.next] = e
	r.next = (r.next + 1) % maxEvents
}

// ordered returns the events, oldest first.
func (r *eventRing) ordered() []Event {
	out := make([]Event, 0, len(r.list))
	out = append(out, r.list[r.next:]...)
	return append(out, r.list[:r.next]...)
}

func (s *Store) record(name EventName, subject, detail string) {
	s.events.add(Event{AtMs: s.nowMs, Name: name, Subject: subject, Detail: truncate(detail, maxCommandText)})
}
