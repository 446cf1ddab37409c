package coordinator

import (
	"context"
	"runtime"
	"sync"

	"mangohill.example/mangohill/dispatch"
)

// sendBurst is the number of orders that are begun before other goroutines get their turn. Each
// turn of the others may take as long as a round of the loop, so fewer would hold up the orders.
const sendBurst = 64

// orderQueue holds the orders that are not being sent yet. Orders of a class are begun in the
// order in which they were added; those of an earlier class go first. The engine bounds the
// queue: it has one order for each attempt, one poll and one probe for each worker on the way.
type orderQueue struct {
	mu      sync.Mutex
	waiting [sendClasses][]dispatch.Order
	// added wakes the sender.
	added chan struct{}
}

// sendClass ranks orders by what their delay costs.
type sendClass uint8

const (
	// urgentSends are starts of urgent tasks, and stops, which make room.
	urgentSends sendClass = iota
	// renewals are polls, which renew leases and show ends, and changes of shares.
	renewals
	// otherSends are starts of other tasks.
	otherSends
	sendClasses
)

func classOf(order *dispatch.Order) sendClass {
	switch {
	case order.Verb == dispatch.Stop || order.Urgent:
		return urgentSends
	case order.Verb == dispatch.Start || order.Probe:
		return otherSends
	}
	return renewals
}

func newOrderQueue() *orderQueue { return &orderQueue{added: make(chan struct{}, 1)} }

// add queues orders. It returns those that are to be begun at once: the first urgent ones.
func (q *orderQueue) add(orders []dispatch.Order) []dispatch.Order {
	var atOnce []dispatch.Order
	queued := false
	q.mu.Lock()
	for i := range orders {
		class := classOf(&orders[i])
		if class == urgentSends && len(q.waiting[class]) == 0 && len(atOnce) < sendBurst {
			atOnce = append(atOnce, orders[i])
			continue
		}
		q.waiting[class] = append(q.waiting[class], orders[i])
		queued = true
	}
	q.mu.Unlock()
	if queued {
		select {
		case q.added <- struct{}{}:
		default: // The sender has not seen an earlier wake-up yet.
		}
	}
	return atOnce
}

// take removes and returns the next order.
func (q *orderQueue) take() (dispatch.Order, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for class, waiting := range q.waiting {
		if len(waiting) == 0 {
			continue
		}
		order := waiting[0]
		waiting[0] = dispatch.Order{}
		q.waiting[class] = waiting[1:]
		return order, true
	}
	return dispatch.Order{}, false
}

// len returns the number of orders that wait.
func (q *orderQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, waiting := range q.waiting {
		n += len(waiting)
	}
	return n
}

// run begins the queued orders until ctx ends. It lets other goroutines run after each burst:
// thousands of orders at once would make the loop, and the log, wait until all are sent.
func (q *orderQueue) run(ctx context.Context, begin func(dispatch.Order)) {
	for {
		for n := 1; ; n++ {
			order, ok := q.take()
			if !ok {
				break
			}
			begin(order)
			if n%sendBurst == 0 {
				runtime.Gosched()
			}
		}
		select {
		case <-q.added:
		case <-ctx.Done():
			return
		}
	}
}
