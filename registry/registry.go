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
	// Address is the address of its listener for peers, host:port.
	Address string
}

// Metrics holds the counters of a Registry. Nil counters are skipped.
type Metrics struct {
	Announcements      *expvar.Int
	Replications       *expvar.Int
	ReplicationsFailed *expvar.Int
	Refreshes          *expvar.Int
}

// Options configures a Registry.
type Options struct {
	Name string
	// Peers returns the other entry hosts, without those known to be dead.
	Peers func() []Peer
	// Call makes a net/rpc call to a peer.
	Call func(ctx context.Context, address, method string, args, reply any) error
	// OnChange is called for each change of a target, in order. It must not
	// block or call the registry.
	OnChange func(types.Target)
	// AnnounceInterval is the interval at which targets are asked to announce
	// themselves, SilentAfter the time without an announcement after which a
	// target gets no new requests.
	AnnounceInterval time.Duration
	SilentAfter      time.Duration
	// ReplicationTimeout limits the wait for the confirmation of a change by
	// all peers.
	ReplicationTimeout time.Duration
	// Now is the clock; nil means time.Now.
	Now     func() time.Time
	Logger  zerolog.Logger
	Metrics Metrics
}

// Default times of a Registry.
const (
	DefaultAnnounceInterval   = 1500 * time.Millisecond
	DefaultSilentAfter        = 6 * time.Second
	DefaultReplicationTimeout = 2500 * time.Millisecond
	// refreshInterval is the time between the refreshes sent to each peer.
	refreshInterval       = 2 * time.Second
	replicationRetryPause = 100 * time.Millisecond
	// withdrawnRetention is how long a silent target is kept before it counts
	// as withdrawn, and a withdrawn one before its record is removed.
	withdrawnRetention = 10 * time.Minute
)

// Registry holds the targets known to one entry host. It is safe for concurrent
// use.
type Registry struct {
	options   Options
	mu        sync.Mutex
	table     *Table
	refreshed map[string]struct{}
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
		options:   options,
		table:     NewTable(options.SilentAfter, withdrawnRetention),
		refreshed: make(map[string]struct{}),

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
// start, or found no live peer to read it from.
func (r *Registry) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Announce applies an announcement from a target. If it is a change, Announce
// returns once every other live entry host has the change. Errors are of kind
// StaleIncarnation, InvalidTransition or Unreachable (a peer did not confirm).
func (r *Registry) Announce(ctx context.Context, t types.Target) error {
	count(r.options.Metrics.Announcements, 1)
	changed, err := r.apply(t, false)
	if err != nil {
		return err
	}
	if !changed && !r.needsConfirmation(t) {
		r.markRefreshed(t)
		return nil
	}
	if err := r.replicate(ctx, controlapi.AnnounceArgs{From: r.options.Name, Target: t}); err != nil {
		return err
	}
	r.recordConfirmed(t)
	return nil
}

// needsConfirmation reports whether t is leaving and this entry host has not
// yet confirmed that with all live peers. The host that sent the change here
// may have died before it reached the others.
func (r *Registry) needsConfirmation(t types.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	incarnation, ok := r.confirmed[t.Name]
	return t.State == types.TargetLeaving && (!ok || incarnation != t.Incarnation)
}

func (r *Registry) recordConfirmed(t types.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.State == types.TargetLeaving {
		r.confirmed[t.Name] = t.Incarnation
		return
	}
	delete(r.confirmed, t.Name)
}

// Withdraw applies the withdrawal of a target. It waits for the other live entry
// hosts and returns errors of the same kinds as Announce.
func (r *Registry) Withdraw(ctx context.Context, name string, incarnation uint64) error {
	t := types.Target{Name: name, Incarnation: incarnation}
	if _, err := r.apply(t, true); err != nil {
		return err
	}
	return r.replicate(ctx, controlapi.AnnounceArgs{From: r.options.Name, Target: t, Withdrawn: true})
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

// publish logs the current record of a target and passes it to OnChange. The
// caller must hold r.mu.
func (r *Registry) publish(name string) {
	t, ok := r.table.Get(name)
	if !ok || r.options.OnChange == nil {
		return
	}
	r.options.Logger.Info().Str("target", t.Name).Str("service", t.Service).Str("state", string(t.State)).
		Uint64("incarnation", t.Incarnation).Msg("target changed")
	r.options.OnChange(t)
}

func (r *Registry) markRefreshed(t types.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshed[t.Name] = struct{}{}
}

// replicate sends a change to every live peer. It fails with kind Unreachable
// if a peer that is not known to be dead did not confirm in time.
func (r *Registry) replicate(ctx context.Context, args controlapi.AnnounceArgs) error {
	count(r.options.Metrics.Replications, 1)
	ctx, cancel := context.WithTimeout(ctx, r.options.ReplicationTimeout)
	defer cancel()
	peers := r.options.Peers()
	results := make(chan error, len(peers))
	for _, peer := range peers {
		go func() { results <- r.announceUntilConfirmed(ctx, peer, args) }()
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

// announceUntilConfirmed repeats the call until the peer confirms or rejects
// the announcement, is declared dead, or ctx ends.
func (r *Registry) announceUntilConfirmed(ctx context.Context, peer Peer, args controlapi.AnnounceArgs) error {
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
		case <-time.After(replicationRetryPause):
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
