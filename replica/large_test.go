package replica

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a group that has no leader for long after a command of hundreds of kilobytes, such
// as an operator's configuration: heartbeats wait behind it, so that it ends the term of each leader
// to which it is sent again. Here it takes two to four election timeouts on the leader's link.
func TestALargeCommandDoesNotEndTheTermOfItsLeader(t *testing.T) {
	nodes := newNodes(t, 5, slowTicks)
	startGroup(t, nodes)
	leader := leaderOf(nodes)
	term := leader.replica.Status().Term
	timeout := leader.replica.options.electionTimeout()
	for _, part := range []time.Duration{2, 4} {
		const size = 340 << 10
		leader.network.setSpeed(part * timeout / (4 * size))
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		_, err := leader.replica.Propose(ctx, []byte(strings.Repeat("x", size)))
		cancel()
		require.NoError(t, err)
		assert.Equal(t, term, leader.replica.Status().Term)
	}
	for _, n := range nodes {
		eventually(t, "each member has both commands", func() bool { return len(n.recorder.commands()) == 2 })
		assert.Equal(t, term, n.replica.Status().Term)
	}
}

// Guards against commands that overtake a large one on its way, and against copies of it that pile
// up on the link.
func TestCommandsBehindALargeOneArriveInOrder(t *testing.T) {
	nodes := newNodes(t, 3, slowTicks)
	startGroup(t, nodes)
	leader := leaderOf(nodes)
	term := leader.replica.Status().Term
	const size = 340 << 10
	leader.network.setSpeed(3 * leader.replica.options.electionTimeout() / (2 * size))
	sent := []string{strings.Repeat("x", size)}
	results := make(chan error, 20)
	for i := range cap(results) {
		if i > 0 {
			sent = append(sent, strings.Repeat("y", i))
		}
		command := []byte(sent[i])
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
			defer cancel()
			_, err := leader.replica.Propose(ctx, command)
			results <- err
		}()
		time.Sleep(20 * time.Millisecond) // Each is a message of its own.
	}
	for range cap(results) {
		require.NoError(t, <-results)
	}
	assert.ElementsMatch(t, sent, leader.recorder.commands())
	for _, n := range nodes {
		eventually(t, "each member has all commands", func() bool { return len(n.recorder.commands()) == len(sent) })
		assert.Equal(t, leader.recorder.commands(), n.recorder.commands())
		assert.Equal(t, term, n.replica.Status().Term)
	}
	carried := leader.network.bytesFrom(leader.options.Address)
	assert.Less(t, carried, 2*2*size, "bytes to two members")
}
