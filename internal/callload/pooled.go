package callload

import (
	"fmt"
	"time"

	"mangohill.example/mangohill/route"
)

// pooled implements the policies that use one route.Pool on each entry host, as
// package proxy does.
type pooled struct {
	unhandledEvents
	*run
	pools          []*route.Pool
	allotments     []*route.Allotment
	names          []string
	targets        []string
	byName         map[string]int32 // indexes of the entry hosts and targets
	demand         []float64        // for DynamicShares: arrivals at each entry host, decaying by 30 % per division of the slots
	shares         [][]int          // for DynamicShares: slots by entry host and target
	pending        [][]int          // the shares from the next heartbeat on
	settled        bool             // all allotments are settled
	heartbeatRound int
}

func newPolicy(r *run) policy {
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
	p := &pooled{run: r, byName: make(map[string]int32), demand: make([]float64, r.config.Entries)}
	for i := range r.config.Entries {
		name := fmt.Sprintf("entry-%d", i+1)
		p.names = append(p.names, name)
		p.byName[name] = int32(i)
		p.pools = append(p.pools, route.NewPool(route.Options{
			Seed: r.config.Seed + uint64(i), QueueLimit: r.config.QueueLimit, ServiceTime: r.config.Mean,
		}))
		p.allotments = append(p.allotments, route.NewAllotment(name, takeoverDelay, r.config.Entries))
	}
	for i := range r.config.Targets {
		name := fmt.Sprintf("target-%02d", i+1)
		p.targets = append(p.targets, name)
		p.byName[name] = int32(i)
	}
	return p
}

func (p *pooled) borrows() bool { return p.config.Policy != Shares && p.config.Policy != DynamicShares }

func (p *pooled) hedges() bool { return p.config.Policy == Hedge || p.config.Policy == HedgeRedraw }

func (p *pooled) start() {
	for _, a := range p.allotments {
		a.SetMembers(epoch.Add(-time.Hour), p.names)
	}
	p.refresh()
	p.heartbeat()
}

// refresh sets the share of each pool in the slots of each target.
func (p *pooled) refresh() {
	now := p.time()
	for entry := range p.pools {
		if int32(entry) == p.lostEntry {
			continue
		}
		for i, name := range p.targets {
			p.executeAll(int32(entry), p.pools[entry].SetTarget(now, route.Target{Name: name, Share: p.share(entry, i), Ready: true}))
		}
	}
}

func (p *pooled) share(entry, target int) int {
	name := p.targets[target]
	if p.config.Policy == DynamicShares && p.shares != nil {
		return p.shares[entry][target]
	}
	if p.config.Policy != Owners {
		return p.allotments[entry].Share(p.time(), name, p.config.Slots)
	}
	if p.allotments[entry].Share(p.time(), name, 1) == 1 {
		return p.config.Slots
	}
	return 0
}

func (p *pooled) request(req int32) route.Request {
	q := &p.requests[req]
	return route.Request{
		ID: route.RequestID(req), Caller: "caller", Deadline: epoch.Add(time.Duration(q.deadlineNs)), Hopped: q.hopCount > 0,
	}
}

func (p *pooled) arrive(entry, req int32) {
	p.demand[entry]++
	p.offer(entry, req)
}

// hop handles the arrival of a request at the entry host to which it was handed, or
// back at its origin after a refusal.
func (p *pooled) hop(entry, req int32) {
	if entry == p.lostEntry && p.requests[req].origin == p.lostEntry {
		p.drop(req)
		return
	}
	if entry == p.lostEntry {
		p.returnToOrigin(req)
		return
	}
	p.requests[req].entry = entry
	p.offer(entry, req)
}

// returnToOrigin sends a request that a peer refused back to its origin, which doesn't
// hand it on again.
func (p *pooled) returnToOrigin(req int32) {
	q := &p.requests[req]
	q.entry = q.origin
	q.returned = true
	p.events.push(event{at: p.now + int64(p.config.HopDelay), kind: evHop, entry: q.origin, req: req})
}

func (p *pooled) offer(entry, req int32) {
	d, evicted := p.pools[entry].Offer(p.time(), p.request(req))
	p.execute(entry, d)
	p.executeAll(entry, evicted)
}

func (p *pooled) executeAll(entry int32, decisions []route.Decision) {
	for _, d := range decisions {
		p.execute(entry, d)
	}
}

func (p *pooled) execute(entry int32, d route.Decision) {
	req := int32(d.Request)
	switch d.Action {
	case route.Wait:
	case route.Send:
		p.send(req, p.byName[d.Name])
		if p.hedges() && p.requests[req].otherCopy == 0 {
			p.events.push(event{at: p.now + int64(p.pools[entry].HedgeAfter()), sent: p.now, kind: evHedge, req: req})
		}
	case route.Hop:
		p.requests[req].hopCount++
		if p.requests[req].measured {
			p.result.Hops++
		}
		p.events.push(event{at: p.now + int64(p.config.HopDelay), kind: evHop, entry: p.byName[d.Name], req: req})
	case route.Refuse:
		q := &p.requests[req]
		if q.hopCount > 0 && !q.returned {
			p.returnToOrigin(req)
			return
		}
		p.refuse(req)
	}
}

