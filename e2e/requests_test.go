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

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	body    string
	err     error
}

func (c *cluster) request(entry int, method, service, key, body string) answer {
	request, err := http.NewRequest(method, c.callers(entry)+"/v1/services/"+service+"/work", strings.NewReader(body))
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

// targets starts stand-in targets that announce themselves to entry host 0 only.
func (c *cluster) targets(service string, count int, delay time.Duration) []*fake.Target {
	var list []*fake.Target
	for i := range count {
		target, err := fake.StartTarget(fake.TargetOptions{
			Name:        fmt.Sprintf("%s-%d", service, i+1),
			Service:     service,
			Incarnation: 1,
			Platforms:   []string{c.host("entry", 0) + ":8081"},
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
			reply, err := c.try(i, uuid.NewString(), "show targets where state = ready", "")
			return err == nil && len(reply.Rows) >= count && c.ready(i)
		})
	}
}

func (c *cluster) ready(i int) bool {
	response, err := client.Get(c.operators(i) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // Only the status counts.
	return response.StatusCode == http.StatusOK
}

func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.targets("quote", 4, time.Millisecond)
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Go(func() {
			body := fmt.Sprintf("caller %d %s", i, strings.Repeat("x", i*37))
			got := c.request(1, http.MethodPut, "quote", "", body)
			if assert.NoError(t, got.err) && assert.Equal(t, "done", got.outcome, got.body) {
				assert.Equal(t, body, got.body)
			}
		})
	}
	wait.Wait()
}

// A booking whose entry host dies while it runs is not run again by a resend
// through another entry host.
func TestBookingRunsOnceAcrossAnEntryCrash(t *testing.T) {
	c := newCluster(t, 3, 2)
	targets := c.targets("booking", 2, 0)
	for _, target := range targets {
		target.SetBehavior(fake.Hang, 0)
	}
	key := uuid.NewString()
	first := make(chan answer, 1)
	go func() { first <- c.request(0, http.MethodPost, "booking", key, "chamber 2") }()
	runs := func() int { return targets[0].Runs(key) + targets[1].Runs(key) }
	c.eventually("the booking runs", func() bool { return runs() == 1 })
	c.entries[0].kill()
	assert.Error(t, (<-first).err)
	for _, target := range targets {
		target.SetBehavior(fake.Answer, 0)
	}
	again := c.request(1, http.MethodPost, "booking", key, "chamber 2")
	require.NoError(t, again.err)
	assert.Equal(t, http.StatusConflict, again.status, again.body)
	assert.Contains(t, again.body, "already_claimed")
	assert.Equal(t, "unknown", again.outcome)
	other := c.request(1, http.MethodPost, "booking", key, "another booking under the same key")
	assert.NotEqual(t, "done", other.outcome)
	assert.Equal(t, 1, runs())
}

// The stored outcome of a booking is returned to a resend through any entry
// host.
func TestResendOfADoneBookingGetsItsOutcome(t *testing.T) {
	c := newCluster(t, 1, 2)
	targets := c.targets("booking", 2, 0)
	key := uuid.NewString()
	first := c.request(0, http.MethodPost, "booking", key, "field 7")
	require.NoError(t, first.err)
	require.Equal(t, "done", first.outcome, first.body)
	again := c.request(1, http.MethodPost, "booking", key, "field 7")
	assert.Equal(t, first, again)
	assert.Equal(t, 1, targets[0].Runs(key)+targets[1].Runs(key))
}

// A planned stop of an entry host cuts off no request in flight.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.targets("quote", 2, 300*time.Millisecond)
	answers := make(chan answer, 8)
	for i := range 8 {
		go func() { answers <- c.request(1, http.MethodPut, "quote", "", fmt.Sprintf("request %d", i)) }()
	}
	c.eventually("all requests are under way", func() bool { return c.counter(1, "requests") == 8 })
	code := c.entries[1].stop()
	for range 8 {
		got := <-answers
		assert.NoError(t, got.err)
		assert.Equal(t, "done", got.outcome, got.body)
	}
	assert.Equal(t, 0, code)
}

// A leaving target gets nothing new from any entry host once its announcement
// was answered, also if the entry host that it told dies at once.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	c := newCluster(t, 1, 3)
	targets := c.targets("quote", 2, 0)
	require.NoError(t, targets[0].Leave(context.Background()))
	c.entries[0].signal(syscall.SIGKILL)
	before := targets[0].TotalRuns()
	for i := range 100 {
		got := c.request(1+i%2, http.MethodPut, "quote", "", "quote")
		assert.Equal(t, "done", got.outcome, got.body)
	}
	assert.Equal(t, before, targets[0].TotalRuns())
	assert.GreaterOrEqual(t, targets[1].TotalRuns(), 100)
}
