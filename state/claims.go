package state

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
)

const (
	// maxClaims bounds the claims. A claim beyond it is refused, so the request is
	// not sent; a claim is never dropped before its retention ends.
	maxClaims = 200_000
	// claimRetentionMs is how long a key stays claimed after its last change, at
	// least: a jump of the leader's clock does not shorten it.
	claimRetentionMs = 30 * 60 * 1000
	// maxKeptBytes bounds all kept answers. The oldest are dropped first, and
	// resends of their keys are told that the outcome is unknown.
	maxKeptBytes = 4 << 20
	// outcomeNotRun releases a claim.
	outcomeNotRun = "not-run"
)

// ClaimKey is the 128-bit hash of a service and an idempotency key.
type ClaimKey [16]byte

// ClaimKeyOf returns the key of a claim.
func ClaimKeyOf(service, key string) ClaimKey {
	var out ClaimKey
	for half := range 2 {
		digest := xxhash.NewWithSeed(uint64(half + 1))
		_, _ = digest.WriteString(service) // xxhash never fails.
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(key)
		binary.BigEndian.PutUint64(out[8*half:], digest.Sum64())
	}
	return out
}

// ClaimTokenOf returns the hash of a claimant's token.
func ClaimTokenOf(token string) uint64 { return xxhash.Sum64String(token) }

type claim struct {
	digest    uint64
	token     uint64
	changedMs int64
	resolved  bool
	outcome   string
	answer    *controlapi.ClaimResult
}

// touch is a change of a claim at an age of the state, in the order of the
// entries.
type touch struct {
	_    struct{} `cbor:",toarray"`
	AtMs int64
	Key  ClaimKey
}

type claimTable struct {
	claims map[ClaimKey]*claim
	// touched lists the changes in order, for the end of the retention.
	touched   []touch
	kept      []ClaimKey
	keptBytes int
}

func newClaimTable() claimTable { return claimTable{claims: make(map[ClaimKey]*claim)} }

func (op Claim) apply(s *Store) Result {
	c, ok := s.claims.claims[op.Key]
	if !ok {
		return s.claims.grant(op, s.ageMs)
	}
	switch {
	case c.digest != op.Digest:
		return claimed(controlapi.ClaimMismatch)
	case c.resolved:
		return Result{Claim: controlapi.ClaimReply{State: controlapi.ClaimResolved, Result: c.result()}}
	case c.token == op.Token:
		return claimed(controlapi.ClaimGranted)
	}
	return claimed(controlapi.ClaimHeld)
}

func claimed(state controlapi.ClaimState) Result {
	return Result{Claim: controlapi.ClaimReply{State: state}}
}

func (c *claim) result() controlapi.ClaimResult {
	if c.answer != nil {
		return *c.answer
	}
	return controlapi.ClaimResult{Outcome: c.outcome}
}

func (t *claimTable) grant(op Claim, ageMs int64) Result {
	if len(t.claims) >= maxClaims {
		return refuse(kind.Overloaded, "the table of claims holds %d keys", len(t.claims))
	}
	t.claims[op.Key] = &claim{digest: op.Digest, token: op.Token, changedMs: ageMs}
	t.touched = append(t.touched, touch{AtMs: ageMs, Key: op.Key})
	return claimed(controlapi.ClaimGranted)
}

func (op Resolve) apply(s *Store) Result {
	c, ok := s.claims.claims[op.Key]
	if !ok || c.token != op.Token {
		return refuse(kind.NotFound, "the claim is not held under this token")
	}
	if c.resolved {
		return Result{}
	}
	if op.Result.Outcome == outcomeNotRun {
		delete(s.claims.claims, op.Key)
		return Result{}
	}
	c.resolved = true
	c.changedMs = s.ageMs
	c.outcome = op.Result.Outcome
	s.claims.touched = append(s.claims.touched, touch{AtMs: s.ageMs, Key: op.Key})
	s.claims.keep(op.Key, c, op.Result)
	return Result{}
}

func (t *claimTable) keep(key ClaimKey, c *claim, result controlapi.ClaimResult) {
	size := answerSize(&result)
	if !result.Kept || size > controlapi.MaxKeptAnswer {
		return
	}
	c.answer = &result
	t.kept = append(t.kept, key)
	t.keptBytes += size
	for t.keptBytes > maxKeptBytes {
		t.dropAnswer(t.claims[t.kept[0]])
		t.kept = t.kept[1:]
	}
}

func (t *claimTable) dropAnswer(c *claim) {
	if c == nil || c.answer == nil {
		return
	}
	t.keptBytes -= answerSize(c.answer)
	c.answer = nil
}

func answerSize(result *controlapi.ClaimResult) int {
	size := len(result.Body)
	for name, value := range result.Header {
		size += len(name) + len(value)
	}
	return size
}

// expire removes the claims whose retention has ended.
func (t *claimTable) expire(ageMs int64) {
	for len(t.touched) > 0 && t.touched[0].AtMs+claimRetentionMs <= ageMs {
		first := t.touched[0]
		t.touched = t.touched[1:]
		c, ok := t.claims[first.Key]
		if ok && c.changedMs == first.AtMs {
			t.dropAnswer(c)
			delete(t.claims, first.Key)
		}
	}
	for len(t.kept) > 0 && !t.hasAnswer(t.kept[0]) {
		t.kept = t.kept[1:]
	}
}

func (t *claimTable) hasAnswer(key ClaimKey) bool {
	c, ok := t.claims[key]
	return ok && c.answer != nil
}
