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
	// pollWait is how long a look waits for an end. Workers accept up to two
	// seconds; one second bounds the age of the latency readings and of the lease.
	pollWait = time.Second
	// pollAnswerTimeout bounds a look's answer beyond its wait. It is several times
	// the delay of a round trip between zones under load.
	pollAnswerTimeout = 700 * time.Millisecond
	// orderAnswerTimeout bounds the answer to any other order, likewise.
	orderAnswerTimeout = 700 * time.Millisecond
	// pollRetryDelay is the pause after a look that failed.
	pollRetryDelay = 250 * time.Millisecond
	// orderRetryDelay is the pause before an order without an answer is repeated.
	orderRetryDelay = 100 * time.Millisecond
	// answerStaleAfter is the age of the last answer from which on a worker gets no new
	// work: a look's wait, its answer time and one retry.
	answerStaleAfter = 2 * time.Second
	// maxClockLag is how much slower than real time a worker's clock may run; the
	// platform states 2%.
	maxClockLag = 0.02
	// unhealthyQuarantine is the time for which a worker that refused an order as unhealthy
	// gets no new work.
	unhealthyQuarantine = time.Second
)

// Timeout returns how long the answer to an order is waited for.
func (o *Order) Timeout() time.Duration {
	if o.Verb == Poll {
		return o.Wait + pollAnswerTimeout
	}
	return orderAnswerTimeout
}
