package replica

import (
	"testing"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/storage"
)

// stoppedService returns the service of a member whose loop accepts no events.
func stoppedService() *service {
	r := &Replica{options: Options{Logger: zerolog.Nop()}, inbound: make(chan peerEvent), done: make(chan struct{})}
	r.identity.Store(&storage.Identity{Cluster: 7, Member: 9})
	close(r.done)
	return &service{replica: r}
}

// FuzzStepPacket checks that no packet makes the service panic, and that
// packets for another cluster or member are rejected.
func FuzzStepPacket(f *testing.F) {
	for _, e := range []envelope{
		{Cluster: 7, From: 1, To: 9, Messages: []consensus.Message{{Type: consensus.MessageAppend, Entries: []consensus.Entry{{Term: 1}}}}},
		{Cluster: 8, From: 1, To: 9},
	} {
		data, err := encode(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if stoppedService().Step(&Packet{B: data}, &Packet{}) == nil {
			t.Fatal("Step returned no error although the loop accepts no events")
		}
	})
}

// FuzzChunkPacket checks that no part of a snapshot makes the service panic.
func FuzzChunkPacket(f *testing.F) {
	for _, c := range []chunk{
		{Cluster: 7, From: 1, To: 9, Index: 3, Data: []byte("state")},
		{Cluster: 7, From: 1, To: 9, Index: 3, Header: &storage.SnapshotHeader{}, Message: &consensus.Message{Type: consensus.MessageSnapshot}},
	} {
		data, err := encode(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = stoppedService().Chunk(&Packet{B: data}, &Packet{}) // The result does not matter.
	})
}
