package e2e

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/fake"
)

// An entry host that was frozen while a target left must not send requests to that
// target when it resumes.
func TestResumedEntryHostSendsNothingToATargetThatLeft(t *testing.T) {
	c := newCluster(t, 1, 3)
	targets := c.startTargets("quote", 2, 0)
	for range 20 {
		require.Equal(t, "done", c.sendRequest(1, http.MethodPut, "quote", "", "warm").outcome)
	}
	c.entries[1].signal(syscall.SIGSTOP)
	require.NoError(t, targets[0].Leave(context.Background()))
	before := targets[0].TotalRuns()
	c.entries[1].signal(syscall.SIGCONT)
	for range 50 {
		got := c.sendRequest(1, http.MethodPut, "quote", "", "quote")
		assert.NoError(t, got.err)
		assert.Contains(t, []string{"done", "not-run"}, got.outcome, got.body)
	}
	c.eventually("the resumed entry host serves", func() bool {
		return c.sendRequest(1, http.MethodPut, "quote", "", "quote").outcome == "done"
	})
	assert.Equal(t, before, targets[0].TotalRuns())
}

// Established connections between an entry host and a target silently drop all
// data while new connections work. Callers of idempotent requests must still get
// their answers.
func TestSilentConnectionsToATargetAreNotSeen(t *testing.T) {
	c := newCluster(t, 1, 2)
	origin, err := fake.StartTarget(fake.TargetOptions{Name: "origin", Service: "quote"})
	require.NoError(t, err)
	t.Cleanup(origin.Stop)
	relay, err := fake.StartRelay(origin.Address())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	announcer, err := fake.StartTarget(fake.TargetOptions{
		Name: "quote-1", Service: "quote", AnnounceAddress: relay.Address(), Platforms: []string{c.ip("entry", 0) + ":8081"},
	})
	require.NoError(t, err)
	t.Cleanup(announcer.Stop)
	c.awaitTargets(1)
	for i := range 10 {
		require.Equal(t, "done", c.sendRequest(i%2, http.MethodPut, "quote", "", "warm").outcome)
	}
	opened := relay.Accepted()
	relay.BlackholeOpen()
	for i := range 10 {
		body := fmt.Sprintf("quote %d", i)
		got := c.sendRequest(i%2, http.MethodPut, "quote", "", body)
		require.NoError(t, got.err)
		assert.Equal(t, "done", got.outcome, got.body)
		assert.Equal(t, body, got.body)
	}
	assert.Greater(t, relay.Accepted(), opened, "new connections must have been opened")
}
