package dispatch

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// Guards against time that passes between the submission of a job and the record of its end, and
// that no stage shows.
func TestTheStagesOfATaskAreToldApart(t *testing.T) {
	s := newSim(t, 1)
	var lines bytes.Buffer
	s.engine.log = zerolog.New(&lines)
	took := make(map[Stage]time.Duration)
	s.engine.ObserveStages(func(stage Stage, prompt bool, d time.Duration) {
		assert.False(t, prompt, "the objective is not short")
		took[stage] = max(took[stage], d)
	})
	const sendDelay = 7 * time.Millisecond
	s.send = func(engine *Engine, order Order) {
		s.after(sendDelay, func() {
			left := s.now
			s.arrive(order, false, false, func(a Answer, _ *simWorker) {
				a.LeftAt = left
				s.after(networkDelay, func() { engine.HandleAnswer(&a) })
			})
		})
	}
	s.setCatalog()
	s.addWorker("w1", 10_000)
	s.run(time.Second)
	s.submit(1, step(1))
	require.True(t, s.runUntil(5*time.Second, func() bool { return s.state(1) == workflow.JobCompleted }))
	assert.GreaterOrEqual(t, took[StageAccept], s.commitDelay)
	assert.GreaterOrEqual(t, took[StageCommit], s.commitDelay)
	assert.Equal(t, sendDelay, took[StageSend])
	assert.Equal(t, networkDelay, took[StageAnswer])
	assert.GreaterOrEqual(t, took[StageRecord], s.commitDelay)

	for line := range bytes.Lines(lines.Bytes()) {
		var event map[string]any
		require.NoError(t, json.Unmarshal(line, &event))
		if event["message"] == "attempt ended" || event["event"] == "attempt ended" {
			assert.EqualValues(t, sendDelay.Milliseconds(), event["send"])
			assert.EqualValues(t, networkDelay.Milliseconds(), event["answer"])
			return
		}
	}
	t.Error("no line tells of the end of the attempt")
}
