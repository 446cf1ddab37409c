package coordinator

import (
	"context"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/internal/boottime"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/replica"
	"mangohill.example/mangohill/workflow"
)

const (
	// queueCapacity bounds the calls, and likewise the workers' answers, that wait for
	// the loop.
	queueCapacity = 4096
	// hostQueueCapacity bounds the answers of the host pool that wait for the loop.
	hostQueueCapacity = 64
	// tickInterval is the interval at which the engine checks its timers. It is well
	// below the shortest of them.
	tickInterval = 50 * time.Millisecond
	// maxQuorumContactAge is the longest time since the last contact with a quorum at
	// which the leader still acts. It is below the shortest election timeout, so no
	// other leader can exist by then.
	maxQuorumContactAge = 500 * time.Millisecond
	// electionTicks and heartbeatTicks count ticks of the replica, 50 ms each. An
	// election starts after 600 to 1,200 ms without a heartbeat, twice the sum of a
	// slow disk sync and a slow round trip.
	electionTicks  = 12
	heartbeatTicks = 3
	// A batch of the largest size must be a command that the log takes.
	_ = uint(replica.MaxProposalBytes - workflow.MaxCommandBytes)
	// removalTicks is the silence, in ticks of the replica, after which a surplus voter
	// is removed: 3 s, longer than a restart takes.
	removalTicks = 60
)

// WorkerCaller sends orders to workers.
type WorkerCaller interface {
	// Do sends the order to its worker once, without retries. permit is asked just before
	// it is sent; an order that it withholds is NotSent.
	Do(ctx context.Context, order *dispatch.Order, permit func() bool) dispatch.Answer
	// CallLimit returns how many calls may be in progress at a time. It may change.
	CallLimit() int
	// Forget closes the connections to an address at which no worker is expected.
	Forget(address string)
}

// Advisor asks the advice service which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, question *dispatch.Question) dispatch.Advice
}

// HostPool manages the hosts on which workers run.
type HostPool interface {
	// Do sends the order to the pool once, without retries. permit is asked just before
	// it is sent; an order that it withholds is HostRefused.
	Do(ctx context.Context, order *dispatch.HostOrder, permit func() bool) dispatch.HostAnswer
}

// Options configures a Coordinator.
type Options struct {
	Replica  replica.Options
	Dispatch dispatch.Settings
	Workers  WorkerCaller
	// Advisor may be nil if no queue needs advice.
	Advisor Advisor
	// Hosts may be nil if hosts are not maintained.
	Hosts HostPool
	// ReportLimit returns the number of workers up to which they all report to the
	// leader. Nil sets no limit.
	ReportLimit func() int
	Logger      zerolog.Logger
}

