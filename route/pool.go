package route

import (
	"math/rand/v2"
	"sort"
	"time"
)

// RequestID identifies a request within one Pool.
type RequestID uint64

// Request is a request that needs a target.
type Request struct {
	ID RequestID
	// Caller identifies the caller; the fair queue serves callers in turn.
	Caller string
	// Deadline is the instant after which the caller no longer waits.
	Deadline time.Time
	// Hopped is set for a request that a peer entry host forwarded: it is not
	// forwarded a second time.
	Hopped bool
	// Avoid names the targets on which earlier sends of this request failed.
	Avoid []string
}

// Action is what the user of the package has to do with a request.
type Action uint8

// Actions of a Decision.
const (
	// Wait keeps the request in the queue; a later Decision follows.
	Wait Action = iota
	// Send sends the request to the target named in the decision.
	Send
	// Hop forwards the request to the peer entry host named in the decision.
	Hop
	// Refuse answers the request at once with the reason of the refusal.
	Refuse
)

// Reason says why a request was refused.
type Reason uint8

// Reasons of a refusal.
const (
	NoReason Reason = iota
	// NoTarget means that no target of the service is ready.
	NoTarget
	// QueueFull means that the queue is at its limit.
	QueueFull
	// TooLate means that the deadline has passed or would pass in the queue.
	TooLate
)

// Decision is the outcome of an event for one request.
type Decision struct {
	Request RequestID
	Action  Action
	// Name is the target of a Send or the peer entry host of a Hop.
	Name   string
	Reason Reason
	// RetryAfter is the time after which the caller should retry a refused request.
	RetryAfter time.Duration
	// SentAt is the instant of a Send. Done takes it to identify the send.
	SentAt time.Time
}

// Target describes a target to the pool.
type Target struct {
	Name string
	// Share is the number of the target's slots that this entry host may use.
	Share int
	// Ready is false for a target that is leaving or no longer announces itself.
	Ready bool
}

// Options configures a Pool. Zero values select defaults.
type Options struct {
	Seed uint64
	// QueueLimit bounds the number of waiting requests.
	QueueLimit int
	// ServiceTime is the initial estimate of the service time, used until answers
	// have been measured.
	ServiceTime time.Duration
	// HopTime is the latency that a hop adds to an answer.
	HopTime time.Duration
}

// Pool is the routing state of one service on one entry host. It is not safe
// for concurrent use.
type Pool struct {
	options     Options
	random      *rand.Rand
	targets     []*target
	byName      map[string]*target
	peers       []*peer
	queue       *fairQueue
	serviceTime estimate
	// slots is the sum of the shares of the ready targets, and rate the requests a
	// second that these can serve. recordServiceTime updates rate incrementally;
	// changesSinceRecount counts these updates since recount recomputed both sums.
	slots               int
	rate                float64
	changesSinceRecount int
	// hedges is the number of hedged second sends in flight.
	hedges int
	// ejectedUntil is the latest pausedUntil of any target.
	ejectedUntil time.Time
}

// target is a target with its measurements and the sends in flight to it.
type target struct {
	Target
	inFlight    int
	serviceTime estimate
	health      health
	lastSend    time.Time
	sendTimes   []time.Time // of the sends in flight, oldest first
}

const (
	defaultQueueLimit  = 200
	defaultServiceTime = 20 * time.Millisecond
	defaultHopTime     = time.Millisecond
)

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.QueueLimit == 0 {
		options.QueueLimit = defaultQueueLimit
	}
	if options.ServiceTime == 0 {
		options.ServiceTime = defaultServiceTime
	}
	if options.HopTime == 0 {
		options.HopTime = defaultHopTime
	}
	return &Pool{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		byName:      make(map[string]*target),
		queue:       newFairQueue(),
		serviceTime: estimate{mean: options.ServiceTime.Seconds()},
	}
}

// SetQueueLimit changes the limit of the queue. A limit below 1 is ignored.
func (p *Pool) SetQueueLimit(limit int) {
	if limit > 0 {
		p.options.QueueLimit = limit
	}
}

// SetTarget adds or updates a target and returns the decisions for queued
// requests that follow from the change.
func (p *Pool) SetTarget(now time.Time, t Target) []Decision {
	known, ok := p.byName[t.Name]
	if !ok {
		known = &target{Target: t, serviceTime: estimate{mean: p.serviceTime.mean}}
		p.byName[t.Name] = known
		p.targets = append(p.targets, known)
		sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].Name < p.targets[j].Name })
	}
	known.Target = t
	p.recount()
	return p.dispatch(now, nil)
}

// RemoveTarget removes a target and returns the decisions that follow. A later
// Done for a send to it has no effect.
func (p *Pool) RemoveTarget(now time.Time, name string) []Decision {
	known, ok := p.byName[name]
	if !ok {
		return nil
	}
	delete(p.byName, name)
	for i, t := range p.targets {
		if t == known {
			p.targets = append(p.targets[:i], p.targets[i+1:]...)
			break
		}
	}
	p.recount()
	return p.dispatch(now, nil)
}

