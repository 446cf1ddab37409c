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
	// pollInterval is how often a client asks the leader whether it still leads,
	// and searchInterval how often it asks all members while it knows no leader.
	pollInterval   = 250 * time.Millisecond
	searchInterval = 150 * time.Millisecond
	// pollTimeout bounds the answer of a member: many times a round trip.
	pollTimeout = 300 * time.Millisecond
	// tryTimeout bounds one try of a call: a commit takes two syncs and a round
	// trip, some 30 ms when all is well.
	tryTimeout = 800 * time.Millisecond
	// retryPause is the wait before a call is tried again.
	retryPause = 40 * time.Millisecond
	// electionTime is how long a change of leader usually takes. Once no leader has
	// been found for longer, a quorum is lost, and calls are refused at once.
	electionTime = 1500 * time.Millisecond
)

// Client calls the leader of the control group from any process.
type Client struct {
	options ClientOptions
	mu      sync.Mutex
	leader  string
	// lostAt is since when no leader is known.
	lostAt  time.Time
	term    uint64
	members []string
	// confirmedAt is when a leader last said that it answers callers.
	confirmedAt time.Time
	// calls ends when the leader changes, and with it the calls to it.
	calls    context.Context
	endCalls context.CancelFunc
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Seeds are addresses of members.
	Seeds  []string
	Caller controlapi.Caller
	// Local is the member in this process, nil if there is none, at Address.
	Local   *Coordinator
	Address string
	Logger  zerolog.Logger
}

// NewClient returns a client. Run keeps its view of the group current.
func NewClient(options ClientOptions) *Client {
	c := &Client{options: options, lostAt: boottime.Now()}
	c.calls, c.endCalls = context.WithCancel(context.Background())
	return c
}

// Run polls the group until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := pollInterval
		if leader := c.Leader(); leader != "" {
			c.poll(ctx, leader)
		} else {
			c.search(ctx)
			interval = searchInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
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

// search asks all known members at once.
func (c *Client) search(ctx context.Context) {
	c.mu.Lock()
	addresses := slices.Concat(c.members, c.options.Seeds)
	c.mu.Unlock()
	if c.options.Local != nil {
		addresses = append(addresses, c.options.Address)
	}
	slices.Sort(addresses)
	var group sync.WaitGroup
	for _, address := range slices.Compact(addresses) {
		group.Go(func() { c.poll(ctx, address) })
	}
	group.Wait()
}

// poll asks one member for its view of the group.
func (c *Client) poll(ctx context.Context, address string) {
	asked := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	reply := new(MembersReply)
	var err error
	if c.isLocal(address) {
		*reply = c.options.Local.Members()
	} else {
		err = c.options.Caller.Call(ctx, address, membersMethod, &MembersArgs{}, reply)
	}
	if err != nil {
		c.forget(address)
		return
	}
	c.learn(address, asked, reply)
}

// learn takes in a member's view. A view of an older term than a known leader's is
// passed over.
func (c *Client) learn(address string, asked time.Time, reply *MembersReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.HasCatalog {
		c.confirmedAt = asked
	}
	if reply.Term < c.term && c.leader != "" && address != c.leader {
		return
	}
	if len(reply.Addresses) > 0 {
		c.members = reply.Addresses
	}
	c.term = max(c.term, reply.Term)
	if reply.Leader != c.leader {
		c.options.Logger.Info().Str("leader", reply.Leader).Str("before", c.leader).Str("told_by", address).Uint64("term", reply.Term).Msg("leader changed")
		c.setLeader(reply.Leader)
	}
}

// setLeader ends the calls to the leader before. The caller holds the lock.
func (c *Client) setLeader(leader string) {
	if leader == "" && c.leader != "" {
		c.lostAt = boottime.Now()
	}
	c.leader = leader
	c.endCalls()
	c.calls, c.endCalls = context.WithCancel(context.Background())
}

func (c *Client) isLocal(address string) bool {
	return c.options.Local != nil && address == c.options.Address
}

func (c *Client) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.options.Logger.Info().Str("leader", address).Msg("leader lost")
		c.setLeader("")
	}
}

func (c *Client) follow(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != leader {
		c.setLeader(leader)
	}
}

// leaderless reports whether no leader has been found for longer than a change of
// leader takes.
func (c *Client) leaderless() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader == "" && boottime.Now().Sub(c.lostAt) > electionTime
}

// Do calls the leader until it answers, ctx ends or no leader can be had. All calls
// may be repeated: the leader recognizes them. The error is of kind unknown_outcome if the call
// may have been carried out, and no_quorum if it certainly was not.
func (c *Client) Do(ctx context.Context, call *Call) (*Result, error) {
	unknown := false
	for {
		result, err := c.try(ctx, call)
		if err == nil {
			return result, nil
		}
		unknown = unknown || kind.Is(err, kind.UnknownOutcome)
		if c.leaderless() {
			return nil, givenUp(unknown, err)
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-timer.C:
			continue
		case <-ctx.Done():
			timer.Stop()
		}
		return nil, givenUp(unknown, err)
	}
}

// givenUp is the error of a call that no leader answered.
func givenUp(unknown bool, cause error) error {
	if unknown {
		return kind.Errorf(kind.UnknownOutcome, "no answer of a leader in time: %w", cause)
	}
	return kind.Errorf(kind.NoQuorum, "no leader in time: %w", cause)
}

func (c *Client) try(ctx context.Context, call *Call) (*Result, error) {
	c.mu.Lock()
	address, calls := c.leader, c.calls
	c.mu.Unlock()
	if address == "" {
		return nil, kind.Errorf(kind.NoQuorum, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	defer context.AfterFunc(calls, cancel)()
	result := new(Result)
	var err error
	if c.isLocal(address) {
		*result, err = c.options.Local.Do(ctx, call)
	} else {
		err = c.options.Caller.Call(ctx, address, callMethod, call, result)
	}
	if err == nil {
		return result, nil
	}
	if hint := kind.LeaderHint(err); hint != "" {
		c.follow(hint)
	} else if !kind.Is(err, kind.Overloaded) {
		c.forget(address)
	}
	return nil, err
}

// SetSeeds replaces the seeds and reports whether they changed.
func (c *Client) SetSeeds(seeds []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(seeds, c.options.Seeds) {
		return false
	}
	c.options.Seeds = seeds
	return true
}
