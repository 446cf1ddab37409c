package node

import (
	"context"
	"expvar"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/control"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/replica"
	"mangohill.example/mangohill/rpcclient"
	"mangohill.example/mangohill/rpcserver"
	"mangohill.example/mangohill/settings"
	"mangohill.example/mangohill/state"
)

// operatorsShutdownTimeout bounds the shutdown of the operators' listener.
const operatorsShutdownTimeout = 2 * time.Second

// ControlOptions configures a control process.
type ControlOptions struct {
	Settings  *settings.Settings
	Bootstrap bool
	Logger    zerolog.Logger
	// Caller replaces the net/rpc client in tests that cut connections.
	Caller controlapi.Caller
}

// Control is a running control process.
type Control struct {
	replica    *replica.Replica
	service    *control.Service
	peers      *rpcserver.Server
	operators  *listener
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	client     *rpcclient.Client
}

// StartControl starts a control process. Errors are those of replica.Start, or of kind
// bad_settings if an address cannot be bound. After an error nothing of it keeps running.
func StartControl(o ControlOptions) (*Control, error) {
	peers, err := rpcserver.Listen(o.Settings.Listen.Peers)
	if err != nil {
		return nil, err
	}
	c := &Control{peers: peers, client: rpcclient.New(rpcclient.Options{})}
	if err := c.start(o); err != nil {
		c.closeAll()
		return nil, err
	}
	return c, nil
}

func (c *Control) start(o ControlOptions) error {
	store := state.New()
	caller := o.Caller
	if caller == nil {
		caller = c.client
	}
	var err error
	c.replica, err = replica.Start(replica.Options{
		Name:             o.Settings.Name,
		Address:          o.Settings.Listen.Peers,
		ControlAddresses: o.Settings.Control,
		DataDir:          o.Settings.Data,
		Bootstrap:        o.Bootstrap,
		StateMachine:     store,
		Logger:           o.Logger,
		Caller:           caller,
	})
	if err != nil {
		return err
	}
	adapter := newReplicaAdapter(o.Settings.Name, c.replica)
	c.service = control.New(control.Options{Replica: adapter, Store: store, Logger: o.Logger})
	if err := c.replica.Register(c.peers.RPC()); err != nil {
		return err
	}
	if err := c.service.Register(c.peers.RPC()); err != nil {
		return err
	}
	return c.serve(o, adapter)
}

func (c *Control) serve(o ControlOptions, adapter *replicaAdapter) error {
	var err error
	c.operators, err = listen("operators", o.Settings.Listen.Operators, c.operatorsMux(o.Settings))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.goroutines.Go(c.peers.Serve)
	c.goroutines.Go(func() { adapter.run(ctx) })
	c.goroutines.Go(func() { c.service.Run(ctx) })
	return nil
}

func (c *Control) operatorsMux(s *settings.Settings) http.Handler {
	vars := new(expvar.Map)
	vars.Set("role", expvar.Func(func() any { return c.replica.Status().Role }))
	vars.Set("term", expvar.Func(func() any { return c.replica.Status().Term }))
	vars.Set("commit_index", expvar.Func(func() any { return c.replica.Status().Commit }))
	vars.Set("applied_index", expvar.Func(func() any { return c.replica.Status().Applied }))
	vars.Set("log_syncs", expvar.Func(func() any { return c.replica.Status().Syncs }))
	vars.Set("disk_full_count", expvar.Func(func() any { return c.replica.Status().DiskFull }))
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", varsHandler("control", vars))
	mux.Handle("GET /healthz", health(func() bool { return true }))
	return mux
}

// Status returns the replica's view of the control group.
func (c *Control) Status() replica.Status { return c.replica.Status() }

// Stop ends the process's goroutines and closes its listeners and files.
func (c *Control) Stop() {
	if c.cancel != nil {
		c.cancel()
	}
	c.closeAll()
	c.goroutines.Wait()
}

func (c *Control) closeAll() {
	if c.operators != nil {
		ctx, cancel := context.WithTimeout(context.Background(), operatorsShutdownTimeout)
		_ = c.operators.shutdown(ctx) // Requests still open are closed: they only read.
		cancel()
	}
	if c.replica != nil {
		c.replica.Stop()
	}
	c.client.Close()
	c.peers.Close()
}

// controlGCPercent keeps a leader with 560 workers and 11,300 tasks below 64 MB at the
// cost of 20 % more processor time. The environment variable GOGC overrides it.
const controlGCPercent = 25

// RunControl runs a control process until ctx ends or its replica fails.
func RunControl(ctx context.Context, s *settings.Settings, bootstrap bool) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(controlGCPercent)
	}
	c, err := StartControl(ControlOptions{Settings: s, Bootstrap: bootstrap, Logger: newLogger(s)})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		c.Stop()
		return nil
	case <-c.replica.Done():
		err := c.replica.Err()
		c.Stop()
		return err
	}
}
