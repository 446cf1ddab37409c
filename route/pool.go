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
	// Caller is the identity that the fair queue shares capacity between.
	Caller string
	// Deadline is the instant after which the caller no longer waits.
	Deadline time.Time
	// Hopped is set for a request that a peer entry host handed over: it is not
	// handed on a second time.
	Hopped bool
	// Avoid names the targets that already failed this request.
	Avoid []string
}

// Action is what the caller of the package does with a request.
type Action uint8

// Actions of a Decision.
const (
	// Wait keeps the request in the queue; a later Decision follows.
	Wait Action = iota
	// Send sends the request to the target named in the decision.
	Send
	// Hop hands the request to the peer entry host named in the decision.
	Hop
	// Refuse answers the request at once.
	Refuse
)

// Reason says why a request was refused.
type Reason uint8

// Reasons of a refusal.
const (
	NoReason Reason = iota
	// NoTarget: no target of the service is ready.
	NoTarget
	// QueueFull: the queue is at its limit.
	QueueFull
	// TooLate: the deadline passed, or would pass in the queue.
	TooLate
)

// Decision is the outcome of an event for one request.
type Decision struct {
	Request RequestID
	Action  Action
	// Name is the target of a Send and the peer of a Hop.
	Name   string
	Reason Reason
	// RetryAfter is the time after which a refused request is worth a resend.
	RetryAfter time.Duration
	// SentAt is the instant of a Send, by which Done finds it again.
	SentAt time.Time
}

// Target is what the pool needs to know about a target.
type Target struct {
	Name string
	// Share is the number of the target's slots that this entry host may use.
	Share int
	// Ready is false for a target that is leaving or silent.
	Ready bool
}

// Options configures a Pool. Zero values select defaults.
type Options struct {
	Seed uint64
	// QueueLimit bounds the number of waiting requests.
	QueueLimit int
	// ServiceTime is the estimate used before any answer was seen.
	ServiceTime time.Duration
	// HopTime is the time that a hop adds to an answer.
	HopTime time.Duration
}

// Pool is the routing state of one service on one entry host. It is not safe
// for concurrent use.
type Pool struct {
	options Options
	random  *rand.Rand
	targets []*target
	byName  map[string]*target
	peers   []*peer
	queue   *fairQueue
	service estimate
	// slots and rate are the sums over the ready targets, kept up by learn and
	// summed anew after learnt changes.
	slots  int
	rate   float64
	learnt int
	// hedges is the number of second sends under way.
	hedges int
	// ejectedUntil is the end of the latest ejection.
	ejectedUntil time.Time
}

type target struct {
	Target
	inFlight int
	service  estimate
	health   health
	lastSend time.Time
	oldest   []time.Time
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
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		byName:  make(map[string]*target),
		queue:   newFairQueue(),
		service: estimate{mean: options.ServiceTime.Seconds()},
	}
}

// SetQueueLimit changes the bound of the queue.
func (p *Pool) SetQueueLimit(limit int) {
	if limit > 0 {
		p.options.QueueLimit = limit
	}
}

// SetTarget adds or changes a target and returns the decisions that follow from
// slots that became usable.
func (p *Pool) SetTarget(now time.Time, t Target) []Decision {
	known, ok := p.byName[t.Name]
	if !ok {
		known = &target{Target: t, service: estimate{mean: p.service.mean}}
		p.byName[t.Name] = known
		p.targets = append(p.targets, known)
		sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].Name < p.targets[j].Name })
	}
	known.Target = t
	p.recount()
	return p.dispatch(now, nil)
}

// RemoveTarget forgets a target and returns the decisions that follow. Requests
// in flight to it may still be ended by Done, to no effect.
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

