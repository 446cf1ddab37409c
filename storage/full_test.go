package storage_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/internal/fake/memdisk"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

// history is what a store must hold: what was acknowledged, at least.
type history struct {
	created              bool
	last, term, snapshot uint64
}

// appendThroughout appends rounds entries one at a time, with a snapshot every few, as a
// member does that reloads the folder whenever the disk is full. It checks after each
// reload that nothing that was acknowledged is missing, and that nothing but the write
// that failed was added.
func appendThroughout(t *testing.T, disk *memdisk.Disk, rounds uint64) (h history, reloads int) {
	store, _, err := open(disk)
	for attempt := 0; h.last < rounds; attempt++ {
		require.Less(t, attempt, 300, "the store does not recover")
		if err == nil && !h.created {
			if err = store.Create(identity, consensus.HardState{}, nil); err == nil {
				h.created = true
			}
		}
		if err == nil {
			err = appendAndCompact(store, &h)
		}
		if err == nil {
			continue
		}
		require.True(t, storage.IsFull(err), "%v", err)
		require.NotNil(t, store)
		var loaded storage.LoadedState
		if loaded, err = store.Reload(); err == nil {
			reloads++
			h.adopt(t, loaded)
		}
	}
	return h, reloads
}

func appendAndCompact(store *storage.Store, h *history) error {
	term := 1 + h.last/10
	if err := store.Append(consensus.HardState{Term: term}, entries(h.last+1, 1, term)); err != nil {
		return err
	}
	h.last, h.term = h.last+1, term
	if h.last%20 != 0 {
		return nil
	}
	if err := store.WriteSnapshot(consensus.SnapshotMeta{Index: h.last, Term: term}, []byte("state")); err != nil {
		return err
	}
	h.snapshot = h.last
	if err := store.Compact(h.last - 3); err != nil {
		return err
	}
	return store.RemoveSnapshotsBefore(h.last)
}

// adopt checks a loaded state against the history and continues from it.
func (h *history) adopt(t *testing.T, loaded storage.LoadedState) {
	t.Helper()
	if loaded.Identity == nil {
		require.False(t, h.created, "the member is lost")
		return
	}
	r := loaded.Restored
	last := r.Snapshot.Index
	if n := len(r.Entries); n > 0 {
		last = max(last, r.Entries[n-1].Index)
	}
	require.GreaterOrEqual(t, last, h.last)
	require.LessOrEqual(t, last, h.last+1)
	require.GreaterOrEqual(t, r.HardState.Term, h.term)
	require.GreaterOrEqual(t, r.Snapshot.Index, h.snapshot)
	h.created, h.last, h.term, h.snapshot = true, last, r.HardState.Term, r.Snapshot.Index
}

// Guards against a member that ends, loses acknowledged entries or keeps the remains of a
// failed write when its disk is full at any write, for one or many writes. The loss of
// power at the end shows that what was read after a reload is durable.
func TestAFullDiskAtAnyWriteLosesNothing(t *testing.T) {
	const rounds = 60
	uninterrupted := memdisk.New(rand.New(rand.NewPCG(1, 1)))
	_, reloads := appendThroughout(t, uninterrupted, rounds)
	require.Zero(t, reloads)
	total := 0
	for operation := range uninterrupted.Operations() + 1 {
		for _, refusals := range []int{1, 2, 3, 7, 30} {
			disk := memdisk.New(rand.New(rand.NewPCG(uint64(refusals), uint64(operation))))
			disk.FillAfter(operation, refusals)
			h, reloads := appendThroughout(t, disk, rounds)
			total += reloads
			disk.FillAfter(-1, 0)
			disk.Crash()
			checkRecovered(t, disk, h.created, h.last, h.term, h.snapshot)
		}
	}
	assert.Greater(t, total, uninterrupted.Operations())
}

// Guards against a power failure after a process ended between a write and its sync: the
// next process must not count what it reads before it is durable, also if its first
// attempts to open the folder find the disk full.
func TestWhatAnEarlierProcessLeftUnsyncedIsDurableBeforeItCounts(t *testing.T) {
	for refused := range 5 {
		for refusals := range 4 {
			disk := memdisk.New(rand.New(rand.NewPCG(1, 1)))
			store, _, err := open(disk)
			require.NoError(t, err)
			require.NoError(t, store.Create(identity, consensus.HardState{}, nil))
			disk.IgnoreSync()
			require.NoError(t, store.Append(consensus.HardState{Term: 1}, entries(1, 3, 1)))
			disk.HonorSync()
			disk.FillAfter(refused, refusals)
			store, loaded, err := open(disk)
			for storage.IsFull(err) {
				loaded, err = store.Reload()
			}
			require.NoError(t, err)
			require.Len(t, loaded.Restored.Entries, 3)
			disk.FillAfter(-1, 0)
			disk.Crash()
			_, loaded, err = open(disk)
			require.NoError(t, err)
			require.Len(t, loaded.Restored.Entries, 3)
		}
	}
}

// An error other than a lack of space leaves the content of the disk unknown.
func TestAStoreThatFailedOtherwiseIsNotReloaded(t *testing.T) {
	disk := memdisk.New(rand.New(rand.NewPCG(1, 1)))
	store, _, err := open(disk)
	require.NoError(t, err)
	require.NoError(t, store.Create(identity, consensus.HardState{}, nil))
	disk.CrashAfter(0)
	require.ErrorIs(t, store.Append(consensus.HardState{Term: 1}, entries(1, 1, 1)), memdisk.ErrCrashed)
	disk.Crash()
	_, err = store.Reload()
	assert.ErrorIs(t, err, memdisk.ErrCrashed)
	assert.Equal(t, kind.Storage, kind.Of(err))
}

func TestIsFull(t *testing.T) {
	assert.True(t, storage.IsFull(kind.Errorf(kind.Storage, "append: %w", unix.ENOSPC)))
	assert.True(t, storage.IsFull(unix.EDQUOT))
	assert.False(t, storage.IsFull(unix.EIO))
	assert.False(t, storage.IsFull(nil))
}
