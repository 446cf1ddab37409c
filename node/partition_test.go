package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/kind"
)

// shortLeases lets a lease expire soon, for tests that do not depend on its duration.
const shortLeases = "leases: {duration: 3s, hold: 500ms, usage: 1s}\nentry: {stop_when_stale: 2s}\n"

// longLeases last much longer than an election, so that a new leader that did not wait
// for their end would run tasks twice.
const longLeases = "leases: {duration: 8s, hold: 500ms, usage: 1s}\nentry: {stop_when_stale: 2s}\n"

// A leader that is silently partitioned together with an entry host and its worker must
// neither renew that worker's lease nor accept commands. The new leader restarts the
// worker's task elsewhere only after the lease has expired, so that the task never runs
// in two places at once.
func TestCutOffLeaderNeitherRenewsNorAccepts(t *testing.T) {
	g := newTestCluster(t, 3, 2)
	g.mustCommand(0, "set config from FILE", longLeases)
	journal := fake.NewJournal()
	g.worker(journal, "w1", 0)
	g.mustCommand(0, `declare batch long { processors 1 memory 1GiB payload "{}" }`, "")
	g.eventually("long runs on w1", func() bool { return journal.Live("long") == `worker "w1" epoch 1` })
	g.worker(journal, "w2", 1)

	oldLeader := g.leader()
	minority := []string{g.controlHost(oldLeader) + ":7400", g.entryHost(0) + ":7400"}
	majority := []string{g.entryHost(1) + ":7400"}
	for i := range g.control {
		if i != oldLeader {
			majority = append(majority, g.controlHost(i)+":7400")
		}
	}
	g.network.partition(minority, majority)

	g.eventually("a new leader", func() bool { l := g.leader(); return l >= 0 && l != oldLeader })
	g.eventually("long moves to w2", func() bool { return journal.Live("long") == `worker "w2" epoch 2` })
	assert.Empty(t, journal.Violations())
	g.eventually("the partitioned leader steps down", func() bool { return g.control[oldLeader].Status().Role != "leader" })
	_, err := g.command(0, "declare batch lost { processors 1 memory 1GiB }", "")
	require.Error(t, err, "the partitioned leader must not accept a command")
	assert.False(t, g.entries[0].Ready(), "an entry host that cannot confirm its configuration must not be ready")
	g.mustCommand(1, "set config from FILE", shortLeases+"weights: {tail_latency: 1, evictions: 1, throughput: 1}\n")

	g.network.heal()
	g.eventually("the new configuration is in force on both sides", func() bool {
		return g.entries[0].config.Version() == 3 && g.entries[1].config.Version() == 3
	})
	g.eventually("both sides serve", func() bool { return g.entries[0].Ready() && g.entries[1].Ready() })
	assert.Equal(t, `worker "w2" epoch 2`, journal.Live("long"))
	assert.Empty(t, journal.Violations())
}

// A follower that returns after a long partition must not depose the leader, and must
// catch up with all commands accepted in the meantime.
func TestReturningFollowerDoesNotDisturb(t *testing.T) {
	g := newTestCluster(t, 3, 1)
	leader := g.leader()
	term := g.control[leader].Status().Term
	follower := (leader + 1) % 3
	var others []string
	for i := range g.control {
		if i != follower {
			others = append(others, g.controlHost(i)+":7400")
		}
	}
	g.network.partition([]string{g.controlHost(follower) + ":7400"}, others)
	g.eventually("the follower misses the leader", func() bool { return g.control[follower].Status().Leader == "" })
	for range 300 {
		g.mustCommand(0, "set config from FILE", shortLeases)
	}
	g.network.heal()
	g.eventually("the follower has caught up", func() bool {
		return g.control[follower].Status().Applied >= g.control[leader].Status().Commit
	})
	assert.Equal(t, leader, g.leader())
	assert.Equal(t, term, g.control[leader].Status().Term)
}

// A command that cannot reach a quorum must be reported as of unknown outcome, not as
// refused.
func TestCommandWithoutQuorumIsUnknown(t *testing.T) {
	g := newTestCluster(t, 3, 1)
	leader := g.leader()
	for i := range g.control {
		if i != leader {
			g.network.partition([]string{g.controlHost(leader) + ":7400", g.entryHost(0) + ":7400"}, []string{g.controlHost(i) + ":7400"})
		}
	}
	_, err := g.command(0, "declare batch open { processors 1 memory 1GiB }", "")
	require.Error(t, err)
	assert.Equal(t, kind.UnknownOutcome, kind.Of(err))
}
