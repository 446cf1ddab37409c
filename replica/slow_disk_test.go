package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

// slowDisk is a disk on which each sync of a file takes syncTime.
type slowDisk struct {
	storage.OSFileSystem
	syncTime *atomic.Int64
}

type slowFile struct {
	storage.File
	disk slowDisk
}

func (f slowFile) Sync() error {
	time.Sleep(time.Duration(f.disk.syncTime.Load()))
	return nil
}

func (d slowDisk) SyncFolder(string) error { return nil }

func (d slowDisk) Create(path string) (storage.File, error) {
	f, err := d.OSFileSystem.Create(path)
	return slowFile{f, d}, err
}

func (d slowDisk) Append(path string) (storage.File, error) {
	f, err := d.OSFileSystem.Append(path)
	return slowFile{f, d}, err
}

// slowDiskRun is what a group of five does within 20 s whose leader's disk is slow, beside callers
// that propose one command after the other.
type slowDiskRun struct {
	// confirmed is the share of the time in which a leader's quorum contact was no older than
	// actsFor, unconfirmed the longest time without such a leader.
	confirmed   float64
	unconfirmed time.Duration
	// slowest is the time that the member with the slow disk states for a sync.
	slowest time.Duration
	// newTerms is the number of terms that began.
	newTerms uint64
}

// actsFor is the age of the quorum contact up to which a leader acts, see coordinator.
const actsFor = 500 * time.Millisecond

// slowDiskGroup is a group of five members, all of them voters.
type slowDiskGroup struct {
	replicas []*Replica
	disks    []slowDisk
	// cut keeps a member from calling others and from being called.
	cut []*atomic.Bool
	// delay is by how much each call takes longer.
	delay atomic.Int64
}

// cutCaller makes no call that is answered while it is cut off.
type cutCaller struct {
	*unreliableNetwork
	cut *atomic.Bool
	// delay is by how much each call takes longer.
	delay *atomic.Int64
}

func (c cutCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	if c.cut.Load() {
		<-ctx.Done()
		return kind.Errorf(kind.UnknownOutcome, "%w", ctx.Err())
	}
	time.Sleep(time.Duration(c.delay.Load()))
	return c.unreliableNetwork.Call(ctx, address, method, args, reply)
}

// startSlowDiskGroup starts a group whose disks take a usual time at first.
func startSlowDiskGroup(t *testing.T) *slowDiskGroup {
	network := &unreliableNetwork{random: rand.New(rand.NewPCG(1, 1)), services: make(map[string]*service)}
	t.Cleanup(network.calls.Wait)
	addresses := []string{"a:1", "b:1", "c:1", "d:1", "e:1"}
	g := new(slowDiskGroup)
	for i, address := range addresses {
		disk, cut := slowDisk{syncTime: new(atomic.Int64)}, new(atomic.Bool)
		disk.syncTime.Store(int64(6 * time.Millisecond))
		r, err := Start(Options{
			Name: address, Address: address, ControlAddresses: addresses, DataDir: t.TempDir(), Bootstrap: i == 0,
			Logger: zerolog.Nop(), StateMachine: new(commandRecorder), Caller: cutCaller{network, cut, &g.delay}, FileSystem: disk,
			ElectionTicks: 12, HeartbeatTicks: 3, Seed: uint64(i) + 1,
		})
		require.NoError(t, err)
		t.Cleanup(r.Stop)
		network.mu.Lock()
		network.services[address] = &service{replica: r}
		network.mu.Unlock()
		g.replicas, g.disks, g.cut = append(g.replicas, r), append(g.disks, disk), append(g.cut, cut)
	}
	time.Sleep(20 * time.Second) // All members are voters by then.
	return g
}

// leader returns the index of the only leader.
func (g *slowDiskGroup) leader(t *testing.T) int {
	leads := func(r *Replica) bool { return r.Status().Role == "leader" }
	first := slices.IndexFunc(g.replicas, leads)
	require.NotEqual(t, -1, first)
	require.False(t, slices.ContainsFunc(g.replicas[first+1:], leads))
	return first
}

// acts reports whether a leader that is not cut off may act.
func (g *slowDiskGroup) acts() bool {
	for i, r := range g.replicas {
		if !g.cut[i].Load() && time.Since(r.QuorumContact()) < actsFor {
			return true
		}
	}
	return false
}

