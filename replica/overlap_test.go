package replica

import (
	"context"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/rpcclient"
	"mangohill.example/mangohill/storage"
)

// takeMessages carries out the core's pending work and returns the messages to a member.
func takeMessages(core *consensus.Core, to consensus.MemberID) []consensus.Message {
	var messages []consensus.Message
	for core.HasReady() {
		ready := core.Ready()
		for _, m := range ready.Messages {
			if m.To == to {
				messages = append(messages, m)
			}
		}
		core.Advance(ready)
	}
	return messages
}

// leaderOfTwo returns the core of member 1, which leads and replicates to member 2.
func leaderOfTwo(t *testing.T) *consensus.Core {
	members := consensus.Membership{Members: []consensus.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}}}
	core, err := consensus.New(consensus.Config{ID: 1, Seed: 1}, consensus.Restored{Snapshot: consensus.SnapshotMeta{Index: 1, Term: 1, Membership: members}, HardState: consensus.HardState{Term: 1}})
	require.NoError(t, err)
	core.Campaign()
	for core.Status().Role != consensus.Leader {
		for _, m := range takeMessages(core, 2) {
			answer := consensus.Message{Type: m.Type + 1, From: 2, To: 1, Term: m.Term} // The vote is granted.
			require.NoError(t, core.Step(answer))
		}
	}
	for _, m := range takeMessages(core, 2) {
		require.NoError(t, core.Step(consensus.Message{Type: consensus.MessageAppendResponse, From: 2, To: 1, Term: m.Term, Index: m.Index + uint64(len(m.Entries))}))
	}
	takeMessages(core, 2)
	return core
}

// Guards against copies of a large command that pile up behind its transfer: while calls to a
// member fail, the leader repeats the command together with the ones after it.
func TestALargeCommandIsNotRepeatedWithLaterOnes(t *testing.T) {
	const size = 200 << 10
	core := leaderOfTwo(t)
	first, term, err := core.Propose([]byte(strings.Repeat("x", size)))
	require.NoError(t, err)
	sent := takeMessages(core, 2)
	require.GreaterOrEqual(t, entryBytes(sent), largeBytes)
	transfer := new(transfer)
	transfer.hold(sent)
	sent, transfer.held = transfer.held, nil
	last := first
	for range 10 {
		core.ReportUnreachable(2)
		last, _, err = core.Propose([]byte("y"))
		require.NoError(t, err)
		for range consensus.DefaultHeartbeatTicks {
			core.Tick()
		}
		for _, m := range transfer.hold(takeMessages(core, 2)) {
			require.NoError(t, core.Step(consensus.Message{Type: consensus.MessageAppendResponse, From: 2, To: 1, Term: term, Index: first - 1, Round: m.Round}))
		}
	}
	transfer.hold(takeMessages(core, 2))
	next := first
	for _, m := range append(sent, transfer.held...) {
		require.Less(t, m.Index, next, "no entry is missing")
		assert.Equal(t, term, m.LogTerm)
		next = max(next, m.Index+1+uint64(len(m.Entries)))
	}
	assert.Equal(t, last+1, next, "all entries are sent")
	assert.Less(t, entryBytes(transfer.held), size, "bytes beside the command")
}

// callerFunc is a caller without a network.
type callerFunc func(ctx context.Context, method string, packet *Packet) ([]consensus.Message, error)

func (f callerFunc) Call(ctx context.Context, _, method string, args, reply any) error {
	answers, err := f(ctx, method, args.(*Packet))
	if err == nil {
		reply.(*Packet).B, err = encode(answers)
	}
	return err
}

// startTestSender starts a sender whose answers are discarded.
func startTestSender(t *testing.T, caller controlapi.Caller) *sender {
	r := newReplica(Options{Logger: zerolog.Nop(), Tick: DefaultTick, ElectionTicks: DefaultElectionTicks, Caller: caller}, nil)
	s := r.startSender(storage.Identity{Cluster: 7, Member: 1}, consensus.Member{ID: 9})
	t.Cleanup(func() {
		r.cancel()
		r.group.Wait()
	})
	return s
}

func largeAppend(term, index uint64, letter string) consensus.Message {
	entry := consensus.Entry{Term: term, Data: []byte(strings.Repeat(letter, 2*largeBytes))}
	return consensus.Message{Type: consensus.MessageAppend, Term: term, Index: index, LogTerm: 1, Entries: []consensus.Entry{entry}}
}

// Guards against a leader that commits nothing until a transfer of its earlier term has ended,
// which the member refuses. Each part takes most of its timeout.
func TestATransferOfAnEarlierTermDoesNotDelayANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrived := make(chan time.Time, 100)
		var timeout time.Duration
		s := startTestSender(t, callerFunc(func(ctx context.Context, method string, packet *Packet) ([]consensus.Message, error) {
			if method == partMethod {
				select {
				case <-time.After(timeout * 9 / 10):
				case <-ctx.Done():
					return nil, ctx.Err()
				}
				return nil, nil
			}
			var e envelope
			if err := decode(packet.B, &e); err != nil {
				return nil, err
			}
			if entryBytes(e.Messages) > 0 {
				assert.Equal(t, uint64(4), e.Messages[0].Term)
				arrived <- time.Now()
			}
			return nil, nil
		}))
		timeout = s.replica.options.electionTimeout()
		s.enqueue(largeAppend(2, 5, "x"))
		synctest.Wait()
		time.Sleep(timeout / 2)
		startedAt := time.Now()
		s.enqueue(consensus.Message{Type: consensus.MessageAppend, Term: 4, Index: 5, LogTerm: 1, Entries: []consensus.Entry{{Term: 4, Data: []byte("y")}}})
		select {
		case at := <-arrived:
			assert.LessOrEqual(t, at.Sub(startedAt), timeout)
		case <-time.After(time.Minute):
			t.Error("the entry of the new term was not sent")
		}
	})
}

// Guards against entries that a member stores although no leader proposed them: a sender that
// starts again, at a new address or after a restart of its process, counts its transfers anew, and
// a part of the earlier one that is delivered late continues the new one.
func TestPartsOfTwoSendersAreNotMixed(t *testing.T) {
	var transfers [2][]*Packet
	for i, letter := range []string{"x", "y"} {
		done := make(chan struct{})
		s := startTestSender(t, callerFunc(func(_ context.Context, method string, packet *Packet) ([]consensus.Message, error) {
			var p part
			if err := decode(packet.B, &p); err != nil || method != partMethod {
				return nil, kind.Errorf(kind.Internal, "%s: %v", method, err)
			}
			transfers[i] = append(transfers[i], packet)
			if p.Offset+int64(len(p.Data)) == p.Size {
				close(done)
			}
			return nil, nil
		}))
		s.enqueue(largeAppend(2, 5, letter))
		<-done
	}
	receiver := stoppedService()
	earlier, later := transfers[0], transfers[1]
	require.NoError(t, receiver.Part(later[0], new(Packet)))
	assert.Error(t, receiver.Part(earlier[1], new(Packet)))
	assert.NoError(t, receiver.Part(later[1], new(Packet)))
}

