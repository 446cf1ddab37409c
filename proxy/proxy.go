package proxy

import (
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/membership"
	"mangohill.example/mangohill/route"
	"mangohill.example/mangohill/types"
)

// Claimer claims idempotency keys in the replicated state and records the
// outcomes of claimed requests. After an error, the claim or the record may have
// taken effect nevertheless.
type Claimer interface {
	Claim(ctx context.Context, args controlapi.ClaimArgs) (controlapi.ClaimReply, error)
	Resolve(ctx context.Context, args controlapi.ResolveArgs) error
}

// Metrics holds the counters of a Proxy. Nil counters are skipped.
type Metrics struct {
	Requests        *expvar.Int
	Sends           *expvar.Int
	Retries         *expvar.Int
	Hops            *expvar.Int
	Hedges          *expvar.Int
	Done            *expvar.Int
	NotRun          *expvar.Int
	Unknown         *expvar.Int
	Canceled        *expvar.Int
	SilenceTimeouts *expvar.Int
	Claims          *expvar.Int
}

// Options configures a Proxy.
type Options struct {
	// Name is the name of this entry host.
	Name string
	// Token is the secret that peers present when they forward a request to
	// this host. Peers learn it from this host's heartbeats.
	Token uint64
	// EntryHosts is the number of entry hosts of the cluster. Slots of lost
	// entry hosts are taken over only while at least half of all are live; zero
	// means that the number is unknown.
	EntryHosts int
	// OnResume is called after the process was paused for so long that its view
	// of the targets may be stale. It must not block.
	OnResume func()
	// Config returns the configuration in force, nil before there is one.
	Config func() *types.Config
	// Evacuated reports whether a failure domain is evacuated; nil stands for none. After a
	// change, RefreshTargets must be called.
	Evacuated func(domain string) bool
	// Claimer claims idempotency keys. Without one, requests with a key are
	// refused.
	Claimer Claimer
	// SettleTime is how long the members must be unchanged before slots of
	// another entry host are taken over.
	SettleTime time.Duration
	// MaxBufferedAnswer is the size in bytes up to which an answer is buffered
	// whole before it is passed on; MaxBody limits the size in bytes of a
	// request body.
	MaxBufferedAnswer int64
	MaxBody           int64
	// MaxKeptAnswer is the size in bytes up to which the answer to a claimed
	// request is stored for resends.
	MaxKeptAnswer int
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// OnOutcome is called with the service, the total time and the outcome of
	// each request that a caller sent to this host. It must not block.
	OnOutcome func(service string, took time.Duration, outcome kind.Outcome, status int)
	// Seed is the seed of the random choices between targets.
	Seed    uint64
	Logger  zerolog.Logger
	Metrics Metrics
}

// Default values of Options; sizes are in bytes.
const (
	DefaultSettleTime        = time.Second
	DefaultMaxBufferedAnswer = 1 << 20
	DefaultMaxBody           = 8 << 20
	DefaultMaxKeptAnswer     = controlapi.MaxKeptResponseBytes
)

// Proxy is the http.Handler for callers. It is safe for concurrent use.
type Proxy struct {
	options   Options
	mu        sync.Mutex // locked after service.mu, never before it
	services  map[string]*service
	peers     map[string]membership.Peer
	allotment *route.Allotment
	settled   bool
	nextID    atomic.Uint64
	// lastTick is the time of the last tick in Unix nanoseconds, zero before
	// Run.
	lastTick atomic.Int64
	pauseMu  sync.Mutex // held while slots are given up after a pause
	idPrefix string
	active   sync.WaitGroup
	stopMu   sync.RWMutex
	stopping bool
}

