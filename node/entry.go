package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/burn"
	"mangohill.example/mangohill/configcache"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/membership"
	"mangohill.example/mangohill/operator"
	"mangohill.example/mangohill/proxy"
	"mangohill.example/mangohill/registry"
	"mangohill.example/mangohill/rpcclient"
	"mangohill.example/mangohill/rpcserver"
	"mangohill.example/mangohill/settings"
	"mangohill.example/mangohill/types"
	"mangohill.example/mangohill/workersync"
)

// EntryOptions configures an entry process.
type EntryOptions struct {
	Settings *settings.Settings
	Logger   zerolog.Logger
	// Caller replaces the net/rpc client in tests that cut connections.
	Caller controlapi.Caller
}

// Entry is a running entry process.
type Entry struct {
	settings *settings.Settings
	log      zerolog.Logger
	client   *rpcclient.Client
	caller   controlapi.Caller
	leader   *controlapi.LeaderClient
	config   *configcache.Cache
	peers    *rpcserver.Server
	members  *membership.Driver
	targets  *registry.Registry
	workers  *workersync.Service
	proxy    *proxy.Proxy
	vars     *entryVars
	burn     *burn.Recorder
	token    uint64 // secret by which peers recognize requests that this host handed over

	listeners      []*listener
	membersChanged chan struct{} // signals a membership change
	repairs        chan registry.Peer
	stopping       atomic.Bool
	settled        atomic.Bool // the proxy has once been allowed to use its full share of the slots
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
}

// StartEntry starts an entry process. The error is of kind bad_settings if an
// address cannot be bound. After an error nothing of it keeps running.
func StartEntry(o EntryOptions) (*Entry, error) {
	peers, err := rpcserver.Listen(o.Settings.Listen.Peers)
	if err != nil {
		return nil, err
	}
	e := newEntry(o, peers)
	if err := e.start(); err != nil {
		return nil, errors.Join(err, e.close(context.Background()))
	}
	return e, nil
}

func newEntry(o EntryOptions, peers *rpcserver.Server) *Entry {
	e := &Entry{
		settings:       o.Settings,
		log:            o.Logger,
		client:         rpcclient.New(rpcclient.Options{}),
		caller:         o.Caller,
		config:         configcache.New(),
		peers:          peers,
		vars:           newEntryVars(),
		burn:           burn.NewRecorder(o.Settings.Name, time.Now()),
		token:          rand.Uint64(),
		membersChanged: make(chan struct{}, 1),
		repairs:        make(chan registry.Peer, repairCapacity),
	}
	if e.caller == nil {
		e.caller = e.client
	}
	e.leader = controlapi.NewLeaderClient(e.caller, o.Settings.Control)
	e.proxy = e.newProxy()
	e.targets = registry.New(registry.Options{
		Name:     o.Settings.Name,
		Peers:    e.registryPeers,
		Call:     e.caller.Call,
		OnChange: e.proxy.SetTarget,
		Logger:   o.Logger,
		Metrics:  e.vars.registry,
	})
	e.workers = workersync.New(workersync.Options{
		Entry:           o.Settings.Name,
		Caller:          leaderCaller{client: e.leader},
		Logger:          o.Logger,
		ConfigVersion:   e.config.Version,
		OnConfig:        e.applyConfig,
		OnConfigCurrent: func(version uint64) { e.config.Confirm(time.Now(), version) },
	})
	e.vars.addGauges(e)
	return e
}

func (e *Entry) newProxy() *proxy.Proxy {
	return proxy.New(proxy.Options{
		Name:       e.settings.Name,
		Token:      e.token,
		EntryHosts: len(e.settings.Entries),
		OnResume:   e.repairAfterPause,
		Config:     e.config.Config,
		Evacuated:  e.config.Evacuated,
		Claimer:    claimer{client: e.leader},
		OnOutcome:  e.observe,
		Seed:       rand.Uint64(),
		Logger:     e.log,
		Metrics:    e.vars.proxy,
	})
}

