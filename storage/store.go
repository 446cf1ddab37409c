package storage

import (
	"errors"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
)

// DefaultSegmentBytes is the size at which a segment is full and a new one is created.
const DefaultSegmentBytes = 4 << 20

// Options configures a Store. The zero values select OSFileSystem and
// DefaultSegmentBytes.
type Options struct {
	FileSystem   FileSystem
	SegmentBytes int64
}

// Store is the open data folder of one replica. It is not safe for concurrent use,
// except for the snapshot methods, which may run concurrently with the others. After
// a failed write to the log, Append, Reset and Compact return that error, since the
// content of the disk is unknown. Only after a write that failed for lack of space can
// Reload make the store usable again.
type Store struct {
	fs          FileSystem
	folder      string
	options     Options
	lock        io.Closer
	current     File
	segmentSize int64
	// syncedSize is the part of the last segment that was synced, zero before the log is
	// loaded or created.
	syncedSize int64
	// rewriteLast is set if Open failed for lack of space: the last segment is then written
	// anew before it counts.
	rewriteLast bool
	segments    []segment
	hardState   consensus.HardState
	nextIndex   uint64
	writeErr    error
	// syncs counts the synced appends.
	syncs uint64
	// temporaryFiles serializes the writing of snapshots with the removal of temporary
	// files in Reload.
	temporaryFiles sync.Mutex
}

// LoadedState is the durable state that Open found. Identity is nil for an empty
// folder.
type LoadedState struct {
	Identity *Identity
	Restored consensus.Restored
}

const lockFileName = "lock"

// Open locks the folder, creates it if it is missing, and reads its state. It
// truncates a torn record at the end of the log. Errors are of kind corrupt or
// storage. If the disk has no space (IsFull), the result is an error together with a
// store that becomes usable by Reload; it must be closed.
func Open(folder string, options Options) (*Store, LoadedState, error) {
	if options.FileSystem == nil {
		options.FileSystem = OSFileSystem{}
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	s := &Store{fs: options.FileSystem, folder: folder, options: options}
	loaded, err := s.open()
	if IsFull(err) {
		s.rewriteLast = true
		return s, LoadedState{}, s.fail(err, "open folder")
	}
	if err != nil {
		return nil, LoadedState{}, errors.Join(storageError(err, "open folder", folder), s.Close())
	}
	return s, loaded, nil
}

func (s *Store) open() (LoadedState, error) {
	if err := s.fs.MakeFolder(s.folder); err != nil {
		return LoadedState{}, err
	}
	if err := s.acquireLock(); err != nil {
		return LoadedState{}, err
	}
	names, err := s.removeTemporaryFiles()
	if err != nil {
		return LoadedState{}, err
	}
	if len(names) == 0 {
		return LoadedState{}, nil
	}
	return s.load(names)
}

func (s *Store) acquireLock() (err error) {
	if s.lock == nil {
		s.lock, err = s.fs.Lock(filepath.Join(s.folder, lockFileName))
	}
	return err
}

// removeTemporaryFiles removes the files that a crash left partly written, and
// returns the sorted names of all others but the lock file.
func (s *Store) removeTemporaryFiles() ([]string, error) {
	all, err := s.fs.List(s.folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, name := range all {
		if name == lockFileName {
			continue
		}
		if !strings.HasSuffix(name, temporarySuffix) {
			names = append(names, name)
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.folder, name)); err != nil {
			return nil, err
		}
	}
	return names, nil
}

func (s *Store) load(names []string) (LoadedState, error) {
	if !slices.Contains(names, identityFileName) {
		return s.undoInterruptedCreate(names)
	}
	identity, err := s.readIdentity()
	if err != nil {
		return LoadedState{}, err
	}
	snapshot, err := s.latestSnapshot(names)
	if err != nil {
		return LoadedState{}, err
	}
	r, err := s.loadSegments(names)
	if err != nil {
		return LoadedState{}, err
	}
	restored, err := s.reconcile(snapshot, r)
	if err != nil {
		return LoadedState{}, err
	}
	return LoadedState{Identity: identity, Restored: restored}, nil
}

// undoInterruptedCreate handles a folder without identity. If a crash interrupted
// Create, it removes the first segment. Any other content is an error.
func (s *Store) undoInterruptedCreate(names []string) (LoadedState, error) {
	if len(names) != 1 || names[0] != segmentName(1) {
		return LoadedState{}, kind.Errorf(kind.Corrupt, "folder %q holds %q but no identity: it is not a data folder, or its identity file is lost", s.folder, names[0])
	}
	if err := s.fs.Remove(filepath.Join(s.folder, names[0])); err != nil {
		return LoadedState{}, err
	}
	return LoadedState{}, s.fs.SyncFolder(s.folder)
}

func (s *Store) loadSegments(names []string) (replay, error) {
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !isSegmentName(name) })
	if len(names) == 0 {
		return replay{}, kind.Errorf(kind.Corrupt, "folder %q holds an identity but no log segment", s.folder)
	}
	var r replay
	for i, name := range names {
		if err := s.loadSegment(&r, name, i == len(names)-1); err != nil {
			return replay{}, err
		}
	}
	if err := s.rewriteLastSegment(); err != nil {
		return replay{}, err
	}
	if err := s.openLastSegment(); err != nil {
		return replay{}, err
	}
	return r, s.syncLoaded()
}

