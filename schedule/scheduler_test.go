package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

var epoch0 = time.UnixMilli(1_800_000_000_000)

const gib = int64(1) << 30

func testWorker(id int) types.Worker {
	return types.Worker{
		ID: types.WorkerID(id), Name: fmt.Sprintf("w%d", id), State: types.WorkerReady,
		FailureDomain: fmt.Sprintf("d%d", id%4), Rack: fmt.Sprintf("r%d", id/8),
		Capacity: types.Resources{MilliProcessors: 8000, MemoryBytes: 32 * gib},
	}
}

func testTask(id int, k types.TaskKind, milli int64) types.Task {
	name := fmt.Sprintf("%s-%d", k, id)
	spec := &types.JobSpec{Name: name, Kind: k, Request: types.Resources{MilliProcessors: milli, MemoryBytes: gib}, Replicas: 1}
	return types.Task{ID: types.TaskID(id), Name: name, Job: spec, State: types.TaskWaiting, SubmittedMs: epoch0.UnixMilli()}
}

func starts(actions []Action) []Start {
	var list []Start
	for _, a := range actions {
		if s, ok := a.(Start); ok {
			list = append(list, s)
		}
	}
	return list
}

func TestPlanStartsWhatFitsAndExplainsTheRest(t *testing.T) {
	s := New(Options{Seed: 1})
	s.UpsertWorker(testWorker(1))
	s.UpsertTask(testTask(1, types.KindBatch, 6000))
	s.UpsertTask(testTask(2, types.KindBatch, 6000))
	first := starts(s.Plan(epoch0))
	require.Len(t, first, 1)
	assert.Equal(t, Start{Task: 1, Worker: 1, Epoch: 1, Reason: first[0].Reason}, first[0])
	why := s.Explain(2)
	require.Len(t, why.RuledOut, 1)
	assert.Equal(t, RuledOut{Filter: "capacity", Hosts: 1, Examples: []string{"w1"}}, why.RuledOut[0])
	assert.Contains(t, s.Explain(1).Outcome, "w1")
	assert.Empty(t, s.Plan(epoch0.Add(time.Second)))
}

func TestRejectedStartFreesItsReservation(t *testing.T) {
	s := New(Options{Seed: 1})
	s.UpsertWorker(testWorker(1))
	s.UpsertTask(testTask(1, types.KindBatch, 6000))
	first := starts(s.Plan(epoch0))
	require.Len(t, first, 1)
	s.Rejected(first[0], kind.Errorf(kind.StaleEpoch, "task 1"))
	assert.Len(t, starts(s.Plan(epoch0.Add(time.Second))), 1)
}

func TestDrainingWorkerGetsNoTask(t *testing.T) {
	s := New(Options{Seed: 1})
	w := testWorker(1)
	w.DrainRequested = true
	s.UpsertWorker(w)
	s.UpsertTask(testTask(1, types.KindBatch, 1000))
	assert.Empty(t, starts(s.Plan(epoch0)))
	w.DrainRequested = false
	s.UpsertWorker(w)
	assert.Len(t, starts(s.Plan(epoch0)), 1)
}

func TestWorkerOfAnEvacuatedDomainGetsNoTask(t *testing.T) {
	s := New(Options{Seed: 1})
	w := testWorker(1)
	w.Evacuated = true
	s.UpsertWorker(w)
	s.UpsertTask(testTask(1, types.KindBatch, 1000))
	assert.Empty(t, starts(s.Plan(epoch0)))
	w.Evacuated = false
	s.UpsertWorker(w)
	assert.Len(t, starts(s.Plan(epoch0)), 1)
}

func TestUpdateFromBeforeAStartDoesNotStartTheTaskAgain(t *testing.T) {
	s := New(Options{Seed: 1})
	s.UpsertWorker(testWorker(1))
	s.UpsertTask(testTask(1, types.KindBatch, 1000))
	require.Len(t, starts(s.Plan(epoch0)), 1)
	s.UpsertTask(testTask(1, types.KindBatch, 1000))
	assert.Empty(t, starts(s.Plan(epoch0.Add(time.Second))))
}
