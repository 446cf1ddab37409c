package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/boottime"
	"mangohill.example/mangohill/kind"
)

const (
	// pollInterval is the interval at which a client asks the known leader whether it
	// still leads. While the leader does not confirm that, or none is known, the client
	// asks all members at searchInterval.
	pollInterval   = 250 * time.Millisecond
	searchInterval = 150 * time.Millisecond
	// pollTimeout bounds one poll of a member; it is many times a round trip.
	pollTimeout = 300 * time.Millisecond
	// tryTimeout bounds one try of a call. A commit takes two disk syncs and a round
	// trip, about 30 ms in normal operation.
	tryTimeout = 800 * time.Millisecond
	// retryDelay is the wait before a failed call is tried again, and before such a call
	// causes a poll.
	retryDelay = 40 * time.Millisecond
	// minTryTime is the least time left to a caller for which a call is tried again. A
	// shorter try would rarely be answered, but still be executed.
	minTryTime = 100 * time.Millisecond
	// electionGracePeriod is the usual duration of a leader change. If no leader has
	// been known for longer, the quorum is presumed lost and a call fails after its
	// first try.
	electionGracePeriod = 1500 * time.Millisecond
)

// Client finds the leader of the control group and calls it. Any process may use one.
type Client struct {
	options ClientOptions
	mu      sync.Mutex
	leader  string
	// leaderlessSince is when the last known leader was lost, or when the client was
	// created. It has a meaning only while leader is empty.
	leaderlessSince time.Time
	term            uint64
	members         []string
	// confirmedAt is the sending time of the newest poll that a serving leader answered.
	confirmedAt time.Time
	// heardLeaderAt is when the latest answer of a serving leader to a poll came.
	heardLeaderAt time.Time
	// leaderClockAhead is by how much the leader's clock is ahead of that of this process, as of
	// the newest poll, nil while it is not known. It is too large by at most the time of the poll.
	leaderClockAhead *time.Duration
	// callsCtx is the context of the calls to calledLeader, the last known leader. Another leader
	// cancels it. The calls go on while none is known: the members may be silent because their
	// answers wait behind a large call of this process.
	callsCtx     context.Context
	cancelCalls  context.CancelFunc
	calledLeader string
	// suspected asks Run for a poll of the leader, since a call to it has failed.
	suspected  chan struct{}
	standstill standstill
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Seeds are the addresses of members that are polled besides the learned ones.
	Seeds []string
	// Caller makes the calls to the members.
	Caller controlapi.Caller
	// Local is the member in this process, nil if there is none. It is called directly
	// instead of over the network at Address.
	Local   *Coordinator
	Address string
	Logger  zerolog.Logger
	// Now replaces the clock, CLOCK_BOOTTIME, in tests.
	Now func() time.Time
}

// NewClient returns a client that knows no leader yet. Run must be started to find
// one and to follow its changes.
func NewClient(options ClientOptions) *Client {
	if options.Now == nil {
		options.Now = boottime.Now
	}
	c := &Client{options: options, leaderlessSince: options.Now(), suspected: make(chan struct{}, 1)}
	c.callsCtx, c.cancelCalls = context.WithCancel(context.Background())
	return c
}

// ConfirmedWithin reports whether a leader has confirmed within the given time that
// it serves calls.
func (c *Client) ConfirmedWithin(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.options.Now().Sub(c.confirmedAt) < within
}

// StoodStill reports whether a request that is read now may be older than it seems: because the
// process stood still for at least the given time, no less than a second, until just now.
func (c *Client) StoodStill(atLeast time.Duration) bool {
	return c.standstill.within(c.options.Now(), atLeast)
}

// Leader returns the leader's address, empty if none is known.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// setLeader records the leader and cancels the calls to another one. The caller holds
// c.mu.
func (c *Client) setLeader(leader string) {
	if leader == "" && c.leader != "" {
		c.leaderlessSince = c.options.Now()
	}
	c.leader, c.leaderClockAhead = leader, nil
	if leader == "" || leader == c.calledLeader {
		return
	}
	c.cancelCalls()
	c.calledLeader = leader
	c.callsCtx, c.cancelCalls = context.WithCancel(context.Background())
}

func (c *Client) isLocal(address string) bool {
	return c.options.Local != nil && address == c.options.Address
}