// syncLoaded makes what was read durable: a process that ended between a write and its
// sync leaves data that a loss of power would still remove.
func (s *Store) syncLoaded() error {
	if err := s.current.Sync(); err != nil {
		return err
	}
	s.syncedSize = s.segmentSize
	return s.fs.SyncFolder(s.folder)
}

func (s *Store) loadSegment(r *replay, name string, last bool) error {
	seg := segment{path: filepath.Join(s.folder, name)}
	data, err := readFile(s.fs, seg.path)
	if err != nil {
		return err
	}
	intactSize, err := r.replaySegment(&seg, data, last)
	if err != nil {
		return err
	}
	if intactSize == 0 {
		return s.removeSegmentWithoutHeader(seg, last)
	}
	if n := len(s.segments); n > 0 && seg.sequence != s.segments[n-1].sequence+1 {
		return corrupt(seg.path, 0, errors.New("the preceding segment is missing"))
	}
	s.segments = append(s.segments, seg)
	s.segmentSize = intactSize
	if intactSize == int64(len(data)) {
		return nil
	}
	return s.truncateSegment(seg, intactSize)
}

// removeSegmentWithoutHeader removes the last segment if a crash came before its header
// was synced. Such damage of any other segment is an error.
func (s *Store) removeSegmentWithoutHeader(seg segment, last bool) error {
	if !last || len(s.segments) == 0 {
		return corrupt(seg.path, 0, errRecordIncomplete)
	}
	if err := s.fs.Remove(seg.path); err != nil {
		return err
	}
	return s.fs.SyncFolder(s.folder)
}

