package dispatch

import "time"

// Settings are the durations that the deployment sets and those derived from
// them.
type Settings struct {
	// Lease is how long a worker keeps running its tasks without hearing from the
	// leader. It does not exceed what workers accept.
	Lease time.Duration
	// MaxLease bounds the lease that any leader may have granted.
	MaxLease time.Duration
	// HostTakeoverDelay is how long a new leader sends no orders to the pool of
	// hosts, which must not get orders from two leaders alternately.
	HostTakeoverDelay time.Duration
	// MaxJobBytes is the memory in bytes for accepted jobs, by the estimate of
	// workflow.State.JobBytes, from which on further ones are refused. Zero sets no limit.
	MaxJobBytes int64
	// MaxHeapBytes is the measured memory of live objects in bytes, see Engine.SetLiveHeap, from
	// which on further jobs are refused, whatever the estimate says. Zero sets no limit.
	MaxHeapBytes int64
	// MaxReportAge is the age of a worker's latest report up to which its capacity is relied
	// on. Zero sets no limit.
	MaxReportAge time.Duration
	// Domains are the failure domains of the deployment, none if they are not known.
	Domains []string
	// PreferWarm ranks workers that are slow after their start behind others.
	PreferWarm bool
}

const (
	// pollWait is how long a worker may hold a poll open until an attempt ends.
	// Workers accept up to two seconds; one second bounds the age of the latency
	// readings and of the lease.
	pollWait = time.Second
	// pollAnswerTime is how long the answer to a poll usually takes beyond its wait, with
	// a margin.
	pollAnswerTime = 200 * time.Millisecond
	// pollAnswerTimeout bounds the time of a poll's answer beyond its wait. It is
	// several times the round-trip time between zones under load.
	pollAnswerTimeout = 700 * time.Millisecond
	// orderAnswerTimeout bounds the time until the answer to any other order, by
	// the same reasoning.
	orderAnswerTimeout = 700 * time.Millisecond
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 250 * time.Millisecond
	// orderRetryDelay is the pause before an order without an answer or without
	// effect is repeated.
	orderRetryDelay = 100 * time.Millisecond
	// staleAfter is the age of a worker's last answer from which on it
	// counts as unreachable and gets no new work: a poll's wait, its answer
	// timeout and one retry delay.
	staleAfter = 2 * time.Second
	// maxOrderDelay is the time within which an order without an answer is carried out,
	// if ever; the platform states that this may be seconds later.
	maxOrderDelay = 12 * time.Second
	// maxClockLag is the fraction by which a worker's clock may run slower than
	// real time; the platform states 2%.
	maxClockLag = 0.02
	// clockStartMargin is by how much a worker's clock may be ahead of the time since its start.
	clockStartMargin = time.Second
	// unhealthyQuarantine is how long a worker gets no new work after it refused
	// a start as unhealthy or for lack of room.
	unhealthyQuarantine = time.Second
)

// Timeout returns how long the sender waits for the answer to an order.
func (o *Order) Timeout() time.Duration {
	switch {
	case o.Prompt:
		return o.Wait + promptAnswerTimeout
	case o.Verb == Poll:
		return o.Wait + pollAnswerTimeout
	}
	return orderAnswerTimeout
}
