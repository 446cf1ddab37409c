package replica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestThreeReplicasFormAGroupAndReplicate(t *testing.T) {
	nodes := newNodes(t, 3, nil)
	startGroup(t, nodes)
	for i := range 20 {
		assert.Equal(t, i+1, propose(t, nodes, fmt.Sprint("command ", i)))
	}
	require.NoError(t, leaderOf(nodes).replica.Barrier(context.Background()))
	for _, n := range nodes {
		eventually(t, "every replica applies every command", func() bool { return len(n.recorder.commands()) == 20 })
	}
}

func TestBootstrapRefusesAFolderInUse(t *testing.T) {
	nodes := newNodes(t, 1, nil)
	startGroup(t, nodes)
	nodes[0].stop()
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
	lost.stop()
	require.NoError(t, os.RemoveAll(lost.options.DataDir))
	lost.start()
	eventually(t, "the group has three voters with the new one", func() bool {
		leader := leaderOf(nodes)
		return leader != nil && voterCount(leader) == 3 && len(leader.replica.Status().Members) == 3 &&
			lost.replica.Status().ID != id && lost.replica.Status().ID != 0
	})
	eventually(t, "the new member holds everything", func() bool { return len(lost.recorder.commands()) == 300 })

	nodes[0].stop()
	require.NoError(t, os.RemoveAll(nodes[0].options.DataDir))
	propose(t, nodes, "after")
	assert.Equal(t, append(want, "after"), leaderOf(nodes).recorder.commands())
}

func TestRestartedReplicasKeepEverything(t *testing.T) {
	nodes := newNodes(t, 3, func(o *Options) { o.SnapshotEntries = 64 })
	startGroup(t, nodes)
	for i := range 200 {
		propose(t, nodes, fmt.Sprint(i))
	}
	for _, n := range nodes {
		n.stop()
	}
	for _, n := range nodes {
		n.start()
	}
	assert.Equal(t, 201, propose(t, nodes, "last"))
}

func TestSilentlyCutLeaderStepsDownAndNothingIsLost(t *testing.T) {
	nodes := newNodes(t, 3, nil)
	startGroup(t, nodes)
	propose(t, nodes, "before")
	old := leaderOf(nodes)
	old.network.setCut(old.options.Address, true)

	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	barrier := make(chan error, 1)
	go func() { barrier <- old.replica.Barrier(ctx) }()
	eventually(t, "the leader without a quorum steps down", func() bool { return old.replica.Status().Role != "leader" })
	assert.True(t, old.replica.QuorumContact().IsZero())
	eventually(t, "the others elect a leader", func() bool { return leaderOf(nodes) != nil })
	propose(t, nodes, "during")
	_, err := old.replica.Propose(ctx, []byte("refused"))
	assert.Equal(t, kind.NotLeader, kind.Of(err))

	old.network.setCut(old.options.Address, false)
	propose(t, nodes, "after")
	eventually(t, "the old leader catches up", func() bool { return len(old.recorder.commands()) == 3 })
	assert.Equal(t, []string{"before", "during", "after"}, old.recorder.commands())
	assert.Equal(t, kind.NotLeader, kind.Of(<-barrier), "a read at a leader without a quorum must not be served")
}

func TestLargeSnapshotIsTransferredInParts(t *testing.T) {
	nodes := newNodes(t, 3, func(o *Options) { o.SnapshotEntries = 8 })
	startGroup(t, nodes[:2])
	const size = 256 << 10
	for range 24 {
		propose(t, nodes, strings.Repeat("x", size))
	}
	eventually(t, "the log is compacted", func() bool {
		names, err := filepath.Glob(filepath.Join(leaderOf(nodes).options.DataDir, "snapshot-*.state"))
		return err == nil && len(names) > 0
	})
	nodes[2].start()
	awaitGroup(t, nodes, 3)
	eventually(t, "the new member holds 6 MiB", func() bool { return len(nodes[2].recorder.commands()) == 24 })
}

func TestReplicaOfAnotherClusterIsRefused(t *testing.T) {
	nodes := newNodes(t, 3, nil)
	startGroup(t, nodes)
	propose(t, nodes, "first")
	foreign := nodes[2]
	foreign.stop()
	foreign.options.DataDir = t.TempDir()
	foreign.options.Bootstrap = true
	foreign.start()
	eventually(t, "the foreign replica leads its own cluster", func() bool { return foreign.replica.Status().Role == "leader" })
	propose(t, nodes[:2], "second")
	eventually(t, "both members have it", func() bool {
		return len(nodes[0].recorder.commands()) == 2 && len(nodes[1].recorder.commands()) == 2
	})
	assert.Empty(t, foreign.recorder.commands())

	envelope := envelope{Cluster: nodes[0].replica.identity.Load().Cluster, To: foreign.replica.identity.Load().Member}
	packet, err := encode(envelope)
	require.NoError(t, err)
	err = (&service{replica: foreign.replica}).Step(&Packet{B: packet}, &Packet{})
	assert.Equal(t, kind.BadRequest, kind.Of(err))
}