// Coordinator is one member of the control group.
type Coordinator struct {
	options      Options
	store        stateStore
	replica      *replica.Replica
	calls        chan pendingCall
	orderAnswers chan dispatch.Answer
	advice       chan dispatch.Advice
	hostAnswers  chan dispatch.HostAnswer
	orders       *orderQueue
	commits      chan commitResult
	serving      atomic.Bool
	// starts tells which starts may be sent.
	starts  atomic.Pointer[startPermission]
	metrics *metrics

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// stateStore is the replicated state, of which a new leader takes a copy.
type stateStore interface {
	replica.StateMachine
	Copy() (*workflow.State, error)
}

// pendingCall is a call that waits for the loop to pass it to the engine.
type pendingCall struct {
	// ctx ends when nobody waits for the result any more.
	ctx      context.Context
	call     *Call
	queuedAt time.Time
	done     func(Result, error)
}

// commitResult is the result of proposing a batch in a term.
type commitResult struct {
	term   uint64
	result any
	err    error
	took   time.Duration
	// batch is what was proposed, of this many bytes; the log names it after an error.
	batch *workflow.Batch
	bytes int
}

// Start starts the member's replica and its loop. Stop ends both.
func Start(options Options) (*Coordinator, error) { return start(options, workflow.NewStore()) }

func start(options Options, store stateStore) (*Coordinator, error) {
	options.Replica.StateMachine = store
	options.Replica.Now = boottime.Now
	options.Replica.ElectionTicks, options.Replica.HeartbeatTicks = electionTicks, heartbeatTicks
	options.Replica.RemovalTicks = removalTicks
	options.Replica.Logger = options.Logger
	started, err := replica.Start(options.Replica)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{
		options: options, store: store, replica: started, ctx: ctx, cancel: cancel,
		orders: newOrderQueue(), calls: make(chan pendingCall, queueCapacity), orderAnswers: make(chan dispatch.Answer, queueCapacity), hostAnswers: make(chan dispatch.HostAnswer, hostQueueCapacity), commits: make(chan commitResult, 1), advice: make(chan dispatch.Advice, 1), metrics: newMetrics(),
	}
	c.goroutines.Add(1)
	go c.run()
	c.goroutines.Go(func() { c.orders.run(ctx, c.sendOrder) })
	return c, nil
}

// Register registers the member's net/rpc services with server.
func (c *Coordinator) Register(server *rpc.Server) error {
	if err := c.replica.Register(server); err != nil {
		return err
	}
	return server.RegisterName(serviceName, &service{c})
}

// Replica returns the member's replica of the log.
func (c *Coordinator) Replica() *replica.Replica { return c.replica }

// Stop hands the leadership over, stops the member and waits for its goroutines.
func (c *Coordinator) Stop() {
	c.replica.Stop()
	c.cancel()
	c.goroutines.Wait()
}

// Do passes a call to the engine if this member leads, and waits for the result. The
// error is of kind not_leader with the leader's address, no_quorum, overloaded or
// unknown_outcome.
func (c *Coordinator) Do(ctx context.Context, call *Call) (Result, error) {
	if !c.leads() {
		return Result{}, c.notLeader()
	}
	type outcome struct {
		result Result
		err    error
	}
	done := make(chan outcome, 1)
	startedAt := time.Now()
	e := pendingCall{ctx: ctx, call: call, queuedAt: startedAt, done: func(r Result, err error) {
		select {
		case done <- outcome{r, err}:
		default: // The call was answered already.
		}
	}}
	select {
	case c.calls <- e:
	default:
		return Result{}, kind.Errorf(kind.Overloaded, "the queue of the leader's loop is full with %d calls", queueCapacity)
	}
	select {
	case o := <-done:
		c.metrics.calls.Record(time.Since(startedAt))
		return o.result, o.err
	case <-ctx.Done():
		return Result{}, kind.Errorf(kind.UnknownOutcome, "the leader did not commit the call in time: %w", ctx.Err())
	case <-c.ctx.Done():
		return Result{}, kind.Errorf(kind.UnknownOutcome, "the member is stopping")
	}
}

// leads reports whether this member is the leader and a quorum confirmed it within
// maxQuorumContactAge.
func (c *Coordinator) leads() bool { return c.serving.Load() && c.quorumConfirmed() }

func (c *Coordinator) quorumConfirmed() bool {
	contact := c.replica.QuorumContact()
	return !contact.IsZero() && boottime.Now().Sub(contact) < maxQuorumContactAge
}

func (c *Coordinator) notLeader() error {
	leader := c.replica.Status().Leader
	if leader == c.options.Replica.Address {
		return kind.Errorf(kind.NoQuorum, "no quorum confirmed the leadership recently")
	}
	return kind.Errorf(kind.NotLeader, "%s", leader)
}

// Members returns the member's view of the group.
func (c *Coordinator) Members() MembersReply {
	status := c.replica.Status()
	reply := MembersReply{Leader: status.Leader, Term: status.Term, HasCatalog: c.leads()}
	if reply.HasCatalog {
		reply.ClockNs = boottime.Nanoseconds()
	}
	for _, m := range status.Members {
		reply.Addresses = append(reply.Addresses, m.Address)
	}
	return reply
}

// service is the net/rpc receiver of a member.
type service struct{ c *Coordinator }

// callTimeout bounds a call from another process that states no budget.
const callTimeout = 5 * time.Second

// Call implements callMethod.
func (s *service) Call(call *Call, result *Result) error {
	timeout := callTimeout
	if call.Budget > 0 {
		timeout = min(timeout, call.Budget)
	}
	if call.DecideByNs > 0 {
		timeout = min(timeout, time.Duration(call.DecideByNs-boottime.Nanoseconds()))
	}
	if timeout <= 0 {
		return kind.Errorf(kind.DeadlineExceeded, "the call arrived after its sender had given it up, and does not run")
	}
	ctx, cancel := context.WithTimeout(s.c.ctx, timeout)
	defer cancel()
	r, err := s.c.Do(ctx, call)
	if err != nil {
		return err
	}
	*result = r
	return nil
}

// Members implements membersMethod.
func (s *service) Members(_ *MembersArgs, reply *MembersReply) error {
	*reply = s.c.Members()
	return nil
}