func (p *pooled) finished(req int32) {
	q := &p.requests[req]
	entry := q.entry
	if entry == p.lostEntry {
		p.complete(req)
		return
	}
	name := p.targets[q.target]
	p.executeAll(entry, p.pools[entry].Done(p.time(), name, epoch.Add(time.Duration(q.sentNs)), route.Answered))
	q = &p.requests[req]
	if q.isHedge {
		p.pools[entry].EndHedge()
	}
	if q.superseded {
		p.release(req)
		return
	}
	if q.otherCopy > 0 {
		p.requests[q.otherCopy-1].superseded = true
	}
	if entry == q.origin {
		p.complete(req)
		return
	}
	// The answer of a peer carries its load.
	load := p.pools[entry].Load(p.time())
	origin := q.origin
	if origin != p.lostEntry {
		p.executeAll(origin, p.pools[origin].SetPeer(p.time(), p.names[entry], load))
	}
	p.events.push(event{at: p.now + int64(p.config.HopDelay), kind: evReturn, req: req})
}

func (p *pooled) tick() {
	now := p.time()
	wasSettled := p.settled
	p.settled = true
	for entry, pool := range p.pools {
		if int32(entry) == p.lostEntry {
			continue
		}
		p.settled = p.settled && p.allotments[entry].Settled(now)
		p.executeAll(int32(entry), pool.Tick(now))
	}
	if p.settled && !wasSettled {
		p.refresh()
	}
}

func (p *pooled) heartbeat() {
	now := p.time()
	if p.config.Policy == DynamicShares {
		p.rebalanceShares()
	}
	p.heartbeatRound++
	for from, pool := range p.pools {
		if int32(from) == p.lostEntry {
			continue
		}
		load := pool.Load(now)
		for i := range heartbeatFanout {
			to := (from + 1 + (p.heartbeatRound*heartbeatFanout+i)%(len(p.pools)-1)) % len(p.pools)
			p.countMessage(heartbeatBytes)
			if p.borrows() && int32(to) != p.lostEntry {
				p.executeAll(int32(to), p.pools[to].SetPeer(now, p.names[from], load))
			}
		}
	}
}

func (p *pooled) entryLost(entry int32) {
	for i := range p.requests {
		q := &p.requests[i]
		if q.live && q.target < 0 && (q.entry == entry || q.origin == entry) && p.pools[entry].Cancel(route.RequestID(i)) {
			p.drop(int32(i))
		}
	}
}

func (p *pooled) membersChanged() {
	now := p.time()
	var live []string
	for i, name := range p.names {
		if int32(i) != p.lostEntry {
			live = append(live, name)
		}
	}
	for entry, pool := range p.pools {
		if int32(entry) == p.lostEntry {
			continue
		}
		pool.KeepPeers(func(name string) bool { return p.byName[name] != p.lostEntry })
		p.allotments[entry].SetMembers(now, live)
	}
	p.settled = false
	p.refresh()
}

// rebalanceShares divides the slots in proportion to recent arrivals. A slot that
// moves is given up in one heartbeat interval and taken over in the next, so that
// it never belongs to two shares at once.
func (p *pooled) rebalanceShares() {
	if p.shares == nil {
		p.shares = make([][]int, p.config.Entries)
		for entry := range p.shares {
			for _, name := range p.targets {
				p.shares[entry] = append(p.shares[entry], p.allotments[entry].Share(p.time(), name, p.config.Slots))
			}
		}
		p.pending = p.shares
		return
	}
	p.shares = p.pending
	p.refresh()
	wanted := p.divideSlots()
	p.pending = wanted
	lower := make([][]int, len(wanted))
	for entry := range wanted {
		lower[entry] = make([]int, len(p.targets))
		for i := range p.targets {
			lower[entry][i] = min(p.shares[entry][i], wanted[entry][i])
		}
	}
	p.shares = lower
	p.refresh()
}

// divideSlots divides the slots of each target in proportion to demand. Rounding
// remainders carry over to the next target, so that each entry host gets its part
// of the total.
func (p *pooled) divideSlots() [][]int {
	total := 0.0
	for entry := range p.demand {
		if int32(entry) == p.lostEntry {
			p.demand[entry] = 0
		}
		total += p.demand[entry] + 1
	}
	out := make([][]int, p.config.Entries)
	credits := make([]float64, p.config.Entries)
	for entry := range out {
		out[entry] = make([]int, len(p.targets))
	}
	for i := range p.targets {
		left := p.config.Slots
		for entry := range out {
			credits[entry] += float64(p.config.Slots) * (p.demand[entry] + 1) / total
		}
		for ; left > 0; left-- {
			most := largest(credits)
			credits[most]--
			out[most][i]++
		}
	}
	for entry := range p.demand {
		p.demand[entry] *= 0.7
	}
	return out
}

// largest returns the index of the first largest value.
func largest(values []float64) int {
	best := 0
	for i, value := range values {
		if value > values[best] {
			best = i
		}
	}
	return best
}
