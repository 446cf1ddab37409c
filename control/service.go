package control

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/lease"
	"mangohill.example/mangohill/schedule"
	"mangohill.example/mangohill/state"
	"mangohill.example/mangohill/types"
)

const (
	// proposeTimeout bounds one proposal or barrier of the leader's own loops.
	proposeTimeout = 2 * time.Second
	// rpcTimeout bounds the work for one RPC, except Exchange, which has a hold.
	rpcTimeout = 3 * time.Second
	// planInterval is the longest time between two plans, and the pause before a failed
	// barrier is tried again.
	planInterval = 100 * time.Millisecond
	// leaseInterval is the interval of the checks for expired leases.
	leaseInterval = 250 * time.Millisecond
)

// Planner decides which tasks run on which workers. schedule.Scheduler implements it.
type Planner interface {
	SetConfig(types.Config)
	UpsertWorker(types.Worker)
	RemoveWorker(types.WorkerID)
	UpsertTask(types.Task)
	RemoveTask(types.TaskID)
	ObserveUsage(now time.Time, usage types.Usage)
	Plan(now time.Time) []schedule.Action
	Rejected(action schedule.Action, err error)
	Explain(types.TaskID) schedule.Explanation
}

// Options configures a Service.
type Options struct {
	Replica Replica
	Store   *state.Store
	Logger  zerolog.Logger
	Lease   lease.Options
	// NewPlanner returns the planner of one term, nil for a schedule.Scheduler.
	NewPlanner func(term uint64) Planner
	// Now is the clock, nil for time.Now.
	Now func() time.Time
}

// Service is the control service of one process. It serves calls while the process
// leads, and refuses them with kind not_leader otherwise.
type Service struct {
	replica    Replica
	store      *state.Store
	log        zerolog.Logger
	leaseOpts  lease.Options
	newPlanner func(term uint64) Planner
	now        func() time.Time

	mu     sync.Mutex
	leader *leader // nil while the process does not lead
}

// New returns a Service. It refuses calls until Run has been started.
func New(options Options) *Service {
	s := &Service{
		replica:    options.Replica,
		store:      options.Store,
		log:        options.Logger,
		leaseOpts:  options.Lease,
		newPlanner: options.NewPlanner,
		now:        options.Now,
	}
	if s.newPlanner == nil {
		s.newPlanner = func(term uint64) Planner { return schedule.New(schedule.Options{Seed: term}) }
	}
	if s.now == nil {
		s.now = time.Now
	}
	return s
}

// Register registers the service as "Control".
func (s *Service) Register(server *rpc.Server) error {
	if err := server.RegisterName("Control", &endpoint{service: s}); err != nil {
		return kind.Errorf(kind.Internal, "register service Control: %w", err)
	}
	return nil
}

// Run follows the changes of leadership until ctx ends, and runs the leader's loops
// while the process leads.
func (s *Service) Run(ctx context.Context) {
	stop := func() {}
	defer func() { stop() }()
	var current Leadership
	for {
		select {
		case <-ctx.Done():
			return
		case change, ok := <-s.replica.Leadership():
			if !ok {
				return
			}
			if change == current {
				continue
			}
			current = change
			stop()
			stop = func() {}
			if change.Leading {
				stop = s.lead(ctx, change.Term)
			}
		}
	}
}

// lead starts serving a term in a goroutine. The returned function stops it and waits.
func (s *Service) lead(ctx context.Context, term uint64) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.serveTerm(ctx, term) })
	return func() {
		cancel()
		wg.Wait()
	}
}

func (s *Service) serveTerm(ctx context.Context, term uint64) {
	if err := s.catchUp(ctx); err != nil {
		return
	}
	l := newLeader(s, term)
	s.setLeader(l)
	defer s.setLeader(nil)
	defer l.close()
	s.store.Track()
	defer s.store.Untrack()
	s.log.Info().Uint64("term", term).Msg("leading")
	var loops sync.WaitGroup
	loops.Go(func() { l.planLoop(ctx) })
	loops.Go(func() { l.leaseLoop(ctx) })
	<-ctx.Done()
	loops.Wait()
	s.log.Info().Uint64("term", term).Msg("no longer leading")
}

// catchUp waits until all entries of earlier terms are applied to the state.
func (s *Service) catchUp(ctx context.Context) error {
	for {
		barrierCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		err := s.replica.Barrier(barrierCtx)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		s.log.Warn().Err(err).Msg("waiting for the entries of earlier terms")
		if !pause(ctx, planInterval) {
			return ctx.Err()
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) setLeader(l *leader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = l
}

// currentLeader returns the state of the current term, or an error of kind not_leader
// whose detail is the leader's address if this process does not lead.
func (s *Service) currentLeader() (*leader, error) {
	s.mu.Lock()
	l := s.leader
	s.mu.Unlock()
	if l == nil {
		return nil, s.notLeader()
	}
	return l, nil
}

func (s *Service) notLeader() error {
	status := s.replica.Status()
	return kind.Errorf(kind.NotLeader, "%s", status.Leader)
}

// propose replicates operations in one log entry and returns their results in order.
func (s *Service) propose(ctx context.Context, ops ...state.Op) ([]state.Result, error) {
	data, err := state.Encode(s.now().UnixMilli(), ops...)
	if err != nil {
		return nil, err
	}
	out, err := s.replica.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	results, ok := out.([]state.Result)
	if !ok || len(results) != len(ops) {
		return nil, kind.Errorf(kind.Internal, "a log entry of %d operations returned an unexpected result of type %T", len(ops), out)
	}
	return results, nil
}
