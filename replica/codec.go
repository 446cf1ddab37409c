package replica

import (
	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

// envelope carries messages from one member of a cluster to another.
type envelope struct {
	_        struct{} `cbor:",toarray"`
	Cluster  storage.ClusterID
	From     consensus.MemberID
	To       consensus.MemberID
	Messages []consensus.Message
}

// chunk carries a part of a snapshot. Header and Message are set in the last
// one.
type chunk struct {
	_       struct{} `cbor:",toarray"`
	Cluster storage.ClusterID
	From    consensus.MemberID
	To      consensus.MemberID
	Index   uint64
	Offset  int64
	Data    []byte
	Header  *storage.SnapshotHeader
	Message *consensus.Message
}

func encode(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, kind.Errorf(kind.Internal, "encode %T: %w", value, err)
	}
	return data, nil
}

func decode(data []byte, into any) error {
	if err := cbor.Unmarshal(data, into); err != nil {
		return kind.Errorf(kind.BadRequest, "decode %T of %d bytes: %w", into, len(data), err)
	}
	return nil
}

// fillEnvelopeFields sets the fields of messages that are not encoded: sender,
// receiver and the indexes of the entries.
func fillEnvelopeFields(messages []consensus.Message, from, to consensus.MemberID) {
	for i := range messages {
		m := &messages[i]
		m.From, m.To = from, to
		for j := range m.Entries {
			m.Entries[j].Index = m.Index + 1 + uint64(j)
		}
	}
}
