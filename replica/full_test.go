package replica

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

// fillableDisk refuses with ENOSPC whatever needs space while full is set; a write is then
// half done.
type fillableDisk struct {
	storage.OSFileSystem
	full *atomic.Bool
}

type fillableFile struct {
	storage.File
	full *atomic.Bool
}

func (d fillableDisk) Create(path string) (storage.File, error) {
	if d.full.Load() {
		return nil, &os.PathError{Op: "open", Path: path, Err: unix.ENOSPC}
	}
	file, err := d.OSFileSystem.Create(path)
	return fillableFile{file, d.full}, err
}

func (d fillableDisk) Append(path string) (storage.File, error) {
	file, err := d.OSFileSystem.Append(path)
	return fillableFile{file, d.full}, err
}

func (f fillableFile) Write(p []byte) (int, error) {
	if !f.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	if err == nil {
		err = &os.PathError{Op: "write", Err: unix.ENOSPC}
	}
	return n, err
}

// newFillableNodes returns nodes and the switch that fills each one's disk, by address.
func newFillableNodes(t *testing.T, count int) ([]*node, map[string]*atomic.Bool) {
	disks := make(map[string]*atomic.Bool)
	nodes := newNodes(t, count, func(o *Options) {
		disks[o.Address] = new(atomic.Bool)
		o.FileSystem = fillableDisk{full: disks[o.Address]}
		o.SnapshotEntries = 30
	})
	return nodes, disks
}

// proposeThroughout proposes commands at whatever node leads until stop is called, which
// returns the commands that were acknowledged.
func proposeThroughout(nodes []*node, name string) (stop func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var acknowledged []string
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			leader := leaderOf(nodes)
			if leader == nil {
				time.Sleep(time.Millisecond)
				continue
			}
			callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
			command := fmt.Sprint(name, i)
			if _, err := leader.replica.Propose(callCtx, []byte(command)); err == nil {
				acknowledged = append(acknowledged, command)
			}
			cancelCall()
		}
	})
	return func() []string { cancel(); group.Wait(); return acknowledged }
}

// requireAllHold checks that each node holds the same commands, each acknowledged one once.
func requireAllHold(t *testing.T, nodes []*node, acknowledged []string) {
	t.Helper()
	propose(t, nodes, "last")
	eventually(t, "all members hold the last command", func() bool {
		for _, n := range nodes {
			if held := n.recorder.commands(); len(held) == 0 || held[len(held)-1] != "last" {
				return false
			}
		}
		return true
	})
	for _, n := range nodes {
		held := n.recorder.commands()
		require.Equal(t, nodes[0].recorder.commands(), held, n.options.Name)
		counts := make(map[string]int)
		for _, command := range held {
			counts[command]++
		}
		for _, command := range acknowledged {
			require.Equal(t, 1, counts[command], "%s holds %q", n.options.Name, command)
		}
		require.NoError(t, n.replica.Err())
	}
}

func (n *node) awaitRole(role string) {
	n.t.Helper()
	eventually(n.t, n.options.Name+" is "+role, func() bool { return n.replica.Status().Role == role })
}

