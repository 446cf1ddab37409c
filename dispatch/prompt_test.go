package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// promptObjectiveMs is the fixed part of a quick job's objective; with StretchMilli 1500 and
// a critical path of 500 ms the job has 1,050 ms.
const promptObjectiveMs = 300

// timeWithoutAnswer returns how long a job of one step takes from its acceptance if no answer
// comes to the n-th order of the verb after that; no order is left out for n = 0. The worker
// carries the order out late.
func timeWithoutAnswer(t *testing.T, verb Verb, n int) time.Duration {
	s := newSim(t, 21)
	s.engine.SetCatalog(&workflow.Catalog{
		Version:  1,
		Queues:   []workflow.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "pool", TimeoutMs: 3000, MaxAttempts: 3, StretchMilli: 1500, LatencyObjectiveMs: promptObjectiveMs}},
		Services: []workflow.Service{{Name: "pool"}},
	}, func(err *kind.Error) { require.Nil(t, err) })
	s.addWorker("w1", 8)
	s.run(time.Second)
	acceptedAt, count := s.now, 0
	s.send = func(engine *Engine, order Order) {
		if order.Verb == verb && order.SentAt >= acceptedAt {
			count++
		}
		if order.Verb != verb || count != n {
			s.deliver(engine, order)
			return
		}
		s.after(order.Timeout(), func() { engine.HandleAnswer(&Answer{Order: order}) })
	}
	s.submit(1, step(4))
	require.True(t, s.runUntil(10*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	require.Empty(t, s.violations)
	return s.now.Sub(acceptedAt)
}

// Guards against urgent jobs that are late for one lost answer: a start that is repeated, or
// an end that is noticed, only after the usual wait of a poll and its answer.
func TestALostAnswerDelaysAPromptJobByLessThanItsObjective(t *testing.T) {
	const objective = (1500*500/1000 + promptObjectiveMs) * time.Millisecond
	for _, verb := range []Verb{Start, Poll} {
		usual := timeWithoutAnswer(t, verb, 0)
		for n := 1; n <= 6; n++ {
			assert.Less(t, timeWithoutAnswer(t, verb, n)-usual, objective, "%v %d", verb, n)
		}
	}
}

// Guards against more polls of workers whose jobs leave time enough for a lost answer.
func TestOnlyPromptTasksShortenPolls(t *testing.T) {
	job := &workflow.Job{LatencyObjectiveMs: promptObjectiveMs}
	batch := &workflow.Job{LatencyObjectiveMs: 1000}
	assert.True(t, isPrompt(job, &workflow.Step{}))
	assert.False(t, isPrompt(batch, &workflow.Step{}))
	assert.False(t, isPrompt(job, &workflow.Step{Lasting: true}))
	assert.False(t, isPrompt(job, &workflow.Step{Scavenger: true}))
	assert.False(t, isPrompt(new(workflow.Job), &workflow.Step{}))
}
