package burn

import "time"

// Lengths of the rings' slots, by window. Each is a multiple of the one before.
const (
	slotLength5m = 30 * time.Second
	slotLength1h = 5 * time.Minute
	slotLength6h = 30 * time.Minute
	slotLength3d = 6 * time.Hour
)

// ring keeps the totals of a service in slots of equal length. A slot that closes
// is also added to the next coarser ring.
type ring struct {
	slotLength time.Duration
	maxClosed  int64 // number of closed slots that cover the window
	openIndex  int64 // slotIndex of the open slot
	totals     Totals
	closed     []slot
	coarser    *ring
}

type slot struct {
	index  int64
	totals Totals
}

// newRings returns the finest ring, linked to the coarser ones.
func newRings(now time.Time) *ring {
	days := newRing(slotLength3d, Window3d, nil, now)
	hours := newRing(slotLength6h, Window6h, days, now)
	hour := newRing(slotLength1h, Window1h, hours, now)
	return newRing(slotLength5m, Window5m, hour, now)
}

func newRing(slotLength, window time.Duration, coarser *ring, now time.Time) *ring {
	return &ring{slotLength: slotLength, maxClosed: int64(window / slotLength), coarser: coarser, openIndex: slotIndex(now, slotLength), totals: newTotals()}
}

// slotIndex returns the number of whole slots from the Unix epoch to t.
func slotIndex(t time.Time, length time.Duration) int64 { return t.UnixNano() / int64(length) }

// advance closes the open slot if now lies after it. If the clock was set back, the
// slot stays open.
func (r *ring) advance(now time.Time) {
	if r.coarser != nil {
		defer r.coarser.advance(now)
	}
	index := slotIndex(now, r.slotLength)
	if index <= r.openIndex {
		return
	}
	r.close()
	r.openIndex = index
	r.dropExpired()
}

// close moves the totals of the open slot to the closed slots, and adds them to the
// coarser ring.
func (r *ring) close() {
	if r.totals.empty() {
		return
	}
	if r.coarser != nil {
		r.coarser.advance(time.Unix(0, r.openIndex*int64(r.slotLength)))
		r.coarser.totals.add(&r.totals)
	}
	r.totals.latency.Compact()
	r.closed = append(r.closed, slot{r.openIndex, r.totals})
	r.totals = newTotals()
}

// dropExpired forgets the slots that lie outside the ring's window.
func (r *ring) dropExpired() {
	expired := 0
	for expired < len(r.closed) && r.closed[expired].index < r.openIndex-r.maxClosed {
		expired++
	}
	r.closed = append(r.closed[:0:0], r.closed[expired:]...)
}

// addWindow adds to sum the totals of the window that ends now: the closed slots of
// this ring, and the open slots of all rings from the finest up to this one.
func (r *ring) addWindow(window time.Duration, finest *ring, sum *Totals) {
	for finer := finest; ; finer = finer.coarser {
		sum.add(&finer.totals)
		if finer == r {
			break
		}
	}
	oldest := r.openIndex - int64(window/r.slotLength)
	for i := range r.closed {
		if r.closed[i].index >= oldest {
			sum.add(&r.closed[i].totals)
		}
	}
}
