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
	// callsCtx is the context of the calls to the current leader. A change of leader
	// cancels it.
	callsCtx    context.Context
	cancelCalls context.CancelFunc
	// suspected asks Run for a poll of the leader, since a call to it has failed.
	suspected chan struct{}
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
}

// NewClient returns a client that knows no leader yet. Run must be started to find
// one and to follow its changes.
func NewClient(options ClientOptions) *Client {
	c := &Client{options: options, leaderlessSince: boottime.Now(), suspected: make(chan struct{}, 1)}
	c.callsCtx, c.cancelCalls = context.WithCancel(context.Background())
	return c
}

// Run polls the group until ctx ends. Only polls decide that a leader is lost: a call
// may also fail for a reason of its own.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		leader := c.Leader()
		if leader != "" && c.pollLeader(ctx, leader) {
			c.wait(ctx, pollInterval)
			continue
		}
		startedAt := time.Now()
		c.search(ctx)
		c.sleep(ctx, searchInterval-time.Since(startedAt))
	}
}

// wait waits until d has passed, ctx ends, or shortly after a call to the leader failed.
func (c *Client) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.suspected:
		c.sleep(ctx, retryDelay)
	case <-ctx.Done():
	}
}

func (c *Client) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// suspect causes a poll of the leader.
func (c *Client) suspect() {
	select {
	case c.suspected <- struct{}{}:
	default: // A poll is due already.
	}
}

// ConfirmedWithin reports whether a leader has confirmed within the given time that
// it serves calls.
func (c *Client) ConfirmedWithin(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return boottime.Now().Sub(c.confirmedAt) < within
}

// Leader returns the leader's address, empty if none is known.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// view is the answer of one member to a poll.
type view struct {
	address string
	sentAt  time.Time
	reply   MembersReply
}

// pollLeader polls the leader and reports whether it confirmed that it leads and has a
// quorum. If it names another leader, that one is followed.
func (c *Client) pollLeader(ctx context.Context, leader string) bool {
	answer, err := c.poll(ctx, leader)
	if err != nil || answer.reply.Leader == "" {
		return false
	}
	c.applyView(answer)
	return answer.reply.Leader == leader && answer.reply.HasCatalog
}

// search polls all known members concurrently, for searchInterval. It follows the leader
// of the highest term that a member names, and one of a new term as soon as it is named,
// since other members may be slow to answer. A leader that no member names is lost.
func (c *Client) search(ctx context.Context) {
	c.mu.Lock()
	addresses := slices.Concat(c.members, c.options.Seeds)
	c.mu.Unlock()
	if c.options.Local != nil {
		addresses = append(addresses, c.options.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	answers := make(chan *view, len(addresses))
	for _, address := range addresses {
		go func() { answers <- c.pollMember(ctx, address) }()
	}
	timer := time.NewTimer(searchInterval)
	defer timer.Stop()
	var newest *view
	answered := 0
	for range addresses {
		select {
		case answer := <-answers:
			if answer == nil {
				continue
			}
			answered++
			if answer.reply.Leader != "" && (newest == nil || newest.before(answer)) {
				newest = answer
			}
			continue
		case <-timer.C:
		}
		break
	}
	if newest == nil {
		c.loseLeader(answered)
		return
	}
	c.applyView(newest)
}

// before reports whether the view is superseded by another one that names a leader.
func (v *view) before(other *view) bool {
	return other.reply.Term > v.reply.Term || other.reply.Term == v.reply.Term && other.reply.HasCatalog
}

// pollMember polls one member for search, and follows a leader of a new term that it
// names. It returns nil if the member does not answer.
func (c *Client) pollMember(ctx context.Context, address string) *view {
	answer, err := c.poll(ctx, address)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	isNew := answer.reply.Leader != "" && (c.leader == "" || answer.reply.Term > c.term)
	c.mu.Unlock()
	if isNew {
		c.applyView(answer)
	}
	return answer
}

// poll asks one member for its view of the group.
func (c *Client) poll(ctx context.Context, address string) (*view, error) {
	answer := &view{address: address, sentAt: boottime.Now()}
	if c.isLocal(address) {
		answer.reply = c.options.Local.Members()
		return answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	reply := new(MembersReply)
	if err := c.options.Caller.Call(ctx, address, membersMethod, &MembersArgs{}, reply); err != nil {
		return nil, err
	}
	answer.reply = *reply
	return answer, nil
}

// applyView updates the known leader and members from the view of one member. While a
// leader is known, a view of an older term changes neither unless the leader sent it.
func (c *Client) applyView(answer *view) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &answer.reply
	if reply.HasCatalog && answer.sentAt.After(c.confirmedAt) {
		c.confirmedAt = answer.sentAt
	}
	if reply.Term < c.term && c.leader != "" && answer.address != c.leader {
		return
	}
	if len(reply.Addresses) > 0 {
		c.members = reply.Addresses
	}
	c.term = max(c.term, reply.Term)
	if reply.Leader != c.leader {
		c.options.Logger.Info().Str("leader", reply.Leader).Str("before", c.leader).Str("told_by", answer.address).Uint64("term", reply.Term).Msg("leader changed")
		c.setLeader(reply.Leader)
	}
}

// setLeader records the leader and cancels the calls to the previous one. The caller
// holds c.mu.
func (c *Client) setLeader(leader string) {
	if leader == "" && c.leader != "" {
		c.leaderlessSince = boottime.Now()
	}
	c.leader = leader
	c.cancelCalls()
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
		c.options.Logger.Info().Str("leader", c.leader).Int("answered", answered).Dur("unconfirmed", boottime.Now().Sub(c.confirmedAt)).Msg("leader lost")
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
	return c.leader == "" && boottime.Now().Sub(c.leaderlessSince) > electionGracePeriod
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
	address, calls := c.leader, c.callsCtx
	c.mu.Unlock()
	if address == "" {
		return nil, kind.Errorf(kind.NoQuorum, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	defer context.AfterFunc(calls, cancel)()
	try := *call
	if deadline, ok := ctx.Deadline(); ok {
		try.Budget = time.Until(deadline)
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
