package proxy_test

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/proxy"
)

// faults are the failures of a target, each with the number of executions and
// the outcome of a request that may not run twice.
var faults = []struct {
	name     string
	behavior fake.Behavior
	runs     int
	outcome  string
}{
	{"refuse", fake.RefuseRun, 0, "not-run"},
	{"truncate", fake.Truncate, 1, "unknown"},
	{"hang", fake.Hang, 1, "unknown"},
	{"hang in the body", fake.HangMidBody, 1, "unknown"},
	{"close early", fake.CloseEarly, 1, "unknown"},
	{"close without reading", fake.CloseUnread, 0, "unknown"},
	{"wrong request ID", fake.WrongRequestID, 1, "unknown"},
	{"no length", fake.CloseDelimited, 1, "unknown"},
	{"duplicate answer", fake.DuplicateResponse, 1, "done"},
	{"internal error", fake.InternalError, 1, "done"},
}

func shortTimeoutHeaders(id, idempotent string) http.Header {
	return http.Header{
		proxy.HeaderRequestID: {id}, proxy.HeaderIdempotent: {idempotent}, proxy.HeaderTimeout: {"400"},
	}
}

func TestNonIdempotentRequestIsSentOnceUnderEachFault(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1"})
	waitForTargets(t, hosts, 1)
	for i, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			target.SetBehavior(fault.behavior, 0)
			id := fmt.Sprintf("booking-%d", i)
			got := ask(hosts[0], http.MethodPost, "/v1/services/quote/book", []byte("booking"), shortTimeoutHeaders(id, "false"))
			require.NoError(t, got.err)
			assert.Equal(t, fault.runs, target.Runs(id))
			assert.Equal(t, fault.outcome, got.outcome(), string(got.body))
			if fault.behavior != fake.RefuseRun {
				assert.Equal(t, "1", got.header.Get(proxy.HeaderAttempts))
			}
			if got.status == http.StatusServiceUnavailable {
				assert.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}

func TestIdempotentRequestReachesAnotherTargetUnderEachFault(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{})
	bad := startTarget(t, hosts, fake.TargetOptions{Name: "bad"})
	good := startTarget(t, hosts, fake.TargetOptions{Name: "good"})
	waitForTargets(t, hosts, 2)
	for i, fault := range faults {
		if fault.outcome == "done" || fault.behavior == fake.Hang || fault.behavior == fake.HangMidBody {
			continue // Either answered, or abandoned only after the silence timeout, which another test covers.
		}
		t.Run(fault.name, func(t *testing.T) {
			bad.SetBehavior(fault.behavior, 0)
			for n := range 4 {
				id := fmt.Sprintf("quote-%d-%d", i, n)
				got := ask(hosts[0], http.MethodPut, "/v1/services/quote/ask", []byte(id), shortTimeoutHeaders(id, "true"))
				require.NoError(t, got.err)
				assert.Equal(t, "done", got.outcome(), string(got.body))
				assert.Equal(t, id, string(got.body))
				assert.Equal(t, "good", got.header.Get(proxy.HeaderTarget))
				assert.LessOrEqual(t, bad.Runs(id)+good.Runs(id), 2)
			}
		})
	}
}

// A target that fails fast always has free slots. If its failures did not count
// against it, it would attract most of the requests.
func TestTargetThatFailsQuicklyDrawsNoMoreRequests(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{})
	bad := startTarget(t, hosts, fake.TargetOptions{Name: "bad"})
	good := startTarget(t, hosts, fake.TargetOptions{Name: "good"})
	waitForTargets(t, hosts, 2)
	bad.SetBehavior(fake.InternalError, 0)
	for range 200 {
		ask(hosts[0], http.MethodPost, "/v1/services/quote/", nil, nil)
	}
	assert.Equal(t, 200, bad.TotalRuns()+good.TotalRuns())
	assert.Less(t, bad.TotalRuns(), 50)
}

// A target sends its answer twice. The second copy must not be read as the answer
// to the next request on the same connection.
func TestDoubledAnswerReachesNoOtherRequest(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1"})
	waitForTargets(t, hosts, 1)
	for n := range 20 {
		target.SetBehavior(fake.DuplicateResponse, 0)
		first := ask(hosts[0], http.MethodPut, "/v1/services/quote/", []byte("first"), shortTimeoutHeaders(fmt.Sprint("a", n), "true"))
		target.SetBehavior(fake.Answer, 0)
		second := ask(hosts[0], http.MethodPut, "/v1/services/quote/", []byte("second"), shortTimeoutHeaders(fmt.Sprint("b", n), "true"))
		assert.Equal(t, "first", string(first.body))
		assert.Equal(t, "second", string(second.body))
	}
}

