package replica

import (
	"context"
	"sync/atomic"
	"time"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/storage"
)

// sender sends messages to one member, one call at a time, or two while the first one is not
// answered. Messages that are queued during a call are sent together in the next one. Large entries
// are transferred beside these calls, so that no heartbeat waits for them.
type sender struct {
	replica  *Replica
	identity storage.Identity
	member   consensus.Member
	outbound chan consensus.Message
	cancel   context.CancelFunc
	// transfer is the transfer in progress, nil for none. Only run uses it. transferred receives
	// whether it was delivered.
	transfer    *transfer
	transferred chan bool
	// lastTransfer is the number of the last transfer to this member. It starts at random, so that
	// no late part of an earlier sender continues a transfer of this one.
	lastTransfer uint64
	// reachable is false after a failed call. Only changes are logged.
	reachable atomic.Bool
}

func (r *Replica) startSender(identity storage.Identity, member consensus.Member) *sender {
	ctx, cancel := context.WithCancel(r.ctx)
	s := &sender{
		replica:  r,
		identity: identity,
		member:   member,
		outbound: make(chan consensus.Message, outboundCapacity),
		cancel:   cancel,

		transferred:  make(chan bool, 1),
		lastTransfer: randomID(),
	}
	s.reachable.Store(true)
	r.group.Add(1)
	go s.run(ctx)
	return s
}

// enqueue queues a message; it is dropped if the queue is full.
func (s *sender) enqueue(m consensus.Message) {
	select {
	case s.outbound <- m:
	default:
	}
}

func (s *sender) run(ctx context.Context) {
	defer s.replica.group.Done()
	for {
		select {
		case m := <-s.outbound:
			s.sendMessages(ctx, s.collectMessages(m))
		case delivered := <-s.transferred:
			ended := s.transfer
			s.transfer = nil
			if (delivered || ended.outdated) && len(ended.held) > 0 {
				s.sendMessages(ctx, ended.held)
			}
		case <-ctx.Done():
			return
		}
	}
}

// sendMessages sends messages in one call, without those that belong to a transfer.
func (s *sender) sendMessages(ctx context.Context, messages []consensus.Message) {
	switch {
	case s.transfer != nil:
		messages = s.transfer.hold(messages)
	case entryBytes(messages) >= largeBytes:
		messages = s.startTransfer(ctx, messages)
	}
	if len(messages) > 0 {
		s.sendBatch(ctx, messages)
	}
}

// collectMessages returns first and all queued messages.
func (s *sender) collectMessages(first consensus.Message) []consensus.Message {
	messages := []consensus.Message{first}
	for len(messages) < outboundCapacity {
		select {
		case m := <-s.outbound:
			messages = append(messages, m)
		default:
			return messages
		}
	}
	return messages
}

// sendBatch sends messages in one call and passes the response, or the failure,
// to the loop. After half an election timeout it leaves the call to itself, so that the next one
// does not wait for one that is lost. The response is awaited for an election timeout: on slow
// links or disks it may come only then, and it confirms the leader all the same.
func (s *sender) sendBatch(ctx context.Context, messages []consensus.Message) {
	timeout := s.replica.options.electionTimeout()
	late := time.NewTimer(timeout / 2)
	defer late.Stop()
	ended := make(chan struct{})
	s.replica.group.Go(func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		answers, err := s.roundTrip(ctx, stepMethod, s.envelope(messages))
		s.deliverAnswers(answers, err)
	})
	select {
	case <-ended:
	case <-late.C:
	}
}

func (s *sender) envelope(messages []consensus.Message) envelope {
	return envelope{Cluster: s.identity.Cluster, From: s.identity.Member, To: s.member.ID, Messages: messages}
}

// deliverAnswers passes the response to a call, or its failure, to the loop.
func (s *sender) deliverAnswers(answers []consensus.Message, err error) {
	s.recordReachability(err)
	if err != nil {
		s.replica.deliverToLoop(peerEvent{from: s.member.ID, unreachable: true})
		return
	}
	s.replica.deliverToLoop(peerEvent{from: s.member.ID, messages: answers})
}

// voteElections is the number of election timeouts for which the answer to a request for a vote is
// awaited: the member records its vote on its disk first.
const voteElections = 4

// requestVote sends a request for a vote. It runs in its own goroutine, so that other messages do not
// wait for the answer.
func (s *sender) requestVote(m consensus.Message) {
	defer s.replica.group.Done()
	ctx, cancel := context.WithTimeout(s.replica.ctx, voteElections*s.replica.options.electionTimeout())
	defer cancel()
	answers, err := s.roundTrip(ctx, stepMethod, s.envelope([]consensus.Message{m}))
	s.deliverAnswers(answers, err)
}

// sendOnce sends one message and ignores the response.
func (s *sender) sendOnce(m consensus.Message) {
	ctx, cancel := context.WithTimeout(s.replica.ctx, s.replica.options.electionTimeout()/2)
	defer cancel()
	_, err := s.roundTrip(ctx, stepMethod, s.envelope([]consensus.Message{m}))
	s.recordReachability(err)
}

// roundTrip makes one call and returns the messages in the response.
func (s *sender) roundTrip(ctx context.Context, method string, args any) ([]consensus.Message, error) {
	data, err := encode(args)
	if err != nil {
		return nil, err
	}
	reply := new(Packet)
	if err := s.replica.options.Caller.Call(ctx, s.member.Address, method, &Packet{B: data}, reply); err != nil {
		return nil, err
	}
	var answers []consensus.Message
	if err := decode(reply.B, &answers); err != nil {
		return nil, err
	}
	fillEnvelopeFields(answers, s.member.ID, s.identity.Member)
	return answers, nil
}

// deliverToLoop passes an event to the loop. It blocks while the channel is
// full instead of dropping the event, since the loop depends on responses to
// make progress.
func (r *Replica) deliverToLoop(in peerEvent) {
	if len(in.messages) == 0 && !in.unreachable && !in.transferFailed {
		return
	}
	select {
	case r.inbound <- in:
	case <-r.ctx.Done():
	}
}

// recordReachability logs when the member becomes unreachable or reachable.
func (s *sender) recordReachability(err error) {
	if s.reachable.Swap(err == nil) == (err == nil) {
		return
	}
	log := s.replica.options.Logger.With().Str("peer", s.member.Name).Str("address", s.member.Address).Stringer("member", s.member.ID).Logger()
	if err != nil {
		log.Warn().Err(err).Msg("peer does not answer")
		return
	}
	log.Info().Msg("peer answers")
}
