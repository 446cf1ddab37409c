package replica

import (
	"context"
	"strings"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

const (
	// largeBytes is the size of the entries of a call, in bytes, from which on they are sent in
	// parts of partBytes. A heartbeat waits for one part to each member at most.
	largeBytes = partBytes
	partBytes  = 32 << 10
	// maxPartTries limits the tries of a part. The last part of a transfer is sent once: the member
	// may have received it and ended the transfer.
	maxPartTries = 3
	// maxMessageBytes limits the size of the messages that a peer may send in parts.
	maxMessageBytes = 64 << 20
)

// transfer is the transmission of large entries to a member.
type transfer struct {
	// term is the newest term of the messages. Its entries after first, up to last, are transferred or held.
	term, first, last uint64
	// held are the messages with entries that follow.
	held []consensus.Message
	// outdated is set once the sender leads in a later term than that of the entries in transfer.
	outdated bool
	cancel   context.CancelFunc
}

func entryBytes(messages []consensus.Message) int {
	n := 0
	for i := range messages {
		for _, e := range messages[i].Entries {
			n += len(e.Data)
		}
	}
	return n
}

// startTransfer sends the messages with entries in parts, and returns those that are sent beside them.
func (s *sender) startTransfer(ctx context.Context, messages []consensus.Message) []consensus.Message {
	s.transfer = new(transfer)
	others := s.transfer.hold(messages)
	large := s.transfer.held
	s.transfer.held = nil
	s.lastTransfer++
	id := s.lastTransfer
	ctx, s.transfer.cancel = context.WithCancel(ctx)
	cancel := s.transfer.cancel
	s.replica.group.Add(1)
	go func() {
		defer s.replica.group.Done()
		defer cancel()
		answers, err := s.sendParts(ctx, id, large)
		if ctx.Err() == nil {
			s.deliverAnswers(answers, err)
		}
		s.transferred <- err == nil
	}()
	return others
}

// hold keeps the messages with entries until the transfer has ended, and returns those that are
// sent meanwhile. Entries that are on their way already are left out: the leader repeats them until
// they are acknowledged. A heartbeat that relies on them is replaced by one that does not.
func (t *transfer) hold(messages []consensus.Message) []consensus.Message {
	var others []consensus.Message
	var heartbeat *consensus.Message
	for i := range messages {
		m := &messages[i]
		if m.Type != consensus.MessageAppend {
			others = append(others, *m)
			continue
		}
		heartbeat = &consensus.Message{Type: m.Type, From: m.From, To: m.To, Term: m.Term, Round: m.Round}
		if m.Term > t.term {
			t.startTerm(m.Term)
		}
		rest := t.leaveOut(*m)
		if len(rest.Entries) == 0 || len(t.held) >= outboundCapacity {
			continue
		}
		if rest.Index != t.last {
			t.first = rest.Index
		}
		t.last = rest.Index + uint64(len(rest.Entries))
		t.held = append(t.held, rest)
	}
	if heartbeat != nil {
		others = append(others, *heartbeat)
	}
	return others
}

// startTerm drops the entries of earlier terms, which members refuse in this one.
func (t *transfer) startTerm(term uint64) {
	t.term, t.first, t.last, t.held = term, 0, 0, nil
	if t.cancel != nil {
		t.outdated = true
		t.cancel()
	}
}

// leaveOut returns m without the entries that are transferred or held already.
func (t *transfer) leaveOut(m consensus.Message) consensus.Message {
	if m.Index < t.first || m.Index >= t.last {
		return m
	}
	n := min(t.last-m.Index, uint64(len(m.Entries)))
	if n > 0 {
		m.LogTerm = m.Entries[n-1].Term
		m.Index, m.Entries = m.Index+n, m.Entries[n:]
	}
	return m
}

// part is a part of an encoded envelope.
type part struct {
	_       struct{} `cbor:",toarray"`
	Cluster storage.ClusterID
	From    consensus.MemberID
	To      consensus.MemberID
	// Transfer is the number of the transfer by its sender, Size that of all its bytes.
	Transfer uint64
	Offset   int64
	Size     int64
	Data     []byte
}

// sendParts sends messages in parts and returns the messages in the response to the last one.
func (s *sender) sendParts(ctx context.Context, id uint64, messages []consensus.Message) ([]consensus.Message, error) {
	data, err := encode(s.envelope(messages))
	if err != nil {
		return nil, err
	}
	for offset := 0; ; offset += partBytes {
		end := min(offset+partBytes, len(data))
		next := part{
			Cluster: s.identity.Cluster, From: s.identity.Member, To: s.member.ID,
			Transfer: id, Offset: int64(offset), Size: int64(len(data)), Data: data[offset:end],
		}
		answers, err := s.sendPart(ctx, partMethod, next)
		for try := 1; try < maxPartTries && end < len(data) && isLost(err) && ctx.Err() == nil; try++ {
			answers, err = s.sendPart(ctx, partMethod, next)
		}
		if err != nil && offset == 0 && strings.Contains(err.Error(), "can't find method") {
			return s.sendPart(ctx, stepMethod, s.envelope(messages)) // The member has an older version.
		}
		if err != nil || end == len(data) {
			return answers, err
		}
	}
}

// isLost reports whether a call failed without an answer of the member.
func isLost(err error) bool {
	return kind.Is(err, kind.UnknownOutcome) || kind.Is(err, kind.Unreachable)
}

func (s *sender) sendPart(ctx context.Context, method string, args any) ([]consensus.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, s.replica.options.electionTimeout())
	defer cancel()
	return s.roundTrip(ctx, method, args)
}

// partialEnvelope holds the parts of an envelope that have been received.
type partialEnvelope struct {
	transfer uint64
	data     []byte
}

// Part receives a part of messages. The reply to the last part is that of Step.
func (s *service) Part(args *Packet, reply *Packet) error {
	var p part
	if err := decode(args.B, &p); err != nil {
		return err
	}
	if err := s.replica.checkPeer(p.Cluster, p.From, p.To); err != nil {
		return err
	}
	data, err := s.appendPart(p)
	if err != nil {
		return err
	}
	if int64(len(data)) < p.Size {
		reply.B, err = encode([]consensus.Message{})
		return err
	}
	return s.Step(&Packet{B: data}, reply)
}

// appendPart appends a part to the ones of its sender that were received before and returns all
// data so far. A part at offset zero starts a new transfer. One that was received before changes
// nothing.
func (s *service) appendPart(p part) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts == nil {
		s.parts = make(map[consensus.MemberID]*partialEnvelope)
	}
	a := s.parts[p.From]
	if p.Offset == 0 && (a == nil || a.transfer != p.Transfer) {
		a = &partialEnvelope{transfer: p.Transfer}
		s.parts[p.From] = a
	}
	if a != nil && a.transfer == p.Transfer && len(p.Data) > 0 && p.Offset+int64(len(p.Data)) <= int64(len(a.data)) {
		return a.data, nil
	}
	if a == nil || a.transfer != p.Transfer || int64(len(a.data)) != p.Offset {
		return nil, kind.Errorf(kind.BadRequest, "part of transfer %d at offset %d does not follow the parts received before", p.Transfer, p.Offset)
	}
	if p.Size > maxMessageBytes || p.Offset+int64(len(p.Data)) > p.Size {
		return nil, kind.Errorf(kind.BodyTooLarge, "transfer %d of %d bytes exceeds its size or %d bytes", p.Transfer, p.Size, maxMessageBytes)
	}
	a.data = append(a.data, p.Data...)
	if int64(len(a.data)) == p.Size {
		delete(s.parts, p.From)
	}
	return a.data, nil
}