// The last failure of an idempotent request may be that no other target is
// left. The outcome must still be unknown if its first send may have run.
func TestRequestThatMayHaveRunIsNeverNotRun(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{})
	first := startTarget(t, hosts, fake.TargetOptions{Name: "t1"})
	second := startTarget(t, hosts, fake.TargetOptions{Name: "t2"})
	waitForTargets(t, hosts, 2)
	first.SetBehavior(fake.CloseEarly, 0)
	second.SetBehavior(fake.RefuseRun, 0)
	for i := range 8 {
		id := fmt.Sprintf("quote-%d", i)
		got := ask(hosts[0], http.MethodPut, "/v1/services/quote/", []byte("x"), shortTimeoutHeaders(id, "true"))
		require.NoError(t, got.err)
		if first.Runs(id) > 0 {
			assert.Equal(t, "unknown", got.outcome(), string(got.body))
		}
	}
	assert.NotZero(t, first.TotalRuns())
}

func TestUnreachableTargetIsNotRun(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1", AnnounceAddress: "127.0.0.1:1"})
	waitForTargets(t, hosts, 1)
	got := ask(hosts[0], http.MethodPost, "/v1/services/quote/", []byte("x"), shortTimeoutHeaders("r", "false"))
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, "not-run", got.outcome())
	assert.Equal(t, "0", got.header.Get(proxy.HeaderAttempts))
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Zero(t, target.TotalRuns())
}

func TestLongAnswerIsStreamedAndItsBreakIsVisible(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{MaxBufferedAnswer: 1000})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1"})
	waitForTargets(t, hosts, 1)
	long := []byte(strings.Repeat("0123456789", 20_000))
	whole := ask(hosts[0], http.MethodPut, "/v1/services/quote/", long, shortTimeoutHeaders("r1", "true"))
	require.NoError(t, whole.err)
	assert.Equal(t, string(long), string(whole.body))
	assert.Equal(t, "done", whole.outcome())

	target.SetBehavior(fake.Truncate, 0)
	broken := ask(hosts[0], http.MethodPut, "/v1/services/quote/", long, shortTimeoutHeaders("r2", "true"))
	assert.Error(t, broken.err, "a short answer must not look complete")

	target.SetBehavior(fake.EndlessBody, 0)
	endless := ask(hosts[0], http.MethodPut, "/v1/services/quote/", long, shortTimeoutHeaders("r3", "true"))
	assert.Error(t, endless.err, "an answer cut at the deadline must not look complete")
	require.Eventually(t, func() bool { return target.InFlight() == 0 }, 10*time.Second, time.Millisecond)
}

// The only slot is held by a request that hangs. A queued request must be refused
// as not run once it cannot get a slot before its deadline.
func TestQueueHonoursTheDeadlineAndAnswersAtOnce(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1", Slots: 1})
	waitForTargets(t, hosts, 1)
	target.SetBehavior(fake.Hang, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go askContext(ctx, hosts[0], http.MethodPost, "/v1/services/quote/", nil, http.Header{proxy.HeaderTimeout: {"60000"}})
	require.Eventually(t, func() bool { return target.InFlight() == 1 }, 10*time.Second, time.Millisecond)
	got := ask(hosts[0], http.MethodPost, "/v1/services/quote/", nil, shortTimeoutHeaders("late", "false"))
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, "not-run", got.outcome())
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Zero(t, target.Runs("late"))
}

func TestCanceledRequestsFreeTheirSlots(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1", Slots: 4})
	waitForTargets(t, hosts, 1)
	target.SetBehavior(fake.Hang, 0)
	ctx, cancel := context.WithCancel(context.Background())
	var burst sync.WaitGroup
	for range 40 {
		burst.Go(func() {
			askContext(ctx, hosts[0], http.MethodPost, "/v1/services/quote/", nil, http.Header{proxy.HeaderTimeout: {"60000"}})
		})
	}
	require.Eventually(t, func() bool { return target.InFlight() == 4 }, 10*time.Second, time.Millisecond)
	cancel()
	burst.Wait()
	target.SetBehavior(fake.Answer, 0)
	require.Eventually(t, func() bool { return hosts[0].proxy.Loads()[0].Free == 4 }, 10*time.Second, time.Millisecond)
	got := ask(hosts[0], http.MethodPost, "/v1/services/quote/", []byte("next"), nil)
	assert.Equal(t, "next", string(got.body))
}

