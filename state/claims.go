package state

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
)

const (
	// maxClaims limits the claims. A claim beyond the limit is refused, so its request
	// is not sent; a claim is never dropped before its retention ends.
	maxClaims = 200_000
	// claimRetentionMs is how long at least a key stays claimed after its last change,
	// in milliseconds of Store.ageMs: a jump of the leader's clock does not shorten it.
	claimRetentionMs = 30 * 60 * 1000
	// maxAnswerBytes limits the sum of all kept answers. The oldest are dropped first;
	// a resend of their key is then told that the outcome is unknown.
	maxAnswerBytes = 4 << 20
	// outcomeNotRun means that the request did not run, so its key is released.
	outcomeNotRun = "not-run"
)

// ClaimKey is the 128-bit hash of a service and an idempotency key.
type ClaimKey [16]byte

// ClaimKeyOf returns the key of the claim of an idempotency key at a service.
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

// ClaimTokenOf returns the hash under which a claimant's token is stored.
func ClaimTokenOf(token string) uint64 { return xxhash.Sum64String(token) }

type claim struct {
	digest    uint64
	token     uint64
	changedMs int64
	resolved  bool
	outcome   string
	answer    *controlapi.ClaimResult
}

// claimChange records that a claim was granted or resolved when Store.ageMs was AtMs.
type claimChange struct {
	_    struct{} `cbor:",toarray"`
	AtMs int64
	Key  ClaimKey
}

type claimTable struct {
	claims map[ClaimKey]*claim
	// changeLog lists the changes of claims, oldest first; expire reads it.
	changeLog []claimChange
	// answerOrder lists the keys with a kept answer, oldest first. answerBytes is the
	// sum of the answers' sizes.
	answerOrder []ClaimKey
	answerBytes int
}

func newClaimTable() claimTable { return claimTable{claims: make(map[ClaimKey]*claim)} }

func (op Claim) apply(s *Store) Result {
	c, ok := s.claims.claims[op.Key]
	if !ok {
		return s.claims.grant(op, s.ageMs)
	}
	switch {
	case c.digest != op.Digest:
		return claimReply(controlapi.ClaimMismatch)
	case c.resolved:
		return Result{Claim: controlapi.ClaimReply{State: controlapi.ClaimResolved, Result: c.result()}}
	case c.token == op.Token:
		return claimReply(controlapi.ClaimGranted)
	}
	return claimReply(controlapi.ClaimHeld)
}

func claimReply(state controlapi.ClaimState) Result {
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
	t.changeLog = append(t.changeLog, claimChange{AtMs: ageMs, Key: op.Key})
	return claimReply(controlapi.ClaimGranted)
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
	s.claims.changeLog = append(s.claims.changeLog, claimChange{AtMs: s.ageMs, Key: op.Key})
	s.claims.keepAnswer(op.Key, c, op.Result)
	return Result{}
}

func (t *claimTable) keepAnswer(key ClaimKey, c *claim, result controlapi.ClaimResult) {
	size := answerSize(&result)
	if !result.Kept || size > controlapi.MaxKeptResponseBytes {
		return
	}
	c.answer = &result
	t.answerOrder = append(t.answerOrder, key)
	t.answerBytes += size
	for t.answerBytes > maxAnswerBytes {
		t.dropAnswer(t.claims[t.answerOrder[0]])
		t.answerOrder = t.answerOrder[1:]
	}
}

func (t *claimTable) dropAnswer(c *claim) {
	if c == nil || c.answer == nil {
		return
	}
	t.answerBytes -= answerSize(c.answer)
	c.answer = nil
}

func answerSize(result *controlapi.ClaimResult) int {
	size := len(result.Body)
	for name, value := range result.Header {
		size += len(name) + len(value)
	}
	return size
}

// expire removes the claims that have not changed for claimRetentionMs.
func (t *claimTable) expire(ageMs int64) {
	for len(t.changeLog) > 0 && t.changeLog[0].AtMs+claimRetentionMs <= ageMs {
		first := t.changeLog[0]
		t.changeLog = t.changeLog[1:]
		c, ok := t.claims[first.Key]
		if ok && c.changedMs == first.AtMs {
			t.dropAnswer(c)
			delete(t.claims, first.Key)
		}
	}
	for len(t.answerOrder) > 0 && !t.hasAnswer(t.answerOrder[0]) {
		t.answerOrder = t.answerOrder[1:]
	}
}

func (t *claimTable) hasAnswer(key ClaimKey) bool {
	c, ok := t.claims[key]
	return ok && c.answer != nil
}
