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
	// eventCapacity bounds the calls that wait for the loop.
	eventCapacity = 4096
	// hostCapacity bounds the answers of the pool of hosts that wait for the loop.
	hostCapacity = 64
	// tickInterval is how often the engine looks at its timers; it is well below
	// the shortest of them.
	tickInterval = 50 * time.Millisecond
	// contactAge is the age of the quorum's last answer up to which the leader
	// acts. No other leader can exist before the shortest election timeout is over.
	contactAge = 500 * time.Millisecond
	// electionTicks and heartbeatTicks are in ticks of the replica, 50 ms: an
	// election starts after 600 to 1,200 ms of silence, twice what a slow sync and
	// a slow round trip take together.
	electionTicks  = 12
	heartbeatTicks = 3
	// removalTicks is the silence after which a voter beyond the needed number is
	// removed: 3 s, longer than a restart takes.
	removalTicks = 60
)

// WorkerCaller carries out orders.
type WorkerCaller interface {
	// Do calls the worker once.
	Do(ctx context.Context, order *dispatch.Order) dispatch.Answer
}

// Advisor asks the service that knows which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, question *dispatch.Question) dispatch.Advice
}

// HostPool is the pool of the hosts of workers.
type HostPool interface {
	// Do calls the pool once.
	Do(ctx context.Context, order *dispatch.HostOrder) dispatch.HostAnswer
}

// Options configures a Coordinator.
type Options struct {
	Replica  replica.Options
	Dispatch dispatch.Settings
	Workers  WorkerCaller
	// Advisor may be nil where no queue needs advice.
	Advisor Advisor
	// Hosts may be nil where hosts are not maintained.
	Hosts  HostPool
	Logger zerolog.Logger
}

// Coordinator is one member of the control group.
type Coordinator struct {
	options Options
	store   *workflow.Store
	replica *replica.Replica
	events  chan event
	answers chan dispatch.Answer
	advice  chan dispatch.Advice
	hosts   chan dispatch.HostAnswer
	commits chan commit
	serving atomic.Bool
	metrics *metrics

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// event is a call on its way to the engine.
type event struct {
	call *Call
	done func(Result, error)
}

// commit is the fate of a batch.
type commit struct {
	term   uint64
	result any
	err    error
}

// Start starts the member.
func Start(options Options) (*Coordinator, error) {
	store := workflow.NewStore()
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
		events: make(chan event, eventCapacity), answers: make(chan dispatch.Answer, eventCapacity), hosts: make(chan dispatch.HostAnswer, hostCapacity), commits: make(chan commit, 1), advice: make(chan dispatch.Advice, 1), metrics: newMetrics(),
	}
	c.group.Add(1)
	go c.run()
	return c, nil
}

// Register registers the services of the member.
func (c *Coordinator) Register(server *rpc.Server) error {
	if err := c.replica.Register(server); err != nil {
		return err
	}
	return server.RegisterName(serviceName, &service{c})
}

// Replica returns the member's replica of the log.
func (c *Coordinator) Replica() *replica.Replica { return c.replica }

// Stop hands the leadership over and ends the member.
func (c *Coordinator) Stop() {
	c.replica.Stop()
	c.cancel()
	c.group.Wait()
}

// Do asks the engine, where this member leads. The error is of kind not_leader
// with the leader's address, no_quorum, overloaded or unknown_outcome.
func (c *Coordinator) Do(ctx context.Context, call *Call) (Result, error) {
	if !c.leads() {
		return Result{}, c.notLeader()
	}
	type outcome struct {
		result Result
		err    error
	}
	done := make(chan outcome, 1)
	e := event{call: call, done: func(r Result, err error) {
		select {
		case done <- outcome{r, err}:
		default: // The event was answered already.
		}
	}}
	select {
	case c.events <- e:
	default:
		return Result{}, kind.Errorf(kind.Overloaded, "%d calls wait for the leader's loop", eventCapacity)
	}
	begun := time.Now()
	select {
	case o := <-done:
		c.metrics.calls.Record(time.Since(begun))
		return o.result, o.err
	case <-ctx.Done():
		return Result{}, kind.Errorf(kind.UnknownOutcome, "the leader has not committed the call: %w", ctx.Err())
	case <-c.ctx.Done():
		return Result{}, kind.Errorf(kind.UnknownOutcome, "the member stops")
	}
}

// leads reports whether this member is the leader and a quorum has confirmed it
// lately.
func (c *Coordinator) leads() bool { return c.serving.Load() && c.confirmed() }

func (c *Coordinator) confirmed() bool {
	contact := c.replica.QuorumContact()
	return !contact.IsZero() && boottime.Now().Sub(contact) < contactAge
}

func (c *Coordinator) notLeader() error {
	leader := c.replica.Status().Leader
	if leader == c.options.Replica.Address {
		return kind.Errorf(kind.NoQuorum, "leadership is not confirmed")
	}
	return kind.Errorf(kind.NotLeader, "%s", leader)
}

// Members returns the member's view of the group.
func (c *Coordinator) Members() MembersReply {
	status := c.replica.Status()
	reply := MembersReply{Leader: status.Leader, Term: status.Term, HasCatalog: c.leads()}
	for _, m := range status.Members {
		reply.Addresses = append(reply.Addresses, m.Address)
	}
	return reply
}

// service is what net/rpc sees.
type service struct{ c *Coordinator }

// callTimeout bounds a call from another process; a caller's own time is shorter.
const callTimeout = 5 * time.Second

// Call implements callMethod.
func (s *service) Call(call *Call, result *Result) error {
	ctx, cancel := context.WithTimeout(s.c.ctx, callTimeout)
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
