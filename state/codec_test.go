package state

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/clusterconfig"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/cborcodec"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// maxStartEntryBytes limits the size of an entry with a single start.
const maxStartEntryBytes = 32

func allOps() []Op {
	return []Op{
		Register{Worker: "w1", Incarnation: 2, FailureDomain: "pt-norte", Rack: "r1", Capacity: types.Resources{MilliProcessors: 1000}},
		LeaseExpired{Worker: 1, Incarnation: 2, Session: 3},
		Start{Task: 11_300, Worker: 560, Epoch: 3},
		Checkpoint{Task: 1, Epoch: 2, Reason: "r"},
		Throttle{Task: 1, Epoch: 2, ShareMilli: 500, Reason: "r"},
		Stop{Task: 1, Epoch: 2, Then: types.TaskFinished, Reason: "r"},
		Report{Worker: 1, Incarnation: 2, Task: 3, Epoch: 4, State: AttemptCheckpointed, Checkpoint: "c", Reason: "r"},
		Declare{Spec: types.JobSpec{Name: "a", Kind: types.KindBatch, Request: types.Resources{MilliProcessors: 1}, Payload: []byte("{}")}},
		Cancel{Name: "a"},
		Drain{Worker: "w1", Undo: true},
		SetConfig{Text: "weights: {}", IfVersion: 1, LeaseMs: 10_000},
		Claim{Key: ClaimKeyOf("s", "k"), Digest: 1, Token: 2},
		Resolve{Key: ClaimKeyOf("s", "k"), Token: 2, Result: controlapi.ClaimResult{Outcome: "done", Header: map[string]string{"A": "b"}}},
		Park{Task: 1, Reason: "r"},
		Unpark{Task: 1},
		Quarantine{Worker: 1, Reason: "r"},
		EndQuarantine{Worker: 1},
		Replace{Task: 1, Epoch: 2, Reason: "r"},
		Evacuate{Domain: "pt-norte"},
		Command{ID: "id", Digest: 1, Text: "cancel a", Op: Cancel{Name: "a"}},
	}
}

func TestEveryOperationRoundTrips(t *testing.T) {
	data, err := Encode(testNowMs, allOps()...)
	require.NoError(t, err)
	nowMs, ops, err := Decode(data)
	require.NoError(t, err)
	assert.Equal(t, int64(testNowMs), nowMs)
	assert.Equal(t, allOps(), ops)
	assert.Len(t, decoders, len(allOps())-1, "allOps lists every operation")
}

func TestEncodedStartIsSmall(t *testing.T) {
	data, err := Encode(testNowMs, Start{Task: 11_300, Worker: 560, Epoch: 3})
	require.NoError(t, err)
	t.Logf("%d bytes", len(data))
	assert.LessOrEqual(t, len(data), maxStartEntryBytes)
}

func TestUnreadableEntryChangesNothing(t *testing.T) {
	s := New()
	before, err := s.Snapshot()
	require.NoError(t, err)
	data, err := cborcodec.Encode.Marshal(entry{NowMs: 5, Ops: []rawOp{{Code: 99, Body: []byte{0x80}}}})
	require.NoError(t, err)
	results := s.Apply(0, data).([]Result)
	assert.True(t, kind.Is(results[0].Err, kind.Corrupt))
	after, err := s.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, before, after)
}

func TestSnapshotOfAnotherVersionIsRefused(t *testing.T) {
	header, err := cborcodec.Encode.Marshal(snapshotHeader{Format: snapshotFormat, Version: SnapshotVersion + 1})
	require.NoError(t, err)
	s := New()
	err = s.Restore(header)
	assert.True(t, kind.Is(err, kind.Corrupt))
	assert.ErrorContains(t, err, "version 3; this program reads versions up to 2")
	assert.ErrorContains(t, s.Restore([]byte("nonsense")), snapshotFormat)
}

func TestDefaultLeaseMatchesDefaultConfiguration(t *testing.T) {
	assert.Equal(t, New().LongestLease(), clusterconfig.Default().Leases.Duration)
}

func TestLongestLeaseConsidersPreviousConfigurations(t *testing.T) {
	s := New()
	applyOps(t, s, 1, SetConfig{IfVersion: 1, LeaseMs: 2000})
	assert.Equal(t, clusterconfig.Default().Leases.Duration, s.LongestLease())
}

func TestSumsOfResourcesDoNotOverflow(t *testing.T) {
	s := New()
	huge := types.Resources{MilliProcessors: 1 << 62, MemoryBytes: 1}
	declare := Declare{Spec: types.JobSpec{Name: "a", Kind: types.KindBatch, Request: huge}}
	assert.True(t, kind.Is(applyOps(t, s, 1, declare)[0].Err, kind.BadRequest))
	assert.True(t, kind.Is(applyOps(t, s, 1, Register{Worker: "w", Capacity: huge})[0].Err, kind.BadRequest))
}

func FuzzApply(f *testing.F) {
	for _, op := range allOps() {
		data, err := Encode(testNowMs, op)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		setUp, err := Encode(1, allOps()...)
		require.NoError(t, err)
		s.Apply(1, setUp)
		s.Apply(2, data)
		require.NoError(t, s.CheckInvariants())
		snapshot, err := s.Snapshot()
		require.NoError(t, err)
		require.NoError(t, New().Restore(snapshot))
	})
}

func FuzzRestore(f *testing.F) {
	s := New()
	setUp, err := Encode(1, allOps()...)
	require.NoError(f, err)
	s.Apply(1, setUp)
	snapshot, err := s.Snapshot()
	require.NoError(f, err)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		restored := New()
		if restored.Restore(data) != nil {
			return
		}
		require.NoError(t, restored.CheckInvariants())
		restored.Apply(1, setUp)
		require.NoError(t, restored.CheckInvariants())
	})
}
