package proxy

import (
	"context"
	"sync"
	"time"

	"mangohill.example/mangohill/exchange"
	"mangohill.example/mangohill/membership"
	"mangohill.example/mangohill/route"
	"mangohill.example/mangohill/types"
)

// service joins the routing decisions of one service to its connections.
type service struct {
	proxy   *Proxy
	name    string
	mu      sync.Mutex
	pool    *route.Pool
	budget  *route.RetryBudget
	waiting map[route.RequestID]chan route.Decision
	targets map[string]*backend
	peers   map[string]*backend
}

// backend is a target or a peer entry host with its connections.
type backend struct {
	target types.Target
	client *exchange.Client
}

func newService(p *Proxy, name string) *service {
	return &service{
		proxy:   p,
		name:    name,
		pool:    route.NewPool(route.Options{Seed: p.options.Seed}),
		budget:  route.NewRetryBudget(),
		waiting: make(map[route.RequestID]chan route.Decision),
		targets: make(map[string]*backend),
		peers:   make(map[string]*backend),
	}
}

func (s *service) setTarget(t types.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.State == types.TargetWithdrawn {
		s.drop(t.Name)
		return
	}
	known, ok := s.targets[t.Name]
	if !ok || known.target.Address != t.Address || known.target.Incarnation != t.Incarnation {
		if ok {
			known.client.Close()
		}
		known = &backend{client: exchange.New(exchange.Options{Address: t.Address, Dial: s.proxy.options.Dial, Now: s.proxy.options.Now})}
		s.targets[t.Name] = known
	}
	known.target = t
	s.allotTo(known)
	if t.State != types.TargetReady {
		known.client.CloseIdle()
	}
}

// allotTo gives the pool this host's part of a target's slots, and its
// connections the bound that goes with it.
func (s *service) allotTo(b *backend) {
	t := b.target
	share := s.proxy.share(t.Name, t.Slots)
	if t.Connections > 0 {
		connections := s.proxy.share(t.Name, t.Connections)
		b.client.SetMaxConnections(connections)
		share = min(share, connections)
	}
	decisions := s.pool.SetTarget(s.proxy.options.Now(), route.Target{Name: t.Name, Share: share, Ready: t.State == types.TargetReady})
	s.deliver(decisions)
	if share == 0 {
		b.client.CloseIdle()
	}
}

func (s *service) refreshShares() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.targets {
		s.allotTo(b)
	}
}

func (s *service) removeTarget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(name)
}

// drop forgets a target. The caller holds the lock.
func (s *service) drop(name string) {
	b, ok := s.targets[name]
	if !ok {
		return
	}
	delete(s.targets, name)
	b.client.Close()
	s.deliver(s.pool.RemoveTarget(s.proxy.options.Now(), name))
}

func (s *service) setPeer(name string, load route.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.SetPeer(s.proxy.options.Now(), name, load))
}

// keepPeers forgets the peers that are not in live.
func (s *service) keepPeers(live map[string]membership.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, b := range s.peers {
		if peer, ok := live[name]; ok && peer.CallerAddress == b.target.Address {
			continue
		}
		b.client.Close()
		delete(s.peers, name)
	}
	s.pool.KeepPeers(func(name string) bool {
		_, ok := live[name]
		return ok
	})
}

func (s *service) load() route.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Load(s.proxy.options.Now())
}

func (s *service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if config, ok := s.proxy.serviceConfig(s.name); ok {
		s.pool.SetQueueLimit(config.QueueLimit)
	}
	s.deliver(s.pool.Tick(s.proxy.options.Now()))
	for _, b := range s.targets {
		b.client.CloseExpired()
	}
	for _, b := range s.peers {
		b.client.CloseExpired()
	}
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.targets {
		b.client.Close()
	}
	for _, b := range s.peers {
		b.client.Close()
	}
}

// deliver hands decisions to the requests that wait for them. The caller holds
// the lock.
func (s *service) deliver(decisions []route.Decision) {
	for _, d := range decisions {
		waiter, ok := s.waiting[d.Request]
		if !ok {
			continue
		}
		delete(s.waiting, d.Request)
		waiter <- d
	}
}

// acquire gets a decision for a request and waits in the queue if it must. A
// wait that ctx ends becomes a refusal.
func (s *service) acquire(ctx context.Context, r route.Request) route.Decision {
	s.proxy.checkHeldUp(s.proxy.options.Now())
	s.mu.Lock()
	decision, evicted := s.pool.Offer(s.proxy.options.Now(), r)
	s.deliver(evicted)
	if decision.Action != route.Wait {
		s.mu.Unlock()
		return decision
	}
	waiter := make(chan route.Decision, 1)
	s.waiting[r.ID] = waiter
	s.mu.Unlock()
	select {
	case decision = <-waiter:
		return decision
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.Cancel(r.ID) {
		delete(s.waiting, r.ID)
		return s.pool.Refusal(r, route.TooLate)
	}
	return <-waiter // It was decided on meanwhile.
}

// done ends a send to a target.
func (s *service) done(d route.Decision, verdict route.SendResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.Done(s.proxy.options.Now(), d.Name, d.SentAt, verdict))
}

// backendOf returns where a decision leads; ok is false if it went away.
func (s *service) backendOf(d route.Decision) (b *backend, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Action == route.Send {
		b, ok = s.targets[d.Name]
		return b, ok
	}
	if b, ok = s.peers[d.Name]; ok {
		return b, true
	}
	peer, live := s.proxy.peer(d.Name)
	if !live {
		return nil, false
	}
	b = &backend{
		target: types.Target{Name: d.Name, Address: peer.CallerAddress},
		client: exchange.New(exchange.Options{
			Address: peer.CallerAddress, MaxConnections: maxHopConnections, Dial: s.proxy.options.Dial, Now: s.proxy.options.Now,
		}),
	}
	s.peers[d.Name] = b
	return b, true
}

// maxHopConnections bounds the connections of one service to one peer.
const maxHopConnections = 256

// spendRetry takes a retry from the budget.
func (s *service) spendRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend()
}

func (s *service) earnRetry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Earn()
}

// serviceTime returns the present estimate of the service time.
func (s *service) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.ServiceTime()
}

// hedgeAfter returns the time after which a request is worth a second send.
func (s *service) hedgeAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.HedgeAfter()
}

// mayHedge reports whether this host has so many slots that some may be spent on
// second sends.
func (s *service) mayHedge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.MayHedge()
}

func (s *service) endHedge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.EndHedge()
}
