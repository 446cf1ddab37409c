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

// syncs returns the number of synced appends of control process i.
func (c *cluster) syncs(i int) int64 {
	response, err := client.Get("http://" + c.host("control", i) + ":8082/debug/vars")
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

// TestClaimCost prints what the claim of an idempotency key costs: claims for
// each sync of the leader, and the time of a request with and without a key, with
// 200 and with 1 callers. It has no verdict but that each request runs once.
func TestClaimCost(t *testing.T) {
	useBinaries()
	c := newCluster(t, 3, 2)
	targets := c.targets("booking", 16, 5*time.Millisecond)
	leader := c.leader()
	total := 0
	for _, callers := range []int{1, 200} {
		for _, keyed := range []bool{false, true} {
			requests := 20 * callers
			before := c.syncs(leader)
			times := c.closedLoop(callers, requests, keyed)
			synced := c.syncs(leader) - before
			total += requests
			slices.Sort(times)
			fmt.Printf("%d callers, key %v: p50 %.2f ms, p99 %.2f ms; %d requests, %d syncs\n", callers, keyed,
				1000*times[len(times)/2].Seconds(), 1000*times[len(times)*99/100].Seconds(), requests, synced)
		}
	}
	ran := 0
	for _, target := range targets {
		ran += target.TotalRuns()
	}
	assert.Equal(t, total, ran)
}

// closedLoop sends requests from a number of callers and returns their times.
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
				begun := time.Now()
				got := c.request(caller%2, http.MethodPost, "booking", key, "booking")
				took := time.Since(begun)
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