// Offer decides on a new request, or on one that is to be sent again. A
// decision with the action Wait means that the request is queued. The further
// decisions are refusals of queued requests that had to make room.
func (p *Pool) Offer(now time.Time, r Request) (Decision, []Decision) {
	if !r.Deadline.After(now) {
		return p.refuse(r, TooLate), nil
	}
	if p.queue.len() == 0 {
		if d, ok := p.place(now, r, 0); ok {
			return d, nil
		}
	}
	if d, ok := p.handOver(now, r, p.queue.len()); ok {
		return d, nil
	}
	if !p.hasTarget(r.Hopped) {
		return p.refuse(r, NoTarget), nil
	}
	evicted, reason := p.admit(now, r)
	if reason != NoReason {
		return p.refuse(r, reason), nil
	}
	r.Avoid = nil // A queued request takes the first slot that frees.
	p.queue.push(r)
	return Decision{Request: r.ID, Action: Wait}, evicted
}

// Done ends a send to the named target. It returns the decisions for queued
// requests that got the freed slot.
func (p *Pool) Done(now time.Time, name string, sent time.Time, v SendResult) []Decision {
	t, ok := p.byName[name]
	if !ok || !t.forget(sent) {
		return nil
	}
	t.inFlight--
	p.learn(now, t, now.Sub(sent), v)
	return p.dispatch(now, nil)
}

// Cancel removes a queued request that its caller gave up. It reports whether
// the request was queued.
func (p *Pool) Cancel(id RequestID) bool { return p.queue.remove(id) }

// Tick refuses queued requests whose deadline passed and dispatches others that
// a change of estimates allows.
func (p *Pool) Tick(now time.Time) []Decision {
	var out []Decision
	for _, r := range p.queue.expired(now) {
		out = append(out, p.refuse(r, TooLate))
	}
	return p.dispatch(now, out)
}

// Refusal returns the refusal of a request that its caller of this package
// gives up.
func (p *Pool) Refusal(r Request, reason Reason) Decision { return p.refuse(r, reason) }

// ServiceTime returns the present estimate of the service time.
func (p *Pool) ServiceTime() time.Duration {
	return time.Duration(p.service.mean * float64(time.Second))
}

// Queued returns the number of waiting requests.
func (p *Pool) Queued() int { return p.queue.len() }

// InFlight returns the number of requests sent to the named target and not
// ended.
func (p *Pool) InFlight(name string) int {
	if t, ok := p.byName[name]; ok {
		return t.inFlight
	}
	return 0
}

func (p *Pool) dispatch(now time.Time, out []Decision) []Decision {
	if p.queue.len() > 0 && !p.hasTarget(false) {
		return p.flush(out)
	}
	for p.queue.len() > 0 {
		r, ok := p.queue.peek()
		if !ok {
			break
		}
		d, placed := p.place(now, r, p.queue.len()-1)
		if !placed {
			d, placed = p.handOver(now, r, 0)
		}
		if !placed {
			break
		}
		p.queue.pop()
		out = append(out, d)
	}
	return out
}

// flush refuses all queued requests.
func (p *Pool) flush(out []Decision) []Decision {
	for p.queue.len() > 0 {
		r, _ := p.queue.peek()
		p.queue.pop()
		out = append(out, p.refuse(r, NoTarget))
	}
	return out
}

// place gives a request a slot of this entry host. Queued is the number of
// requests that wait behind it or before it.
func (p *Pool) place(now time.Time, r Request, queued int) (Decision, bool) {
	t := p.pick(now, r, queued)
	if t == nil {
		return Decision{}, false
	}
	t.inFlight++
	t.lastSend = now
	t.oldest = append(t.oldest, now)
	return Decision{Request: r.ID, Action: Send, Name: t.Name, SentAt: now}, true
}

// handOver gives a request to a peer if that is expected to answer it sooner
// than this entry host, where ahead others wait before it.
func (p *Pool) handOver(now time.Time, r Request, ahead int) (Decision, bool) {
	if r.Hopped {
		return Decision{}, false
	}
	x := p.pickPeer(now, ahead)
	if x == nil {
		return Decision{}, false
	}
	return Decision{Request: r.ID, Action: Hop, Name: x.Name}, true
}

// forget removes a send from those in flight and reports whether it was one.
func (t *target) forget(sent time.Time) bool {
	for i, at := range t.oldest {
		if at.Equal(sent) {
			t.oldest = append(t.oldest[:i], t.oldest[i+1:]...)
			return true
		}
	}
	return false
}
