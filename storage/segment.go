package storage

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
)

// formatVersion is the version of the files of this package.
const formatVersion = 1

// segmentHeader is the first record of a segment. It repeats the hard state, so
// that older segments can be removed.
type segmentHeader struct {
	_         struct{} `cbor:",toarray"`
	Version   int
	Sequence  uint64
	HardState consensus.HardState
	// First is the index of the first entry that the segment may hold. With
	// Reset the entries of earlier segments are void.
	First uint64
	Reset bool
}

// batch is the payload of one append. An entry replaces those at or after its
// index.
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

func isSegment(name string) bool {
	return strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix)
}

// segment describes a segment file on the disk.
type segment struct {
	path     string
	sequence uint64
	// first is the index of the first entry that it may hold.
	first uint64
}

// replay is the state gathered from the segments in order.
type replay struct {
	hardState consensus.HardState
	entries   []consensus.Entry
	next      uint64
}

func (r *replay) header(h segmentHeader) error {
	if h.Version != formatVersion {
		return fmt.Errorf("version %d of the log is not known, this program knows %d", h.Version, formatVersion)
	}
	r.hardState = h.HardState
	if h.Reset || r.next == 0 {
		r.entries = nil
		r.next = h.First
	}
	return nil
}

func (r *replay) batch(b batch) error {
	if b.HardState != nil {
		r.hardState = *b.HardState
	}
	if len(b.Entries) == 0 {
		return nil
	}
	if b.First == 0 || b.First > r.next {
		return fmt.Errorf("entry %d follows entry %d", b.First, r.next-1)
	}
	for i := range b.Entries {
		b.Entries[i].Index = b.First + uint64(i)
	}
	kept := uint64(len(r.entries)) - min(uint64(len(r.entries)), r.next-b.First)
	r.entries = append(r.entries[:kept], b.Entries...)
	r.next = b.First + uint64(len(b.Entries))
	return nil
}

// load replays one segment and returns the length of its intact part. A torn
// tail is accepted in the last segment only.
func (r *replay) load(seg *segment, data []byte, last bool) (int64, error) {
	var offset int64
	for offset < int64(len(data)) {
		rec, err := decodeRecord(data[offset:], offset)
		if err != nil {
			if last && isTorn(data, offset, err) {
				return offset, nil
			}
			return 0, corrupt(seg.path, offset, err)
		}
		if err := r.take(seg, rec, offset); err != nil {
			return 0, corrupt(seg.path, offset, err)
		}
		offset += rec.size()
	}
	return offset, nil
}

func (r *replay) take(seg *segment, rec record, offset int64) error {
	if offset == 0 {
		var h segmentHeader
		if err := decodePayload(rec, segmentRecord, &h); err != nil {
			return err
		}
		seg.sequence, seg.first = h.Sequence, h.First
		return r.header(h)
	}
	var b batch
	if err := decodePayload(rec, batchRecord, &b); err != nil {
		return err
	}
	return r.batch(b)
}

func decodePayload(rec record, want recordKind, into any) error {
	if rec.kind != want {
		return errRecordKind
	}
	return cbor.Unmarshal(rec.payload, into)
}

// createSegment writes and syncs a new segment file with its header and opens it
// for appending.
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
		_ = s.current.Close() // Everything in it is synced.
	}
	s.current = file
	data := encodeRecord(segmentRecord, 0, payload)
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	s.size = int64(len(data))
	s.segments = append(s.segments, segment{path: path, sequence: header.Sequence, first: header.First})
	return s.fs.SyncFolder(s.folder)
}

func (s *Store) nextSequence() uint64 {
	if len(s.segments) == 0 {
		return 1
	}
	return s.segments[len(s.segments)-1].sequence + 1
}

// storageError gives an error of the file system its kind.
func storageError(err error, action, path string) error {
	if err == nil || kind.Is(err, kind.Corrupt) {
		return err
	}
	return kind.Errorf(kind.Storage, "%s %q: %w", action, path, err)
}