func TestPlannedStopHandsTheLeadershipOver(t *testing.T) {
	nodes := newNodes(t, 3, slowTicks)
	startGroup(t, nodes)
	propose(t, nodes, "first")
	eventually(t, "all hold the command", func() bool {
		for _, n := range nodes {
			if len(n.recorder.commands()) != 1 {
				return false
			}
		}
		return true
	})
	old := leaderOf(nodes)
	term := old.replica.Status().Term
	old.stop()
	eventually(t, "another replica leads", func() bool { return leaderOf(nodes) != nil })
	assert.Equal(t, term+1, leaderOf(nodes).replica.Status().Term)
	propose(t, nodes, "second")
}

// A leader that gives up its term must be followed by one of a later term, also as the
// only voter. A request that arrives in a later term must not end that one.
func TestALeaderThatStepsDownIsFollowed(t *testing.T) {
	for _, size := range []int{1, 3} {
		nodes := newNodes(t, size, slowTicks)
		startGroup(t, nodes)
		propose(t, nodes, "first")
		old := leaderOf(nodes)
		term := old.replica.Status().Term
		require.NoError(t, old.replica.StepDown(t.Context(), term))
		eventually(t, "a replica leads in a later term", func() bool {
			leader := leaderOf(nodes)
			return leader != nil && leader.replica.Status().Term > term
		})
		propose(t, nodes, "second")
		next := leaderOf(nodes)
		require.NoError(t, next.replica.StepDown(t.Context(), term))
		propose(t, nodes, "third")
		assert.Equal(t, next, leaderOf(nodes))
		for _, n := range nodes {
			n.stop()
		}
	}
}

func TestPlannedStopUnderLoadLeavesNoProposalOpen(t *testing.T) {
	nodes := newNodes(t, 3, slowTicks)
	startGroup(t, nodes)
	old := leaderOf(nodes)
	term := old.replica.Status().Term
	leader := old.replica
	var acknowledged, unknown atomic.Int64
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			for {
				_, err := leader.Propose(context.Background(), []byte("x"))
				switch kind.Of(err) {
				case "":
					acknowledged.Add(1)
				case kind.UnknownOutcome:
					unknown.Add(1)
					return
				default:
					return
				}
			}
		})
	}
	eventually(t, "commands flow", func() bool { return acknowledged.Load() > 500 })
	old.stop()
	group.Wait()
	assert.Zero(t, unknown.Load())
	eventually(t, "another replica leads", func() bool { return leaderOf(nodes) != nil })
	assert.Equal(t, term+1, leaderOf(nodes).replica.Status().Term)
	propose(t, nodes, "y")
	assert.EqualValues(t, acknowledged.Load()+1, len(leaderOf(nodes).recorder.commands()))
}

func TestLeadershipIsAnnouncedOnceTheStateIsCurrent(t *testing.T) {
	nodes := newNodes(t, 1, nil)
	startGroup(t, nodes)
	propose(t, nodes, "first")
	nodes[0].stop()
	nodes[0].start()
	change := <-nodes[0].replica.Leadership()
	assert.True(t, change.Leading)
	assert.Equal(t, []string{"first"}, nodes[0].recorder.commands())
	nodes[0].replica.Stop()
	assert.False(t, (<-nodes[0].replica.Leadership()).Leading)
}

func TestCompactionBoundsTheFolder(t *testing.T) {
	nodes := newNodes(t, 1, func(o *Options) { o.SnapshotEntries = 100; o.SnapshotBytes = 1 << 20 })
	startGroup(t, nodes)
	const commands, size = 1000, 100 << 10
	for range commands {
		propose(t, nodes, strings.Repeat("x", size))
		nodes[0].recorder.forget()
	}
	nodes[0].stop()
	names, err := filepath.Glob(filepath.Join(nodes[0].options.DataDir, "*"))
	require.NoError(t, err)
	total := int64(0)
	for _, name := range names {
		info, err := os.Stat(name)
		require.NoError(t, err)
		total += info.Size()
	}
	t.Logf("%d bytes proposed, %d kept in %d files", commands*size, total, len(names))
	assert.Less(t, total, int64(commands*size/5))
}

// failingDisk fails every sync while failing is set.
type failingDisk struct {
	storage.OSFileSystem
	failing *atomic.Bool
}

type failingFile struct {
	storage.File
	failing *atomic.Bool
}

