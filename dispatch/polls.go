package dispatch

import "time"

// SetCallLimit sets how many calls to workers may be in progress at a time, zero for any
// number.
func (e *Engine) SetCallLimit(limit int) { e.callLimit = limit }

// holdsPolls reports whether workers hold polls open until an attempt ends. They do not if
// that would leave less than one connection for the other orders to each of them.
func (e *Engine) holdsPolls() bool {
	return e.callLimit == 0 || 2*len(e.sortedViews) <= e.callLimit
}

// longPollWait returns how long a worker may hold a poll open until an attempt ends.
func (e *Engine) longPollWait() time.Duration {
	if e.holdsPolls() {
		return pollWait
	}
	return 0
}

func (e *Engine) poll(v *workerView) {
	v.pollInFlight = true
	v.polls++
	order := Order{Verb: Poll, Wait: e.longPollWait()}
	if v.endsListed {
		order.AckedThrough = v.lastEndAcked
		if v.ackHeld {
			order.AckedThrough = min(v.lastEndAcked, v.ackLimit)
		}
		if order.AckedThrough <= v.ackAnswered {
			order.AckedThrough = 0 // It would only discard ends of the next incarnation, which have the same numbers.
		}
	}
	if e.overTarget(v) && e.scavengersWork(v) {
		order.Wait = overrunPollWait
	}
	if e.runsPrompt(v) {
		order.Prompt, order.Wait = true, min(order.Wait, promptPollWait)
	}
	if !e.reachable(v) {
		order.Wait = 0
	}
	v.pollDueAt = e.now.Add(order.Wait + pollAnswerTime)
	e.issueOrder(v, order)
}

// delayNextPoll keeps pollWait between two polls of a worker that does not hold them open,
// and less between those of one that answers at once, as it lists an end.
func (e *Engine) delayNextPoll(v *workerView, answer *Answer) {
	if v.ackHeld {
		v.nextPollAt = e.now.Add(heldAckPollDelay)
	}
	if !e.holdsPolls() && answer.Order.Wait == 0 {
		v.nextPollAt = answer.Order.SentAt.Add(pollWait)
	}
}

// TakeDeparted returns and clears the addresses at which no worker is expected any more.
func (e *Engine) TakeDeparted() []string {
	departed := e.departed
	e.departed = nil
	return departed
}

// pollAfterCommit lets the next poll wait until what the worker has listed is committed: it answers
// at once while it lists unacknowledged ends. A commit that takes longer than pollWait must not end its
// lease, though.
func (e *Engine) pollAfterCommit(v *workerView) {
	dueAt, answered := v.nextPollAt, v.polls
	v.pollInFlight = false
	v.nextPollAt = max(dueAt, e.now.Add(pollWait))
	e.afterCommit(func() {
		if v.polls == answered { // No further poll was sent meanwhile.
			v.nextPollAt = dueAt
		}
		e.issueDueOrders(v)
	})
}
