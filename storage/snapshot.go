package storage

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
)

// SnapshotHeader describes a snapshot file. It is the first record of the file,
// followed by Size bytes of data with the xxHash64 checksum Digest.
type SnapshotHeader struct {
	Version int                    `cbor:"1,keyasint"`
	Meta    consensus.SnapshotMeta `cbor:"2,keyasint"`
	Size    int64                  `cbor:"3,keyasint"`
	Digest  uint64                 `cbor:"4,keyasint"`
}

const (
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".state"
)

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix)
}

func isSnapshotName(name string) bool {
	return strings.HasPrefix(name, snapshotPrefix) && strings.HasSuffix(name, snapshotSuffix)
}

// WriteSnapshot durably stores a snapshot that this replica took of its state machine.
func (s *Store) WriteSnapshot(meta consensus.SnapshotMeta, data []byte) error {
	header := SnapshotHeader{Version: formatVersion, Meta: meta, Size: int64(len(data)), Digest: xxhash.Sum64(data)}
	return s.InstallSnapshot(header, data)
}

// InstallSnapshot durably stores a snapshot received from another replica. It returns
// an error of kind corrupt if the data does not match the header.
func (s *Store) InstallSnapshot(header SnapshotHeader, data []byte) error {
	name := snapshotName(header.Meta.Index)
	path := filepath.Join(s.folder, name)
	if err := header.Verify(data); err != nil {
		return kind.Errorf(kind.Corrupt, "snapshot for %q: %w", path, err)
	}
	payload, err := cbor.Marshal(header)
	if err != nil {
		return err
	}
	s.temporaryFiles.Lock()
	defer s.temporaryFiles.Unlock()
	err = writeFileAtomically(s.fs, s.folder, name, func(w io.Writer) error {
		if _, err := w.Write(encodeRecord(snapshotRecord, 0, payload)); err != nil {
			return err
		}
		_, err := w.Write(data)
		return err
	})
	return storageError(err, "write snapshot", path)
}

// Verify checks the format version and compares the size and the checksum of data
// with the header.
func (h SnapshotHeader) Verify(data []byte) error {
	if h.Version != formatVersion {
		return fmt.Errorf("snapshot format version %d is not supported, want %d", h.Version, formatVersion)
	}
	if int64(len(data)) != h.Size {
		return fmt.Errorf("the snapshot has %d bytes of data, want %d", len(data), h.Size)
	}
	if xxhash.Sum64(data) != h.Digest {
		return errors.New("the snapshot data does not match its checksum")
	}
	return nil
}

// decodeSnapshot splits the content of a snapshot file into header and data, and
// verifies both.
func decodeSnapshot(content []byte) (SnapshotHeader, []byte, error) {
	rec, err := decodeRecord(content, 0)
	if err != nil {
		return SnapshotHeader{}, nil, err
	}
	var header SnapshotHeader
	if err := decodePayload(rec, snapshotRecord, &header); err != nil {
		return SnapshotHeader{}, nil, err
	}
	data := content[rec.size():]
	return header, data, header.Verify(data)
}

// ReadSnapshot reads and verifies the snapshot whose last entry is at index. A damaged
// file is an error of kind corrupt.
func (s *Store) ReadSnapshot(index uint64) (SnapshotHeader, []byte, error) {
	path := filepath.Join(s.folder, snapshotName(index))
	content, err := readFile(s.fs, path)
	if err != nil {
		return SnapshotHeader{}, nil, storageError(err, "read snapshot", path)
	}
	header, data, err := decodeSnapshot(content)
	if err != nil {
		return SnapshotHeader{}, nil, corrupt(path, 0, err)
	}
	return header, data, nil
}

// latestSnapshot returns the metadata of the latest snapshot among the sorted file
// names, or the zero value if there is none.
func (s *Store) latestSnapshot(names []string) (consensus.SnapshotMeta, error) {
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !isSnapshotName(name) })
	if len(names) == 0 {
		return consensus.SnapshotMeta{}, nil
	}
	path := filepath.Join(s.folder, names[len(names)-1])
	content, err := readFile(s.fs, path)
	if err != nil {
		return consensus.SnapshotMeta{}, err
	}
	header, _, err := decodeSnapshot(content)
	if err != nil {
		return consensus.SnapshotMeta{}, corrupt(path, 0, err)
	}
	return header.Meta, nil
}

// RemoveSnapshotsBefore removes the snapshots whose last entry is before index.
func (s *Store) RemoveSnapshotsBefore(index uint64) error {
	names, err := s.fs.List(s.folder)
	if err != nil {
		return storageError(err, "list", s.folder)
	}
	for _, name := range names {
		if !isSnapshotName(name) || name >= snapshotName(index) {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.folder, name)); err != nil {
			return storageError(err, "remove snapshot", name)
		}
	}
	return nil
}
