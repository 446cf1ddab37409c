package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/types"
)

// The lease duration is raised while an exchange is held. The worker must not hold its
// lease for longer than the leader reckons with.
func TestALeaseIsNoLongerThanWhenItWasGranted(t *testing.T) {
	c := newSimCluster(t, 1, 1)
	c.advance(3 * time.Second)
	sentAt := c.now
	reply := new(controlapi.ExchangeReply)
	done := make(chan error, 1)
	go func() {
		done <- c.leader.exchange(context.Background(), &controlapi.ExchangeArgs{
			Entry: "e", ConfigVersion: 1, HoldMs: 5000, Renewals: []controlapi.Renewal{{Worker: "w1", Incarnation: 1}},
		}, reply)
	}()
	time.Sleep(100 * time.Millisecond) // The exchange is held by then; the check holds otherwise, too.
	args := controlapi.CommandArgs{ID: "x", Text: "set config from policy.yaml if version 1", File: "leases: {duration: 20s, hold: 2s, usage: 5s}\n"}
	_, err := c.leader.execute(context.Background(), args)
	require.NoError(t, err)
	c.leader.propagateChanges()
	require.NoError(t, <-done)
	require.NotZero(t, reply.Sessions[0])
	var id types.WorkerID
	for _, w := range c.store.Workers() {
		id = w.ID
	}
	c.leader.mu.Lock()
	leaderEnd, ok := c.leader.leases.ExpiresAt(id)
	c.leader.mu.Unlock()
	require.True(t, ok)
	workerEnd := sentAt.Add(time.Duration(reply.LeaseMs) * time.Millisecond)
	require.False(t, workerEnd.After(leaderEnd))
}
