package workflow

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A report names a worker's new incarnation at the address of a newer worker. Its
// refusal must not end the previous incarnation, whose attempts may run.
func TestARefusedJoinEndsNoIncarnation(t *testing.T) {
	s := newStateWithOneWorker(t)
	require.NoError(t, place(s, task(0, 0), 1, 1))
	require.NoError(t, s.Apply(&Op{Join: &Join{Life: Incarnation{Name: "x", BornMs: 30}, Address: "b:1", Service: "pool"}}))
	refused := &Join{Life: Incarnation{Name: "w", BornMs: 20}, Address: "b:1", Service: "pool", Carry: []TaskRef{task(0, 0)}}
	require.Error(t, s.CheckJoin(refused))
	require.Error(t, s.Apply(&Op{Join: refused}))
	require.NotNil(t, s.Worker(1))
	assert.Equal(t, map[TaskRef]uint32{task(0, 0): 1}, s.Worker(1).Attempts)
	assert.Equal(t, TaskPlaced, s.Job(1).Task(task(0, 0)).State)
}

// A leader applies an operation before it is logged and logs none that is refused. An
// effect of a refused operation would remain in the leader's state only.
func TestARefusedOperationHasNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStateWithOneWorker(t)
		for range rapid.IntRange(0, 30).Draw(t, "operations") {
			op := drawOp(t)
			if op.Join != nil {
				op.Join.Address = rapid.SampledFrom([]string{"a:1", "w", "x"}).Draw(t, "address")
			}
			before, err := s.Snapshot()
			require.NoError(t, err)
			if s.Apply(op) == nil {
				continue
			}
			after, err := s.Snapshot()
			require.NoError(t, err)
			require.Equal(t, before, after, "%+v", op)
		}
	})
}

// A worker restarts at another address, and a report of its previous incarnation
// arrives late. It must not replace the newer one.
func TestAnOlderIncarnationAtItsFormerAddressIsRefused(t *testing.T) {
	s := newStateWithOneWorker(t)
	former := &Join{Life: Incarnation{Name: "w", BornMs: 10}, Address: "a:1", Service: "pool"}
	require.NoError(t, s.Apply(&Op{Join: &Join{Life: Incarnation{Name: "w", BornMs: 20}, Address: "b:1", Service: "pool"}}))
	require.Error(t, s.Apply(&Op{Join: former}))
	assert.Equal(t, "b:1", s.WorkerNamed("w").Address)
}

// Guards against a leader that takes a delayed report of a worker that has withdrawn for
// that of a worker that runs, and against departures that are kept for ever.
func TestDeparturesAreKeptForATime(t *testing.T) {
	s := newStateWithOneWorker(t)
	life := s.Worker(1).Life
	require.NoError(t, s.Apply(&Op{Leave: &Leave{Worker: 1}}))
	assert.False(t, s.Departed(life))
	require.NoError(t, s.Apply(&Op{Leave: &Leave{Worker: 1, Over: true}}))
	assert.True(t, s.Departed(life))
	assert.False(t, s.Departed(Incarnation{Name: life.Name, BornMs: life.BornMs + 1}))
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := DecodeSnapshot(data)
	require.NoError(t, err)
	restored.AdvanceTime(departureRetentionMs - 1)
	assert.True(t, restored.Departed(life))
	restored.AdvanceTime(departureRetentionMs)
	assert.False(t, restored.Departed(life))
}

// A worker whose end was only inferred may still run and reports again.
func TestAnEndWithoutDrainingIsNoDeparture(t *testing.T) {
	s := newStateWithOneWorker(t)
	life := s.Worker(1).Life
	require.NoError(t, s.Apply(&Op{Leave: &Leave{Worker: 1, Over: true}}))
	assert.False(t, s.Departed(life))
}
