package proxy_test

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/proxy"
	"mangohill.example/mangohill/types"
)

func TestSlotsAndConnectionsHoldAcrossAllHosts(t *testing.T) {
	hosts := startHosts(t, 3, proxy.Options{})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1", Slots: 4, Connections: 9, Delay: 2 * time.Millisecond})
	waitForTargets(t, hosts, 1)
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	for i := range 60 {
		wait.Go(func() {
			for range 10 {
				method := []string{http.MethodGet, http.MethodPost}[i%2]
				got := ask(hosts[i%3], method, "/v1/services/quote/", nil, nil)
				mu.Lock()
				outcomes[got.outcome()]++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	assert.Equal(t, 600, outcomes["done"], outcomes)
	assert.LessOrEqual(t, target.PeakInFlight(), 4)
	assert.LessOrEqual(t, target.PeakConnections(), 9)
}

func TestHostsBorrowSlotsUnderSkew(t *testing.T) {
	hops := new(expvar.Int)
	hosts := startHosts(t, 3, proxy.Options{Metrics: proxy.Metrics{Hops: hops}})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1", Slots: 9, Connections: 30, Delay: 20 * time.Millisecond})
	waitForTargets(t, hosts, 1)
	var wait sync.WaitGroup
	for range 30 {
		wait.Go(func() {
			for range 5 {
				got := ask(hosts[0], http.MethodPost, "/v1/services/quote/", []byte("x"), nil)
				assert.Equal(t, "done", got.outcome(), string(got.body))
			}
		})
	}
	wait.Wait()
	assert.Equal(t, 150, target.TotalRuns())
	assert.NotZero(t, hops.Value())
	assert.Greater(t, target.PeakInFlight(), 3, "more than the host's own share was used")
	assert.LessOrEqual(t, target.PeakInFlight(), 9)
}

// One of three hosts holds the only slot. The others must forward each request to
// it, the request must run once, and a caller must not be able to forge a hop.
func TestHostWithoutASlotHandsTheRequestOverOnce(t *testing.T) {
	hosts := startHosts(t, 3, proxy.Options{})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1", Slots: 1})
	waitForTargets(t, hosts, 1)
	for i, h := range hosts {
		require.Eventually(t, func() bool {
			got := ask(h, http.MethodPost, "/v1/services/quote/a%2Fb", []byte("x"), shortTimeoutHeaders(fmt.Sprint("r", i), "false"))
			return got.outcome() == "done" && got.header.Get(proxy.HeaderTarget) == "t1" && got.header.Get("X-Path") == "/a%2Fb"
		}, 10*time.Second, 10*time.Millisecond)
		assert.Equal(t, 1, target.Runs(fmt.Sprint("r", i)))
	}
	before := target.TotalRuns()
	for _, h := range hosts {
		forged := ask(h, http.MethodPost, "/v1/services/quote/", nil, http.Header{proxy.HeaderHop: {"1f"}})
		assert.Equal(t, "not-run", forged.outcome(), "a caller cannot forge a hop")
	}
	assert.Equal(t, before, target.TotalRuns())
}

// An entry host dies after it confirmed that a target leaves. The other hosts must
// not send that target new requests.
func TestLeavingTargetGetsNothingNewThoughTheHostItToldDies(t *testing.T) {
	hosts := startHosts(t, 3, proxy.Options{})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1", Slots: 6})
	waitForTargets(t, hosts, 1)
	for _, h := range hosts {
		require.Eventually(t, func() bool {
			return ask(h, http.MethodGet, "/v1/services/quote/", nil, nil).outcome() == "done"
		}, 10*time.Second, 10*time.Millisecond)
	}
	record := target.Record()
	record.State = types.TargetLeaving
	require.NoError(t, hosts[0].registry.Announce(context.Background(), record))
	hosts[0].kill()
	before := target.TotalRuns()
	for _, h := range hosts[1:] {
		got := ask(h, http.MethodGet, "/v1/services/quote/", nil, nil)
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Equal(t, "not-run", got.outcome())
	}
	assert.Equal(t, before, target.TotalRuns())
}

func TestRequestsContinueWhenAnEntryHostDies(t *testing.T) {
	hosts := startHosts(t, 3, proxy.Options{})
	startTarget(t, hosts[1:], fake.TargetOptions{Name: "t1", Slots: 1})
	waitForTargets(t, hosts, 1)
	hosts[2].kill()
	hosts[1].kill()
	require.Eventually(t, func() bool {
		return ask(hosts[0], http.MethodGet, "/v1/services/quote/", nil, nil).outcome() == "done"
	}, 10*time.Second, 20*time.Millisecond)
}

// fakeClaimer keeps claims in memory in place of the replicated state.
type fakeClaimer struct {
	mu      sync.Mutex
	tokens  map[string]string
	digests map[string]uint64
	results map[string]controlapi.ClaimResult
	// down makes every claim fail; lost makes it fail after it took effect.
	down, lost bool
}

func newFakeClaimer() *fakeClaimer {
	return &fakeClaimer{tokens: map[string]string{}, digests: map[string]uint64{}, results: map[string]controlapi.ClaimResult{}}
}

func (c *fakeClaimer) Claim(_ context.Context, args controlapi.ClaimArgs) (controlapi.ClaimReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token, held := c.tokens[args.Key]
	if c.lost && !held {
		c.tokens[args.Key], c.digests[args.Key] = args.Token, args.Digest
	}
	if c.down || c.lost {
		return controlapi.ClaimReply{}, kind.Errorf(kind.UnknownOutcome, "no answer")
	}
	switch {
	case !held:
		c.tokens[args.Key], c.digests[args.Key] = args.Token, args.Digest
		return controlapi.ClaimReply{State: controlapi.ClaimGranted}, nil
	case c.digests[args.Key] != args.Digest:
		return controlapi.ClaimReply{State: controlapi.ClaimMismatch}, nil
	case token == args.Token:
		return controlapi.ClaimReply{State: controlapi.ClaimGranted}, nil
	}
	if result, ok := c.results[args.Key]; ok {
		return controlapi.ClaimReply{State: controlapi.ClaimResolved, Result: result}, nil
	}
	return controlapi.ClaimReply{State: controlapi.ClaimHeld}, nil
}

func (c *fakeClaimer) Resolve(_ context.Context, args controlapi.ResolveArgs) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tokens[args.Key] != args.Token {
		return nil
	}
	if args.Result.Outcome == string(kind.OutcomeNotRun) {
		delete(c.tokens, args.Key)
		return nil
	}
	c.results[args.Key] = args.Result
	return nil
}

func claimHeaders(id, key string) http.Header {
	return http.Header{proxy.HeaderRequestID: {id}, proxy.HeaderIdempotencyKey: {key}, proxy.HeaderTimeout: {"1000"}}
}

// Callers send one request with the same key through two hosts at the same time.
// It must run once, and the key must be refused for a different request.
func TestKeyRunsOnceThroughTwoHosts(t *testing.T) {
	state := newFakeClaimer()
	hosts := startHosts(t, 2, proxy.Options{Claimer: state})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1", Delay: 20 * time.Millisecond})
	waitForTargets(t, hosts, 1)
	var wait sync.WaitGroup
	answers := make([]reply, 16)
	for i := range answers {
		wait.Go(func() {
			answers[i] = ask(hosts[i%2], http.MethodPost, "/v1/services/quote/book", []byte("field 7"), claimHeaders(fmt.Sprint("r", i), "k1"))
		})
	}
	wait.Wait()
	done := 0
	for _, got := range answers {
		if got.outcome() == "done" {
			done++
			assert.Equal(t, "field 7", string(got.body))
			continue
		}
		assert.Equal(t, http.StatusConflict, got.status)
		assert.Contains(t, string(got.body), "already_claimed")
	}
	assert.GreaterOrEqual(t, done, 1)
	assert.Equal(t, 1, target.TotalRuns())

	again := ask(hosts[1], http.MethodPost, "/v1/services/quote/book", []byte("field 7"), claimHeaders("again", "k1"))
	assert.Equal(t, "done", again.outcome())
	assert.Equal(t, "field 7", string(again.body))
	other := ask(hosts[0], http.MethodPost, "/v1/services/quote/book", []byte("field 8"), claimHeaders("other", "k1"))
	assert.Equal(t, http.StatusConflict, other.status)
	assert.Equal(t, "not-run", other.outcome())
	assert.Equal(t, 1, target.TotalRuns())
}

// A target runs a claimed request and closes the connection without an answer. A
// resend must report the outcome as unknown and must not run the request again.
func TestUnknownEndOfAKeyStaysUnknown(t *testing.T) {
	state := newFakeClaimer()
	hosts := startHosts(t, 2, proxy.Options{Claimer: state})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1"})
	waitForTargets(t, hosts, 1)
	target.SetBehavior(fake.CloseEarly, 0)
	first := ask(hosts[0], http.MethodPost, "/v1/services/quote/book", []byte("x"), claimHeaders("a", "k"))
	target.SetBehavior(fake.Answer, 0)
	second := ask(hosts[1], http.MethodPost, "/v1/services/quote/book", []byte("x"), claimHeaders("b", "k"))
	assert.Equal(t, "unknown", first.outcome())
	assert.Equal(t, "unknown", second.outcome())
	assert.Equal(t, http.StatusConflict, second.status)
	assert.Equal(t, 1, target.TotalRuns())
}

// If the key cannot be claimed, the request must not be sent. A claim that was
// granted although its answer was lost must be released, or the key stays blocked.
func TestKeyWithoutAClaimIsNotSent(t *testing.T) {
	state := newFakeClaimer()
	state.down = true
	hosts := startHosts(t, 1, proxy.Options{Claimer: state})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1"})
	waitForTargets(t, hosts, 1)
	got := ask(hosts[0], http.MethodPost, "/v1/services/quote/book", []byte("x"), claimHeaders("a", "k"))
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, "not-run", got.outcome())
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	plain := ask(hosts[0], http.MethodPost, "/v1/services/quote/book", []byte("x"), nil)
	assert.Equal(t, "done", plain.outcome(), "requests without a key need no claim")
	assert.Equal(t, 1, target.TotalRuns())
	state.loseGrants(true)
	lost := ask(hosts[0], http.MethodPost, "/v1/services/quote/book", []byte("x"), claimHeaders("b", "k"))
	assert.Equal(t, "not-run", lost.outcome())
	state.loseGrants(false)
	require.Eventually(t, func() bool {
		got := ask(hosts[0], http.MethodPost, "/v1/services/quote/book", []byte("x"), claimHeaders("c", "k"))
		return got.outcome() == "done"
	}, 10*time.Second, 10*time.Millisecond, "a claim whose grant was lost is released")
	assert.Equal(t, 2, target.TotalRuns())
}

func (c *fakeClaimer) loseGrants(lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down, c.lost = false, lost
}
