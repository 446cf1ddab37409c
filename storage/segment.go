package storage

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
)

// formatVersion is the version of the file formats of this package.
const formatVersion = 1

// segmentHeader is the first record of a segment. It repeats the hard state so that
// older segments can be removed.
type segmentHeader struct {
	_         struct{} `cbor:",toarray"`
	Version   int
	Sequence  uint64
	HardState consensus.HardState
	// First is the index of the first entry that the segment may hold. Reset
	// discards the entries of earlier segments.
	First uint64
	Reset bool
}

// batch is the payload of one append. Its entries replace all earlier entries with
// index First or higher. HardState is nil if it did not change.
type batch struct {
	_         struct{} `cbor:",toarray"`
	HardState *consensus.HardState
	First     uint64
	Entries   []consensus.Entry
}

const (
	segmentPrefix = "log-"
	segmentSuffix = ".wal"
)

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, sequence, segmentSuffix)
}

func isSegmentName(name string) bool {
	return strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix)
}

// segment describes a segment file.
type segment struct {
	path     string
	sequence uint64
	// firstIndex is the index of the first entry that the segment may hold.
	firstIndex uint64
}

// replay is the state restored by reading the segments in order. The entries end
// before nextIndex.
type replay struct {
	hardState consensus.HardState
	entries   []consensus.Entry
	nextIndex uint64
}

func (r *replay) applyHeader(h segmentHeader) error {
	if h.Version != formatVersion {
		return fmt.Errorf("log format version %d is not supported, want %d", h.Version, formatVersion)
	}
	r.hardState = h.HardState
	if h.Reset || r.nextIndex == 0 {
		r.entries = nil
		r.nextIndex = h.First
	}
	return nil
}

func (r *replay) applyBatch(b batch) error {
	if b.HardState != nil {
		r.hardState = *b.HardState
	}
	if len(b.Entries) == 0 {
		return nil
	}
	if b.First == 0 || b.First > r.nextIndex {
		return fmt.Errorf("the batch begins at entry %d, but the log ends at entry %d", b.First, r.nextIndex-1)
	}
	for i := range b.Entries {
		b.Entries[i].Index = b.First + uint64(i)
	}
	keptCount := uint64(len(r.entries)) - min(uint64(len(r.entries)), r.nextIndex-b.First)
	r.entries = append(r.entries[:keptCount], b.Entries...)
	r.nextIndex = b.First + uint64(len(b.Entries))
	return nil
}

// replaySegment replays one segment and returns the length of its intact part in
// bytes. It accepts a torn record only at the end of the last segment.
func (r *replay) replaySegment(seg *segment, data []byte, last bool) (int64, error) {
	var offset int64
	for offset < int64(len(data)) {
		rec, err := decodeRecord(data[offset:], offset)
		if err != nil {
			if last && isTorn(data, offset, err) {
				return offset, nil
			}
			return 0, corrupt(seg.path, offset, err)
		}
		if err := r.applyRecord(seg, rec, offset); err != nil {
			return 0, corrupt(seg.path, offset, err)
		}
		offset += rec.size()
	}
	return offset, nil
}

func (r *replay) applyRecord(seg *segment, rec record, offset int64) error {
	if offset == 0 {
		var h segmentHeader
		if err := decodePayload(rec, segmentRecord, &h); err != nil {
			return err
		}
		seg.sequence, seg.firstIndex = h.Sequence, h.First
		return r.applyHeader(h)
	}
	var b batch
	if err := decodePayload(rec, batchRecord, &b); err != nil {
		return err
	}
	return r.applyBatch(b)
}

func decodePayload(rec record, want recordKind, into any) error {
	if rec.kind != want {
		return errRecordKind
	}
	return cbor.Unmarshal(rec.payload, into)
}

// createSegment creates a segment file, writes and syncs its header, and makes it the
// segment that appends go to.
func (s *Store) createSegment(header segmentHeader) error {
	header.Version = formatVersion
	payload, err := cbor.Marshal(header)
	if err != nil {
		return err
	}
	path := filepath.Join(s.folder, segmentName(header.Sequence))
	file, err := s.fs.Create(path)
	if err != nil {
		return err
	}
	if s.current != nil {
		_ = s.current.Close() // All its data is synced.
	}
	s.current = file
	data := encodeRecord(segmentRecord, 0, payload)
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	s.segmentSize = int64(len(data))
	s.syncedSize = s.segmentSize
	s.segments = append(s.segments, segment{path: path, sequence: header.Sequence, firstIndex: header.First})
	return s.fs.SyncFolder(s.folder)
}

func (s *Store) nextSequence() uint64 {
	if len(s.segments) == 0 {
		return 1
	}
	return s.segments[len(s.segments)-1].sequence + 1
}

// storageError wraps a file system error as kind storage. Errors of kind corrupt are
// returned unchanged.
func storageError(err error, action, path string) error {
	if err == nil || kind.Is(err, kind.Corrupt) {
		return err
	}
	return kind.Errorf(kind.Storage, "%s %q: %w", action, path, err)
}