// Open connections drop all data while new ones work. An idempotent request must
// be resent on a new connection after the silence timeout; a non-idempotent one
// must never use an idle connection.
func TestSilentConnectionsAreGivenUpWithoutAVisibleFailure(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{})
	target := startTarget(t, nil, fake.TargetOptions{Name: "t1"})
	relay, err := fake.StartRelay(target.Address())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	record := target.Record()
	record.Address = relay.Address()
	hosts[0].proxy.SetTarget(record)
	for range 3 {
		got := ask(hosts[0], http.MethodGet, "/v1/services/quote/warm", nil, nil)
		require.Equal(t, "done", got.outcome(), string(got.body))
	}
	assert.EqualValues(t, 1, relay.Accepted(), "the connection is reused")
	relay.BlackholeOpen()
	booking := ask(hosts[0], http.MethodPost, "/v1/services/quote/book", []byte("b"), nil)
	assert.Equal(t, "done", booking.outcome(), "a fresh connection works")
	assert.Equal(t, "1", booking.header.Get(proxy.HeaderAttempts))
	// The booking's connection may be idle in the pool; silence it as well.
	relay.BlackholeOpen()
	quote := ask(hosts[0], http.MethodGet, "/v1/services/quote/ask", nil, http.Header{proxy.HeaderTimeout: {"2000"}})
	assert.Equal(t, "done", quote.outcome(), string(quote.body))
	assert.Equal(t, "2", quote.header.Get(proxy.HeaderAttempts))
}

func TestPlannedStopFinishesWhatIsUnderWay(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{})
	target := startTarget(t, hosts, fake.TargetOptions{Name: "t1", Delay: 300 * time.Millisecond})
	waitForTargets(t, hosts, 1)
	answers := make(chan reply, 1)
	go func() { answers <- ask(hosts[0], http.MethodPost, "/v1/services/quote/", []byte("last"), nil) }()
	require.Eventually(t, func() bool { return target.InFlight() == 1 }, 10*time.Second, time.Millisecond)
	stopped := make(chan int, 1)
	go func() {
		assert.NoError(t, hosts[0].proxy.Stop(context.Background()))
		stopped <- target.InFlight()
	}()
	require.Eventually(t, func() bool {
		got := ask(hosts[0], http.MethodPost, "/v1/services/quote/", nil, shortTimeoutHeaders("refused", "false"))
		return got.status == http.StatusServiceUnavailable && got.outcome() == "not-run"
	}, 10*time.Second, time.Millisecond)
	assert.Zero(t, <-stopped, "the stop waits for the request in flight")
	last := <-answers
	assert.Equal(t, "last", string(last.body))
	assert.Equal(t, "done", last.outcome())
}

func TestSlowRequestIsHedged(t *testing.T) {
	hedges := new(expvar.Int)
	hosts := startHosts(t, 1, proxy.Options{Metrics: proxy.Metrics{Hedges: hedges}})
	slow := startTarget(t, hosts, fake.TargetOptions{Name: "slow", Slots: 16})
	fast := startTarget(t, hosts, fake.TargetOptions{Name: "fast", Slots: 16})
	waitForTargets(t, hosts, 2)
	slow.SetBehavior(fake.Hang, 0)
	for n := range 6 {
		id := fmt.Sprintf("booking-%d", n)
		ask(hosts[0], http.MethodPost, "/v1/services/quote/", nil, shortTimeoutHeaders(id, "false"))
		assert.LessOrEqual(t, slow.Runs(id)+fast.Runs(id), 1, "a request that may not run twice is not hedged")
	}
	assert.Zero(t, hedges.Value())
	// The bookings may have caused a temporary ejection of the slow target.
	n := 0
	require.Eventually(t, func() bool {
		n++
		id := fmt.Sprintf("quote-%d", n)
		got := ask(hosts[0], http.MethodPut, "/v1/services/quote/", []byte(id), http.Header{
			proxy.HeaderRequestID: {id}, proxy.HeaderTimeout: {"60000"},
		})
		assert.Equal(t, "done", got.outcome(), string(got.body))
		assert.Equal(t, id, string(got.body))
		assert.LessOrEqual(t, slow.Runs(id)+fast.Runs(id), 2)
		return slow.Runs(id) == 1 && fast.Runs(id) == 1
	}, 10*time.Second, time.Millisecond)
	assert.NotZero(t, hedges.Value())
}
