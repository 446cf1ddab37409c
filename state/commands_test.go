package state

import (
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

const testNowMs = 1_800_000_000_000

func applyOps(t *testing.T, s *Store, nowMs int64, ops ...Op) []Result {
	t.Helper()
	data, err := Encode(nowMs, ops...)
	require.NoError(t, err)
	return s.Apply(s.index+1, data).([]Result)
}

func drainCommand(id string, digest uint64) Command {
	return Command{ID: id, Digest: digest, Text: "drain worker w1", Op: Drain{Worker: "w1"}}
}

// uuidV7At returns a UUID of version 7 that holds the given time, in milliseconds
// since the Unix epoch.
func uuidV7At(ms int64) string {
	id := uuid.Must(uuid.NewV7())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

func TestResentCommandGetsItsFirstOutcome(t *testing.T) {
	s := New()
	first := applyOps(t, s, 1, drainCommand("a", 1))[0]
	assert.True(t, kind.Is(first.Err, kind.NotFound))
	applyOps(t, s, 2, Register{Worker: "w1", Incarnation: 1, Capacity: types.Resources{MilliProcessors: 1000}})
	again := applyOps(t, s, 3, drainCommand("a", 1))[0]
	assert.Equal(t, first.Err.Error(), again.Err.Error())
	assert.True(t, kind.Is(applyOps(t, s, 4, drainCommand("a", 2))[0].Err, kind.CommandReused))
	assert.NoError(t, applyOps(t, s, 5, drainCommand("b", 1))[0].Failure())
}

func TestForgottenCommandIsUnknownAndNeverRunAgain(t *testing.T) {
	ids := map[string]func(i int) string{
		"without a time": func(i int) string { return fmt.Sprintf("command-%d", i) },
		"with a time":    func(i int) string { return uuidV7At(testNowMs + int64(i)) },
	}
	for name, id := range ids {
		t.Run(name, func(t *testing.T) {
			s := New()
			first := id(0)
			applyOps(t, s, testNowMs, drainCommand(first, 1))
			for i := 1; i <= maxOutcomes; i++ {
				applyOps(t, s, testNowMs+int64(i), drainCommand(id(i), 1))
			}
			assert.True(t, kind.Is(applyOps(t, s, testNowMs, drainCommand(first, 1))[0].Err, kind.UnknownOutcome))
			assert.True(t, kind.Is(applyOps(t, s, testNowMs, drainCommand(id(maxOutcomes+1), 1))[0].Err, kind.NotFound))
		})
	}
}

func TestHorizonRecognizesIDsWhoseHashWasDropped(t *testing.T) {
	table := newCommandTable()
	first := uuidV7At(testNowMs)
	table.forget(&Outcome{ID: first, AtMs: testNowMs})
	for i := range maxForgottenIDs + 1 {
		table.forget(&Outcome{ID: fmt.Sprintf("command-%d", i), AtMs: testNowMs})
	}
	assert.Len(t, table.forgotten, maxForgottenIDs)
	result, known := table.lookup(first, 1)
	assert.True(t, known)
	assert.True(t, kind.Is(result.Err, kind.UnknownOutcome))
	_, known = table.lookup(uuidV7At(testNowMs+1), 1)
	assert.False(t, known)
}

func TestIDFromAFastClockDoesNotMoveTheHorizon(t *testing.T) {
	table := newCommandTable()
	table.forget(&Outcome{ID: uuidV7At(testNowMs + 2*maxClockLeadMs), AtMs: testNowMs})
	_, known := table.lookup(uuidV7At(testNowMs), 1)
	assert.False(t, known)
}
