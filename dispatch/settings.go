package dispatch

import "time"

// Settings are the times that the deployment states and those derived from them.
type Settings struct {
	// Lease is for how long a worker runs on without hearing from the leader. It
	// is bounded by what workers accept.
	Lease time.Duration
	// MaxLease bounds the lease that any leader may have granted.
	MaxLease time.Duration
	// HostTakeoverDelay is how long a new leader orders nothing of the pool of hosts, where
	// holders may not take turns.
	HostTakeoverDelay time.Duration
}

const (
	// lookWait is how long a look waits for an end. Workers accept up to two
	// seconds; one second bounds the age of the latency readings and of the lease.
	lookWait = time.Second
	// lookAnswerTime bounds a look's answer beyond its wait. It is several times
	// the delay of a round trip between zones under load.
	lookAnswerTime = 700 * time.Millisecond
	// orderAnswerTime bounds the answer to any other order, likewise.
	orderAnswerTime = 700 * time.Millisecond
	// lookRetry is the pause after a look that failed.
	lookRetry = 250 * time.Millisecond
	// orderRetry is the pause before an order without an answer is repeated.
	orderRetry = 100 * time.Millisecond
	// staleAfter is the age of the last answer from which on a worker gets no new
	// work: a look's wait, its answer time and one retry.
	staleAfter = 2 * time.Second
	// clockSlack is how much slower than real time a worker's clock may run; the
	// platform states 2%.
	clockSlack = 0.02
	// suspicion is the time for which a worker that refused an order as unhealthy
	// gets no new work.
	suspicion = time.Second
)

// Timeout returns how long the answer to an order is waited for.
func (o *Order) Timeout() time.Duration {
	if o.Verb == Poll {
		return o.Wait + lookAnswerTime
	}
	return orderAnswerTime
}
