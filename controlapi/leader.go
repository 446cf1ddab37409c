package controlapi

import (
	"context"
	"sync"
	"time"

	"mangohill.example/mangohill/kind"
)

const (
	// attemptTimeout bounds a call to one control process unless the deadline of the
	// context is earlier.
	attemptTimeout = 1500 * time.Millisecond
	// retryDelay is the delay after calls to all control processes failed.
	retryDelay = 50 * time.Millisecond
)

// Caller sends one RPC to one address. rpcclient.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// LeaderClient calls the leader of the control group. It follows not_leader hints and
// tries the other control processes in turn. The methods of the control service are
// idempotent, so the client repeats a call until it gets a reply or the context ends.
type LeaderClient struct {
	caller    Caller
	addresses []string
	mu        sync.Mutex
	leader    string
	nextIndex int
}

// NewLeaderClient returns a client for the control processes at addresses.
func NewLeaderClient(caller Caller, addresses []string) *LeaderClient {
	return &LeaderClient{caller: caller, addresses: addresses}
}

// Call invokes method at the leader. ctx should have a deadline. Every attempt has a
// reply of its own, since a late reply to an earlier attempt may still be written.
//
// The error is of kind no_quorum if no leader was found and no attempt may have
// reached one, unknown_outcome if an attempt was sent and got no reply, or of the kind
// that the leader returned.
func Call[Reply any](ctx context.Context, c *LeaderClient, method string, args any) (*Reply, error) {
	return CallWithAttemptTimeout[Reply](ctx, c, attemptTimeout, method, args)
}

// CallWithAttemptTimeout is like Call, but each attempt ends after timeout. Long polls
// use it.
func CallWithAttemptTimeout[Reply any](ctx context.Context, c *LeaderClient, timeout time.Duration, method string, args any) (*Reply, error) {
	var lastErr error
	sent := false
	for attempts := 0; ctx.Err() == nil; attempts++ {
		if attempts > 0 && attempts%(len(c.addresses)+1) == 0 {
			sleep(ctx, retryDelay)
		}
		address := c.nextAddress()
		reply := new(Reply)
		err := callOnce(ctx, c.caller, timeout, address, method, args, reply)
		if err == nil {
			c.setLeader(address)
			return reply, nil
		}
		sent = sent || kind.Is(err, kind.UnknownOutcome)
		lastErr = err
		if ctx.Err() != nil && (kind.Is(err, kind.UnknownOutcome) || kind.Is(err, kind.Unreachable)) {
			break // The caller ended the attempt, which says nothing about the leader.
		}
		if isFinal := c.handleFailure(address, err); isFinal {
			return nil, err
		}
	}
	return nil, noReplyError(ctx, method, sent, lastErr)
}

func callOnce(ctx context.Context, caller Caller, timeout time.Duration, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return caller.Call(ctx, address, method, args, reply)
}

func noReplyError(ctx context.Context, method string, sent bool, lastErr error) error {
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	if sent {
		return kind.Errorf(kind.UnknownOutcome, "%s: sent to the control group and not answered: %w", method, lastErr)
	}
	return kind.Errorf(kind.NoQuorum, "%s: no leader found in the control group: %w", method, lastErr)
}

// handleFailure updates the known leader after a failed attempt. It reports whether err
// is final, so that the call must not be repeated.
func (c *LeaderClient) handleFailure(address string, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch kind.Of(err) {
	case kind.NotLeader:
		leader := kind.Parse(err.Error()).Detail
		if leader != "" && leader != address {
			c.leader = leader
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

func (c *LeaderClient) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	address := c.addresses[c.nextIndex%len(c.addresses)]
	c.nextIndex++
	return address
}

func (c *LeaderClient) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
