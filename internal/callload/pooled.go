package callload

import (
	"fmt"
	"time"

	"mangohill.example/mangohill/route"
)

// pooled drives one route.Pool on each entry host, as package proxy does.
type pooled struct {
	nothing
	*run
	pools   []*route.Pool
	allots  []*route.Allotment
	names   []string
	targets []string
	byName  map[string]int32
	demand  []float64
	shares  [][]int
	pending [][]int
	settled bool
	round   int
}

func newWay(r *run) way {
	switch r.config.Policy {
	case Central:
		return &central{run: r}
	case Shares, DynamicShares, Borrow, Owners, Hedge, HedgeRedraw:
		return newPooled(r)
	default:
		return newDirect(r)
	}
}

func newPooled(r *run) *pooled {
	w := &pooled{run: r, byName: make(map[string]int32), demand: make([]float64, r.config.Entries)}
	for i := range r.config.Entries {
		name := fmt.Sprintf("entry-%d", i+1)
		w.names = append(w.names, name)
		w.byName[name] = int32(i)
		w.pools = append(w.pools, route.NewPool(route.Options{
			Seed: r.config.Seed + uint64(i), QueueLimit: r.config.QueueLimit, ServiceTime: r.config.Mean,
		}))
		w.allots = append(w.allots, route.NewAllotment(name, settle, r.config.Entries))
	}
	for i := range r.config.Targets {
		name := fmt.Sprintf("target-%02d", i+1)
		w.targets = append(w.targets, name)
		w.byName[name] = int32(i)
	}
	return w
}

func (w *pooled) borrows() bool { return w.config.Policy != Shares && w.config.Policy != DynamicShares }

func (w *pooled) hedges() bool { return w.config.Policy == Hedge || w.config.Policy == HedgeRedraw }

func (w *pooled) start() {
	for _, a := range w.allots {
		a.SetMembers(epoch.Add(-time.Hour), w.names)
	}
	w.refresh()
	w.heartbeat()
}

// refresh gives every pool its shares.
func (w *pooled) refresh() {
	now := w.time()
	for entry := range w.pools {
		if int32(entry) == w.lost {
			continue
		}
		for i, name := range w.targets {
			w.perform(int32(entry), w.pools[entry].SetTarget(now, route.Target{Name: name, Share: w.share(entry, i), Ready: true}))
		}
	}
}

func (w *pooled) share(entry, target int) int {
	name := w.targets[target]
	if w.config.Policy == DynamicShares && w.shares != nil {
		return w.shares[entry][target]
	}
	if w.config.Policy != Owners {
		return w.allots[entry].Share(w.time(), name, w.config.Slots)
	}
	if w.allots[entry].Share(w.time(), name, 1) == 1 {
		return w.config.Slots
	}
	return 0
}

func (w *pooled) request(req int32) route.Request {
	q := &w.requests[req]
	return route.Request{
		ID: route.RequestID(req), Caller: "caller", Deadline: epoch.Add(time.Duration(q.deadline)), Hopped: q.hops > 0,
	}
}

func (w *pooled) arrive(entry, req int32) {
	w.demand[entry]++
	w.offer(entry, req)
}

// hop lets a request arrive at the entry host that it was handed to, or back at
// its origin after a refusal.
func (w *pooled) hop(entry, req int32) {
	if entry == w.lost && w.requests[req].origin == w.lost {
		w.drop(req)
		return
	}
	if entry == w.lost {
		w.bounce(req)
		return
	}
	w.requests[req].entry = entry
	w.offer(entry, req)
}

// bounce sends a request that a peer did not take back to its origin, where it
// stays.
func (w *pooled) bounce(req int32) {
	q := &w.requests[req]
	q.entry = q.origin
	q.bounced = true
	w.events.push(event{at: w.now + int64(w.config.HopDelay), kind: evHop, entry: q.origin, req: req})
}

func (w *pooled) offer(entry, req int32) {
	d, evicted := w.pools[entry].Offer(w.time(), w.request(req))
	w.act(entry, d)
	w.perform(entry, evicted)
}

func (w *pooled) perform(entry int32, decisions []route.Decision) {
	for _, d := range decisions {
		w.act(entry, d)
	}
}

func (w *pooled) act(entry int32, d route.Decision) {
	req := int32(d.Request)
	switch d.Action {
	case route.Wait:
	case route.Send:
		w.send(req, w.byName[d.Name])
		if w.hedges() && w.requests[req].twin == 0 {
			w.events.push(event{at: w.now + int64(w.pools[entry].HedgeAfter()), sent: w.now, kind: evHedge, req: req})
		}
	case route.Hop:
		w.requests[req].hops++
		if w.requests[req].measured {
			w.result.Hops++
		}
		w.events.push(event{at: w.now + int64(w.config.HopDelay), kind: evHop, entry: w.byName[d.Name], req: req})
	case route.Refuse:
		q := &w.requests[req]
		if q.hops > 0 && !q.bounced {
			w.bounce(req)
			return
		}
		w.refuse(req)
	}
}