// Guards against a member that ends on a full disk, and against a group that its return
// disturbs: first a follower, then the leader, then a majority is full and recovers.
func TestMembersWithAFullDiskReturnByThemselves(t *testing.T) {
	nodes, disks := newFillableNodes(t, 3)
	startGroup(t, nodes)
	stop := proposeThroughout(nodes, "command ")

	leader := leaderOf(nodes)
	follower := nodes[0]
	if follower == leader {
		follower = nodes[1]
	}
	disks[follower.options.Address].Store(true)
	follower.awaitRole(RoleFull)
	eventually(t, "the full member names the leader", func() bool {
		leader := leaderOf(nodes)
		return leader != nil && follower.replica.Status().Leader == leader.options.Address
	})
	propose(t, nodes, "beside a full follower")
	_, err := follower.replica.Propose(t.Context(), []byte("refused"))
	require.Equal(t, kind.NotLeader, kind.Of(err))
	require.Equal(t, kind.NotLeader, kind.Of(follower.replica.Barrier(t.Context())))
	disks[follower.options.Address].Store(false)
	follower.awaitRole("follower")

	leader = leaderOf(nodes)
	require.NotNil(t, leader)
	term := leader.replica.Status().Term
	disks[leader.options.Address].Store(true)
	leader.awaitRole(RoleFull)
	assert.Zero(t, leader.replica.QuorumContact())
	eventually(t, "another member leads", func() bool {
		next := leaderOf(nodes)
		return next != nil && next != leader && next.replica.Status().Term > term
	})
	propose(t, nodes, "beside a full leader")
	disks[leader.options.Address].Store(false)
	eventually(t, "the former leader participates", func() bool { return leader.replica.Status().Role != RoleFull })

	for _, n := range nodes[:2] {
		disks[n.options.Address].Store(true)
	}
	for _, n := range nodes[:2] {
		n.awaitRole(RoleFull)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = nodes[2].replica.Propose(ctx, []byte("beside a full majority"))
	require.Error(t, err)
	for _, n := range nodes[:2] {
		disks[n.options.Address].Store(false)
	}
	awaitGroup(t, nodes, 3)
	requireAllHold(t, nodes, stop())
	for _, n := range nodes[:2] {
		assert.Positive(t, n.replica.Status().DiskFull)
	}
}

// Guards against acknowledged commands that only a cache held: all members run out of space
// again and again, and all processes end in between.
func TestFullDisksBesideRestartsLoseNothing(t *testing.T) {
	nodes, disks := newFillableNodes(t, 3)
	startGroup(t, nodes)
	var acknowledged []string
	for round := range 6 {
		stop := proposeThroughout(nodes, fmt.Sprint(round, "."))
		n := nodes[round%len(nodes)]
		disks[n.options.Address].Store(true)
		n.awaitRole(RoleFull)
		propose(t, nodes, fmt.Sprint("round ", round))
		acknowledged = append(acknowledged, stop()...)
		for _, n := range nodes {
			n.stop()
		}
		disks[n.options.Address].Store(false)
		for _, n := range nodes {
			n.start()
		}
		awaitGroup(t, nodes, len(nodes))
	}
	requireAllHold(t, nodes, acknowledged)
}

// Guards against a process that ends because its disk is full when it starts: as the first
// member, as one that joins, and with a log.
func TestAReplicaStartsOnceItsDiskHasSpace(t *testing.T) {
	nodes, disks := newFillableNodes(t, 2)
	for _, n := range nodes {
		disks[n.options.Address].Store(true)
	}
	nodes[0].start()
	nodes[0].options.Bootstrap = false
	nodes[0].awaitRole(RoleFull)
	disks[nodes[0].options.Address].Store(false)
	propose(t, nodes, "first")
	nodes[1].start()
	nodes[1].awaitRole(RoleFull)
	disks[nodes[1].options.Address].Store(false)
	awaitGroup(t, nodes, 2)

	nodes[1].stop()
	disks[nodes[1].options.Address].Store(true)
	nodes[1].start()
	stop := proposeThroughout(nodes[:1], "command ")
	nodes[1].awaitRole(RoleFull)
	disks[nodes[1].options.Address].Store(false)
	propose(t, nodes, "second")
	requireAllHold(t, nodes, append(stop(), "first", "second"))
}

func TestAReplicaWhoseDiskStaysFullStops(t *testing.T) {
	nodes, disks := newFillableNodes(t, 1)
	disks[nodes[0].options.Address].Store(true)
	nodes[0].start()
	nodes[0].awaitRole(RoleFull)
	nodes[0].replica.Stop()
	assert.NoError(t, nodes[0].replica.Err())
}