// Offer decides on a new request or on a retry. The action Wait means that the
// request was queued. The second result holds the refusals of queued requests
// that were evicted to make room for it.
func (p *Pool) Offer(now time.Time, r Request) (Decision, []Decision) {
	if !r.Deadline.After(now) {
		return p.refuse(r, TooLate), nil
	}
	if p.queue.len() == 0 {
		if d, ok := p.place(now, r, 0); ok {
			return d, nil
		}
	}
	if d, ok := p.hopToPeer(now, r, p.queue.len()); ok {
		return d, nil
	}
	if !p.hasTarget(r.Hopped) {
		return p.refuse(r, NoTarget), nil
	}
	evicted, reason := p.admit(now, r)
	if reason != NoReason {
		return p.refuse(r, reason), nil
	}
	r.Avoid = nil // A queued request gets the first slot that becomes free.
	p.queue.push(r)
	return Decision{Request: r.ID, Action: Wait}, evicted
}

// Done ends the send to the named target that has the given Decision.SentAt. It
// returns the decisions for queued requests that follow from the freed slot.
func (p *Pool) Done(now time.Time, name string, sentAt time.Time, v SendResult) []Decision {
	t, ok := p.byName[name]
	if !ok || !t.removeSend(sentAt) {
		return nil
	}
	t.inFlight--
	p.recordResult(now, t, now.Sub(sentAt), v)
	return p.dispatch(now, nil)
}

// Cancel removes a request that its caller abandoned from the queue. It reports
// whether the request was queued.
func (p *Pool) Cancel(id RequestID) bool { return p.queue.remove(id) }

// Tick refuses queued requests whose deadline has passed and dispatches those
// that changed estimates or the end of an ejection now allow.
func (p *Pool) Tick(now time.Time) []Decision {
	var out []Decision
	for _, r := range p.queue.removeExpired(now) {
		out = append(out, p.refuse(r, TooLate))
	}
	return p.dispatch(now, out)
}

// Refusal returns the Decision that refuses a request for a reason that the user
// of the package found, with the present RetryAfter.
func (p *Pool) Refusal(r Request, reason Reason) Decision { return p.refuse(r, reason) }

// ServiceTime returns the current estimate of the mean service time.
func (p *Pool) ServiceTime() time.Duration {
	return time.Duration(p.serviceTime.mean * float64(time.Second))
}

// Queued returns the number of waiting requests.
func (p *Pool) Queued() int { return p.queue.len() }

// InFlight returns the number of sends to the named target that have not ended.
func (p *Pool) InFlight(name string) int {
	if t, ok := p.byName[name]; ok {
		return t.inFlight
	}
	return 0
}

// dispatch decides on queued requests until one has to keep waiting, and appends
// the decisions to out.
func (p *Pool) dispatch(now time.Time, out []Decision) []Decision {
	if p.queue.len() > 0 && !p.hasTarget(false) {
		return p.refuseAll(out)
	}
	for p.queue.len() > 0 {
		r, ok := p.queue.peek()
		if !ok {
			break
		}
		d, placed := p.place(now, r, p.queue.len()-1)
		if !placed {
			d, placed = p.hopToPeer(now, r, 0)
		}
		if !placed {
			break
		}
		p.queue.pop()
		out = append(out, d)
	}
	return out
}

// refuseAll refuses all queued requests with NoTarget.
func (p *Pool) refuseAll(out []Decision) []Decision {
	for p.queue.len() > 0 {
		r, _ := p.queue.peek()
		p.queue.pop()
		out = append(out, p.refuse(r, NoTarget))
	}
	return out
}

// place sends a request to a target on a slot of this entry host, if one is free
// and no faster one is worth waiting for. queued is the number of other requests
// in the queue.
func (p *Pool) place(now time.Time, r Request, queued int) (Decision, bool) {
	t := p.pick(now, r, queued)
	if t == nil {
		return Decision{}, false
	}
	t.inFlight++
	t.lastSend = now
	t.sendTimes = append(t.sendTimes, now)
	return Decision{Request: r.ID, Action: Send, Name: t.Name, SentAt: now}, true
}

// hopToPeer forwards a request to a peer entry host if that is expected to answer
// it sooner than this one, where ahead requests are queued before it.
func (p *Pool) hopToPeer(now time.Time, r Request, ahead int) (Decision, bool) {
	if r.Hopped {
		return Decision{}, false
	}
	best := p.pickPeer(now, ahead)
	if best == nil {
		return Decision{}, false
	}
	return Decision{Request: r.ID, Action: Hop, Name: best.Name}, true
}

// removeSend removes the send of the given time from those in flight and reports
// whether it was found.
func (t *target) removeSend(sentAt time.Time) bool {
	for i, at := range t.sendTimes {
		if at.Equal(sentAt) {
			t.sendTimes = append(t.sendTimes[:i], t.sendTimes[i+1:]...)
			return true
		}
	}
	return false
}
