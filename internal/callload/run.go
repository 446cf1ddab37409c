package callload

import (
	"math"
	"math/rand/v2"
	"time"
)

// request is one request on its way.
type request struct {
	arrived  int64
	sent     int64
	deadline int64
	service  float64 // seconds on an ordinary target
	took     int64
	origin   int32
	entry    int32
	target   int32
	hops     int8
	live     bool
	bounced  bool
	// twin is the other copy of a hedged request, plus one; void is set for the
	// copy that came second.
	twin     int32
	void     bool
	hedge    bool
	measured bool
}

// run is a simulation under way.
type run struct {
	config   Config
	result   *Result
	events   events
	now      int64
	end      int64
	random   *rand.Rand // the workload: the same for every way
	choice   *rand.Rand // the choices of a way
	requests []request
	free     []int32
	targets  []simTarget
	lost     int32
	rate     float64
	way      way
}

type simTarget struct {
	inFlight int
	queue    []int32
	slow     bool
}

// way is the routing under test.
type way interface {
	start()
	arrive(entry, req int32)
	hop(entry, req int32)
	finished(req int32)
	tick()
	heartbeat()
	announce()
	lose(entry int32)
	members()
	hedge(req int32, sent int64)
}

var epoch = time.Unix(0, 0)

func (r *run) time() time.Time { return epoch.Add(time.Duration(r.now)) }

// Run carries out a run.
func Run(c Config) *Result {
	r := &run{
		config: c, result: newResult(c),
		random: rand.New(rand.NewPCG(c.Seed, 1)), choice: rand.New(rand.NewPCG(c.Seed, 2)),
		targets: make([]simTarget, c.Targets), lost: -1, rate: c.Load * c.capacity(),
	}
	r.end = int64(c.Warmup + c.Duration)
	r.result.elapsed = c.Warmup + c.Duration
	r.way = newWay(r)
	r.setSlow()
	r.schedule()
	r.way.start()
	for len(r.events.heap) > 0 {
		r.handle(r.events.pop())
	}
	return r.result
}

func (r *run) schedule() {
	r.events.push(event{at: 0, kind: evArrive})
	r.events.push(event{at: int64(tickInterval), kind: evTick})
	r.events.push(event{at: int64(r.config.Heartbeat), kind: evHeartbeat})
	r.events.push(event{at: int64(r.config.Announce), kind: evAnnounce})
	if r.config.LoseEntryAt > 0 {
		r.events.push(event{at: int64(r.config.LoseEntryAt), kind: evLose, entry: int32(r.config.Entries - 1)})
		r.events.push(event{at: int64(r.config.LoseEntryAt + detectAfter), kind: evMembers})
	}
}

const (
	tickInterval = 50 * time.Millisecond
	// detectAfter is the time after which a lost entry host is known as dead.
	detectAfter = 1900 * time.Millisecond
	// settle is the time until its slots are taken over.
	settle = time.Second
	// balancerAfter is the time for which the balancer still sends to it.
	balancerAfter = 100 * time.Millisecond
	// fanout is the number of peers that get each heartbeat, as in package
	// membership.
	fanout = 3
	// heartbeatBytes is the size of a heartbeat on the wire, with UDP and IP
	// headers.
	heartbeatBytes = 220
)

func (r *run) handle(ev event) {
	r.now = ev.at
	switch ev.kind {
	case evArrive:
		r.arrival()
	case evFinish:
		r.finish(ev.req)
	case evHop:
		r.way.hop(ev.entry, ev.req)
	case evReturn:
		r.complete(ev.req)
	case evTick:
		r.way.tick()
		r.again(ev, tickInterval)
	case evHeartbeat:
		r.way.heartbeat()
		r.again(ev, r.config.Heartbeat)
	case evAnnounce:
		r.setSlow()
		r.way.announce()
		r.again(ev, r.config.Announce)
	case evLose:
		r.lost = ev.entry
		r.way.lose(ev.entry)
	case evMembers:
		r.way.members()
	case evHedge:
		r.way.hedge(ev.req, ev.sent)
	}
}

func (r *run) again(ev event, after time.Duration) {
	if r.now < r.end {
		ev.at = r.now + int64(after)
		r.events.push(ev)
	}
}

