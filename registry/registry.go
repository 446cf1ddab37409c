package registry

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// Peer is another live entry host.
type Peer struct {
	Name string
	// Address is its peers listener, host:port.
	Address string
}

// Metrics are the counters of a Registry. Nil fields are not counted.
type Metrics struct {
	Announcements      *expvar.Int
	Replications       *expvar.Int
	ReplicationsFailed *expvar.Int
	Refreshes          *expvar.Int
}

// Options configures a Registry.
type Options struct {
	Name string
	// Peers returns the other entry hosts that are not known to be dead.
	Peers func() []Peer
	// Call sends a net/rpc message to a peer.
	Call func(ctx context.Context, address, method string, args, reply any) error
	// OnChange is told each change of a target, in order. It must not block or
	// call the registry.
	OnChange func(types.Target)
	// AnnounceInterval is the interval asked of targets, SilentAfter the time
	// without an announcement after which a target gets no new work.
	AnnounceInterval time.Duration
	SilentAfter      time.Duration
	// ReplicationTimeout bounds the wait for the peers.
	ReplicationTimeout time.Duration
	// Now is the clock; nil takes time.Now.
	Now     func() time.Time
	Logger  zerolog.Logger
	Metrics Metrics
}

// Default times of a Registry.
const (
	DefaultAnnounceInterval   = 1500 * time.Millisecond
	DefaultSilentAfter        = 6 * time.Second
	DefaultReplicationTimeout = 2500 * time.Millisecond
	refreshInterval           = 2 * time.Second
	spreadRetryPause          = 100 * time.Millisecond
	withdrawnKept             = 10 * time.Minute
)

// Registry is the list of targets on one entry host. It is safe for concurrent
// use.
type Registry struct {
	options Options
	mu      sync.Mutex
	table   *Table
	fresh   map[string]struct{}
	// confirmed holds the incarnation of each leaving target whose state every
	// live peer is known to have.
	confirmed map[string]uint64
	synced    bool
}

// New returns an empty Registry.
func New(options Options) *Registry {
	if options.AnnounceInterval == 0 {
		options.AnnounceInterval = DefaultAnnounceInterval
	}
	if options.SilentAfter == 0 {
		options.SilentAfter = DefaultSilentAfter
	}
	if options.ReplicationTimeout == 0 {
		options.ReplicationTimeout = DefaultReplicationTimeout
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Peers == nil {
		options.Peers = func() []Peer { return nil }
	}
	return &Registry{
		options: options,
		table:   NewTable(options.SilentAfter, withdrawnKept),
		fresh:   make(map[string]struct{}),

		confirmed: make(map[string]uint64),
	}
}

// Targets returns all known targets, sorted by name.
func (r *Registry) Targets() []types.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Targets()
}

// Synced reports whether the registry has read the table of a peer since its
// start, or found that it has no live peer.
func (r *Registry) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Announce takes in an announcement from a target. It returns once every other
// live entry host has the change, if there is one.
func (r *Registry) Announce(ctx context.Context, t types.Target) error {
	count(r.options.Metrics.Announcements, 1)
	changed, err := r.apply(t, false)
	if err != nil {
		return err
	}
	if !changed && !r.needsConfirmation(t) {
		r.noteFresh(t)
		return nil
	}
	if err := r.spread(ctx, controlapi.AnnounceArgs{From: r.options.Name, Target: t}); err != nil {
		return err
	}
	r.confirm(t)
	return nil
}

// needsConfirmation reports whether t is leaving and this entry host has not
// told all live peers itself. The host that did may have died on the way.
func (r *Registry) needsConfirmation(t types.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	incarnation, ok := r.confirmed[t.Name]
	return t.State == types.TargetLeaving && (!ok || incarnation != t.Incarnation)
}

func (r *Registry) confirm(t types.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.State == types.TargetLeaving {
		r.confirmed[t.Name] = t.Incarnation
		return
	}
	delete(r.confirmed, t.Name)
}

// Withdraw takes in the withdrawal of a target, as Announce does.
func (r *Registry) Withdraw(ctx context.Context, name string, incarnation uint64) error {
	t := types.Target{Name: name, Incarnation: incarnation}
	if _, err := r.apply(t, true); err != nil {
		return err
	}
	return r.spread(ctx, controlapi.AnnounceArgs{From: r.options.Name, Target: t, Withdrawn: true})
}

func (r *Registry) apply(t types.Target, withdrawn bool) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed bool
	var err error
	if withdrawn {
		changed, err = r.table.Withdraw(r.options.Now(), t.Name, t.Incarnation)
	} else {
		changed, err = r.table.Announce(r.options.Now(), t)
	}
	if err == nil && changed {
		r.publish(t.Name)
	}
	return changed, err
}

// publish reports the present record of a target. The caller holds the lock.
func (r *Registry) publish(name string) {
	t, ok := r.table.Get(name)
	if !ok || r.options.OnChange == nil {
		return
	}
	r.options.Logger.Info().Str("target", t.Name).Str("service", t.Service).Str("state", string(t.State)).
		Uint64("incarnation", t.Incarnation).Msg("target changed")
	r.options.OnChange(t)
}

func (r *Registry) noteFresh(t types.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fresh[t.Name] = struct{}{}
}

// spread passes a change to every live peer. It fails with kind unreachable if
// a peer that still counts as live did not confirm in time.
func (r *Registry) spread(ctx context.Context, args controlapi.AnnounceArgs) error {
	count(r.options.Metrics.Replications, 1)
	ctx, cancel := context.WithTimeout(ctx, r.options.ReplicationTimeout)
	defer cancel()
	peers := r.options.Peers()
	results := make(chan error, len(peers))
	for _, peer := range peers {
		go func() { results <- r.tell(ctx, peer, args) }()
	}
	var first error
	for range peers {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	if first != nil {
		count(r.options.Metrics.ReplicationsFailed, 1)
	}
	return first
}

// tell repeats the call until the peer confirms, counts as dead or ctx ends.
func (r *Registry) tell(ctx context.Context, peer Peer, args controlapi.AnnounceArgs) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.options.Call(callCtx, peer.Address, methodAnnounce, &args, new(controlapi.AnnounceReply))
		cancel()
		if err == nil {
			return nil
		}
		if k := kind.Of(err); k == kind.StaleIncarnation || k == kind.InvalidTransition {
			return err
		}
		if !r.isLive(peer.Name) {
			return nil
		}
		select {
		case <-ctx.Done():
			return kind.Errorf(kind.Unreachable, "target %q: entry host %q did not confirm: %w", args.Target.Name, peer.Name, err)
		case <-time.After(spreadRetryPause):
		}
	}
}

func (r *Registry) isLive(name string) bool {
	for _, peer := range r.options.Peers() {
		if peer.Name == name {
			return true
		}
	}
	return false
}

func count(counter *expvar.Int, delta int64) {
	if counter != nil {
		counter.Add(delta)
	}
}
