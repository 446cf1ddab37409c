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

// service connects the router of one service with the connections to its
// targets and peers.
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

// backend is a target or a peer entry host, with its connections.
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
		s.dropTarget(t.Name)
		return
	}
	existing, ok := s.targets[t.Name]
	if !ok || existing.target.Address != t.Address || existing.target.Incarnation != t.Incarnation {
		if ok {
			existing.client.Close()
		}
		existing = &backend{client: exchange.New(exchange.Options{Address: t.Address, Dial: s.proxy.options.Dial, Now: s.proxy.options.Now})}
		s.targets[t.Name] = existing
	}
	existing.target = t
	s.updateShare(existing)
}

// updateShare sets this host's share of a target's slots in the pool, and its
// share of the target's connections as the limit of the client.
func (s *service) updateShare(b *backend) {
	t := b.target
	ready := s.proxy.acceptsRequests(t)
	share := s.proxy.share(t.Name, t.Slots)
	if t.Connections > 0 {
		connections := s.proxy.share(t.Name, t.Connections)
		b.client.SetMaxConnections(connections)
		share = min(share, connections)
	}
	decisions := s.pool.SetTarget(s.proxy.options.Now(), route.Target{Name: t.Name, Share: share, Ready: ready})
	s.deliver(decisions)
	if share == 0 || !ready {
		b.client.CloseIdle()
	}
}

func (s *service) refreshShares() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.targets {
		s.updateShare(b)
	}
}

func (s *service) removeTarget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropTarget(name)
}

// dropTarget removes a target. The caller must hold s.mu.
func (s *service) dropTarget(name string) {
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

// keepPeers removes the peers that are not in live or whose address changed.
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

// deliver passes decisions to the queued requests that wait for them. The
// caller must hold s.mu.
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

// acquire returns the routing decision for a request; the request may wait in
// the queue for it. If ctx ends during the wait, the decision is a refusal.
func (s *service) acquire(ctx context.Context, r route.Request) route.Decision {
	s.proxy.checkPaused(s.proxy.options.Now())
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
	return <-waiter // A decision was made before the cancellation.
}

// finishSend releases the slot of a send to a target and reports its result.
func (s *service) finishSend(d route.Decision, result route.SendResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.Done(s.proxy.options.Now(), d.Name, d.SentAt, result))
}

// backendOf returns the backend that a decision names; ok is false if it was
// removed.
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

// maxHopConnections limits the connections of one service to one peer.
const maxHopConnections = 256

// spendRetry takes a token from the retry budget, if one is left.
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

// serviceTime returns the estimated service time.
func (s *service) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.ServiceTime()
}

// hedgeAfter returns the delay after which a request may be hedged.
func (s *service) hedgeAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.HedgeAfter()
}

// mayHedge reports whether this host has enough slots to use some for hedges.
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
