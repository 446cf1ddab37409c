package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/fake"
)

// answer is the response to one request, or the error that the caller got.
type answer struct {
	status  int
	outcome string
	body    string
	err     error
}

func (c *cluster) sendRequest(entry int, method, service, key, body string) answer {
	request, err := http.NewRequest(method, c.callerURL(entry)+"/v1/services/"+service+"/work", strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Mangohill-Timeout-Ms", "8000")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
		request.Header.Set("Mangohill-Request-Id", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get("Mangohill-Outcome"), string(data), err}
}

// startTargets starts simulated targets that announce themselves to entry host 0
// only, and waits until every entry host knows them.
func (c *cluster) startTargets(service string, count int, delay time.Duration) []*fake.Target {
	var list []*fake.Target
	for i := range count {
		target, err := fake.StartTarget(fake.TargetOptions{
			Name:        fmt.Sprintf("%s-%d", service, i+1),
			Service:     service,
			Incarnation: 1,
			Platforms:   []string{c.ip("entry", 0) + ":8081"},
			Delay:       delay,
		})
		require.NoError(c.t, err)
		c.t.Cleanup(target.Stop)
		list = append(list, target)
	}
	c.awaitTargets(count)
	return list
}

func (c *cluster) awaitTargets(count int) {
	for i := range c.entries {
		c.eventually("targets ready at every entry host", func() bool {
			reply, err := c.sendCommand(i, uuid.NewString(), "show targets where state = ready", "")
			return err == nil && len(reply.Rows) >= count && c.ready(i)
		})
	}
}

func (c *cluster) ready(i int) bool {
	response, err := client.Get(c.operatorURL(i) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // Only the status is used.
	return response.StatusCode == http.StatusOK
}

// 200 concurrent callers share the connections to the targets. No caller may get
// another's answer.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.startTargets("quote", 4, time.Millisecond)
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Go(func() {
			body := fmt.Sprintf("caller %d %s", i, strings.Repeat("x", i*37))
			got := c.sendRequest(1, http.MethodPut, "quote", "", body)
			if assert.NoError(t, got.err) && assert.Equal(t, "done", got.outcome, got.body) {
				assert.Equal(t, body, got.body)
			}
		})
	}
	wait.Wait()
}

// An entry host crashes while a booking runs. A resend through another entry host
// must not run the booking again.
func TestBookingRunsOnceAcrossAnEntryCrash(t *testing.T) {
	c := newCluster(t, 3, 2)
	targets := c.startTargets("booking", 2, 0)
	for _, target := range targets {
		target.SetBehavior(fake.Hang, 0)
	}
	key := uuid.NewString()
	first := make(chan answer, 1)
	go func() { first <- c.sendRequest(0, http.MethodPost, "booking", key, "chamber 2") }()
	runs := func() int { return targets[0].Runs(key) + targets[1].Runs(key) }
	c.eventually("the booking runs", func() bool { return runs() == 1 })
	c.entries[0].kill()
	assert.Error(t, (<-first).err)
	for _, target := range targets {
		target.SetBehavior(fake.Answer, 0)
	}
	again := c.sendRequest(1, http.MethodPost, "booking", key, "chamber 2")
	require.NoError(t, again.err)
	assert.Equal(t, http.StatusConflict, again.status, again.body)
	assert.Contains(t, again.body, "already_claimed")
	assert.Equal(t, "unknown", again.outcome)
	other := c.sendRequest(1, http.MethodPost, "booking", key, "another booking under the same key")
	assert.NotEqual(t, "done", other.outcome)
	assert.Equal(t, 1, runs())
}

// A resend of a completed booking through another entry host must return the
// stored outcome.
func TestResendOfADoneBookingGetsItsOutcome(t *testing.T) {
	c := newCluster(t, 1, 2)
	targets := c.startTargets("booking", 2, 0)
	key := uuid.NewString()
	first := c.sendRequest(0, http.MethodPost, "booking", key, "field 7")
	require.NoError(t, first.err)
	require.Equal(t, "done", first.outcome, first.body)
	again := c.sendRequest(1, http.MethodPost, "booking", key, "field 7")
	assert.Equal(t, first, again)
	assert.Equal(t, 1, targets[0].Runs(key)+targets[1].Runs(key))
}

// A graceful stop of an entry host must not interrupt requests in flight.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.startTargets("quote", 2, 300*time.Millisecond)
	answers := make(chan answer, 8)
	for i := range 8 {
		go func() { answers <- c.sendRequest(1, http.MethodPut, "quote", "", fmt.Sprintf("request %d", i)) }()
	}
	c.eventually("all requests are in flight", func() bool { return c.counter(1, "requests") == 8 })
	code := c.entries[1].stop()
	for range 8 {
		got := <-answers
		assert.NoError(t, got.err)
		assert.Equal(t, "done", got.outcome, got.body)
	}
	assert.Equal(t, 0, code)
}

// Once the leave announcement of a target is answered, no entry host may send it a
// new request, even if the entry host that answered crashes right afterwards.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	c := newCluster(t, 1, 3)
	targets := c.startTargets("quote", 2, 0)
	require.NoError(t, targets[0].Leave(context.Background()))
	c.entries[0].signal(syscall.SIGKILL)
	before := targets[0].TotalRuns()
	for i := range 100 {
		got := c.sendRequest(1+i%2, http.MethodPut, "quote", "", "quote")
		assert.Equal(t, "done", got.outcome, got.body)
	}
	assert.Equal(t, before, targets[0].TotalRuns())
	assert.GreaterOrEqual(t, targets[1].TotalRuns(), 100)
}
