package replica

import (
	"context"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/storage"
)

// sender sends messages to one member, one call at a time. What waits meanwhile
// goes out together with the next call.
type sender struct {
	replica  *Replica
	identity storage.Identity
	member   consensus.Member
	outbound chan consensus.Message
	cancel   context.CancelFunc
	// reachable is false after a failed call, to log changes only.
	reachable bool
}

func (r *Replica) startSender(identity storage.Identity, member consensus.Member) *sender {
	ctx, cancel := context.WithCancel(r.ctx)
	s := &sender{
		replica:   r,
		identity:  identity,
		member:    member,
		outbound:  make(chan consensus.Message, outboundCapacity),
		cancel:    cancel,
		reachable: true,
	}
	r.group.Add(1)
	go s.run(ctx)
	return s
}

// enqueue hands a message over; it is dropped if the queue is full.
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
			s.call(ctx, s.gather(m))
		case <-ctx.Done():
			return
		}
	}
}

// gather collects the messages that wait.
func (s *sender) gather(first consensus.Message) []consensus.Message {
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

func (s *sender) call(ctx context.Context, messages []consensus.Message) {
	ctx, cancel := context.WithTimeout(ctx, s.replica.options.electionTimeout()/2)
	defer cancel()
	answers, err := s.exchange(ctx, stepMethod, envelope{
		Cluster: s.identity.Cluster, From: s.identity.Member, To: s.member.ID, Messages: messages,
	})
	s.note(err)
	if err != nil {
		s.replica.push(inbound{from: s.member.ID, unreachable: true})
		return
	}
	s.replica.push(inbound{from: s.member.ID, messages: answers})
}

// callOnce sends one message and ignores the answer.
func (s *sender) callOnce(m consensus.Message) {
	ctx, cancel := context.WithTimeout(s.replica.ctx, s.replica.options.electionTimeout()/2)
	defer cancel()
	_, err := s.exchange(ctx, stepMethod, envelope{
		Cluster: s.identity.Cluster, From: s.identity.Member, To: s.member.ID, Messages: []consensus.Message{m},
	})
	s.note(err)
}

// exchange makes one call and returns the messages in the answer.
func (s *sender) exchange(ctx context.Context, method string, args any) ([]consensus.Message, error) {
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
	address(answers, s.member.ID, s.identity.Member)
	return answers, nil
}

// push hands what came back to the loop. It waits, since the answers are what
// the loop needs most.
func (r *Replica) push(in inbound) {
	if len(in.messages) == 0 && !in.unreachable && !in.transferFailed {
		return
	}
	select {
	case r.inbound <- in:
	case <-r.ctx.Done():
	}
}

func (s *sender) note(err error) {
	if (err == nil) == s.reachable {
		return
	}
	s.reachable = err == nil
	log := s.replica.options.Logger.With().Str("peer", s.member.Name).Str("address", s.member.Address).Stringer("member", s.member.ID).Logger()
	if err != nil {
		log.Warn().Err(err).Msg("peer does not answer")
		return
	}
	log.Info().Msg("peer answers")
}
