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
	// maxWorkers bounds the number of workers that one entry host serves.
	maxWorkers = 2048
	// workerExpiry is the time without a sync after which the state of a worker is
	// dropped.
	workerExpiry = time.Minute
	// reportQueueCapacity is the capacity of the queue of reports. If it is full, a sync
	// is refused with kind overloaded, and the worker repeats it.
	reportQueueCapacity = 512
	// maxReportBatch bounds the number of syncs in one Report call.
	maxReportBatch = 64
	// reportTimeout bounds the wait for the replication of a report.
	reportTimeout = 4 * time.Second
	// exchangeTimeout bounds an exchange, in addition to its hold.
	exchangeTimeout = 2 * time.Second
	// minExchangeInterval is the minimum time between the starts of two exchanges, so
	// that commands in quick succession share an answer.
	minExchangeInterval = 100 * time.Millisecond
	// maxExchangeHold bounds the hold of an exchange, because new renewals wait for the
	// next one.
	maxExchangeHold = time.Second
	// holdDivisor bounds the hold of an exchange to 1/holdDivisor of the lease duration.
	holdDivisor = 8
	// maxExchanges bounds the concurrent exchanges.
	maxExchanges = 2
	// retryDelay is the wait after a failed exchange.
	retryDelay = 200 * time.Millisecond
)

// Caller calls the leading control process, with retries until it answers or ctx ends.
type Caller interface {
	Call(ctx context.Context, method string, args, reply any) error
}

// Options configures a Service.
type Options struct {
	// Entry is the name of the entry host.
	Entry  string
	Caller Caller
	Logger zerolog.Logger
	// ConfigVersion returns the version of the entry host's configuration; nil stands
	// for version 0. OnConfig is called with each newer configuration, unless it is nil.
	ConfigVersion func() uint64
	OnConfig      func(version uint64, text string, evacuated []string)
	// OnConfigCurrent is called after each answered exchange with the version then in
	// force, unless it is nil. The entry host's configuration is current if it has that
	// version.
	OnConfigCurrent func(version uint64)
	// Now is the clock, nil for time.Now.
	Now func() time.Time
}

// Service serves the workers of one entry host and exchanges their renewals, reports
// and commands with the leader.
type Service struct {
	options        Options
	log            zerolog.Logger
	now            func() time.Time
	reports        chan *queuedReport
	exchangeWanted chan struct{}
	stopped        chan struct{} // closed by stop

	mu      sync.Mutex
	workers map[string]*workerState
	// Durations in milliseconds from the newest exchange. holdMs bounds the hold of a
	// sync, usageMs is the interval of usage reports.
	leaseMs int64
	holdMs  int64
	usageMs int64
	// samples is the number of usage samples that all workers send in one interval.
	samples int
	metrics Metrics
}

// Metrics holds the counters of a Service since its start. Workers is a gauge: the
// number of workers that it serves.
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

// New returns a Service. It serves syncs once Run has been started.
func New(options Options) *Service {
	s := &Service{
		options:        options,
		log:            options.Logger,
		now:            options.Now,
		reports:        make(chan *queuedReport, reportQueueCapacity),
		exchangeWanted: make(chan struct{}, 1),
		stopped:        make(chan struct{}),
		workers:        make(map[string]*workerState),
		holdMs:         defaultHoldMs,
		usageMs:        defaultUsageMs,
	}
	if s.now == nil {
		s.now = time.Now
	}
	return s
}

const (
	// defaultHoldMs and defaultUsageMs are the hold of a sync and the interval of usage
	// reports, in milliseconds, until the first exchange is answered.
	defaultHoldMs  = 1000
	defaultUsageMs = 10_000
)

// Handler returns the HTTP handler of the workers' syncs.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/workers/{worker}/sync", s.serveSync)
	mux.HandleFunc("/v1/workers/{worker}/sync", refuseMethod)
	return mux
}

// Run exchanges renewals and sends reports until ctx ends. It then answers the waiting
// syncs.
func (s *Service) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.exchangeLoop(ctx) })
	loops.Go(func() { s.reportLoop(ctx) })
	<-ctx.Done()
	s.stop()
	loops.Wait()
}

func (s *Service) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stopped)
	for _, w := range s.workers {
		w.signal()
	}
}

// Metrics returns a copy of the counters.
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

// exchangeLoop keeps one exchange with the leader in progress. If a worker waits for a
// grant, it starts a second one, which makes the leader answer the first.
func (s *Service) exchangeLoop(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	ended := make(chan error, maxExchanges)
	running, wanted := 0, true
	for ctx.Err() == nil {
		if wanted && running < maxExchanges {
			running++
			wanted = false
			inFlight.Go(func() { ended <- s.exchange(ctx) })
			pause(ctx, minExchangeInterval)
		}
		select {
		case <-s.exchangeWanted:
			wanted = true
		case err := <-ended:
			running--
			wanted = wanted || running == 0
			s.handleExchangeEnd(ctx, err)
		}
	}
}

func (s *Service) handleExchangeEnd(ctx context.Context, err error) {
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

// exchange renews the leases of the workers that synced since the last exchange and
// receives commands.
func (s *Service) exchange(ctx context.Context) error {
	args, sent := s.buildExchange()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout+time.Duration(args.HoldMs)*time.Millisecond)
	defer cancel()
	reply := new(controlapi.ExchangeReply)
	if err := s.options.Caller.Call(ctx, "Control.Exchange", args, reply); err != nil {
		s.restoreRenewals(sent)
		return err
	}
	s.applyReply(sent, reply)
	s.forwardConfig(reply)
	return nil
}

func (s *Service) forwardConfig(reply *controlapi.ExchangeReply) {
	if reply.ConfigText != "" && s.options.OnConfig != nil {
		s.options.OnConfig(reply.ConfigVersion, reply.ConfigText, reply.Evacuated)
	}
	if s.options.OnConfigCurrent != nil {
		s.options.OnConfigCurrent(reply.ConfigVersion)
	}
}
