package storage

import (
	"errors"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
)

// DefaultSegmentBytes is the size after which a new segment is begun.
const DefaultSegmentBytes = 4 << 20

// Options configures a Store. Zero values stand for the defaults.
type Options struct {
	FileSystem   FileSystem
	SegmentBytes int64
}

// Store is the open folder of one replica. It is not safe for concurrent use,
// but for the methods on snapshots, which may run beside the others. After an
// error of a writing method nothing more may be written: what the disk holds is
// not known until the folder is opened again.
type Store struct {
	fs       FileSystem
	folder   string
	options  Options
	lock     io.Closer
	current  File
	size     int64
	segments []segment
	state    consensus.HardState
	next     uint64
	failed   error
	// syncs counts the appends that were synced.
	syncs uint64
}

// LoadedState is what Open found. Identity is nil in an empty folder.
type LoadedState struct {
	Identity *Identity
	Restored consensus.Restored
}

const lockName = "lock"

// Open opens the folder and reads it. A torn record at the end of the log is cut
// off. Errors are of kind corrupt or storage.
func Open(folder string, options Options) (*Store, LoadedState, error) {
	if options.FileSystem == nil {
		options.FileSystem = OSFileSystem{}
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	s := &Store{fs: options.FileSystem, folder: folder, options: options}
	loaded, err := s.open()
	if err != nil {
		return nil, LoadedState{}, errors.Join(storageError(err, "open folder", folder), s.Close())
	}
	return s, loaded, nil
}

func (s *Store) open() (LoadedState, error) {
	if err := s.fs.MakeFolder(s.folder); err != nil {
		return LoadedState{}, err
	}
	lock, err := s.fs.Lock(filepath.Join(s.folder, lockName))
	if err != nil {
		return LoadedState{}, err
	}
	s.lock = lock
	names, err := s.cleanNames()
	if err != nil {
		return LoadedState{}, err
	}
	if len(names) == 0 {
		return LoadedState{}, nil
	}
	return s.load(names)
}

// cleanNames lists the folder and removes what a crash left half written.
func (s *Store) cleanNames() ([]string, error) {
	all, err := s.fs.List(s.folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, name := range all {
		if name == lockName {
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
	if !slices.Contains(names, identityName) {
		return s.loadUnfinished(names)
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

// loadUnfinished handles a folder without identity: a creation that a crash
// interrupted is undone, anything else is refused.
func (s *Store) loadUnfinished(names []string) (LoadedState, error) {
	if len(names) != 1 || names[0] != segmentName(1) {
		return LoadedState{}, kind.Errorf(kind.Corrupt, "folder %q holds %q but no identity: it is no data folder, or its identity is lost", s.folder, names[0])
	}
	if err := s.fs.Remove(filepath.Join(s.folder, names[0])); err != nil {
		return LoadedState{}, err
	}
	return LoadedState{}, s.fs.SyncFolder(s.folder)
}

func (s *Store) loadSegments(names []string) (replay, error) {
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !isSegment(name) })
	if len(names) == 0 {
		return replay{}, kind.Errorf(kind.Corrupt, "folder %q holds an identity but no log", s.folder)
	}
	var r replay
	for i, name := range names {
		if err := s.loadSegment(&r, name, i == len(names)-1); err != nil {
			return replay{}, err
		}
	}
	return r, s.openLast()
}

func (s *Store) loadSegment(r *replay, name string, last bool) error {
	seg := segment{path: filepath.Join(s.folder, name)}
	data, err := readFile(s.fs, seg.path)
	if err != nil {
		return err
	}
	intact, err := r.load(&seg, data, last)
	if err != nil {
		return err
	}
	if intact == 0 {
		return s.dropBlankSegment(seg, last)
	}
	if n := len(s.segments); n > 0 && seg.sequence != s.segments[n-1].sequence+1 {
		return corrupt(seg.path, 0, errors.New("a segment before it is missing"))
	}
	s.segments = append(s.segments, seg)
	s.size = intact
	if intact == int64(len(data)) {
		return nil
	}
	return s.cutTail(seg, intact)
}

// dropBlankSegment removes a last segment whose header was never synced.
func (s *Store) dropBlankSegment(seg segment, last bool) error {
	if !last || len(s.segments) == 0 {
		return corrupt(seg.path, 0, errRecordShort)
	}
	if err := s.fs.Remove(seg.path); err != nil {
		return err
	}
	return s.fs.SyncFolder(s.folder)
}

func (s *Store) cutTail(seg segment, size int64) error {
	if err := s.fs.Truncate(seg.path, size); err != nil {
		return err
	}
	file, err := s.fs.Append(seg.path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

func (s *Store) openLast() error {
	file, err := s.fs.Append(s.segments[len(s.segments)-1].path)
	s.current = file
	return err
}

// reconcile joins snapshot and log. A log that does not contain the last entry
// of the snapshot is void: a crash came between both when the snapshot was
// received from the leader.
func (s *Store) reconcile(snapshot consensus.SnapshotMeta, r replay) (consensus.Restored, error) {
	s.state = r.hardState
	s.next = r.next
	restored := consensus.Restored{HardState: r.hardState, Snapshot: snapshot, Entries: r.entries}
	first := r.next - uint64(len(r.entries))
	if first > snapshot.Index+1 {
		return restored, kind.Errorf(kind.Corrupt, "folder %q: the log begins at entry %d, the snapshot ends at %d", s.folder, first, snapshot.Index)
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

// Create writes the first state into an empty folder: the log first, the
// identity last, so that a folder with an identity is whole.
func (s *Store) Create(identity Identity, state consensus.HardState, entries []consensus.Entry) error {
	if len(s.segments) > 0 {
		return kind.Errorf(kind.AlreadyExists, "folder %q is in use", s.folder)
	}
	s.next = 1
	err := s.createSegment(segmentHeader{Sequence: 1, First: 1})
	if err == nil {
		err = s.append(state, entries)
	}
	if err == nil {
		err = s.writeIdentity(identity)
	}
	return s.fail(err, "create state in")
}

// Append writes hard state and entries as one record and syncs it. An entry
// replaces those at or after its index.
func (s *Store) Append(state consensus.HardState, entries []consensus.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	return s.fail(s.append(state, entries), "append to")
}

func (s *Store) append(state consensus.HardState, entries []consensus.Entry) error {
	b := batch{Entries: entries}
	if state != s.state {
		b.HardState = &state
	}
	if len(entries) > 0 {
		b.First = entries[0].Index
		s.next = b.First + uint64(len(entries))
	}
	s.state = state
	payload, err := cbor.Marshal(b)
	if err != nil {
		return err
	}
	if err := s.writeRecord(payload); err != nil {
		return err
	}
	if s.size < s.options.SegmentBytes {
		return nil
	}
	return s.createSegment(segmentHeader{Sequence: s.nextSequence(), HardState: s.state, First: s.next})
}

func (s *Store) writeRecord(payload []byte) error {
	data := encodeRecord(batchRecord, s.size, payload)
	if _, err := s.current.Write(data); err != nil {
		return err
	}
	s.size += int64(len(data))
	s.syncs++
	return s.current.Sync()
}

// Syncs returns the number of synced appends.
func (s *Store) Syncs() uint64 { return s.syncs }

// Reset voids the log before a snapshot that was received from the leader and
// is durable. The log goes on after it.
func (s *Store) Reset(snapshot consensus.SnapshotMeta) error {
	if s.failed != nil {
		return s.failed
	}
	s.next = snapshot.Index + 1
	header := segmentHeader{Sequence: s.nextSequence(), HardState: s.state, First: s.next, Reset: true}
	err := s.createSegment(header)
	if err == nil {
		err = s.removeSegments(len(s.segments) - 1)
	}
	return s.fail(err, "reset the log in")
}

// Compact removes the segments whose entries are all at or before keep, which a
// durable snapshot covers.
func (s *Store) Compact(keep uint64) error {
	if s.failed != nil {
		return s.failed
	}
	covered := 0
	for covered+1 < len(s.segments) && s.segments[covered+1].first <= keep+1 {
		covered++
	}
	return s.fail(s.removeSegments(covered), "compact the log in")
}

// removeSegments removes the first count segments, the oldest first, so that a
// crash leaves no gap.
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

// fail remembers the first error of a writing method.
func (s *Store) fail(err error, action string) error {
	if err != nil && s.failed == nil {
		s.failed = storageError(err, action, s.folder)
	}
	return s.failed
}

// Close releases the folder. Everything that was answered is synced already.
func (s *Store) Close() error {
	var errs []error
	if s.current != nil {
		errs = append(errs, s.current.Close())
	}
	if s.lock != nil {
		errs = append(errs, s.lock.Close())
	}
	s.failed = kind.Errorf(kind.Storage, "folder %q is closed", s.folder)
	return errors.Join(errs...)
}
