package coordinator

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/boottime"
	"mangohill.example/mangohill/kind"
)

// unreachablePeers is a controlapi.Caller that answers no call.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, string, string, any, any) error {
	return kind.Errorf(kind.NoQuorum, "no answer")
}

// A call waits while an election may still be running. Once the group has been
// leaderless for longer than electionGracePeriod, it must fail without waiting.
func TestCallsAreRefusedAtOnceWithoutAQuorum(t *testing.T) {
	c := NewClient(ClientOptions{Seeds: []string{"a:1"}, Caller: unreachablePeers{}, Logger: zerolog.Nop()})
	waitsForLeader := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*retryDelay)
		defer cancel()
		_, err := c.Do(ctx, &Call{ReadCatalog: true})
		require.True(t, kind.Is(err, kind.NoQuorum), "%v", err)
		return ctx.Err() != nil
	}
	assert.True(t, waitsForLeader(), "the call waits while a leader may be elected")
	c.leaderlessSince = boottime.Now().Add(-2 * electionGracePeriod)
	assert.False(t, waitsForLeader())
	c.followLeader("a:1")
	c.loseLeader(0)
	assert.True(t, waitsForLeader(), "the call waits because the leader was lost only now")
}

// stubGroup is a controlapi.Caller for a group whose members answer polls from views
// and pass the calls to the leader on to the test.
type stubGroup struct {
	mu sync.Mutex
	// views holds the answers to polls by address. A member without one does not answer.
	views map[string]MembersReply
	// silent members answer polls neither in time nor later, until stopped is closed.
	silent  map[string]bool
	stopped chan struct{}
	calls   chan stubCall
}

// stubCall is a call to the leader that waits for its answer.
type stubCall struct {
	ctx    context.Context
	call   *Call
	answer chan error
}

func newStubGroup(views map[string]MembersReply) *stubGroup {
	return &stubGroup{views: views, silent: make(map[string]bool), stopped: make(chan struct{}), calls: make(chan stubCall, 16)}
}

func (g *stubGroup) setView(address string, view MembersReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.views[address] = view
}

func (g *stubGroup) remove(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.views, address)
}

func (g *stubGroup) Call(ctx context.Context, address, method string, args, reply any) error {
	if method == membersMethod {
		g.mu.Lock()
		view, answers := g.views[address]
		silent := g.silent[address]
		g.mu.Unlock()
		if silent {
			<-g.stopped
		}
		if !answers {
			return kind.Errorf(kind.Unreachable, "dial %s", address)
		}
		*reply.(*MembersReply) = view
		return nil
	}
	sent := stubCall{ctx: ctx, call: args.(*Call), answer: make(chan error, 1)}
	g.calls <- sent
	select {
	case err := <-sent.answer:
		return err
	case <-ctx.Done():
		return kind.Errorf(kind.UnknownOutcome, "%w", ctx.Err())
	}
}

func startStubClient(t *testing.T, g *stubGroup) *Client {
	c := NewClient(ClientOptions{Seeds: []string{"a:1", "b:1", "c:1"}, Caller: g, Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		close(g.stopped)
		<-stopped
	})
	require.Eventually(t, func() bool { return c.Leader() == "a:1" }, 10*time.Second, time.Millisecond)
	return c
}

// startCall makes a call in the background and returns the channel of its error.
func startCall(c *Client) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := c.Do(context.Background(), &Call{ReadCatalog: true})
		result <- err
	}()
	return result
}

func leaderView(leader string, term uint64, serving bool) MembersReply {
	return MembersReply{Leader: leader, Term: term, Addresses: []string{"a:1", "b:1", "c:1"}, HasCatalog: serving}
}

func stableViews() map[string]MembersReply {
	return map[string]MembersReply{"a:1": leaderView("a:1", 2, true), "b:1": leaderView("a:1", 2, false), "c:1": leaderView("a:1", 2, false)}
}

// Guards against calls that all fail because one of them did: a caller that leaves, or
// a call that reaches its deadline, says nothing about the leader, which must not be
// given up nor sent the other calls again.
func TestACallThatEndsDoesNotEndTheOthers(t *testing.T) {
	g := newStubGroup(stableViews())
	c := startStubClient(t, g)
	result := startCall(c)
	other := <-g.calls
	leavingCtx, leave := context.WithCancel(context.Background())
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, err := c.Do(leavingCtx, &Call{ReadCatalog: true})
		assert.True(t, kind.Is(err, kind.UnknownOutcome), "%v", err)
	}()
	<-g.calls
	leave()
	<-left
	assert.Equal(t, "a:1", c.Leader(), "the leader must be kept")
	require.NoError(t, other.ctx.Err(), "the other call must stay in flight")
	other.answer <- nil
	require.NoError(t, <-result)
	assert.Empty(t, g.calls, "the other call must be sent once")
}

// Guards against a busy leader that is given up, with all calls in flight, since it
// missed one poll: the other members know whether it still leads.
func TestALeaderThatOthersNameIsKept(t *testing.T) {
	g := newStubGroup(stableViews())
	c := startStubClient(t, g)
	result := startCall(c)
	inFlight := <-g.calls
	g.remove("a:1")
	time.Sleep(2 * pollInterval)
	assert.Equal(t, "a:1", c.Leader())
	require.NoError(t, inFlight.ctx.Err())

	g.setView("b:1", leaderView("b:1", 3, true))
	require.Eventually(t, func() bool { return c.Leader() == "b:1" }, 10*time.Second, time.Millisecond, "the leader of the highest term must be followed")
	<-inFlight.ctx.Done()
	again := <-g.calls
	again.answer <- nil
	require.NoError(t, <-result, "the call must be sent to the new leader")

	g.setView("b:1", leaderView("", 3, false))
	g.setView("c:1", leaderView("", 3, false))
	require.Eventually(t, func() bool { return c.Leader() == "" }, 10*time.Second, time.Millisecond, "a leader that nobody names is lost")
}

// Guards against a new leader that is found late because the client waits for a member
// that does not answer.
func TestANewLeaderIsFollowedBesideASilentMember(t *testing.T) {
	g := newStubGroup(map[string]MembersReply{"a:1": leaderView("a:1", 2, true), "b:1": leaderView("a:1", 2, false)})
	c := startStubClient(t, g)
	g.mu.Lock()
	g.silent["c:1"] = true
	delete(g.views, "a:1")
	g.mu.Unlock()
	time.Sleep(2 * pollInterval)
	g.setView("b:1", leaderView("b:1", 3, true))
	require.Eventually(t, func() bool { return c.Leader() == "b:1" }, 10*time.Second, time.Millisecond)
}

// Guards against a client that stays with a leader which is cut off from its quorum and
// does not know yet that there is a new one.
func TestALeaderWithoutAQuorumIsLeft(t *testing.T) {
	g := newStubGroup(stableViews())
	c := startStubClient(t, g)
	g.setView("a:1", leaderView("a:1", 2, false))
	g.setView("b:1", leaderView("b:1", 3, true))
	g.setView("c:1", leaderView("b:1", 3, false))
	require.Eventually(t, func() bool { return c.Leader() == "b:1" }, 10*time.Second, time.Millisecond)
}
