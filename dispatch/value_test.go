package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

func TestBaseValueDensityByJobSizeAndRemainingWork(t *testing.T) {
	var r readySteps
	r.reset()
	job := func(tasks uint32, done uint32) *workflow.Job {
		spec := workflow.JobSpec{Steps: []workflow.Step{step(tasks)}}
		j := &workflow.Job{Queue: "q", Spec: spec, Occurrences: workflow.NewOccurrences(&spec)}
		for _, o := range j.Occurrences.Held() {
			o.Done[0] = done
		}
		return j
	}
	small, large, nearlyDone := job(2, 0), job(10, 0), job(10, 9)
	for _, j := range []*workflow.Job{small, large, nearlyDone} {
		r.recordWork(j)
	}
	assert.Greater(t, r.baseValueDensity(small), r.baseValueDensity(large), "the fixed part of the value weighs more for a small job")
	assert.Greater(t, r.baseValueDensity(nearlyDone), r.baseValueDensity(small), "a nearly completed job has little work left")
	other := job(10, 0)
	other.Queue = "empty"
	total, left := r.workOf(other)
	assert.InDelta(t, 1/left, r.baseValueDensity(other)/total, 1e-9, "a queue without accepted jobs uses the work of the job itself as the mean")
}

// Under overload, jobs must not all be late. Jobs of equal size arrive twice as
// fast as they can run; at least a quarter must meet their objective (about half
// do). Ordered by deadline alone, all of them were late.
func TestMoreIsAskedForThanFits(t *testing.T) {
	s := newSim(t, 31)
	s.setCatalog()
	s.addWorker("w1", 8)
	s.run(time.Second)
	const jobs = 40
	accepted := make(map[workflow.JobID]int64)
	next := workflow.JobID(0)
	s.every(250*time.Millisecond, func() {
		if next == jobs {
			return
		}
		next++
		job := step(8)
		job.Scavenger, job.Resources.MemoryMB = true, 12_500
		id := next
		s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + id.String(), Job: &workflow.JobSpec{Steps: []workflow.Step{job}}}, func(Reply) { accepted[id] = s.wall() })
	})
	require.True(t, s.runUntil(time.Minute, func() bool { return s.allEnded(jobs) }))
	inTime := 0
	for id, at := range accepted {
		if s.committed.Job(id).FinishedMs-at <= 2000 {
			inTime++
		}
	}
	assert.GreaterOrEqual(t, inTime, jobs/4)
	require.Empty(t, s.violations)
}
