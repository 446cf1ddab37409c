package dispatch

import "time"

// SetCallLimit sets how many calls to workers may be in progress at a time, zero for any
// number. Polls that wait at the workers take at most half of them.
func (e *Engine) SetCallLimit(limit int) { e.callLimit = limit }

// longPollWait returns how long a worker holds a poll open: pollWait while all workers may
// hold one open, else the part of it that fits into half of the call limit.
func (e *Engine) longPollWait() time.Duration {
	workers, waiting := len(e.sortedViews), e.callLimit/2
	if e.callLimit == 0 || workers <= waiting {
		return pollWait
	}
	return pollWait * time.Duration(waiting) / time.Duration(workers)
}

// delayNextPoll keeps pollWait between two polls of a worker, the first of which waited for
// less and showed no ends.
func (e *Engine) delayNextPoll(v *workerView, answer *Answer) {
	if wait := answer.Order.Wait; wait > 0 && wait < pollWait && wait != overrunPollWait && len(answer.Ended) == 0 {
		v.nextPollAt = answer.Order.SentAt.Add(pollWait)
	}
}

// TakeDeparted returns and clears the addresses at which no worker is expected any more.
func (e *Engine) TakeDeparted() []string {
	departed := e.departed
	e.departed = nil
	return departed
}