func (w *pooled) finished(req int32) {
	q := &w.requests[req]
	entry := q.entry
	if entry == w.lost {
		w.complete(req)
		return
	}
	name := w.targets[q.target]
	w.perform(entry, w.pools[entry].Done(w.time(), name, epoch.Add(time.Duration(q.sent)), route.Answered))
	q = &w.requests[req]
	if q.hedge {
		w.pools[entry].EndHedge()
	}
	if q.void {
		w.release(req)
		return
	}
	if q.twin > 0 {
		w.requests[q.twin-1].void = true
	}
	if entry == q.origin {
		w.complete(req)
		return
	}
	// The answer to a hop carries the load of the peer.
	load := w.pools[entry].Load(w.time())
	origin := q.origin
	if origin != w.lost {
		w.perform(origin, w.pools[origin].SetPeer(w.time(), w.names[entry], load))
	}
	w.events.push(event{at: w.now + int64(w.config.HopDelay), kind: evReturn, req: req})
}

func (w *pooled) tick() {
	now := w.time()
	grown := w.settled
	w.settled = true
	for entry, pool := range w.pools {
		if int32(entry) == w.lost {
			continue
		}
		w.settled = w.settled && w.allots[entry].Settled(now)
		w.perform(int32(entry), pool.Tick(now))
	}
	if w.settled && !grown {
		w.refresh()
	}
}

func (w *pooled) heartbeat() {
	now := w.time()
	if w.config.Policy == DynamicShares {
		w.moveShares()
	}
	w.round++
	for from, pool := range w.pools {
		if int32(from) == w.lost {
			continue
		}
		load := pool.Load(now)
		for i := range fanout {
			to := (from + 1 + (w.round*fanout+i)%(len(w.pools)-1)) % len(w.pools)
			w.message(heartbeatBytes)
			if w.borrows() && int32(to) != w.lost {
				w.perform(int32(to), w.pools[to].SetPeer(now, w.names[from], load))
			}
		}
	}
}

func (w *pooled) lose(entry int32) {
	for i := range w.requests {
		q := &w.requests[i]
		if q.live && q.target < 0 && (q.entry == entry || q.origin == entry) && w.pools[entry].Cancel(route.RequestID(i)) {
			w.drop(int32(i))
		}
	}
}

func (w *pooled) members() {
	now := w.time()
	var live []string
	for i, name := range w.names {
		if int32(i) != w.lost {
			live = append(live, name)
		}
	}
	for entry, pool := range w.pools {
		if int32(entry) == w.lost {
			continue
		}
		pool.KeepPeers(func(name string) bool { return w.byName[name] != w.lost })
		w.allots[entry].SetMembers(now, live)
	}
	w.settled = false
	w.refresh()
}

// moveShares divides the slots by the arrivals of the last heartbeats. A slot is
// given up in one interval and taken over in the next.
func (w *pooled) moveShares() {
	if w.shares == nil {
		w.shares = make([][]int, w.config.Entries)
		for entry := range w.shares {
			for _, name := range w.targets {
				w.shares[entry] = append(w.shares[entry], w.allots[entry].Share(w.time(), name, w.config.Slots))
			}
		}
		w.pending = w.shares
		return
	}
	w.shares = w.pending
	w.refresh()
	wanted := w.divide()
	w.pending = wanted
	lower := make([][]int, len(wanted))
	for entry := range wanted {
		lower[entry] = make([]int, len(w.targets))
		for i := range w.targets {
			lower[entry][i] = min(w.shares[entry][i], wanted[entry][i])
		}
	}
	w.shares = lower
	w.refresh()
}

// divide spreads every target's slots by demand. The remainders go round, so
// that each entry host gets its part of the whole.
func (w *pooled) divide() [][]int {
	total := 0.0
	for entry := range w.demand {
		if int32(entry) == w.lost {
			w.demand[entry] = 0
		}
		total += w.demand[entry] + 1
	}
	out := make([][]int, w.config.Entries)
	owed := make([]float64, w.config.Entries)
	for entry := range out {
		out[entry] = make([]int, len(w.targets))
	}
	for i := range w.targets {
		left := w.config.Slots
		for entry := range out {
			owed[entry] += float64(w.config.Slots) * (w.demand[entry] + 1) / total
		}
		for ; left > 0; left-- {
			most := largest(owed)
			owed[most]--
			out[most][i]++
		}
	}
	for entry := range w.demand {
		w.demand[entry] *= 0.7
	}
	return out
}

// largest returns the index of the largest value.
func largest(values []float64) int {
	best := 0
	for i, value := range values {
		if value > values[best] {
			best = i
		}
	}
	return best
}
