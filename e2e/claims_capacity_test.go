//go:build capacity

package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// logSyncs returns the number of log appends that control process i has synced to
// disk.
func (c *cluster) logSyncs(i int) int64 {
	response, err := client.Get("http://" + c.ip("control", i) + ":8082/debug/vars")
	require.NoError(c.t, err)
	defer response.Body.Close()
	var vars struct {
		Control struct {
			Syncs int64 `json:"log_syncs"`
		}
	}
	require.NoError(c.t, json.NewDecoder(response.Body).Decode(&vars))
	return vars.Control.Syncs
}

// TestClaimCost prints the cost of claiming an idempotency key: the log syncs of
// the leader and the latency of requests with and without a key, for 1 and 200
// concurrent callers. It asserts only that each request runs once.
func TestClaimCost(t *testing.T) {
	useConfiguredBinaries()
	c := newCluster(t, 3, 2)
	targets := c.startTargets("booking", 16, 5*time.Millisecond)
	leader := c.leader()
	total := 0
	for _, callers := range []int{1, 200} {
		for _, keyed := range []bool{false, true} {
			requests := 20 * callers
			before := c.logSyncs(leader)
			times := c.closedLoop(callers, requests, keyed)
			syncs := c.logSyncs(leader) - before
			total += requests
			slices.Sort(times)
			fmt.Printf("%d callers, key %v: p50 %.2f ms, p99 %.2f ms; %d requests, %d syncs\n", callers, keyed,
				1000*times[len(times)/2].Seconds(), 1000*times[len(times)*99/100].Seconds(), requests, syncs)
		}
	}
	ran := 0
	for _, target := range targets {
		ran += target.TotalRuns()
	}
	assert.Equal(t, total, ran)
}

// closedLoop sends requests from concurrent callers, each one at a time, and
// returns the latencies.
func (c *cluster) closedLoop(callers, requests int, keyed bool) []time.Duration {
	var mu sync.Mutex
	var times []time.Duration
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			for range requests / callers {
				key := ""
				if keyed {
					key = uuid.NewString()
				}
				started := time.Now()
				got := c.sendRequest(caller%2, http.MethodPost, "booking", key, "booking")
				took := time.Since(started)
				assert.Equal(c.t, "done", got.outcome, got.body)
				mu.Lock()
				times = append(times, took)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return times
}
