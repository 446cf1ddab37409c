package callload

import (
	"math"
	"math/rand/v2"
	"time"
)

// request is a simulated request. Times are virtual, in nanoseconds.
type request struct {
	arrivedNs   int64
	sentNs      int64
	deadlineNs  int64
	workSeconds float64 // service time on an ordinary target, in seconds
	serviceNs   int64   // service time on the target that ran it
	origin      int32   // entry host at which the request arrived
	entry       int32   // entry host that holds the request
	target      int32   // -1 until the request is sent
	hopCount    int8
	live        bool // the entry of run.requests is in use
	returned    bool // refused by a peer and sent back to its origin
	// otherCopy is the index of the other copy of a hedged request plus one, zero for
	// none. superseded is set for the slower copy once the other one has finished.
	otherCopy  int32
	superseded bool
	isHedge    bool
	measured   bool
}

// run is the state of a simulation.
type run struct {
	config       Config
	result       *Result
	events       events
	now          int64      // virtual time in nanoseconds
	end          int64      // time of the last arrivals
	random       *rand.Rand // for the workload, which is the same for all policies
	policyRandom *rand.Rand // for the random choices of the policy
	requests     []request
	freeIndexes  []int32
	targets      []simTarget
	lostEntry    int32   // the crashed entry host, -1 for none
	arrivalRate  float64 // mean, in requests per second
	policy       policy
}

// simTarget is a simulated target. inFlight includes the queued requests.
type simTarget struct {
	inFlight int
	queue    []int32
	slow     bool
}

// policy handles the events of the simulation for one routing policy. Entry hosts and
// requests are given by their indexes.
type policy interface {
	start()
	arrive(entry, req int32)
	hop(entry, req int32)
	finished(req int32)
	tick()
	heartbeat()
	announce()
	entryLost(entry int32)
	membersChanged()
	hedge(req int32, sent int64)
}

var epoch = time.Unix(0, 0)

func (r *run) time() time.Time { return epoch.Add(time.Duration(r.now)) }

// Run simulates a run and returns its measurements.
func Run(c Config) *Result {
	r := &run{
		config: c, result: newResult(c),
		random: rand.New(rand.NewPCG(c.Seed, 1)), policyRandom: rand.New(rand.NewPCG(c.Seed, 2)),
		targets: make([]simTarget, c.Targets), lostEntry: -1, arrivalRate: c.Load * c.capacity(),
	}
	r.end = int64(c.Warmup + c.Duration)
	r.result.elapsed = c.Warmup + c.Duration
	r.policy = newPolicy(r)
	r.setSlow()
	r.schedule()
	r.policy.start()
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
		r.events.push(event{at: int64(r.config.LoseEntryAt), kind: evEntryLost, entry: int32(r.config.Entries - 1)})
		r.events.push(event{at: int64(r.config.LoseEntryAt + detectionDelay), kind: evMembersChanged})
	}
}

const (
	// tickInterval is the interval between the calls of policy.tick.
	tickInterval = 50 * time.Millisecond
	// detectionDelay is the time from the crash of an entry host until the others
	// consider it dead.
	detectionDelay = 1900 * time.Millisecond
	// takeoverDelay is the time from then until the others take over its slots.
	takeoverDelay = time.Second
	// balancerDelay is the time from the crash for which the balancer still sends
	// requests to the crashed host.
	balancerDelay = 100 * time.Millisecond
	// heartbeatFanout is the number of peers to which each heartbeat is sent, as in
	// package membership.
	heartbeatFanout = 3
	// heartbeatBytes is the size of a heartbeat on the wire, including the UDP and IP
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
		r.policy.hop(ev.entry, ev.req)
	case evReturn:
		r.complete(ev.req)
	case evTick:
		r.policy.tick()
		r.reschedule(ev, tickInterval)
	case evHeartbeat:
		r.policy.heartbeat()
		r.reschedule(ev, r.config.Heartbeat)
	case evAnnounce:
		r.setSlow()
		r.policy.announce()
		r.reschedule(ev, r.config.Announce)
	case evEntryLost:
		r.lostEntry = ev.entry
		r.policy.entryLost(ev.entry)
	case evMembersChanged:
		r.policy.membersChanged()
	case evHedge:
		r.policy.hedge(ev.req, ev.sent)
	}
}

