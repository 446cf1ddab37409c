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

// An entry host that was stopped while a target left sends nothing to it when it
// goes on.
func TestResumedEntryHostSendsNothingToATargetThatLeft(t *testing.T) {
	c := newCluster(t, 1, 3)
	targets := c.targets("quote", 2, 0)
	for range 20 {
		require.Equal(t, "done", c.request(1, http.MethodPut, "quote", "", "warm").outcome)
	}
	c.entries[1].signal(syscall.SIGSTOP)
	require.NoError(t, targets[0].Leave(context.Background()))
	before := targets[0].TotalRuns()
	c.entries[1].signal(syscall.SIGCONT)
	for range 50 {
		got := c.request(1, http.MethodPut, "quote", "", "quote")
		assert.NoError(t, got.err)
		assert.Contains(t, []string{"done", "not-run"}, got.outcome, got.body)
	}
	c.eventually("the resumed entry host serves", func() bool {
		return c.request(1, http.MethodPut, "quote", "", "quote").outcome == "done"
	})
	assert.Equal(t, before, targets[0].TotalRuns())
}

// Connections between an entry host and a target that go silent while new ones
// work cost no caller of an idempotent request its answer.
func TestSilentConnectionsToATargetAreNotSeen(t *testing.T) {
	c := newCluster(t, 1, 2)
	origin, err := fake.StartTarget(fake.TargetOptions{Name: "origin", Service: "quote"})
	require.NoError(t, err)
	t.Cleanup(origin.Stop)
	relay, err := fake.StartRelay(origin.Address())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	announcer, err := fake.StartTarget(fake.TargetOptions{
		Name: "quote-1", Service: "quote", AnnounceAddress: relay.Address(), Platforms: []string{c.host("entry", 0) + ":8081"},
	})
	require.NoError(t, err)
	t.Cleanup(announcer.Stop)
	c.awaitTargets(1)
	for i := range 10 {
		require.Equal(t, "done", c.request(i%2, http.MethodPut, "quote", "", "warm").outcome)
	}
	opened := relay.Accepted()
	relay.BlackholeOpen()
	for i := range 10 {
		body := fmt.Sprintf("quote %d", i)
		got := c.request(i%2, http.MethodPut, "quote", "", body)
		require.NoError(t, got.err)
		assert.Equal(t, "done", got.outcome, got.body)
		assert.Equal(t, body, got.body)
	}
	assert.Greater(t, relay.Accepted(), opened, "fresh connections were opened")
}
