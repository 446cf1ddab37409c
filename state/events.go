package state

import "mangohill.example/mangohill/types"

// maxEvents limits the events that are kept; the oldest are overwritten.
const maxEvents = 8192

// EventName is the name of an event as operators see it.
type EventName string

// Names of all events.
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
	EventDomainEvacuated   EventName = "domain_evacuated"
	EventDomainRestored    EventName = "domain_restored"
)

var terminalEvents = map[types.TaskState]EventName{
	types.TaskFinished:  EventTaskFinished,
	types.TaskFailed:    EventTaskFailed,
	types.TaskCancelled: EventTaskCancelled,
}

// Event is an entry of the event log, which keeps the newest maxEvents events.
// Subject is the name of a task, job or worker, or a version of the configuration.
// AtMs is the leader's wall clock in milliseconds since the Unix epoch.
type Event struct {
	_       struct{} `cbor:",toarray"`
	AtMs    int64
	Name    EventName
	Subject string
	Detail  string
}

// eventRing is a ring buffer of the newest events. Once list is full, next is the
// index of the oldest event.
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
	s.events.add(Event{AtMs: s.nowMs, Name: name, Subject: subject, Detail: truncate(detail, maxStoredTextBytes)})
}