func (r *run) reschedule(ev event, after time.Duration) {
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

// arrival creates a request and schedules the next arrival.
func (r *run) arrival() {
	if r.now >= r.end {
		return
	}
	gap := r.random.ExpFloat64() / r.currentRate()
	r.events.push(event{at: r.now + int64(gap*1e9), kind: evArrive})
	entry := r.pickEntry()
	index := r.allocate()
	q := &r.requests[index]
	*q = request{
		arrivedNs: r.now, deadlineNs: r.now + int64(r.config.Timeout), workSeconds: r.drawServiceTime(r.random), origin: entry, entry: entry,
		target: -1, live: true, measured: r.now >= int64(r.config.Warmup),
	}
	if q.measured {
		r.result.Offered++
	}
	if entry == r.lostEntry {
		r.drop(index)
		return
	}
	r.policy.arrive(entry, index)
}

func (r *run) currentRate() float64 {
	if r.config.Wave == 0 {
		return r.arrivalRate
	}
	if (r.now/int64(r.config.Wave))%2 == 0 {
		return r.arrivalRate * (1 + r.config.WaveDepth)
	}
	return r.arrivalRate * (1 - r.config.WaveDepth)
}

// drawServiceTime draws a lognormal service time, in seconds, with a coefficient of
// variation of one.
func (r *run) drawServiceTime(random *rand.Rand) float64 {
	sigma2 := math.Ln2
	mu := math.Log(r.config.Mean.Seconds()) - sigma2/2
	return math.Exp(mu + math.Sqrt(sigma2)*random.NormFloat64())
}

// pickEntry chooses the entry host of an arrival as the balancer does.
func (r *run) pickEntry() int32 {
	total := float64(r.config.Entries-1) + r.config.Skew
	for {
		x := r.random.Float64() * total
		entry := int32(0)
		if x >= r.config.Skew {
			entry = int32(1 + int(x-r.config.Skew))
		}
		balancerKnows := r.lostEntry >= 0 && r.now >= int64(r.config.LoseEntryAt+balancerDelay)
		if entry != r.lostEntry || !balancerKnows {
			return min(entry, int32(r.config.Entries-1))
		}
	}
}

func (r *run) allocate() int32 {
	if n := len(r.freeIndexes); n > 0 {
		index := r.freeIndexes[n-1]
		r.freeIndexes = r.freeIndexes[:n-1]
		return index
	}
	r.requests = append(r.requests, request{})
	return int32(len(r.requests) - 1)
}

func (r *run) release(index int32) {
	r.requests[index].live = false
	r.freeIndexes = append(r.freeIndexes, index)
}

// send sends a request to a target, which queues it if all its slots are taken.
func (r *run) send(index, target int32) {
	q := &r.requests[index]
	q.target = target
	q.sentNs = r.now
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
	seconds := q.workSeconds
	if r.targets[q.target].slow {
		seconds *= r.config.SlowFactor
	}
	q.serviceNs = int64(seconds * 1e9)
	r.events.push(event{at: r.now + q.serviceNs, kind: evFinish, req: index})
}

func (r *run) finish(index int32) {
	t := &r.targets[r.requests[index].target]
	t.inFlight--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		r.serve(next)
	}
	r.policy.finished(index)
}

// complete answers the caller of a request and records the latency. An answer after
// the deadline counts as refused.
func (r *run) complete(index int32) {
	q := &r.requests[index]
	defer r.release(index)
	if q.origin == r.lostEntry || q.entry == r.lostEntry {
		if q.measured {
			r.result.Lost++
		}
		return
	}
	if !q.measured {
		return
	}
	latency := r.now - q.arrivedNs
	if r.now > q.deadlineNs {
		r.result.Refused++
		return
	}
	r.result.Done++
	r.result.MaxHops = max(r.result.MaxHops, int(q.hopCount))
	_ = r.result.Latency.RecordValue(max(latency/1000, 1))             // The deadline keeps the value in range.
	_ = r.result.Delay.RecordValue(max((latency-q.serviceNs)/1000, 1)) // As above.
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

func (r *run) countMessage(bytes int) {
	r.result.Messages++
	r.result.MessageBytes += bytes
}