func runSlowDisk(t *testing.T, syncTime time.Duration) slowDiskRun {
	g := startSlowDiskGroup(t)
	g.disks[g.leader(t)].syncTime.Store(int64(syncTime))
	run := g.propose(t)
	t.Logf("syncs of %v: a leader acts in %.3f of the time, none for up to %v", syncTime, run.confirmed, run.unconfirmed)
	return run
}

// propose has callers propose one command after the other for 20 s.
func (g *slowDiskGroup) propose(t *testing.T) slowDiskRun {
	slowest := g.replicas[g.leader(t)]
	firstTerm := slowest.Status().Term
	var callers sync.WaitGroup
	defer callers.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, r := range g.replicas {
		callers.Go(func() {
			for ctx.Err() == nil {
				next := time.After(20 * time.Millisecond)
				_, _ = r.Propose(ctx, []byte("x")) // An error means that another member leads.
				<-next
			}
		})
	}
	const samples, interval = 2000, 10 * time.Millisecond
	var run slowDiskRun
	confirmed, since := 0, time.Now()
	for range samples {
		time.Sleep(interval)
		if g.acts() {
			confirmed, since = confirmed+1, time.Now()
		}
		run.unconfirmed = max(run.unconfirmed, time.Since(since))
	}
	run.confirmed = float64(confirmed) / samples
	run.slowest = slowest.Status().SyncTime
	for _, r := range g.replicas {
		run.newTerms = max(run.newTerms, r.Status().Term-firstTerm)
	}
	return run
}

// Guards against a leader that is not confirmed although all members acknowledge its commands: its
// heartbeats wait for its own disk. The disk takes 30 times as long as a usual one.
func TestCommandsConfirmALeaderWithASlowDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := runSlowDisk(t, 180*time.Millisecond)
		assert.GreaterOrEqual(t, run.confirmed, 0.99)
		assert.GreaterOrEqual(t, run.slowest, 180*time.Millisecond)
	})
}

// Guards against a group that stands still for good with a leader: one whose disk is so slow that it
// is never confirmed in time, but not slow enough for the others to elect another one. Leases last
// 6 s and are renewed each second.
func TestAGroupWhoseLeaderHasASlowDiskGoesOn(t *testing.T) {
	for _, syncTime := range []time.Duration{400, 500, 550, 590, 700, 1000, 3000} {
		t.Run(fmt.Sprint(int64(syncTime), "ms"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				run := runSlowDisk(t, syncTime*time.Millisecond)
				assert.LessOrEqual(t, run.unconfirmed, 5*time.Second)
			})
		})
	}
}

// Guards against a group that never elects a leader: votes are recorded on disks that take longer for
// it than the candidates wait. A leader is lost while all disks are slow.
func TestALeaderIsElectedOnSlowDisks(t *testing.T) {
	for _, syncTime := range []time.Duration{6, 180, 280, 320, 400, 700} {
		t.Run(fmt.Sprint(int64(syncTime), "ms"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := startSlowDiskGroup(t)
				lost := g.leader(t)
				g.cut[lost].Store(true)
				for _, disk := range g.disks {
					disk.syncTime.Store(int64(syncTime * time.Millisecond))
				}
				lostAt := time.Now()
				for !g.acts() && time.Since(lostAt) < 30*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("after %v, in term %d", time.Since(lostAt), g.replicas[(lost+1)%len(g.replicas)].Status().Term)
				assert.LessOrEqual(t, time.Since(lostAt), 15*time.Second) // The platform's bound on a recovery.
			})
		})
	}
}

// Guards against a group on slow links that changes its leader although the leader acts for a part of
// the time, and against answers that are thrown away because they take longer than half an election timeout.
func TestAGroupOnSlowLinksKeepsItsLeader(t *testing.T) {
	for _, delay := range []time.Duration{200, 260, 270, 280, 290, 310, 350, 400} {
		t.Run(fmt.Sprint(int64(delay), "ms"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := startSlowDiskGroup(t)
				g.delay.Store(int64(delay * time.Millisecond))
				run := g.propose(t)
				t.Logf("a leader acts in %.3f of the time, none for up to %v, %d new terms", run.confirmed, run.unconfirmed, run.newTerms)
				assert.Zero(t, run.newTerms)
				assert.LessOrEqual(t, run.unconfirmed, time.Second)
			})
		})
	}
}