func (s *Store) truncateSegment(seg segment, size int64) error {
	if err := s.fs.Truncate(seg.path, size); err != nil {
		return err
	}
	file, err := s.fs.Append(seg.path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

func (s *Store) openLastSegment() error {
	file, err := s.fs.Append(s.segments[len(s.segments)-1].path)
	s.current = file
	return err
}

// reconcile combines the snapshot with the log. A log that does not contain the last
// entry of the snapshot is discarded: a crash came after a snapshot from the leader
// was installed and before the log was reset.
func (s *Store) reconcile(snapshot consensus.SnapshotMeta, r replay) (consensus.Restored, error) {
	s.hardState = r.hardState
	s.nextIndex = r.nextIndex
	restored := consensus.Restored{HardState: r.hardState, Snapshot: snapshot, Entries: r.entries}
	first := r.nextIndex - uint64(len(r.entries))
	if first > snapshot.Index+1 {
		return restored, kind.Errorf(kind.Corrupt, "folder %q: the log begins at entry %d, but the snapshot ends at entry %d", s.folder, first, snapshot.Index)
	}
	if first == snapshot.Index+1 || containsEntry(r.entries, snapshot) {
		return restored, nil
	}
	restored.Entries = nil
	return restored, s.Reset(snapshot)
}

func containsEntry(entries []consensus.Entry, at consensus.SnapshotMeta) bool {
	return slices.ContainsFunc(entries, func(e consensus.Entry) bool {
		return e.Index == at.Index && e.Term == at.Term
	})
}

// Create writes the initial state to an empty folder. It writes the identity last, so
// that a folder with an identity is complete.
func (s *Store) Create(identity Identity, state consensus.HardState, entries []consensus.Entry) error {
	if len(s.segments) > 0 {
		return kind.Errorf(kind.AlreadyExists, "folder %q already holds a log", s.folder)
	}
	s.nextIndex = 1
	err := s.createSegment(segmentHeader{Sequence: 1, First: 1})
	if err == nil {
		err = s.append(state, entries)
	}
	if err == nil {
		err = s.writeIdentity(identity)
	}
	return s.fail(err, "create state in")
}

// Append writes the hard state and the entries as one record and syncs it. The new
// entries replace all earlier ones from the first new index on.
func (s *Store) Append(state consensus.HardState, entries []consensus.Entry) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	return s.fail(s.append(state, entries), "append to")
}

func (s *Store) append(state consensus.HardState, entries []consensus.Entry) error {
	b := batch{Entries: entries}
	if state != s.hardState {
		b.HardState = &state
	}
	if len(entries) > 0 {
		b.First = entries[0].Index
		s.nextIndex = b.First + uint64(len(entries))
	}
	s.hardState = state
	payload, err := cbor.Marshal(b)
	if err != nil {
		return err
	}
	if err := s.writeRecord(payload); err != nil {
		return err
	}
	s.syncedSize = s.segmentSize
	if s.segmentSize < s.options.SegmentBytes {
		return nil
	}
	return s.createSegment(segmentHeader{Sequence: s.nextSequence(), HardState: s.hardState, First: s.nextIndex})
}

func (s *Store) writeRecord(payload []byte) error {
	data := encodeRecord(batchRecord, s.segmentSize, payload)
	if _, err := s.current.Write(data); err != nil {
		return err
	}
	s.segmentSize += int64(len(data))
	s.syncs++
	return s.current.Sync()
}

// Syncs returns the number of synced appends.
func (s *Store) Syncs() uint64 { return s.syncs }

// Reset discards the log in favor of a snapshot from the leader, which must be durable
// already. The new log begins after the last entry of the snapshot.
func (s *Store) Reset(snapshot consensus.SnapshotMeta) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	s.nextIndex = snapshot.Index + 1
	header := segmentHeader{Sequence: s.nextSequence(), HardState: s.hardState, First: s.nextIndex, Reset: true}
	err := s.createSegment(header)
	if err == nil {
		err = s.removeSegments(len(s.segments) - 1)
	}
	return s.fail(err, "reset the log in")
}

// Compact removes the segments whose entries are all at or before index. A durable
// snapshot must cover them.
func (s *Store) Compact(index uint64) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	covered := 0
	for covered+1 < len(s.segments) && s.segments[covered+1].firstIndex <= index+1 {
		covered++
	}
	return s.fail(s.removeSegments(covered), "compact the log in")
}

// removeSegments removes the oldest count segments. It removes the oldest first and
// syncs each removal, so that a crash leaves no gap.
func (s *Store) removeSegments(count int) error {
	for range count {
		if err := s.fs.Remove(s.segments[0].path); err != nil {
			return err
		}
		s.segments = s.segments[1:]
		if err := s.fs.SyncFolder(s.folder); err != nil {
			return err
		}
	}
	return nil
}

// fail records the first write error and returns it from then on.
func (s *Store) fail(err error, action string) error {
	if err != nil && s.writeErr == nil {
		s.writeErr = storageError(err, action, s.folder)
	}
	return s.writeErr
}

// Close closes the log and releases the lock. It has nothing to sync, since every
// append was synced before it returned.
func (s *Store) Close() error {
	var errs []error
	if s.current != nil {
		errs = append(errs, s.current.Close())
	}
	if s.lock != nil {
		errs = append(errs, s.lock.Close())
	}
	s.writeErr = kind.Errorf(kind.Storage, "folder %q is closed", s.folder)
	return errors.Join(errs...)
}
