package workflow

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a count of crashes that is lost with the leader that counted them, and
// against one that lasting tasks collect over months.
func TestCrashesUnderATaskAreCountedInTheReplicatedState(t *testing.T) {
	alone := CrashedTask{Task: task(0, 1), Ran: true, AgeMs: 200, Alone: true}
	beside := CrashedTask{Task: task(0, 1), Ran: true, AgeMs: 200}
	immediate := CrashedTask{Task: task(0, 1), Ran: true, AgeMs: 0, Alone: true, Immediate: true}
	coincident := CrashedTask{Task: task(0, 1), Ran: true, AgeMs: 0, Coincides: true}
	unconfirmed := CrashedTask{Task: task(0, 1), Alone: true}
	for name, c := range map[string]struct {
		crashes []CrashedTask
		failed  bool
	}{
		"beside others":              {[]CrashedTask{beside, beside, beside, beside}, false},
		"five times":                 {[]CrashedTask{beside, beside, beside, beside, coincident}, true},
		"once alone":                 {[]CrashedTask{beside, alone}, false},
		"twice alone":                {[]CrashedTask{beside, alone, alone}, true},
		"just after its start":       {[]CrashedTask{beside, beside, immediate}, true},
		"host crashes during a test": {[]CrashedTask{beside, immediate}, false},
		"first, just after it":       {[]CrashedTask{immediate}, false},
		"with a common cause before": {[]CrashedTask{coincident, immediate}, false},
		"often, and then alone":      {[]CrashedTask{beside, beside, beside, alone}, true},
		"five times, the last alone": {[]CrashedTask{coincident, coincident, coincident, coincident, alone}, true},
		"without a confirmed start":  {[]CrashedTask{unconfirmed, unconfirmed}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStateWithOneWorker(t)
			for i, crash := range c.crashes {
				require.False(t, s.Job(1).Failed, "after %d crashes", i)
				require.NoError(t, s.Apply(&Op{Crash: &Crash{Tasks: []CrashedTask{crash}}}))
				data, err := s.Snapshot() // The leader changes.
				require.NoError(t, err)
				s, err = DecodeSnapshot(data)
				require.NoError(t, err)
			}
			assert.Equal(t, c.failed, s.Job(1).Failed)
			assert.Nil(t, s.Job(1).Suspect(task(0, 0)), "another task of the job")
		})
	}
	s := newStateWithOneWorker(t)
	for range 10 {
		require.NoError(t, s.Apply(&Op{Crash: &Crash{Tasks: []CrashedTask{beside}}}))
		s.AdvanceTime(s.NowMs() + crashRetentionMs + 1)
	}
	assert.False(t, s.Job(1).Failed, "crashes that lie far apart")
	before, err := s.Snapshot()
	require.NoError(t, err)
	for _, unknown := range []TaskRef{task(7, 7), {Job: 99}} {
		require.NoError(t, s.Apply(&Op{Crash: &Crash{Tasks: []CrashedTask{{Task: unknown, Ran: true}}}}), "an attempt may outlast its job")
	}
	after, err := s.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, before, after)
}
