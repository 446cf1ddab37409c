package storage_test

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/internal/fake/memdisk"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

const folder = "data"

var identity = storage.Identity{Cluster: 7, Member: 9, Name: "control-1"}

func open(disk storage.FileSystem) (*storage.Store, storage.LoadedState, error) {
	return storage.Open(folder, storage.Options{FileSystem: disk, SegmentBytes: 1 << 10})
}

func entries(first, count, term uint64) []consensus.Entry {
	list := make([]consensus.Entry, count)
	for i := range list {
		index := first + uint64(i)
		list[i] = consensus.Entry{Index: index, Term: term, Data: []byte(fmt.Sprintf("command %d of term %d", index, term))}
	}
	return list
}

// runWrites creates a store and runs appends, snapshots and compactions. It calls
// onWrite with the last index, its term and the snapshot index after each write that
// must survive a crash.
func runWrites(disk *memdisk.Disk, onWrite func(last, term, snapshot uint64)) error {
	store, loaded, err := open(disk)
	if err != nil || loaded.Identity != nil {
		return err
	}
	if err := store.Create(identity, consensus.HardState{}, nil); err != nil {
		return err
	}
	state, last, snapshot := consensus.HardState{Term: 1}, uint64(0), uint64(0)
	onWrite(0, 0, 0)
	for round := range uint64(12) {
		state.Term = 1 + round/3
		if err := store.Append(state, entries(last+1, 5, state.Term)); err != nil {
			return err
		}
		last += 5
		onWrite(last, state.Term, snapshot)
		if round%4 != 3 {
			continue
		}
		if err := store.WriteSnapshot(consensus.SnapshotMeta{Index: last, Term: state.Term}, []byte("state")); err != nil {
			return err
		}
		snapshot = last
		onWrite(last, state.Term, snapshot)
		if err := store.Compact(last - 3); err != nil {
			return err
		}
		if err := store.RemoveSnapshotsBefore(last); err != nil {
			return err
		}
	}
	return nil
}

// After a crash at any disk operation, the folder must open and hold everything
// that the store acknowledged before the crash.
func TestCrashAtAnyWriteLosesNothingThatWasAnswered(t *testing.T) {
	uninterrupted := memdisk.New(rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, runWrites(uninterrupted, func(uint64, uint64, uint64) {}))
	for operation := range uninterrupted.Operations() {
		for seed := range uint64(20) {
			disk := memdisk.New(rand.New(rand.NewPCG(seed, uint64(operation))))
			disk.CrashAfter(operation)
			created, last, term, snapshot := false, uint64(0), uint64(0), uint64(0)
			err := runWrites(disk, func(index, newTerm, newSnap uint64) { created, last, term, snapshot = true, index, newTerm, newSnap })
			require.ErrorIs(t, err, memdisk.ErrCrashed)
			disk.Crash()
			checkRecovered(t, disk, created, last, term, snapshot)
		}
	}
}

func checkRecovered(t *testing.T, disk *memdisk.Disk, created bool, last, term, snapshot uint64) {
	t.Helper()
	_, loaded, err := open(disk)
	require.NoError(t, err)
	if !created {
		return
	}
	require.NotNil(t, loaded.Identity)
	assert.Equal(t, identity, *loaded.Identity)
	r := loaded.Restored
	assert.GreaterOrEqual(t, r.HardState.Term, term)
	assert.GreaterOrEqual(t, r.Snapshot.Index, snapshot)
	lastIndex := r.Snapshot.Index
	if n := len(r.Entries); n > 0 {
		lastIndex = max(lastIndex, r.Entries[n-1].Index)
	}
	assert.GreaterOrEqual(t, lastIndex, last)
}

// The in-memory disk must lose entries whose sync it ignored. Otherwise the crash
// test could not detect a missing sync.
func TestIgnoredSyncsLoseAcknowledgedEntries(t *testing.T) {
	lost := 0
	for seed := range uint64(20) {
		disk := memdisk.New(rand.New(rand.NewPCG(seed, 1)))
		store, _, err := open(disk)
		require.NoError(t, err)
		require.NoError(t, store.Create(identity, consensus.HardState{}, nil))
		disk.IgnoreSync()
		require.NoError(t, store.Append(consensus.HardState{Term: 1}, entries(1, 3, 1)))
		disk.Crash()
		_, loaded, err := open(disk)
		require.NoError(t, err)
		if len(loaded.Restored.Entries) < 3 {
			lost++
		}
	}
	assert.Positive(t, lost)
}

