package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

// Verb is the kind of an order to a worker.
type Verb uint8

// Verbs of orders.
const (
	// Poll renews the lease, acknowledges ended attempts and returns the running
	// ones and those that ended since.
	Poll Verb = iota + 1
	Start
	Stop
	// Throttle sets the share of its full speed at which an attempt works.
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
	// Domain is the failure domain of the worker.
	Domain string
	// Term is the leader's term, Fence the fencing token that the worker checks.
	Term, Fence uint64
	// ExpiresMs is the end of the lease in milliseconds on the worker's clock,
	// zero if the order grants none.
	ExpiresMs int64

	Task       workflow.TaskRef
	Attempt    uint32
	Payload    string
	Checkpoint string
	Ticket     string
	// SharePercent is the speed that Throttle sets, 0 to 100 percent of full
	// speed.
	SharePercent int

	// AckedThrough acknowledges all ended attempts up to this number; their ends
	// are committed.
	AckedThrough uint64
	// Probe marks a poll beside the usual one, whose answer tells the progress only.
	Probe bool
	// Wait is how long the worker may hold a poll open until an attempt ends.
	Wait time.Duration

	// Urgent marks the start of an urgent task, which goes before other starts.
	Urgent bool
	// Prompt shortens the time for which the answer is awaited.
	Prompt bool
	// SentAt is when the engine issued the order.
	SentAt Instant
}

// Outcome classifies the answer to an order.
type Outcome uint8

// Outcomes of orders.
const (
	// Unanswered: no answer came in time. The order may have been carried out, or
	// may be later.
	Unanswered Outcome = iota
	Done
	// Fenced: the worker has seen a higher fencing token.
	Fenced
	// Outdated: this attempt of the task or a later one was stopped or has ended
	// there.
	Outdated
	// Expired: the order's lease had ended when it arrived.
	Expired
	NoRoom
	NoTicket
	// Invalid: the worker cannot carry out such an order.
	Invalid
	// Unhealthy: the worker is unhealthy and did not carry out the order.
	Unhealthy
	// OtherIncarnation: another incarnation answers at the address.
	OtherIncarnation
	// NotSent: the order never left this process.
	NotSent
	// NoListener: no process listens at the worker's address, or the network claims so.
	NoListener
)

var outcomeNames = [...]string{
	Unanswered: "unanswered", Done: "done", Fenced: "fenced", Outdated: "outdated", Expired: "expired",
	NoRoom: "no_room", NoTicket: "no_ticket", Invalid: "invalid", Unhealthy: "unhealthy", OtherIncarnation: "other_life", NotSent: "not_sent", NoListener: "no_listener",
}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is the result of an order.
type Answer struct {
	Order   Order
	Outcome Outcome
	// ClockMs is the worker's clock in milliseconds when it answered, zero if it
	// gave none.
	ClockMs int64
	Running []RunningAttempt
	Ended   []EndedAttempt
	// LeftAt is when the order was about to be sent on its connection, zero if it never had
	// one. ReadAt is when the sender had the answer or stopped waiting for it.
	LeftAt, ReadAt Instant
	// noConnection is set if the worker was not reached, so that the order was certainly
	// not carried out.
	noConnection bool
}

// readBy returns when the sender had the answer, never earlier. The answer may have waited for the
// leader's loop since.
func (a *Answer) readBy(now Instant) Instant {
	if a.ReadAt == 0 {
		return now
	}
	return a.ReadAt
}

// RunningAttempt is an attempt that a worker reports as running.
type RunningAttempt struct {
	Task       workflow.TaskRef
	Attempt    uint32
	Checkpoint string
	// Percent is the progress; a lasting task reports 100 while it does its work.
	Percent int
	// Gauge is a rough measurement over the last half second: the tail latency in
	// milliseconds of a serving task, the processors in use of any other, in
	// thousandths.
	Gauge int64
}

// EndedAttempt is an ended attempt, which a worker lists in its answers until it
// is acknowledged.
type EndedAttempt struct {
	Number     uint64
	Task       workflow.TaskRef
	Attempt    uint32
	How        workflow.Ending
	Checkpoint string
}

// Instant is a reading, in nanoseconds, of a clock that keeps counting while the
// machine is suspended.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }
