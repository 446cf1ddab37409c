package storage

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/consensus"
)

func seedSegment(f *testing.F) []byte {
	header, err := cbor.Marshal(segmentHeader{Version: formatVersion, Sequence: 1, First: 1})
	if err != nil {
		f.Fatal(err)
	}
	data := encodeRecord(segmentRecord, 0, header)
	payload, err := cbor.Marshal(batch{First: 1, Entries: []consensus.Entry{{Term: 1, Data: []byte("command")}}})
	if err != nil {
		f.Fatal(err)
	}
	return append(data, encodeRecord(batchRecord, int64(len(data)), payload)...)
}

// FuzzSegment checks that replaying arbitrary segment content does not panic and does
// not report more intact bytes than there are.
func FuzzSegment(f *testing.F) {
	f.Add(seedSegment(f))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r replay
		intactSize, err := r.replaySegment(&segment{}, data, true)
		if err == nil && (intactSize < 0 || intactSize > int64(len(data))) {
			t.Fatalf("replay reported %d intact bytes of %d", intactSize, len(data))
		}
	})
}

// FuzzBatch checks that replaying any decodable batch does not panic and adds at most
// the entries of the batch.
func FuzzBatch(f *testing.F) {
	payload, err := cbor.Marshal(batch{HardState: &consensus.HardState{Term: 3}, First: 2, Entries: []consensus.Entry{{Term: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(payload)
	f.Fuzz(func(t *testing.T, data []byte) {
		r := replay{nextIndex: 3, entries: make([]consensus.Entry, 2)}
		var b batch
		if decodePayload(record{batchRecord, data}, batchRecord, &b) != nil {
			return
		}
		before := len(r.entries)
		if err := r.applyBatch(b); err == nil && len(r.entries) > before+len(b.Entries) {
			t.Fatalf("%d entries after %d entries and a batch of %d", len(r.entries), before, len(b.Entries))
		}
	})
}

// FuzzRecord checks that a decoded record encodes to the same bytes.
func FuzzRecord(f *testing.F) {
	f.Add(encodeRecord(batchRecord, 64, []byte("payload")), int64(64))
	f.Fuzz(func(t *testing.T, data []byte, offset int64) {
		rec, err := decodeRecord(data, offset)
		if err != nil {
			return
		}
		encoded := encodeRecord(rec.kind, offset, rec.payload)
		if data[3] == 0 && !bytes.Equal(encoded, data[:len(encoded)]) {
			t.Fatal("the encoded record differs from the decoded one")
		}
	})
}

// FuzzSnapshot checks that decoding arbitrary snapshot content does not panic and
// accepts only data of the size in the header.
func FuzzSnapshot(f *testing.F) {
	header, err := cbor.Marshal(SnapshotHeader{Version: formatVersion, Size: 0, Digest: 0xef46db3751d8e999})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encodeRecord(snapshotRecord, 0, header))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, state, err := decodeSnapshot(data)
		if err == nil && int64(len(state)) != h.Size {
			t.Fatalf("decoded %d bytes of snapshot data, header has %d", len(state), h.Size)
		}
	})
}
