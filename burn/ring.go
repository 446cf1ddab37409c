package burn

import "time"

// Spans of the rings' slots. Each is a multiple of the one before.
const (
	span5m = 30 * time.Second
	span1h = 5 * time.Minute
	span6h = 30 * time.Minute
	span3d = 6 * time.Hour
)

// ring keeps the totals of a service in slots of equal spans. Closed slots pass
// on to the next, coarser ring.
type ring struct {
	span   time.Duration
	keep   int64
	open   int64 // index of the open slot: time since the epoch over span
	totals Totals
	closed []slot
	next   *ring
}

type slot struct {
	index  int64
	totals Totals
}

// newRings returns the finest ring, linked to the coarser ones.
func newRings(now time.Time) *ring {
	days := newRing(span3d, Window3d, nil, now)
	hours := newRing(span6h, Window6h, days, now)
	hour := newRing(span1h, Window1h, hours, now)
	return newRing(span5m, Window5m, hour, now)
}

func newRing(span, window time.Duration, next *ring, now time.Time) *ring {
	return &ring{span: span, keep: int64(window / span), next: next, open: indexOf(now, span), totals: newTotals()}
}

func indexOf(t time.Time, span time.Duration) int64 { return t.UnixNano() / int64(span) }

// advance closes slots whose span is over. A clock that was set back leaves the
// open slot open.
func (r *ring) advance(now time.Time) {
	if r.next != nil {
		defer r.next.advance(now)
	}
	index := indexOf(now, r.span)
	if index <= r.open {
		return
	}
	r.close()
	r.open = index
	r.drop()
}

// close moves the open totals to the closed slots and to the next ring.
func (r *ring) close() {
	if r.totals.empty() {
		return
	}
	if r.next != nil {
		r.next.advance(time.Unix(0, r.open*int64(r.span)))
		r.next.totals.add(&r.totals)
	}
	r.totals.latency.Compact()
	r.closed = append(r.closed, slot{r.open, r.totals})
	r.totals = newTotals()
}

// drop forgets the slots that lie outside the ring's window.
func (r *ring) drop() {
	gone := 0
	for gone < len(r.closed) && r.closed[gone].index < r.open-r.keep {
		gone++
	}
	r.closed = append(r.closed[:0:0], r.closed[gone:]...)
}

// addWindow adds to into what lies in the window before now: the closed slots of
// this ring, and the open slots from the finest ring up to this one.
func (r *ring) addWindow(window time.Duration, finest *ring, into *Totals) {
	for finer := finest; ; finer = finer.next {
		into.add(&finer.totals)
		if finer == r {
			break
		}
	}
	oldest := r.open - int64(window/r.span)
	for i := range r.closed {
		if r.closed[i].index >= oldest {
			into.add(&r.closed[i].totals)
		}
	}
}