func (r *run) setSlow() {
	for i := range r.config.slowTargets() {
		r.targets[i*r.config.Targets/max(r.config.slowTargets(), 1)].slow = r.now >= int64(r.config.SlowAt)
	}
}

// arrival lets one request in and schedules the next.
func (r *run) arrival() {
	if r.now >= r.end {
		return
	}
	gap := r.random.ExpFloat64() / r.presentRate()
	r.events.push(event{at: r.now + int64(gap*1e9), kind: evArrive})
	entry := r.balance()
	index := r.take()
	q := &r.requests[index]
	*q = request{
		arrived: r.now, deadline: r.now + int64(r.config.Timeout), service: r.draw(r.random), origin: entry, entry: entry,
		target: -1, live: true, measured: r.now >= int64(r.config.Warmup),
	}
	if q.measured {
		r.result.Offered++
	}
	if entry == r.lost {
		r.drop(index)
		return
	}
	r.way.arrive(entry, index)
}

func (r *run) presentRate() float64 {
	if r.config.Wave == 0 {
		return r.rate
	}
	if (r.now/int64(r.config.Wave))%2 == 0 {
		return r.rate * (1 + r.config.WaveDepth)
	}
	return r.rate * (1 - r.config.WaveDepth)
}

// draw draws a lognormal service time in seconds with coefficient of variation
// one.
func (r *run) draw(random *rand.Rand) float64 {
	sigma2 := math.Ln2
	mu := math.Log(r.config.Mean.Seconds()) - sigma2/2
	return math.Exp(mu + math.Sqrt(sigma2)*random.NormFloat64())
}

// balance draws the entry host of an arrival.
func (r *run) balance() int32 {
	total := float64(r.config.Entries-1) + r.config.Skew
	for {
		x := r.random.Float64() * total
		entry := int32(0)
		if x >= r.config.Skew {
			entry = int32(1 + int(x-r.config.Skew))
		}
		knows := r.lost >= 0 && r.now >= int64(r.config.LoseEntryAt+balancerAfter)
		if entry != r.lost || !knows {
			return min(entry, int32(r.config.Entries-1))
		}
	}
}

func (r *run) take() int32 {
	if n := len(r.free); n > 0 {
		index := r.free[n-1]
		r.free = r.free[:n-1]
		return index
	}
	r.requests = append(r.requests, request{})
	return int32(len(r.requests) - 1)
}

func (r *run) release(index int32) {
	r.requests[index].live = false
	r.free = append(r.free, index)
}

// send puts a request on a target, which queues it if it is full.
func (r *run) send(index, target int32) {
	q := &r.requests[index]
	q.target = target
	q.sent = r.now
	t := &r.targets[target]
	t.inFlight++
	r.result.Peak = max(r.result.Peak, t.inFlight)
	if t.inFlight > r.config.Slots {
		t.queue = append(t.queue, index)
		return
	}
	r.serve(index)
}

func (r *run) serve(index int32) {
	q := &r.requests[index]
	took := q.service
	if r.targets[q.target].slow {
		took *= r.config.SlowFactor
	}
	q.took = int64(took * 1e9)
	r.events.push(event{at: r.now + q.took, kind: evFinish, req: index})
}

func (r *run) finish(index int32) {
	t := &r.targets[r.requests[index].target]
	t.inFlight--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		r.serve(next)
	}
	r.way.finished(index)
}

// complete answers the caller of a request.
func (r *run) complete(index int32) {
	q := &r.requests[index]
	defer r.release(index)
	if q.origin == r.lost || q.entry == r.lost {
		if q.measured {
			r.result.Lost++
		}
		return
	}
	if !q.measured {
		return
	}
	latency := r.now - q.arrived
	if r.now > q.deadline {
		r.result.Refused++
		return
	}
	r.result.Done++
	r.result.MaxHops = max(r.result.MaxHops, int(q.hops))
	_ = r.result.Latency.RecordValue(max(latency/1000, 1))        // Within range by the deadline.
	_ = r.result.Delay.RecordValue(max((latency-q.took)/1000, 1)) // As above.
}

func (r *run) refuse(index int32) {
	if r.requests[index].measured {
		r.result.Refused++
	}
	r.release(index)
}

func (r *run) drop(index int32) {
	if r.requests[index].measured {
		r.result.Lost++
	}
	r.release(index)
}

func (r *run) message(bytes int) {
	r.result.Messages++
	r.result.MessageBytes += bytes
}
