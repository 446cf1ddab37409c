package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

// Verb is what an order asks of a worker.
type Verb uint8

// Verbs of orders.
const (
	// Poll renews the lease, acknowledges ends and returns what runs and ended.
	Poll Verb = iota + 1
	Start
	Stop
	// Throttle sets the share of its speed at which an attempt works.
	Throttle
)

var verbNames = [...]string{Poll: "look", Start: "start", Stop: "stop", Throttle: "throttle"}

// String returns the name of the verb.
func (v Verb) String() string { return verbNames[v] }

// Order is one call to a worker.
type Order struct {
	Verb    Verb
	Worker  workflow.WorkerID
	Life    workflow.Incarnation
	Address string
	Fence   uint64
	// ExpiresMs is the end of the lease on the worker's clock, zero for none.
	ExpiresMs int64

	Task       workflow.TaskRef
	Attempt    uint32
	Payload    string
	Checkpoint string
	Ticket     string
	// SharePercent is the share of its speed, 0 to 100.
	SharePercent int

	// AckedThrough is the number of the last end that is recorded.
	AckedThrough uint64
	// Wait is the time for which a look may wait for an end.
	Wait time.Duration

	// SentAt is when the engine issued the order.
	SentAt Instant
}

// Outcome classifies the answer to an order.
type Outcome uint8

// Outcomes of orders.
const (
	// Unanswered orders may have been carried out, or will be later.
	Unanswered Outcome = iota
	Done
	// Fenced: the worker has seen a higher fence.
	Fenced
	// Outdated: this attempt or a higher one was stopped or ended there.
	Outdated
	// Expired: the order's lease was over.
	Expired
	NoRoom
	NoTicket
	// Invalid: the worker cannot carry out such an order.
	Invalid
	// Unhealthy: the worker did nothing.
	Unhealthy
	// OtherIncarnation: another life answers at the address.
	OtherIncarnation
	// NotSent orders never left this process.
	NotSent
)

var outcomeNames = [...]string{
	Unanswered: "unanswered", Done: "done", Fenced: "fenced", Outdated: "outdated", Expired: "expired",
	NoRoom: "no_room", NoTicket: "no_ticket", Invalid: "invalid", Unhealthy: "unhealthy", OtherIncarnation: "other_life", NotSent: "not_sent",
}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is what came of an order.
type Answer struct {
	Order   Order
	Outcome Outcome
	// ClockMs is the worker's clock when it answered, zero if it gave none.
	ClockMs int64
	Running []RunningAttempt
	Ended   []EndedAttempt
}

// RunningAttempt is an attempt that a worker reports as running.
type RunningAttempt struct {
	Task       workflow.TaskRef
	Attempt    uint32
	Checkpoint string
	// Percent is the progress; a lasting task is at work at 100.
	Percent int
	// Gauge is a rough figure for the last half second: the tail latency in
	// milliseconds of a task that serves users, the processors in use in
	// thousandths of any other.
	Gauge int64
}

// EndedAttempt is an end that a worker lists until it is acknowledged.
type EndedAttempt struct {
	Number     uint64
	Task       workflow.TaskRef
	Attempt    uint32
	How        workflow.Ending
	Checkpoint string
}

// Instant is a reading of a clock that also counts the time for which the
// machine is suspended, in nanoseconds.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time since o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }
