package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
)

// unreliableNetwork passes calls between replicas without connections. While faulty, it loses
// requests and replies, and delays them by up to an election timeout.
type unreliableNetwork struct {
	mu       sync.Mutex
	random   *rand.Rand
	faulty   bool
	services map[string]*service
	// calls are those under way, also the ones that nobody waits for any more.
	calls sync.WaitGroup
}

// draw returns the delay of one direction of a call, and whether it is lost.
func (n *unreliableNetwork) draw() (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delay := time.Duration(n.random.IntN(10)) * time.Millisecond
	if !n.faulty {
		return delay, false
	}
	if n.random.IntN(20) == 0 {
		delay = time.Duration(n.random.IntN(DefaultElectionTicks)) * DefaultTick
	}
	return delay, n.random.IntN(10) == 0
}

func (n *unreliableNetwork) setFaulty(faulty bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faulty = faulty
}

func (n *unreliableNetwork) Call(ctx context.Context, address, method string, args, reply any) error {
	n.mu.Lock()
	s := n.services[address]
	n.mu.Unlock()
	done := make(chan error, 1)
	answer, joined := new(Packet), new(JoinReply)
	n.calls.Go(func() {
		delay, lost := n.draw()
		time.Sleep(delay)
		if lost || s == nil {
			return
		}
		var err error
		switch method {
		case stepMethod:
			err = s.Step(args.(*Packet), answer)
		case partMethod:
			err = s.Part(args.(*Packet), answer)
		case chunkMethod:
			err = s.Chunk(args.(*Packet), answer)
		case joinMethod:
			err = s.Join(args.(*JoinArgs), joined)
		}
		delay, lost = n.draw()
		time.Sleep(delay)
		if !lost {
			done <- err
		}
	})
	select {
	case err := <-done:
		switch reply := reply.(type) {
		case *Packet:
			*reply = *answer
		case *JoinReply:
			*reply = *joined
		}
		return err
	case <-ctx.Done():
		return kind.Errorf(kind.UnknownOutcome, "%s at %s: %w", method, address, ctx.Err())
	}
}

// Guards against large commands that are lost, mixed up or reordered when calls fail, and against a
// log that stands still once they do not.
func TestLargeCommandsSurviveUnreliableLinks(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runUnreliableLinks(t, seed) })
		})
	}
}

func runUnreliableLinks(t *testing.T, seed uint64) {
	network := &unreliableNetwork{random: rand.New(rand.NewPCG(seed, 1)), services: make(map[string]*service)}
	defer network.calls.Wait()
	addresses := []string{"a:1", "b:1", "c:1"}
	var replicas []*Replica
	var recorders []*commandRecorder
	for i, address := range addresses {
		recorder := new(commandRecorder)
		r, err := Start(Options{
			Name: address, Address: address, ControlAddresses: addresses, DataDir: t.TempDir(), Bootstrap: i == 0,
			Logger: zerolog.Nop(), StateMachine: recorder, Caller: network, Seed: seed*10 + uint64(i) + 1,
		})
		require.NoError(t, err)
		defer r.Stop()
		network.mu.Lock()
		network.services[address] = &service{replica: r}
		network.mu.Unlock()
		replicas, recorders = append(replicas, r), append(recorders, recorder)
	}
	leading := func() *Replica {
		for _, r := range replicas {
			if r.Status().Role == "leader" && len(r.Status().Members) == len(replicas) {
				return r
			}
		}
		return nil
	}
	for range 100 {
		time.Sleep(DefaultTick * DefaultElectionTicks)
		if leading() != nil {
			break
		}
	}
	random := rand.New(rand.NewPCG(seed, 2))
	acknowledged := make(map[string]bool)
	var mu sync.Mutex
	var proposals sync.WaitGroup
	submit := func(size int) {
		r := leading()
		if r == nil {
			return
		}
		command := fmt.Sprintf("%d.%d:%s", size, time.Now().UnixNano(), strings.Repeat(string(rune('a'+random.IntN(26))), size))
		proposals.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			if _, err := r.Propose(ctx, []byte(command)); err == nil {
				mu.Lock()
				acknowledged[command] = true
				mu.Unlock()
			}
		})
	}
	network.setFaulty(true)
	for range 60 {
		size := random.IntN(2000)
		if random.IntN(6) == 0 {
			size = random.IntN(300 << 10)
		}
		submit(size)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	network.setFaulty(false)
	time.Sleep(10 * DefaultTick * DefaultElectionTicks)
	submit(300 << 10)
	time.Sleep(2 * DefaultTick * DefaultElectionTicks)
	proposals.Wait()
	applied := recorders[0].commands()
	for _, recorder := range recorders[1:] {
		assert.True(t, slices.Equal(applied, recorder.commands()), "all members apply the same commands: %d and %d", len(applied), len(recorder.commands()))
	}
	for command := range acknowledged {
		assert.True(t, slices.Contains(applied, command), "an acknowledged command is applied")
	}
	t.Logf("%d acknowledged, %d applied, term %d", len(acknowledged), len(applied), replicas[0].Status().Term)
	require.NotEmpty(t, applied)
	assert.True(t, strings.HasPrefix(applied[len(applied)-1], fmt.Sprintf("%d.", 300<<10)), "the last command is applied")
}