// New returns a Proxy without targets and peers.
func New(options Options) *Proxy {
	if options.SettleTime == 0 {
		options.SettleTime = DefaultSettleTime
	}
	if options.MaxBufferedAnswer == 0 {
		options.MaxBufferedAnswer = DefaultMaxBufferedAnswer
	}
	if options.MaxBody == 0 {
		options.MaxBody = DefaultMaxBody
	}
	if options.MaxKeptAnswer == 0 {
		options.MaxKeptAnswer = DefaultMaxKeptAnswer
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Proxy{
		options:   options,
		services:  make(map[string]*service),
		peers:     make(map[string]membership.Peer),
		allotment: route.NewAllotment(options.Name, options.SettleTime, options.EntryHosts),
		idPrefix:  uuid.NewString() + "-",
	}
}

// SetTarget stores the current record of a target. Only a target in state ready
// gets new requests.
func (p *Proxy) SetTarget(t types.Target) {
	if t.Service == "" {
		return // Withdrawn before this host saw an announcement.
	}
	p.mu.Lock()
	s, ok := p.services[t.Service]
	if !ok {
		s = newService(p, t.Service)
		p.services[t.Service] = s
	}
	services := p.allServices()
	p.mu.Unlock()
	for _, other := range services {
		if other != s {
			other.removeTarget(t.Name)
		}
	}
	s.setTarget(t)
}

// RefreshTargets applies a change of the evacuated failure domains: their targets get no
// new requests, and those in flight complete.
func (p *Proxy) RefreshTargets() {
	p.mu.Lock()
	services := p.allServices()
	p.mu.Unlock()
	for _, s := range services {
		s.refreshShares()
	}
}

// acceptsRequests reports whether new requests may be sent to the target.
func (p *Proxy) acceptsRequests(t types.Target) bool {
	return t.State == types.TargetReady && (p.options.Evacuated == nil || !p.options.Evacuated(t.FailureDomain))
}

// SetMembers sets the live peer entry hosts with their addresses. The slots of
// every target are divided among them and this host.
func (p *Proxy) SetMembers(peers []membership.Peer) {
	now := p.options.Now()
	members := []string{p.options.Name}
	live := make(map[string]membership.Peer, len(peers))
	for _, peer := range peers {
		members = append(members, peer.Name)
		live[peer.Name] = peer
	}
	p.mu.Lock()
	p.peers = live
	p.allotment.SetMembers(now, members)
	p.settled = false
	services := p.allServices()
	p.mu.Unlock()
	for _, s := range services {
		s.keepPeers(live)
		s.refreshShares()
	}
	for _, peer := range peers {
		if peer.State == membership.Suspect {
			p.stopHopsTo(services, peer.Name)
		}
	}
}

// stopHopsTo forwards no requests to a suspected peer until its next heartbeat.
func (p *Proxy) stopHopsTo(services []*service, name string) {
	for _, s := range services {
		s.setPeer(name, route.Load{})
	}
}

// ObservePeer stores the loads from a peer's heartbeat.
func (p *Proxy) ObservePeer(peer membership.Peer) {
	p.mu.Lock()
	_, live := p.peers[peer.Name]
	if live {
		p.peers[peer.Name] = peer
	}
	p.mu.Unlock()
	if !live {
		return
	}
	for _, load := range peer.Loads {
		if s := p.service(load.Service); s != nil {
			s.setPeer(peer.Name, route.Load{Slots: load.Slots, Free: load.Free, Queued: load.Queued})
		}
	}
}

// Loads returns the load of every service, to be sent in heartbeats.
func (p *Proxy) Loads() []membership.ServiceLoad {
	p.mu.Lock()
	services := p.allServices()
	p.mu.Unlock()
	var out []membership.ServiceLoad
	for _, s := range services {
		load := s.load()
		out = append(out, membership.ServiceLoad{Service: s.name, Slots: load.Slots, Free: load.Free, Queued: load.Queued})
	}
	return out
}

// Settled reports whether this entry host may use its full share of the slots.
func (p *Proxy) Settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settled
}

// tickInterval is the time between updates of queues and slot shares.
const tickInterval = 50 * time.Millisecond

// Run expires queued requests, raises slot shares after a change of members and
// closes expired connections, until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick()
		}
	}
}

func (p *Proxy) tick() {
	now := p.options.Now()
	p.checkPaused(now)
	p.lastTick.Store(now.UnixNano()) // The time of the check; a later one would hide a pause in between.
	p.mu.Lock()
	settled := p.allotment.Settled(p.options.Now())
	grow := settled && !p.settled
	services := p.allServices()
	p.mu.Unlock()
	for _, s := range services {
		if grow {
			s.refreshShares()
		}
		s.tick()
	}
	if grow {
		p.markSettled()
	}
}

// markSettled records that the shares of the settled members are in use, unless
// the members changed meanwhile.
func (p *Proxy) markSettled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled = p.allotment.Settled(p.options.Now())
}

// Stop refuses new requests and waits until all requests in flight are answered.
// If ctx ends first, the error is of kind DeadlineExceeded.
func (p *Proxy) Stop(ctx context.Context) error {
	p.stopMu.Lock()
	p.stopping = true
	p.stopMu.Unlock()
	done := make(chan struct{})
	go func() {
		p.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return kind.Errorf(kind.DeadlineExceeded, "requests still in flight: %w", ctx.Err())
	}
	p.mu.Lock()
	services := p.allServices()
	p.mu.Unlock()
	for _, s := range services {
		s.close()
	}
	return nil
}

// beginRequest adds a request to the active ones, or fails if the process is
// stopping.
func (p *Proxy) beginRequest() error {
	p.stopMu.RLock()
	defer p.stopMu.RUnlock()
	if p.stopping {
		return kind.Errorf(kind.Stopping, "entry host %q is stopping", p.options.Name)
	}
	p.active.Add(1)
	return nil
}

func (p *Proxy) service(name string) *service {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.services[name]
}

// findService returns the named service, creating it if it is configured. It
// fails if the service is neither configured nor announced by a target.
func (p *Proxy) findService(name string) (*service, error) {
	if s := p.service(name); s != nil {
		return s, nil
	}
	if _, ok := p.serviceConfig(name); !ok {
		return nil, kind.Errorf(kind.UnknownService, "service %q is neither configured nor announced", name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.services[name]
	if !ok {
		s = newService(p, name)
		p.services[name] = s
	}
	return s, nil
}

// allServices returns the services. The caller must hold p.mu.
func (p *Proxy) allServices() []*service {
	out := make([]*service, 0, len(p.services))
	for _, s := range p.services {
		out = append(out, s)
	}
	return out
}

func (p *Proxy) share(target string, amount int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allotment.Share(p.options.Now(), target, amount)
}

func (p *Proxy) peer(name string) (membership.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[name]
	return peer, ok
}

func count(counter *expvar.Int) {
	if counter != nil {
		counter.Add(1)
	}
}
