package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// Whether a scavenger finds a worker depends on its image. A request that found
// no room must not keep scavengers of other images from being tried.
func TestUnplaceableScavengersAreRecordedPerImage(t *testing.T) {
	ready := func(image string, processors int64, scavenger bool) *readyStep {
		return &readyStep{job: &workflow.Job{Service: "pool"}, step: &workflow.Step{
			Count: 1, Image: image, Scavenger: scavenger, Resources: workflow.Resources{MilliProcessors: processors},
		}}
	}
	p := &candidateSet{}
	p.recordUnplaceable(ready("harmful", 1000, true), false)
	assert.True(t, p.knownUnplaceable(ready("harmful", 2000, true)))
	assert.False(t, p.knownUnplaceable(ready("harmful", 500, true)), "a smaller scavenger may fit")
	assert.False(t, p.knownUnplaceable(ready("harmless", 2000, true)))
	assert.False(t, p.knownUnplaceable(ready("", 2000, false)))
	p.recordUnplaceable(ready("", 1000, false), true)
	assert.False(t, p.knownUnplaceable(ready("any", 2000, false)), "a task that only avoids a worker must not be recorded as unplaceable")
	p.recordUnplaceable(ready("", 1000, false), false)
	assert.True(t, p.knownUnplaceable(ready("any", 2000, false)))
}

// Short tasks arrive faster than they end, and each fits as soon as one has
// ended. The wider lasting task must still get room within the three seconds that
// the platform allows.
func TestATaskThatLastsIsNotPassedOverForGood(t *testing.T) {
	s := newSim(t, 21)
	s.setCatalog()
	s.addWorker("w1", 12)
	s.run(time.Second)
	next := workflow.JobID(100)
	s.every(100*time.Millisecond, func() {
		next++
		short := step(3)
		short.EstimatedMs = 800
		s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + next.String(), Job: &workflow.JobSpec{Steps: []workflow.Step{short}}}, func(Reply) {})
	})
	s.run(2 * time.Second)
	lasting := step(1)
	lasting.Lasting, lasting.Resources.MilliProcessors = true, 4000
	s.submit(1, lasting)
	require.True(t, s.runUntil(3*time.Second, func() bool { return s.state(1) == workflow.JobRunning }))
	assert.Empty(t, s.violations)
}

// Tasks of a step with OneRack are slower on more than one rack, so all of them
// must be placed on one.
func TestTheTasksOfAStepShareARack(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newSim(t, 22)
		s.setCatalog()
		for i, rack := range []string{"r1", "r2", "r1", "r2", "r2", "r3"} {
			s.addWorkerOn(fmt.Sprint("w", i), 4, rack)
		}
		s.run(time.Second)
		near := step(10)
		near.OneRack, near.Gang, near.EstimatedMs = true, gang, 5000
		s.submit(1, near)
		s.run(time.Second)
		require.Len(t, s.runs, 10)
		for ref, runs := range s.runs {
			require.NotEmpty(t, runs, "%s", ref)
			assert.Equal(t, "r2", runs[0].worker.rack, "gang %v, task %s", gang, ref)
		}
	}
}

// A ranking is kept while the tasks of a step are placed. It must choose the workers
// that scoring all of them anew for each task would choose.
func TestARankingIsKeptUpToDate(t *testing.T) {
	for _, shape := range []workflow.Step{
		{Count: 30, Resources: workflow.Resources{MilliProcessors: 1500, MemoryMB: 100}, EstimatedMs: 500},
		{Count: 30, Resources: workflow.Resources{MilliProcessors: 1500, MemoryMB: 100}, EstimatedMs: 500, MaxPerWorker: 2},
		{Count: 30, Resources: workflow.Resources{MilliProcessors: 1500, MemoryMB: 100}, EstimatedMs: 500, Scavenger: true, Image: "batch"},
		{Count: 30, Resources: workflow.Resources{MilliProcessors: 1500, MemoryMB: 100}, EstimatedMs: 500, OneRack: true},
	} {
		s := newSim(t, 5)
		s.setCatalog()
		for i := range 8 {
			s.addWorkerOn(fmt.Sprint("w", i), int64(4+i), fmt.Sprint("r", i/3))
		}
		s.run(time.Second)
		serving := step(6)
		serving.Lasting, serving.LatencyTargetMs, serving.Image = true, 100, "web"
		s.submit(1, serving)
		s.run(time.Second)
		s.notSent = true
		e, set := s.engine, s.engine.newCandidateSet()
		spec := workflow.JobSpec{Steps: []workflow.Step{shape}}
		job := &workflow.Job{ID: 2, Service: "pool", Spec: spec, Occurrences: workflow.NewOccurrences(&spec)}
		ready := &readyStep{ref: workflow.StepRef{Job: 2}, job: job, step: &job.Spec.Steps[0]}
		for i := range shape.Count {
			ready.pending = append(ready.pending, i)
		}
		kept := e.rank(set, ready)
		placed := 0
		for len(ready.pending) > 0 {
			got, want := kept.best(e), e.rank(set, ready).best(e)
			require.Same(t, want, got, "task %d of %+v", placed, shape)
			if got == nil {
				break
			}
			got.reserve(ready)
			kept.update(e, got)
			ready.pending = ready.pending[1:]
			placed++
		}
		assert.Greater(t, placed, 5, "%+v", shape)
	}
}
