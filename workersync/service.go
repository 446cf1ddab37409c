package workersync

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/controlapi"
)

const (
	// maxWorkers bounds the workers that one entry host serves.
	maxWorkers = 2048
	// workerForget is the time without a sync after which a worker is forgotten.
	workerForget = time.Minute
	// reportQueue is the capacity of the queue of reports. A sync that finds it
	// full is refused with kind overloaded, and the worker repeats it.
	reportQueue = 512
	// maxReportBatch bounds the syncs in one report to the leader.
	maxReportBatch = 64
	// reportTimeout bounds the wait for the replication of a report.
	reportTimeout = 4 * time.Second
	// exchangeTimeout bounds an exchange beside its hold.
	exchangeTimeout = 2 * time.Second
	// minExchangeInterval is the least time between two exchanges, so that commands
	// that follow one another share an answer.
	minExchangeInterval = 100 * time.Millisecond
	// maxExchangeHold is the longest hold of an exchange: renewals wait for the
	// next one.
	maxExchangeHold = time.Second
	// holdDivisor keeps the hold of an exchange to this fraction of the lease.
	holdDivisor = 8
	// maxExchanges bounds the exchanges under way.
	maxExchanges = 2
	// retryDelay is the pause after an exchange that failed.
	retryDelay = 200 * time.Millisecond
)

// Caller calls the leading control process and repeats a call until it is
// answered or ctx ends.
type Caller interface {
	Call(ctx context.Context, method string, args, reply any) error
}

// Options configures a Service.
type Options struct {
	// Entry is the name of the entry host.
	Entry  string
	Caller Caller
	Logger zerolog.Logger
	// ConfigVersion returns the version of the configuration that the entry host
	// holds, and OnConfig takes in a newer one. Nil stands for none.
	ConfigVersion func() uint64
	OnConfig      func(version uint64, text string)
	// OnConfigCurrent is called after each answered exchange with the version then in
	// force. It confirms that the entry host's configuration is current.
	OnConfigCurrent func(version uint64)
	// Now is the clock, nil for time.Now.
	Now func() time.Time
}

// Service gathers the workers of one entry host.
type Service struct {
	options Options
	log     zerolog.Logger
	now     func() time.Time
	reports chan *queuedReport
	kicked  chan struct{}
	stopped chan struct{} // closed by stop

	mu      sync.Mutex
	workers map[string]*workerState
	// Values of the newest exchange.
	leaseMs int64
	holdMs  int64
	usageMs int64
	// samples is the number of usage samples that the workers send in an interval.
	samples int
	metrics Metrics
}

// Metrics counts what passed. All values only grow, Workers aside.
type Metrics struct {
	Workers        int
	Syncs          uint64
	SyncBytesIn    uint64
	SyncBytesOut   uint64
	Exchanges      uint64
	ExchangeErrors uint64
	Renewals       uint64
	Grants         uint64
	Refusals       uint64
	Commands       uint64
	Reports        uint64
	ReportErrors   uint64
	UsageSkipped   uint64
}

// New returns a Service that serves after Run was started.
func New(options Options) *Service {
	s := &Service{
		options: options,
		log:     options.Logger,
		now:     options.Now,
		reports: make(chan *queuedReport, reportQueue),
		kicked:  make(chan struct{}, 1),
		stopped: make(chan struct{}),
		workers: make(map[string]*workerState),
		holdMs:  defaultHoldMs,
		usageMs: defaultUsageMs,
	}
	if s.now == nil {
		s.now = time.Now
	}
	return s
}

const (
	// defaultHoldMs and defaultUsageMs hold until the first exchange.
	defaultHoldMs  = 1000
	defaultUsageMs = 10_000
)

// Handler returns the handler of the workers' resource.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/workers/{worker}/sync", s.serveSync)
	mux.HandleFunc("/v1/workers/{worker}/sync", refuseMethod)
	return mux
}

// Run gathers and reports until ctx ends. Waiting syncs are answered then.
func (s *Service) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.exchangeLoop(ctx) })
	duties.Go(func() { s.reportLoop(ctx) })
	<-ctx.Done()
	s.stop()
	duties.Wait()
}

func (s *Service) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stopped)
	for _, w := range s.workers {
		w.signal()
	}
}

// Metrics returns the counts so far.
func (s *Service) Metrics() Metrics {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.metrics
	m.Workers = len(s.workers)
	return m
}

func (s *Service) configVersion() uint64 {
	if s.options.ConfigVersion == nil {
		return 0
	}
	return s.options.ConfigVersion()
}

// exchangeLoop keeps one exchange with the leader under way. Where a worker waits
// for a grant, a second one begins, and the leader answers the first.
func (s *Service) exchangeLoop(ctx context.Context) {
	var underWay sync.WaitGroup
	defer underWay.Wait()
	ended := make(chan error, maxExchanges)
	running, wanted := 0, true
	for ctx.Err() == nil {
		if wanted && running < maxExchanges {
			running++
			wanted = false
			underWay.Go(func() { ended <- s.exchange(ctx) })
			pause(ctx, minExchangeInterval)
		}
		select {
		case <-s.kicked:
			wanted = true
		case err := <-ended:
			running--
			wanted = wanted || running == 0
			s.noteExchange(ctx, err)
		}
	}
}

func (s *Service) noteExchange(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	s.count(func(m *Metrics) { m.ExchangeErrors++ })
	s.log.Debug().Err(err).Msg("exchange failed")
	pause(ctx, retryDelay)
}

func (s *Service) count(change func(*Metrics)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.metrics)
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// exchange renews the leases of the workers that synced since the last exchange
// and takes in commands.
func (s *Service) exchange(ctx context.Context) error {
	args, sent := s.gather()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout+time.Duration(args.HoldMs)*time.Millisecond)
	defer cancel()
	reply := new(controlapi.ExchangeReply)
	if err := s.options.Caller.Call(ctx, "Control.Exchange", args, reply); err != nil {
		s.renewAgain(sent)
		return err
	}
	s.takeIn(sent, reply)
	s.passConfig(reply)
	return nil
}

func (s *Service) passConfig(reply *controlapi.ExchangeReply) {
	if reply.ConfigText != "" && s.options.OnConfig != nil {
		s.options.OnConfig(reply.ConfigVersion, reply.ConfigText)
	}
	if s.options.OnConfigCurrent != nil {
		s.options.OnConfigCurrent(reply.ConfigVersion)
	}
}
