package route

import "time"

// Bounds of Decision.RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// admit decides whether a request may be queued. It refuses a request that could
// not be answered before its deadline. If the queue is full and another caller has
// more requests in it, the newest request of the busiest caller is evicted.
func (p *Pool) admit(now time.Time, r Request) ([]Decision, Reason) {
	wait := p.expectedWait() + p.serviceTime.mean
	if r.Deadline.Sub(now).Seconds() < wait {
		return nil, TooLate
	}
	if p.queue.len() < p.options.QueueLimit {
		return nil, NoReason
	}
	caller, waiting := p.queue.busiestCaller()
	if p.queue.waiting(r.Caller)+1 >= waiting {
		return nil, QueueFull
	}
	evicted := p.queue.evictNewest(caller)
	return []Decision{p.refuse(evicted, QueueFull)}, NoReason
}

// expectedWait returns the time in seconds that a request that joins the queue now
// is expected to wait.
func (p *Pool) expectedWait() float64 {
	if p.slots == 0 {
		return 0
	}
	return float64(p.queue.len()) * p.serviceTime.mean / float64(p.slots)
}

func (p *Pool) refuse(r Request, reason Reason) Decision {
	return Decision{Request: r.ID, Action: Refuse, Reason: reason, RetryAfter: p.retryAfter()}
}

// retryAfter returns the time in which the present queue is expected to drain,
// rounded up to whole seconds for the header field Retry-After (RFC 9110, 10.2.3).
func (p *Pool) retryAfter() time.Duration {
	drain := time.Duration(p.expectedWait() * float64(time.Second))
	whole := (drain + time.Second - 1).Truncate(time.Second)
	return min(max(whole, minRetryAfter), maxRetryAfter)
}
