package workflow

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/cborcodec"
	"mangohill.example/mangohill/kind"
)

func setEvacuation(s *State, domain string, evacuated bool) error {
	return s.Apply(&Op{SetEvacuation: &SetEvacuation{Domain: domain, Evacuated: evacuated}})
}

// Guards against a repeated order that changes the time of the first one, and against a state
// that grows without bound.
func TestEvacuationsAreRepeatableAndBounded(t *testing.T) {
	s := NewState()
	s.AdvanceTime(1000)
	require.NoError(t, setEvacuation(s, "a", true))
	s.AdvanceTime(2000)
	require.NoError(t, setEvacuation(s, "a", true))
	assert.Equal(t, []Evacuation{{Domain: "a", SinceMs: 1000}}, s.Evacuations())
	require.NoError(t, setEvacuation(s, "a", false))
	require.NoError(t, setEvacuation(s, "a", false), "a repeated withdrawal is no error")
	assert.False(t, s.Evacuated("a"))
	for i := range maxEvacuations {
		require.NoError(t, setEvacuation(s, fmt.Sprint(i), true))
	}
	assert.Equal(t, kind.Overloaded, kind.Of(setEvacuation(s, "a", true)))
	require.NoError(t, setEvacuation(s, "7", true), "a repeated order is no further domain")
	require.NoError(t, setEvacuation(s, "7", false))
	require.NoError(t, setEvacuation(s, "a", true))
	for _, name := range []string{"", strings.Repeat("x", MaxDomainBytes+1)} {
		assert.Equal(t, kind.BadRequest, kind.Of(setEvacuation(s, name, true)))
	}
}

// Guards against an older program that starts work in an evacuated domain after it restored a
// snapshot, and against one that refuses a snapshot without an evacuation.
func TestSnapshotWithAnEvacuationHasAVersionOfItsOwn(t *testing.T) {
	versionOf := func(data []byte) int {
		var content struct {
			Version int `cbor:"1,keyasint"`
		}
		require.NoError(t, cborcodec.Decode.Unmarshal(data, &content))
		return content.Version
	}
	s := NewState()
	without, err := s.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, 1, versionOf(without))
	require.NoError(t, setEvacuation(s, "b", true))
	require.NoError(t, setEvacuation(s, "a", true))
	data, err := s.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, 2, versionOf(data))
	restored, err := DecodeSnapshot(data)
	require.NoError(t, err)
	assert.Equal(t, s.Evacuations(), restored.Evacuations())
	again, err := restored.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, data, again)
	require.NoError(t, setEvacuation(restored, "a", false))
	require.NoError(t, setEvacuation(restored, "b", false))
	ended, err := restored.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, without, ended, "after the withdrawal an older program may read the snapshot")
}

// Guards against a number of the operation that an earlier log uses for another one.
func TestEvacuationHasItsOwnNumberInTheLog(t *testing.T) {
	batch := Batch{NowMs: 1, Ops: []Op{{SetEvacuation: &SetEvacuation{Domain: "a", Evacuated: true}}}}
	data, err := batch.Encode()
	require.NoError(t, err)
	assert.Equal(t, "82"+"01"+"81"+"a1"+"0d"+"a2"+"01"+"6161"+"02"+"f5", fmt.Sprintf("%x", data))
	decoded, err := DecodeBatch(data)
	require.NoError(t, err)
	assert.Equal(t, &batch, decoded)
	name, _ := batch.LargestOp()
	assert.Equal(t, "set_evacuation", name)
}