func TestAnyFlippedBitInTheLogIsReported(t *testing.T) {
	reference := memdisk.New(rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, runWrites(reference, func(uint64, uint64, uint64) {}))
	for _, path := range reference.Names() {
		for offset := range reference.Size(path) {
			disk := memdisk.New(rand.New(rand.NewPCG(1, 1)))
			require.NoError(t, runWrites(disk, func(uint64, uint64, uint64) {}))
			disk.FlipBit(path, offset)
			_, _, err := open(disk)
			require.Equal(t, kind.Corrupt, kind.Of(err), "%s at %d: %v", path, offset, err)
			require.ErrorContains(t, err, filepath.Base(path))
			require.ErrorContains(t, err, "offset")
		}
	}
}

func TestConflictingEntriesReplaceOlderOnes(t *testing.T) {
	disk := memdisk.New(rand.New(rand.NewPCG(1, 1)))
	store, _, err := open(disk)
	require.NoError(t, err)
	require.NoError(t, store.Create(identity, consensus.HardState{}, nil))
	require.NoError(t, store.Append(consensus.HardState{Term: 1}, entries(1, 10, 1)))
	require.NoError(t, store.Append(consensus.HardState{Term: 2}, entries(4, 2, 2)))
	disk.Crash()
	_, loaded, err := open(disk)
	require.NoError(t, err)
	require.Len(t, loaded.Restored.Entries, 5)
	assert.EqualValues(t, 1, loaded.Restored.Entries[2].Term)
	assert.EqualValues(t, 2, loaded.Restored.Entries[3].Term)
	assert.EqualValues(t, 5, loaded.Restored.Entries[4].Index)
}

// A log that does not contain the last entry of a received snapshot conflicts with
// the leader's log. Opening the folder must discard it, also a second time.
func TestLogIsVoidBeforeAReceivedSnapshot(t *testing.T) {
	disk := memdisk.New(rand.New(rand.NewPCG(1, 1)))
	store, _, err := open(disk)
	require.NoError(t, err)
	require.NoError(t, store.Create(identity, consensus.HardState{}, nil))
	require.NoError(t, store.Append(consensus.HardState{Term: 1}, entries(1, 10, 1)))
	// The crash comes after the snapshot is installed and before the log is reset.
	require.NoError(t, store.WriteSnapshot(consensus.SnapshotMeta{Index: 8, Term: 2}, []byte("state")))
	disk.Crash()
	for range 2 {
		reopened, loaded, err := open(disk)
		require.NoError(t, err)
		assert.Empty(t, loaded.Restored.Entries)
		assert.EqualValues(t, 8, loaded.Restored.Snapshot.Index)
		require.NoError(t, reopened.Append(consensus.HardState{Term: 2}, nil))
		disk.Crash()
	}
}

func TestFolderWithoutIdentityIsRefused(t *testing.T) {
	disk := memdisk.New(rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, runWrites(disk, func(uint64, uint64, uint64) {}))
	require.NoError(t, disk.Remove(folder+"/identity"))
	_, _, err := open(disk)
	assert.Equal(t, kind.Corrupt, kind.Of(err))
}

func TestFolderWithoutLogIsRefused(t *testing.T) {
	disk := memdisk.New(rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, runWrites(disk, func(uint64, uint64, uint64) {}))
	for _, name := range disk.Names() {
		if filepath.Ext(name) == ".wal" {
			require.NoError(t, disk.Remove(name))
		}
	}
	_, _, err := open(disk)
	assert.Equal(t, kind.Corrupt, kind.Of(err))
}

func TestFolderIsLockedAgainstASecondProcess(t *testing.T) {
	path := t.TempDir()
	first, _, err := storage.Open(path, storage.Options{})
	require.NoError(t, err)
	_, _, err = storage.Open(path, storage.Options{})
	assert.Equal(t, kind.Storage, kind.Of(err))
	require.NoError(t, first.Close())
	second, _, err := storage.Open(path, storage.Options{})
	require.NoError(t, err)
	require.NoError(t, second.Close())
}
