package replica

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
)

func TestThreeReplicasFormAGroupAndReplicate(t *testing.T) {
	nodes := newNodes(t, 3, nil)
	startGroup(t, nodes)
	for i := range 20 {
		assert.Equal(t, i+1, propose(t, nodes, fmt.Sprint("command ", i)))
	}
	require.NoError(t, leaderOf(nodes).replica.Barrier(context.Background()))
	for _, n := range nodes {
		eventually(t, "every replica applies every command", func() bool { return len(n.journal.commands()) == 20 })
	}
}

func TestBootstrapRefusesAFolderInUse(t *testing.T) {
	nodes := newNodes(t, 1, nil)
	startGroup(t, nodes)
	nodes[0].halt()
	nodes[0].options.Bootstrap = true
	_, err := Start(nodes[0].options)
	assert.Equal(t, kind.AlreadyExists, kind.Of(err))
}

func TestLostDiskIsRepairedBySnapshotAndASecondHostMayBeLost(t *testing.T) {
	nodes := newNodes(t, 3, func(o *Options) { o.SnapshotEntries = 50 })
	startGroup(t, nodes)
	var want []string
	for i := range 300 {
		want = append(want, fmt.Sprint("command ", i))
		propose(t, nodes, want[i])
	}
	lost := nodes[2]
	id := lost.replica.Status().ID
	lost.halt()
	require.NoError(t, os.RemoveAll(lost.options.DataDir))
	lost.start()
	eventually(t, "the group has three voters with the new one", func() bool {
		leader := leaderOf(nodes)
		return leader != nil && voters(leader) == 3 && len(leader.replica.Status().Members) == 3 &&
			lost.replica.Status().ID != id && lost.replica.Status().ID != 0
	})
	eventually(t, "the new member holds everything", func() bool { return len(lost.journal.commands()) == 300 })

	nodes[0].halt()
	require.NoError(t, os.RemoveAll(nodes[0].options.DataDir))
	propose(t, nodes, "after")
	assert.Equal(t, append(want, "after"), leaderOf(nodes).journal.commands())
}

func TestRestartedReplicasKeepEverything(t *testing.T) {
	nodes := newNodes(t, 3, func(o *Options) { o.SnapshotEntries = 64 })
	startGroup(t, nodes)
	for i := range 200 {
		propose(t, nodes, fmt.Sprint(i))
	}
	for _, n := range nodes {
		n.halt()
	}
	for _, n := range nodes {
		n.start()
	}
	assert.Equal(t, 201, propose(t, nodes, "last"))
}
