package state

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
)

func claimOp(key, token string) Claim {
	return Claim{Key: ClaimKeyOf("booking", key), Digest: 7, Token: ClaimTokenOf(token)}
}

func resolveOp(key, token, outcome string, body []byte) Resolve {
	result := controlapi.ClaimResult{Outcome: outcome, Kept: true, Status: 201, Body: body}
	return Resolve{Key: ClaimKeyOf("booking", key), Token: ClaimTokenOf(token), Result: result}
}

func TestClaimReleasedAsNotRunMayBeClaimedAgain(t *testing.T) {
	s := New()
	applyOps(t, s, 1, claimOp("k", "a"))
	assert.True(t, kind.Is(applyOps(t, s, 2, resolveOp("k", "b", "not-run", nil))[0].Err, kind.NotFound))
	assert.Equal(t, controlapi.ClaimHeld, applyOps(t, s, 3, claimOp("k", "b"))[0].Claim.State)
	applyOps(t, s, 4, resolveOp("k", "a", "not-run", nil))
	assert.Equal(t, controlapi.ClaimGranted, applyOps(t, s, 5, claimOp("k", "b"))[0].Claim.State)
	assert.Equal(t, controlapi.ClaimHeld, applyOps(t, s, 6, claimOp("k", "a"))[0].Claim.State)
}

func TestClaimEndsWithItsRetention(t *testing.T) {
	s := New()
	applyOps(t, s, 1, claimOp("k", "a"))
	applyOps(t, s, 1000, resolveOp("k", "a", "done", []byte("x")))
	now := int64(1000)
	for ; now < claimRetentionMs; now += maxAgeStepMs {
		applyOps(t, s, now)
	}
	held := applyOps(t, s, 1+claimRetentionMs, claimOp("k", "b"))[0].Claim
	assert.Equal(t, controlapi.ClaimResolved, held.State)
	assert.Equal(t, []byte("x"), held.Result.Body)
	assert.Equal(t, controlapi.ClaimGranted, applyOps(t, s, 1000+claimRetentionMs, claimOp("k", "b"))[0].Claim.State)
	assert.Zero(t, s.claims.answerBytes)
	assert.Empty(t, s.claims.answerOrder)
	assert.Len(t, s.claims.changeLog, 1)
}

func TestFullTableRefusesClaimsAndDropsOnlyAnswers(t *testing.T) {
	s := New()
	ops := make([]Op, 0, 2)
	body := make([]byte, controlapi.MaxKeptResponseBytes)
	count := maxAnswerBytes/controlapi.MaxKeptResponseBytes + 1
	for i := range count {
		key := string(rune('a'+i%26)) + string(rune('0'+i/26%10)) + string(rune('0'+i/260))
		ops = append(ops[:0], claimOp(key, "t"), resolveOp(key, "t", "done", body))
		applyOps(t, s, int64(i), ops...)
	}
	assert.LessOrEqual(t, s.claims.answerBytes, maxAnswerBytes)
	first := applyOps(t, s, int64(count), claimOp("a00", "u"))[0].Claim
	assert.Equal(t, controlapi.ClaimResolved, first.State)
	assert.False(t, first.Result.Kept)
	for i := uint64(0); len(s.claims.claims) < maxClaims; i++ {
		s.claims.grant(Claim{Key: ClaimKey{1, byte(i), byte(i >> 8), byte(i >> 16)}}, int64(count))
	}
	assert.True(t, kind.Is(applyOps(t, s, int64(count), claimOp("new", "t"))[0].Err, kind.Overloaded))
}

func TestJumpingClockEndsNoClaim(t *testing.T) {
	s := New()
	applyOps(t, s, testNowMs, claimOp("k", "a"))
	for i := range int64(20) {
		ahead := testNowMs + i%2*10*claimRetentionMs
		assert.Equal(t, controlapi.ClaimHeld, applyOps(t, s, ahead, claimOp("k", "b"))[0].Claim.State)
	}
}

func TestKeyOfAnotherRequestGetsNoAnswer(t *testing.T) {
	s := New()
	other := claimOp("k", "b")
	other.Digest++
	applyOps(t, s, 1, claimOp("k", "a"))
	assert.Equal(t, controlapi.ClaimMismatch, applyOps(t, s, 2, other)[0].Claim.State)
	applyOps(t, s, 3, resolveOp("k", "a", "done", []byte("first")))
	got := applyOps(t, s, 4, other)[0].Claim
	assert.Equal(t, controlapi.ClaimMismatch, got.State)
	assert.Empty(t, got.Result.Body)
}