// Guards against a leader that loses its quorum to a command of 60 KiB: heartbeats wait
// for its call, and then share the link with it. A part to each of four members takes 0.4 election
// timeouts on the link that they share, and a call holds up the next one for 0.5 at most.
func TestACommandOfTwoPartsDelaysNoHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeout := DefaultTick * DefaultElectionTicks
		perByte := timeout * 4 / 10 / (4 * partBytes)
		freeAt := time.Now()
		var mu sync.Mutex
		carry := func(ctx context.Context, _ string, packet *Packet) ([]consensus.Message, error) {
			mu.Lock()
			if now := time.Now(); freeAt.Before(now) {
				freeAt = now
			}
			freeAt = freeAt.Add(time.Duration(len(packet.B)) * perByte)
			wait := time.Until(freeAt)
			mu.Unlock()
			assert.LessOrEqual(t, wait, timeout/2, "a call holds up the next one")
			select {
			case <-time.After(wait):
				return nil, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		var senders []*sender
		for range 4 {
			senders = append(senders, startTestSender(t, callerFunc(carry)))
		}
		command := consensus.Message{Type: consensus.MessageAppend, Term: 2, Index: 5, Entries: []consensus.Entry{{Term: 2, Data: make([]byte, 60<<10)}}}
		heartbeat := consensus.Message{Type: consensus.MessageAppend, Term: 2, Index: 6}
		for _, s := range senders {
			s.enqueue(command)
		}
		for range 8 {
			time.Sleep(DefaultTick * DefaultHeartbeatTicks)
			for _, s := range senders {
				s.enqueue(heartbeat)
			}
			for _, s := range senders {
				assert.True(t, s.reachable.Load(), "a call was given up")
			}
		}
	})
}

// olderService is the service of a member of a version without transfers.
type olderService struct{ received chan int }

func (o olderService) Step(args *Packet, reply *Packet) error {
	var e envelope
	if err := decode(args.B, &e); err != nil {
		return err
	}
	o.received <- entryBytes(e.Messages)
	var err error
	reply.B, err = encode([]consensus.Message{})
	return err
}

// Guards against a roll-out that stops at the first large command: a member of an older version
// does not know transfers.
func TestAMemberOfAnOlderVersionGetsLargeCommands(t *testing.T) {
	server := rpc.NewServer()
	older := olderService{make(chan int, 10)}
	require.NoError(t, server.RegisterName(serviceName, older))
	client := rpcclient.New(rpcclient.Options{Dial: func(context.Context, string) (net.Conn, error) {
		local, remote := net.Pipe()
		go server.ServeConn(remote)
		return local, nil
	}})
	t.Cleanup(client.Close)
	s := startTestSender(t, client)
	s.enqueue(largeAppend(2, 5, "x"))
	for {
		select {
		case n := <-older.received:
			if n > 0 {
				assert.Equal(t, 2*largeBytes, n)
				return
			}
		case <-time.After(eventTimeout):
			t.Fatal("the command does not arrive")
		}
	}
}

// Guards against a large command that never arrives on a link with interruptions: a transfer that
// begins again after each lost call makes no progress. Every fourth call is lost, request and reply
// in turn.
func TestATransferContinuesAfterALostCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		receiver := &service{replica: newReplica(Options{Logger: zerolog.Nop()}, nil)}
		defer receiver.replica.cancel()
		receiver.replica.identity.Store(&storage.Identity{Cluster: 7, Member: 9})
		calls := 0
		s := startTestSender(t, callerFunc(func(ctx context.Context, method string, packet *Packet) ([]consensus.Message, error) {
			if method != partMethod {
				return nil, nil
			}
			calls++
			if calls%8 != 4 {
				if err := receiver.Part(packet, new(Packet)); err != nil {
					return nil, err
				}
			}
			if calls%4 == 0 {
				<-ctx.Done()
				return nil, kind.Errorf(kind.UnknownOutcome, "%w", ctx.Err())
			}
			return nil, nil
		}))
		command := largeAppend(2, 5, "x")
		command.Entries[0].Data = []byte(strings.Repeat("x", 10*partBytes))
		var got peerEvent
		go func() {
			for {
				select {
				case got = <-receiver.replica.inbound:
					got.reply <- nil
				case <-receiver.replica.ctx.Done():
					return
				}
			}
		}()
		for range 20 {
			s.enqueue(command) // The leader repeats what is not acknowledged.
			time.Sleep(s.replica.options.electionTimeout())
		}
		synctest.Wait()
		require.Len(t, got.messages, 1, "the command must arrive")
		assert.Equal(t, command.Entries[0].Data, got.messages[0].Entries[0].Data)
	})
}
