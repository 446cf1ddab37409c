package route

import "time"

// fairQueue serves its callers in turn, each caller's requests in order of
// arrival.
type fairQueue struct {
	lanes map[string]*lane
	ring  []*lane
	next  int
	size  int
}

type lane struct {
	caller   string
	requests []Request
}

func newFairQueue() *fairQueue { return &fairQueue{lanes: make(map[string]*lane)} }

func (q *fairQueue) len() int { return q.size }

func (q *fairQueue) push(r Request) {
	l, ok := q.lanes[r.Caller]
	if !ok {
		l = &lane{caller: r.Caller}
		q.lanes[r.Caller] = l
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
		q.drop(q.next)
		return
	}
	q.next = (q.next + 1) % len(q.ring)
}

func (q *fairQueue) drop(i int) {
	delete(q.lanes, q.ring[i].caller)
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
				q.drop(i)
			}
			return true
		}
	}
	return false
}

func (q *fairQueue) expired(now time.Time) []Request {
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

// longest returns the caller with the most waiting requests, and their number.
func (q *fairQueue) longest() (caller string, waiting int) {
	for _, l := range q.ring {
		if len(l.requests) > waiting {
			caller, waiting = l.caller, len(l.requests)
		}
	}
	return caller, waiting
}

// waiting returns the number of waiting requests of a caller.
func (q *fairQueue) waiting(caller string) int {
	if l, ok := q.lanes[caller]; ok {
		return len(l.requests)
	}
	return 0
}

// evictNewest removes and returns the newest request of a caller.
func (q *fairQueue) evictNewest(caller string) Request {
	l := q.lanes[caller]
	r := l.requests[len(l.requests)-1]
	q.remove(r.ID)
	return r
}
