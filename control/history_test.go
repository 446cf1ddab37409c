package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/state"
)

// lossyLeader returns a leader some of whose proposals are dropped, or applied with
// the answer lost, in a sequence that depends on the seed only.
func lossyLeader(t *testing.T, seed uint64) *leader {
	t.Helper()
	store := state.New()
	replica := newSingleReplica(store)
	random := rand.New(rand.NewPCG(seed, 0))
	replica.injectLoss = func() (drop, loseAnswer bool) {
		draw := random.IntN(4)
		return draw == 0, draw == 1
	}
	service := New(Options{Replica: replica, Store: store, Logger: zerolog.Nop()})
	return newLeader(service, 1)
}

// history records operations for porcupine. Its clock is a counter of events.
type history struct {
	mu         sync.Mutex
	clock      int64
	operations []porcupine.Operation
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) add(client int, input, output any, call int64) {
	end := h.tick()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: end})
}

type setInput struct {
	text      string
	ifVersion uint64
	read      bool
}

type setOutput struct {
	kind    kind.Kind
	version uint64
	text    string
}

// configModel is a register that is changed by compare-and-set on its version.
var configModel = porcupine.Model{
	Init: func() any { return setOutput{version: 1} },
	Step: func(current, input, output any) (bool, any) {
		register, in, out := current.(setOutput), input.(setInput), output.(setOutput)
		switch {
		case in.read:
			return out.version == register.version && (register.text == "" || out.text == register.text), register
		case out.kind == kind.VersionConflict:
			return in.ifVersion != register.version && out.version == register.version, register
		}
		next := setOutput{version: register.version + 1, text: in.text}
		return out.kind == "" && in.ifVersion == register.version && out.version == next.version, next
	},
}

// executeUntilAnswered repeats a command until it has an outcome, as an operator does
// whose answers are lost.
func executeUntilAnswered(l *leader, args controlapi.CommandArgs) controlapi.CommandReply {
	for {
		reply, err := l.execute(context.Background(), args)
		if err == nil {
			return reply
		}
	}
}

func runOperator(h *history, l *leader, client int) {
	for i := range 12 {
		call := h.tick()
		version, text := l.store.Config()
		h.add(client, setInput{read: true}, setOutput{version: version, text: text}, call)
		text = fmt.Sprintf("credits_end: 2027-01-%02dT00:00:%02dZ\n", client+1, i)
		args := controlapi.CommandArgs{
			ID:   fmt.Sprintf("%d-%d", client, i),
			Text: fmt.Sprintf("set config from policy.yaml if version %d", version),
			File: text,
		}
		call = h.tick()
		reply := executeUntilAnswered(l, args)
		h.add(client, setInput{text: text, ifVersion: version}, setOutput{kind: reply.Kind, version: reply.Version}, call)
	}
}

// TestRacingOperatorsSeeACompareAndSetRegister has operators set the configuration at the
// same time and repeat commands whose answers are lost. No set may be applied twice or on
// another version than it names.
func TestRacingOperatorsSeeACompareAndSetRegister(t *testing.T) {
	for seed := range uint64(8) {
		l := lossyLeader(t, seed)
		h := &history{}
		var operators sync.WaitGroup
		for client := range 4 {
			operators.Go(func() { runOperator(h, l, client) })
		}
		operators.Wait()
		result := porcupine.CheckOperationsTimeout(configModel, h.operations, time.Minute)
		assert.Equal(t, porcupine.Ok, result, "seed %d", seed)
	}
}

type claimInput struct {
	token   string
	resolve string // empty for a claim
}

// claimState is the state of claimModel: the token of the claim, and its outcome once
// it has one.
type claimState struct{ token, outcome string }

var claimModel = porcupine.Model{
	Init: func() any { return claimState{} },
	Step: func(current, input, output any) (bool, any) {
		claim, in, out := current.(claimState), input.(claimInput), output.(controlapi.ClaimState)
		switch {
		case in.resolve == "not-run":
			return claim.token == in.token && claim.outcome == "", claimState{}
		case in.resolve != "":
			return claim.token == in.token && claim.outcome == "", claimState{in.token, in.resolve}
		case claim.token == "":
			return out == controlapi.ClaimGranted, claimState{token: in.token}
		case claim.outcome != "":
			return out == controlapi.ClaimResolved, claim
		case claim.token == in.token:
			return out == controlapi.ClaimGranted, claim
		}
		return out == controlapi.ClaimHeld, claim
	},
}

// claimAndResolve claims one key and resolves the claim, as an entry host does. It
// reports whether it executed the request.
func claimAndResolve(h *history, e *endpoint, client, round int, random *rand.Rand) bool {
	token := fmt.Sprintf("%d-%d", client, round)
	var reply controlapi.ClaimReply
	call := h.tick()
	args := &controlapi.ClaimArgs{Service: "booking", Key: "k", Token: token, Digest: 1}
	for e.Claim(args, &reply) != nil {
	}
	h.add(client, claimInput{token: token}, reply.State, call)
	if reply.State != controlapi.ClaimGranted {
		return false
	}
	outcome := "done"
	if random.IntN(3) > 0 {
		outcome = "not-run"
	}
	resolve := &controlapi.ResolveArgs{Service: "booking", Key: "k", Token: token, Result: controlapi.ClaimResult{Outcome: outcome}}
	call = h.tick()
	for {
		err := e.Resolve(resolve, &controlapi.ResolveReply{})
		if err == nil || (outcome == "not-run" && kind.Is(err, kind.NotFound)) {
			break // A repeated release finds the claim removed.
		}
	}
	h.add(client, claimInput{token: token, resolve: outcome}, controlapi.ClaimState(""), call)
	return outcome == "done"
}

// TestRacingClaimsRunARequestOnce has entry hosts claim one idempotency key at the same
// time, with lost answers. At most one of them may execute the request.
func TestRacingClaimsRunARequestOnce(t *testing.T) {
	for seed := range uint64(8) {
		l := lossyLeader(t, seed)
		l.service.setLeader(l)
		e := &endpoint{service: l.service}
		h := &history{}
		var entries sync.WaitGroup
		runs := make([]int, 4)
		for client := range runs {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			entries.Go(func() {
				for round := range 8 {
					if claimAndResolve(h, e, client, round, random) {
						runs[client]++
					}
				}
			})
		}
		entries.Wait()
		assert.LessOrEqual(t, runs[0]+runs[1]+runs[2]+runs[3], 1, "seed %d", seed)
		require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(claimModel, h.operations, time.Minute), "seed %d", seed)
	}
}