// loseLeader records that no member names a leader; answered of them answered.
func (c *Client) loseLeader(answered int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		c.options.Logger.Info().Str("leader", c.leader).Int("answered", answered).Dur("unconfirmed", c.options.Now().Sub(c.confirmedAt)).Msg("leader lost")
		c.setLeader("")
	}
}

func (c *Client) followLeader(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != leader {
		c.setLeader(leader)
	}
}

// leaderless reports whether no leader has been known for longer than
// electionGracePeriod.
func (c *Client) leaderless() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader == "" && c.options.Now().Sub(c.leaderlessSince) > electionGracePeriod
}

// Do calls the leader, with retries, until it answers, ctx ends or the group is
// leaderless. Retries are safe because the leader recognizes repeated calls. The error
// is of kind unknown_outcome if the call may have been executed, and no_quorum if it
// certainly was not.
func (c *Client) Do(ctx context.Context, call *Call) (*Result, error) {
	startedAt, tries, outcomeUnknown := time.Now(), 0, false
	for {
		tries++
		result, err := c.callLeader(ctx, call)
		if err == nil {
			return result, nil
		}
		outcomeUnknown = outcomeUnknown || kind.Is(err, kind.UnknownOutcome)
		if c.leaderless() || kind.Is(err, kind.UnknownOutcome) && expiresWithin(ctx, retryDelay+minTryTime) {
			return nil, unansweredError(outcomeUnknown, tries, time.Since(startedAt), err)
		}
		timer := time.NewTimer(retryDelay)
		select {
		case <-timer.C:
			continue
		case <-ctx.Done():
			timer.Stop()
		}
		return nil, unansweredError(outcomeUnknown, tries, time.Since(startedAt), err)
	}
}

// expiresWithin reports whether the deadline of ctx is reached within d.
func expiresWithin(ctx context.Context, d time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) < d
}

// unansweredError returns the error of a call that no leader answered in time. cause is
// the error of the last of its tries, which took this long together.
func unansweredError(outcomeUnknown bool, tries int, took time.Duration, cause error) error {
	if outcomeUnknown {
		return kind.Errorf(kind.UnknownOutcome, "the leader did not answer in %v and %d tries: %w", took.Round(time.Millisecond), tries, cause)
	}
	return kind.Errorf(kind.NoQuorum, "no leader found in %v and %d tries: %w", took.Round(time.Millisecond), tries, cause)
}

// callLeader makes one call to the known leader. After a not_leader error it switches
// to the leader named there. Any other error causes a poll, unless the leader is only
// overloaded or ctx has ended.
func (c *Client) callLeader(ctx context.Context, call *Call) (*Result, error) {
	callerCtx := ctx
	c.mu.Lock()
	address, calls, clockAhead := c.leader, c.callsCtx, c.leaderClockAhead
	c.mu.Unlock()
	if address == "" {
		return nil, kind.Errorf(kind.NoQuorum, "no leader is known")
	}
	ctx, cancel := withTryTimeout(ctx, call)
	defer cancel()
	defer context.AfterFunc(calls, cancel)()
	try := *call
	if deadline, ok := ctx.Deadline(); ok {
		try.Budget = time.Until(deadline)
	}
	if call.expires() && !c.isLocal(address) {
		if clockAhead == nil {
			c.suspect()
			return nil, kind.Errorf(kind.NoQuorum, "the clock of the leader is not known")
		}
		try.DecideByNs = boottime.Nanoseconds() + int64(*clockAhead+try.Budget)
	}
	result := new(Result)
	var err error
	if c.isLocal(address) {
		*result, err = c.options.Local.Do(ctx, &try)
	} else {
		err = c.options.Caller.Call(ctx, address, callMethod, &try, result)
	}
	if err == nil {
		return result, nil
	}
	if hint := kind.LeaderHint(err); hint != "" {
		c.followLeader(hint)
	} else if !kind.Is(err, kind.Overloaded) && callerCtx.Err() == nil {
		c.suspect()
	}
	return nil, err
}

// withTryTimeout bounds one try of a call. A large call is bounded by its caller alone: another try
// would send it whole again. That its leader is lost is learned from the polls.
func withTryTimeout(ctx context.Context, call *Call) (context.Context, context.CancelFunc) {
	if call.Large() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, tryTimeout)
}

// SetSeeds replaces the seed addresses and reports whether they changed.
func (c *Client) SetSeeds(seeds []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(seeds, c.options.Seeds) {
		return false
	}
	c.options.Seeds = seeds
	return true
}
