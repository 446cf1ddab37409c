package storage

import (
	"errors"
	"io"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
)

// ClusterID identifies a cluster. The first member chooses it at random.
type ClusterID uint64

// Identity identifies the cluster and the member that a data folder belongs to.
type Identity struct {
	Cluster ClusterID          `cbor:"1,keyasint"`
	Member  consensus.MemberID `cbor:"2,keyasint"`
	Name    string             `cbor:"3,keyasint"`
}

const identityFileName = "identity"

func (s *Store) writeIdentity(identity Identity) error {
	payload, err := cbor.Marshal(identity)
	if err != nil {
		return err
	}
	return writeFileAtomically(s.fs, s.folder, identityFileName, func(w io.Writer) error {
		_, err := w.Write(encodeRecord(identityRecord, 0, payload))
		return err
	})
}

func (s *Store) readIdentity() (*Identity, error) {
	path := filepath.Join(s.folder, identityFileName)
	data, err := readFile(s.fs, path)
	if err != nil {
		return nil, err
	}
	record, err := decodeRecord(data, 0)
	if err != nil {
		return nil, corrupt(path, 0, err)
	}
	var identity Identity
	if err := decodePayload(record, identityRecord, &identity); err != nil {
		return nil, corrupt(path, 0, err)
	}
	return &identity, nil
}

func readFile(fs FileSystem, path string) (data []byte, err error) {
	file, err := fs.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return io.ReadAll(file)
}

// corrupt returns an error of kind corrupt for damage at a byte offset of a file.
func corrupt(path string, offset int64, cause error) error {
	return kind.Errorf(kind.Corrupt, "file %q is damaged at offset %d: %w", path, offset, cause)
}
