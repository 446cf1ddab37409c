package route

import "time"

const (
	shortestRetryAfter = time.Second
	longestRetryAfter  = 30 * time.Second
)

// admit decides whether a request may wait. It refuses at once what could not
// be answered before its deadline. In a full queue, a request of a caller that
// has less waiting than another one takes the place of the other's newest.
func (p *Pool) admit(now time.Time, r Request) ([]Decision, Reason) {
	wait := p.expectedWait() + p.service.mean
	if r.Deadline.Sub(now).Seconds() < wait {
		return nil, TooLate
	}
	if p.queue.len() < p.options.QueueLimit {
		return nil, NoReason
	}
	caller, waiting := p.queue.longest()
	if p.queue.waiting(r.Caller)+1 >= waiting {
		return nil, QueueFull
	}
	evicted := p.queue.evictNewest(caller)
	return []Decision{p.refuse(evicted, QueueFull)}, NoReason
}

// expectedWait returns the time in seconds that a request joining the queue is
// expected to wait.
func (p *Pool) expectedWait() float64 {
	if p.slots == 0 {
		return 0
	}
	return float64(p.queue.len()) * p.service.mean / float64(p.slots)
}

func (p *Pool) refuse(r Request, reason Reason) Decision {
	return Decision{Request: r.ID, Action: Refuse, Reason: reason, RetryAfter: p.retryAfter()}
}

// retryAfter returns the time in which the present queue is expected to drain,
// in whole seconds as the header field Retry-After has it (RFC 9110, 10.2.3).
func (p *Pool) retryAfter() time.Duration {
	drain := time.Duration(p.expectedWait() * float64(time.Second))
	whole := (drain + time.Second - 1).Truncate(time.Second)
	return min(max(whole, shortestRetryAfter), longestRetryAfter)
}
