package controlapi

import (
	"context"
	"sync"
	"time"

	"mangohill.example/mangohill/kind"
)

const (
	// attemptTimeout bounds one call to one control process, unless the caller's
	// own deadline is shorter.
	attemptTimeout = 1500 * time.Millisecond
	// retryDelay is the pause after all control processes were asked in vain.
	retryDelay = 50 * time.Millisecond
)

// Caller sends one RPC to one address. rpcclient.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// LeaderClient calls the leading control process. It follows not_leader hints
// and asks the other control processes in turn. Every method of the control
// service may be repeated without a second effect, so calls are repeated until
// one is answered or the context ends.
type LeaderClient struct {
	caller    Caller
	addresses []string
	mu        sync.Mutex
	leader    string
	next      int
}

// NewLeaderClient returns a client for the control processes at addresses.
func NewLeaderClient(caller Caller, addresses []string) *LeaderClient {
	return &LeaderClient{caller: caller, addresses: addresses}
}

// Call invokes method at the leader; ctx should have a deadline. newReply is
// called for every attempt, since a late answer may still be written to the
// reply of an earlier one; the reply of the successful attempt is returned.
//
// The error is of kind no_quorum if no leader was found and nothing was sent to
// one, unknown_outcome if an attempt was sent and not answered, or the kind that
// the leader gave.
func Call[Reply any](ctx context.Context, c *LeaderClient, method string, args any) (*Reply, error) {
	return CallWithAttemptTimeout[Reply](ctx, c, attemptTimeout, method, args)
}

// CallWithAttemptTimeout is Call with a bound of its own on each attempt, for long polls.
func CallWithAttemptTimeout[Reply any](ctx context.Context, c *LeaderClient, attempt time.Duration, method string, args any) (*Reply, error) {
	var last error
	sent := false
	for tries := 0; ctx.Err() == nil; tries++ {
		if tries > 0 && tries%(len(c.addresses)+1) == 0 {
			pause(ctx, retryDelay)
		}
		address := c.pick()
		reply := new(Reply)
		err := callOnce(ctx, c.caller, attempt, address, method, args, reply)
		if err == nil {
			c.remember(address)
			return reply, nil
		}
		if final := c.failed(address, err); final {
			return nil, err
		}
		sent = sent || kind.Is(err, kind.UnknownOutcome)
		last = err
	}
	return nil, exhausted(ctx, method, sent, last)
}

func callOnce(ctx context.Context, caller Caller, attempt time.Duration, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, attempt)
	defer cancel()
	return caller.Call(ctx, address, method, args, reply)
}

func exhausted(ctx context.Context, method string, sent bool, last error) error {
	if last == nil {
		last = ctx.Err()
	}
	if sent {
		return kind.Errorf(kind.UnknownOutcome, "%s: sent to the control group and not answered: %w", method, last)
	}
	return kind.Errorf(kind.NoQuorum, "%s: no leader found in the control group: %w", method, last)
}

// failed notes a failed attempt and reports whether err is the final answer.
func (c *LeaderClient) failed(address string, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch kind.Of(err) {
	case kind.NotLeader:
		hint := kind.Parse(err.Error()).Detail
		if hint != "" && hint != address {
			c.leader = hint
			return false
		}
	case kind.Unreachable, kind.UnknownOutcome, kind.NoQuorum, kind.Stopping:
	default:
		return true
	}
	if c.leader == address {
		c.leader = ""
	}
	return false
}

func (c *LeaderClient) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	address := c.addresses[c.next%len(c.addresses)]
	c.next++
	return address
}

func (c *LeaderClient) remember(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
