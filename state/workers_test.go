package state

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

func registerOp(name string, incarnation uint64) Register {
	return Register{Worker: name, Incarnation: incarnation, Capacity: types.Resources{MilliProcessors: 8000, MemoryBytes: 1000}}
}

func TestLostWorkersAreRemovedAfterRetention(t *testing.T) {
	s := New()
	applyOps(t, s, testNowMs, registerOp("w1", 1), LeaseExpired{Worker: 1, Incarnation: 1, Session: 1}, registerOp("w2", 1))
	now := int64(testNowMs)
	for ; now < testNowMs+lostWorkerRetentionMs; now += maxAgeStepMs {
		applyOps(t, s, now)
	}
	_, kept := s.WorkerNamed("w1")
	assert.True(t, kept)
	applyOps(t, s, now, registerOp("w3", 1))
	_, kept = s.WorkerNamed("w1")
	assert.False(t, kept)
	assert.Len(t, s.Workers(), 2)
}

func TestLeavingWorkerIsReadyOnlyUnderANewIncarnation(t *testing.T) {
	s := New()
	leaving := registerOp("w1", 1)
	leaving.Leaving = true
	applyOps(t, s, 1, registerOp("w1", 1), leaving, registerOp("w1", 1))
	w, _ := s.WorkerNamed("w1")
	assert.Equal(t, types.WorkerLeaving, w.State)
	applyOps(t, s, 2, registerOp("w1", 2))
	w, _ = s.WorkerNamed("w1")
	assert.Equal(t, types.WorkerReady, w.State)
}

func TestDrainRequestSurvivesWorkerRestart(t *testing.T) {
	s := New()
	applyOps(t, s, 1, registerOp("w1", 1), Drain{Worker: "w1"}, registerOp("w1", 2))
	w, _ := s.WorkerNamed("w1")
	assert.Equal(t, types.WorkerDraining, w.State)
	applyOps(t, s, 2, Drain{Worker: "w1", Undo: true})
	w, _ = s.WorkerNamed("w1")
	assert.Equal(t, types.WorkerReady, w.State)
}

func TestParkedJobResumesFromItsCheckpointWhenDeclaredAgain(t *testing.T) {
	s := New()
	spec := types.JobSpec{Name: "a", Kind: types.KindBatch, Request: types.Resources{MilliProcessors: 1000}}
	results := applyOps(t, s, 1, registerOp("w1", 1), Declare{Spec: spec}, Start{Task: 1, Worker: 1, Epoch: 1},
		Report{Worker: 1, Incarnation: 1, Task: 1, Epoch: 1, State: AttemptCheckpointed, Checkpoint: "c"},
		Declare{Spec: spec}, Park{Task: 1, Reason: "credits end"}, Declare{Spec: spec})
	assert.True(t, kind.Is(results[4].Err, kind.AlreadyExists))
	assert.NoError(t, results[6].Failure())
	task, _ := s.TaskNamed("a")
	assert.Equal(t, types.TaskWaiting, task.State)
	assert.Equal(t, "c", task.Checkpoint)
	assert.Equal(t, uint64(1), task.Epoch)
}
