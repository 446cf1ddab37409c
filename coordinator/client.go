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
	// pollInterval is how often a client asks who leads; pollTimeout bounds the
	// answer.
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond
	// tryTimeout bounds one try of a call: a commit takes two syncs and a round
	// trip, some 30 ms when all is well.
	tryTimeout = 800 * time.Millisecond
	// retryPause is the wait before a call is tried again while no leader answers.
	retryPause = 60 * time.Millisecond
)

// Client calls the leader of the control group from any process.
type Client struct {
	options ClientOptions
	mu      sync.Mutex
	leader  string
	members []string
	// confirmedAt is when a leader last said that it answers callers.
	confirmedAt time.Time
	turn        int
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
func NewClient(options ClientOptions) *Client { return &Client{options: options} }

// Run polls the group until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		c.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Fresh reports whether a leader has said within the given time that it answers.
func (c *Client) Fresh(within time.Duration) bool {
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

// poll asks the leader, or the next member where none is known.
func (c *Client) poll(ctx context.Context) {
	address := c.pick()
	if address == "" {
		return
	}
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
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(reply.Addresses) > 0 {
		c.members = reply.Addresses
	}
	if reply.HasCatalog {
		c.confirmedAt = asked
	}
	if reply.Leader != c.leader {
		c.options.Logger.Info().Str("leader", reply.Leader).Str("before", c.leader).Str("told_by", address).Msg("leader changed")
		c.leader = reply.Leader
	}
}

func (c *Client) isLocal(address string) bool {
	return c.options.Local != nil && address == c.options.Address
}

// pick returns the leader, or the next member in turn.
func (c *Client) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	all := slices.Concat(c.members, c.options.Seeds)
	if len(all) == 0 {
		return ""
	}
	c.turn++
	return all[c.turn%len(all)]
}

func (c *Client) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
		c.options.Logger.Info().Str("leader", address).Msg("leader lost")
	}
}

func (c *Client) follow(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

// Do calls the leader until it answers or ctx ends. All calls may be repeated:
// the leader recognizes them. The error is of kind unknown_outcome if the call
// may have been carried out, and no_quorum if it certainly was not.
func (c *Client) Do(ctx context.Context, call *Call) (*Result, error) {
	unknown := false
	for {
		result, err := c.try(ctx, call)
		if err == nil {
			return result, nil
		}
		unknown = unknown || kind.Is(err, kind.UnknownOutcome)
		timer := time.NewTimer(retryPause)
		select {
		case <-timer.C:
			continue
		case <-ctx.Done():
			timer.Stop()
		}
		if unknown {
			return nil, kind.Errorf(kind.UnknownOutcome, "no answer of a leader in time: %w", err)
		}
		return nil, kind.Errorf(kind.NoQuorum, "no leader in time: %w", err)
	}
}

func (c *Client) try(ctx context.Context, call *Call) (*Result, error) {
	address := c.pick()
	if address == "" {
		return nil, kind.Errorf(kind.NoQuorum, "no member is known")
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	result := new(Result)
	var err error
	if c.isLocal(address) {
		*result, err = c.options.Local.Do(ctx, call)
	} else {
		err = c.options.Caller.Call(ctx, address, callMethod, call, result)
	}
	if err == nil {
		c.follow(address)
		return result, nil
	}
	if hint := leaderHint(err); hint != "" {
		c.follow(hint)
	} else {
		c.forget(address)
	}
	return nil, err
}

// leaderHint returns the leader's address that a not_leader error names.
func leaderHint(err error) string {
	if !kind.Is(err, kind.NotLeader) {
		return ""
	}
	if parsed := kind.Parse(err.Error()); parsed != nil {
		return parsed.Detail
	}
	return ""
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