func (d failingDisk) Append(path string) (storage.File, error) {
	file, err := d.OSFileSystem.Append(path)
	return failingFile{file, d.failing}, err
}

func (d failingDisk) Create(path string) (storage.File, error) {
	file, err := d.OSFileSystem.Create(path)
	return failingFile{file, d.failing}, err
}

func (f failingFile) Sync() error {
	if f.failing.Load() {
		return unix.EIO
	}
	return f.File.Sync()
}

func TestReplicaWhoseDiskFailsStopsAndAcknowledgesNothing(t *testing.T) {
	var failing atomic.Bool
	nodes := newNodes(t, 1, func(o *Options) { o.FileSystem = failingDisk{failing: &failing} })
	startGroup(t, nodes)
	propose(t, nodes, "first")
	failing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	_, err := nodes[0].replica.Propose(ctx, []byte("second"))
	require.Equal(t, kind.UnknownOutcome, kind.Of(err))
	<-nodes[0].replica.Done()
	assert.Equal(t, kind.Storage, kind.Of(nodes[0].replica.Err()))
	_, err = nodes[0].replica.Propose(ctx, []byte("third"))
	assert.Equal(t, kind.Stopping, kind.Of(err))
	assert.Equal(t, []string{"first"}, nodes[0].recorder.commands())
}

// exhaustedDisk creates no snapshot file while exhausted is set.
type exhaustedDisk struct {
	storage.OSFileSystem
	exhausted *atomic.Bool
}

func (d exhaustedDisk) Create(path string) (storage.File, error) {
	if d.exhausted.Load() && strings.HasSuffix(path, ".tmp") {
		return nil, &os.PathError{Op: "open", Path: path, Err: unix.EMFILE}
	}
	return d.OSFileSystem.Create(path)
}

// Guards against a member that ends because a snapshot could not be opened once, though
// its log holds everything.
func TestASnapshotThatIsNotWrittenIsTakenAgain(t *testing.T) {
	var exhausted atomic.Bool
	nodes := newNodes(t, 1, func(o *Options) {
		o.SnapshotEntries, o.FileSystem = 20, exhaustedDisk{exhausted: &exhausted}
	})
	startGroup(t, nodes)
	exhausted.Store(true)
	for i := range 60 {
		propose(t, nodes, fmt.Sprint(i))
	}
	exhausted.Store(false)
	eventually(t, "a snapshot is written", func() bool {
		propose(t, nodes, "next")
		names, err := filepath.Glob(filepath.Join(nodes[0].options.DataDir, "snapshot-*.state"))
		require.NoError(t, err)
		return len(names) > 0
	})
	assert.NoError(t, nodes[0].replica.Err())
}

// Guards against a log that grows until the process is killed for its memory.
func TestAMemberThatWritesNoSnapshotStopsBeforeItsLogFillsTheMemory(t *testing.T) {
	var exhausted atomic.Bool
	nodes := newNodes(t, 1, func(o *Options) {
		o.SnapshotEntries, o.FileSystem = 5, exhaustedDisk{exhausted: &exhausted}
	})
	startGroup(t, nodes)
	exhausted.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	for {
		if _, err := nodes[0].replica.Propose(ctx, []byte("command")); err != nil {
			break
		}
	}
	<-nodes[0].replica.Done()
	assert.Equal(t, kind.Storage, kind.Of(nodes[0].replica.Err()))
}

// Guards against a request for admission that ends each leader in turn: its name is written
// to the log, which holds text only.
func TestAMemberThatTheLogCannotHoldIsRefused(t *testing.T) {
	nodes := newNodes(t, 1, nil)
	startGroup(t, nodes)
	s := &service{replica: nodes[0].replica}
	for _, args := range []JoinArgs{
		{}, {Member: 7}, {Address: "127.0.0.1:1"}, {Member: 7, Address: "127.0.0.1:1", Name: "\xb5"},
		{Member: 7, Address: "\xff", Name: "c2"}, {Member: 7, Address: strings.Repeat("x", 10_000), Name: "c2"},
	} {
		assert.Equal(t, kind.BadRequest, kind.Of(s.Join(&args, new(JoinReply))), "%.60v", args)
	}
	propose(t, nodes, "after")
	assert.Len(t, nodes[0].replica.Status().Members, 1)
}

func TestStopEndsARequestForAdmission(t *testing.T) {
	nodes := newNodes(t, 2, nil)
	nodes[1].network.setCut(nodes[1].options.Address, true)
	nodes[1].start()
	_, err := nodes[1].replica.Propose(context.Background(), []byte("early"))
	assert.Equal(t, kind.NotLeader, kind.Of(err))
	assert.Equal(t, "joining", nodes[1].replica.Status().Role)
	nodes[1].replica.Stop()
	assert.NoError(t, nodes[1].replica.Err())
}
