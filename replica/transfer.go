package replica

import (
	"context"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

const (
	// chunkBytes is the size of one part of a snapshot in bytes.
	chunkBytes = 128 << 10
	// maxSnapshotBytes limits the size of a snapshot that a peer may send.
	maxSnapshotBytes = 256 << 20
)

// transferSnapshot sends a snapshot in parts. It runs in its own goroutine, so
// that the sender continues to send heartbeats.
func (s *sender) transferSnapshot(m consensus.Message) {
	defer s.replica.group.Done()
	answers, err := s.sendSnapshot(m)
	if err != nil {
		s.replica.options.Logger.Warn().Err(err).Str("peer", s.member.Name).Msg("snapshot not transferred")
		s.replica.deliverToLoop(peerEvent{from: s.member.ID, transferFailed: true})
		return
	}
	s.replica.deliverToLoop(peerEvent{from: s.member.ID, messages: answers})
}

func (s *sender) sendSnapshot(m consensus.Message) ([]consensus.Message, error) {
	header, data, err := s.replica.store.ReadSnapshot(m.Snapshot.Index)
	if err != nil {
		return nil, err
	}
	for offset := 0; ; offset += chunkBytes {
		end := min(offset+chunkBytes, len(data))
		part := chunk{
			Cluster: s.identity.Cluster, From: s.identity.Member, To: s.member.ID,
			Index: header.Meta.Index, Offset: int64(offset), Data: data[offset:end],
		}
		if end < len(data) {
			if _, err := s.sendChunk(part); err != nil {
				return nil, err
			}
			continue
		}
		part.Header, part.Message = &header, &m
		return s.sendChunk(part)
	}
}

func (s *sender) sendChunk(part chunk) ([]consensus.Message, error) {
	ctx, cancel := context.WithTimeout(s.replica.ctx, 2*s.replica.options.electionTimeout())
	defer cancel()
	return s.roundTrip(ctx, chunkMethod, part)
}

// partialSnapshot is a snapshot of which some parts have been received.
type partialSnapshot struct {
	index uint64
	data  []byte
}

// Chunk receives a part of a snapshot. The reply to the last part is sent once
// the snapshot is durable and installed.
func (s *service) Chunk(args *Packet, reply *Packet) error {
	var part chunk
	if err := decode(args.B, &part); err != nil {
		return err
	}
	if err := s.replica.checkPeer(part.Cluster, part.From, part.To); err != nil {
		return err
	}
	data, err := s.appendChunk(part)
	if err != nil {
		return err
	}
	if part.Header == nil || part.Message == nil {
		reply.B, err = encode([]consensus.Message{})
		return err
	}
	if err := part.Header.Verify(data); err != nil {
		return kind.Errorf(kind.Corrupt, "snapshot %d from %s: %w", part.Index, part.From, err)
	}
	m := *part.Message
	m.Snapshot = &part.Header.Meta
	messages := []consensus.Message{m}
	fillEnvelopeFields(messages, part.From, part.To)
	return s.deliver(peerEvent{from: part.From, messages: messages, snapshot: &receivedSnapshot{*part.Header, data}}, reply)
}

// appendChunk appends a part to the ones received before and returns all data
// so far. A part at offset zero discards every unfinished transfer and starts a
// new one.
func (s *service) appendChunk(part chunk) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incoming == nil {
		s.incoming = make(map[consensus.MemberID]*partialSnapshot)
	}
	if part.Offset == 0 {
		clear(s.incoming)
		s.incoming[part.From] = &partialSnapshot{index: part.Index}
	}
	a := s.incoming[part.From]
	if a == nil || a.index != part.Index || int64(len(a.data)) != part.Offset {
		return nil, kind.Errorf(kind.BadRequest, "part of snapshot %d at offset %d does not follow the parts received before", part.Index, part.Offset)
	}
	if len(a.data)+len(part.Data) > maxSnapshotBytes {
		return nil, kind.Errorf(kind.BodyTooLarge, "snapshot %d exceeds %d bytes", part.Index, maxSnapshotBytes)
	}
	a.data = append(a.data, part.Data...)
	if part.Header != nil {
		delete(s.incoming, part.From)
	}
	return a.data, nil
}

// receivedSnapshot is a complete snapshot received from the leader.
type receivedSnapshot struct {
	header storage.SnapshotHeader
	data   []byte
}
