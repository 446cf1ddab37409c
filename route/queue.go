package route

import "time"

// fairQueue serves its callers round-robin, and the requests of each caller in
// order of arrival.
type fairQueue struct {
	byCaller map[string]*callerQueue
	ring     []*callerQueue // the callers with queued requests
	next     int            // the index in ring of the caller to serve next
	size     int            // the number of queued requests
}

// callerQueue holds the queued requests of one caller; it is never empty.
type callerQueue struct {
	caller   string
	requests []Request
}

func newFairQueue() *fairQueue { return &fairQueue{byCaller: make(map[string]*callerQueue)} }

func (q *fairQueue) len() int { return q.size }

func (q *fairQueue) push(r Request) {
	l, ok := q.byCaller[r.Caller]
	if !ok {
		l = &callerQueue{caller: r.Caller}
		q.byCaller[r.Caller] = l
		q.ring = append(q.ring, l)
	}
	l.requests = append(l.requests, r)
	q.size++
}

func (q *fairQueue) peek() (Request, bool) {
	if q.size == 0 {
		return Request{}, false
	}
	return q.ring[q.next].requests[0], true
}

func (q *fairQueue) pop() {
	l := q.ring[q.next]
	l.requests = l.requests[1:]
	q.size--
	if len(l.requests) == 0 {
		q.removeCaller(q.next)
		return
	}
	q.next = (q.next + 1) % len(q.ring)
}

func (q *fairQueue) removeCaller(i int) {
	delete(q.byCaller, q.ring[i].caller)
	q.ring = append(q.ring[:i], q.ring[i+1:]...)
	if i < q.next {
		q.next--
	}
	if q.next >= len(q.ring) {
		q.next = 0
	}
}

func (q *fairQueue) remove(id RequestID) bool {
	for i, l := range q.ring {
		for j, r := range l.requests {
			if r.ID != id {
				continue
			}
			l.requests = append(l.requests[:j], l.requests[j+1:]...)
			q.size--
			if len(l.requests) == 0 {
				q.removeCaller(i)
			}
			return true
		}
	}
	return false
}

// removeExpired removes and returns the requests whose deadline has passed.
func (q *fairQueue) removeExpired(now time.Time) []Request {
	var out []Request
	for _, l := range q.ring {
		for _, r := range l.requests {
			if !r.Deadline.After(now) {
				out = append(out, r)
			}
		}
	}
	for _, r := range out {
		q.remove(r.ID)
	}
	return out
}

// busiestCaller returns the caller with the most queued requests, and their number.
func (q *fairQueue) busiestCaller() (caller string, waiting int) {
	for _, l := range q.ring {
		if len(l.requests) > waiting {
			caller, waiting = l.caller, len(l.requests)
		}
	}
	return caller, waiting
}

// waiting returns the number of queued requests of a caller.
func (q *fairQueue) waiting(caller string) int {
	if l, ok := q.byCaller[caller]; ok {
		return len(l.requests)
	}
	return 0
}

// evictNewest removes and returns the newest request of a caller.
func (q *fairQueue) evictNewest(caller string) Request {
	l := q.byCaller[caller]
	r := l.requests[len(l.requests)-1]
	q.remove(r.ID)
	return r
}