func (e *Entry) start() error {
	if err := e.peers.RPC().RegisterName("Peer", e.targets.PeerService()); err != nil {
		return err
	}
	if err := e.peers.RPC().RegisterName("Entry", &entryService{entry: e}); err != nil {
		return err
	}
	if err := e.startMembership(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.goroutines.Go(e.peers.Serve)
	e.goroutines.Go(func() { e.proxy.Run(ctx) })
	e.goroutines.Go(func() { e.targets.Run(ctx) })
	e.goroutines.Go(func() { e.workers.Run(ctx) })
	e.goroutines.Go(func() { e.followMembers(ctx) })
	e.goroutines.Go(func() { e.followConfig(ctx) })
	e.goroutines.Go(func() { e.pullTargets(ctx) })
	e.goroutines.Go(func() { e.runRepairs(ctx) })
	return e.listen()
}

func (e *Entry) startMembership() error {
	members, err := membership.Start(membership.Options{
		Name:           e.settings.Name,
		PeerAddress:    e.settings.Listen.Peers,
		CallerAddress:  e.settings.Listen.Callers,
		EntryAddresses: e.settings.Entries,
		Token:          e.token,
		LocalStatus: func() membership.LocalStatus {
			return membership.LocalStatus{ConfigVersion: e.config.Version(), Loads: e.proxy.Loads()}
		},
		OnChange:    e.memberChanged,
		OnHeartbeat: e.proxy.ObservePeer,
		Logger:      e.log,
		Metrics:     e.vars.membership,
	})
	if err != nil {
		return err
	}
	e.members = members
	return nil
}

func (e *Entry) listen() error {
	platform := http.NewServeMux()
	platform.Handle("/v1/targets/", e.targets.Handler())
	platform.Handle("/v1/workers/", e.workers.Handler())
	handlers := []struct {
		name, address string
		handler       http.Handler
	}{
		{"operators", e.settings.Listen.Operators, e.operatorsMux()},
		{"platform", e.settings.Listen.Platform, platform},
		{"callers", e.settings.Listen.Callers, e.proxy},
	}
	for _, h := range handlers {
		l, err := listen(h.name, h.address, h.handler)
		if err != nil {
			return err
		}
		e.listeners = append(e.listeners, l)
	}
	return nil
}

func (e *Entry) operatorsMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operator.CommandsPath, operator.Handler(operator.Logged(&executor{entry: e}, e.log)))
	mux.Handle("GET /debug/vars", varsHandler("entry", e.vars.all))
	mux.Handle("GET /healthz", health(func() bool { return true }))
	mux.Handle("GET /readyz", health(e.Ready))
	return mux
}

// Ready reports whether the load balancer may send requests here: the configuration is
// in force and current, the targets and this host's share of their slots are known, and
// the host is not stopping. A later membership change leaves the host ready: it keeps
// serving with the slots that are certainly its own.
func (e *Entry) Ready() bool {
	if !e.settled.Load() && e.proxy.Settled() {
		e.settled.Store(true)
	}
	return !e.stopping.Load() && e.settled.Load() && e.targets.Synced() && e.config.MayServe(time.Now())
}

// memberChanged is called from the membership driver's goroutine and must not block.
func (e *Entry) memberChanged(change membership.Change) {
	e.repairAfterReturn(change)
	select {
	case e.membersChanged <- struct{}{}:
	default: // A signal is already pending.
	}
}

// followMembers passes the live entry hosts to the proxy after each membership change.
func (e *Entry) followMembers(ctx context.Context) {
	for {
		e.proxy.SetMembers(e.members.Live())
		select {
		case <-ctx.Done():
			return
		case <-e.membersChanged:
		}
	}
}

func (e *Entry) registryPeers() []registry.Peer {
	live := e.members.Live()
	peers := make([]registry.Peer, 0, len(live))
	for _, p := range live {
		peers = append(peers, registry.Peer{Name: p.Name, Address: p.PeerAddress})
	}
	return peers
}

func (e *Entry) observe(service string, duration time.Duration, outcome kind.Outcome, status int) {
	e.vars.observe(service, duration, outcome, status)
	e.burn.Observe(time.Now(), service, duration, outcome, status)
}

func (e *Entry) applyConfig(version uint64, text string, evacuated []string) {
	changed, err := e.config.Update(version, text, evacuated)
	if err != nil {
		e.log.Error().Err(err).Uint64("version", version).Msg("configuration refused")
		return
	}
	if changed {
		e.proxy.RefreshTargets()
		e.log.Info().Uint64("version", version).Strs("evacuated", evacuated).Msg("configuration in force")
	}
}

// Stop shuts the process down gracefully: it reports not ready, refuses new requests,
// waits for those in flight until ctx ends, then closes everything. It returns the
// errors of all these steps, joined.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	e.members.Leave()
	err := e.proxy.Stop(ctx)
	return errors.Join(err, e.close(ctx))
}

func (e *Entry) close(ctx context.Context) error {
	if e.cancel != nil {
		e.cancel()
	}
	var errs []error
	for _, l := range e.listeners {
		errs = append(errs, l.shutdown(ctx))
	}
	if e.members != nil {
		errs = append(errs, e.members.Stop(ctx))
	}
	e.client.Close()
	e.peers.Close()
	e.goroutines.Wait()
	return errors.Join(errs...)
}

// RunEntry runs an entry process until ctx ends, then shuts it down gracefully.
func RunEntry(ctx context.Context, s *settings.Settings) error {
	e, err := StartEntry(EntryOptions{Settings: s, Logger: newLogger(s)})
	if err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	return e.Stop(stopCtx)
}

// ReadyTargets returns the number of targets that are ready for requests.
func (e *Entry) ReadyTargets() int {
	ready := 0
	for _, t := range e.targets.Targets() {
		if t.State == types.TargetReady {
			ready++
		}
	}
	return ready
}
