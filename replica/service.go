package replica

import (
	"context"
	"sync"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

const (
	serviceName = "Replica"
	stepMethod  = serviceName + ".Step"
	chunkMethod = serviceName + ".Chunk"
	partMethod  = serviceName + ".Part"
	joinMethod  = serviceName + ".Join"
)

// Packet is an encoded argument or reply of the service. The short field name
// keeps the messages small.
type Packet struct{ B []byte }

// service is the net/rpc service "Replica".
type service struct {
	replica *Replica

	mu sync.Mutex
	// incoming holds the snapshots being received, by the sending member.
	incoming map[consensus.MemberID]*partialSnapshot
	// parts holds the messages being received in parts, by the sending member.
	parts map[consensus.MemberID]*partialEnvelope
}

// Step processes messages from a peer. The reply carries the resulting messages
// to the peer, after everything that they acknowledge is durable.
func (s *service) Step(args *Packet, reply *Packet) error {
	var e envelope
	if err := decode(args.B, &e); err != nil {
		return err
	}
	if err := s.replica.checkPeer(e.Cluster, e.From, e.To); err != nil {
		return err
	}
	fillEnvelopeFields(e.Messages, e.From, e.To)
	return s.deliver(peerEvent{from: e.From, messages: e.Messages}, reply)
}

func (s *service) deliver(in peerEvent, reply *Packet) error {
	in.reply = make(chan []consensus.Message, 1)
	select {
	case s.replica.inbound <- in:
	default:
		return kind.Errorf(kind.Overloaded, "replica %q: the queue of messages from peers is full (capacity %d)", s.replica.options.Name, inboundCapacity)
	}
	select {
	case messages, processed := <-in.reply:
		if !processed {
			return kind.Errorf(kind.Storage, "the disk of replica %q is full", s.replica.options.Name)
		}
		data, err := encode(messages)
		reply.B = data
		return err
	case <-s.replica.done:
		return s.replica.stoppedError()
	}
}

// checkPeer rejects messages of another cluster or for another member, such as
// one that used this address before its disk was lost.
func (r *Replica) checkPeer(cluster storage.ClusterID, from, to consensus.MemberID) error {
	identity := r.identity.Load()
	if identity == nil {
		return kind.Errorf(kind.Unreachable, "replica %q has not joined yet", r.options.Name)
	}
	if cluster != identity.Cluster || to != identity.Member {
		return kind.Errorf(kind.BadRequest, "message from %s for member %s of cluster %016x was received by member %s of cluster %016x",
			from, to, uint64(cluster), identity.Member, uint64(identity.Cluster))
	}
	return nil
}

// JoinArgs is the request to admit a member.
type JoinArgs struct {
	Member  consensus.MemberID
	Name    string
	Address string
}

// JoinReply returns the cluster into which the member was admitted.
type JoinReply struct{ Cluster storage.ClusterID }

// Join admits a member as a learner and returns once the change is committed.
func (s *service) Join(args *JoinArgs, reply *JoinReply) error {
	identity := s.replica.identity.Load()
	if identity == nil {
		return kind.Errorf(kind.NotLeader, "")
	}
	ctx, cancel := context.WithTimeout(s.replica.ctx, s.replica.options.electionTimeout())
	defer cancel()
	member := consensus.Member{ID: args.Member, Name: args.Name, Address: args.Address}
	if _, err := s.replica.submit(ctx, request{join: &member, done: make(chan outcome, 1)}); err != nil {
		return err
	}
	reply.Cluster = identity.Cluster
	return nil
}
