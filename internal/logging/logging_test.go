package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/settings"
)

func TestRepeatsAreHeldBackAndCounted(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	log := zerolog.New(&out).Hook(hook{newLimiter(2, time.Second), func() time.Time { return now }})
	for range 5 {
		log.Info().Msg("peer answers")
	}
	log.Info().Msg("leading")
	now = now.Add(time.Second)
	log.Info().Msg("peer answers")
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	require.Len(t, lines, 4)
	var last map[string]any
	require.NoError(t, json.Unmarshal(lines[3], &last))
	assert.Equal(t, map[string]any{"level": "info", "event": "peer answers", "suppressed": 3.0}, last)
}

func TestTheLimiterIsBounded(t *testing.T) {
	l := newLimiter(1, time.Second)
	for i := range 10 * maxTracked {
		l.allow(fmt.Sprint("event ", i), time.Unix(0, 0))
	}
	assert.LessOrEqual(t, len(l.events), maxTracked+1)
}

func TestAnEventIsOneLine(t *testing.T) {
	for _, format := range []string{settings.FormatJSON, settings.FormatConsole} {
		var out bytes.Buffer
		log := New(settings.Log{Level: "info", Format: format}, &out, "entry-1")
		log.Debug().Msg("leading")
		log.Info().Str(FieldRequest, "a\nb").Msg("request failed")
		assert.Equal(t, 1, bytes.Count(out.Bytes(), []byte("\n")), format)
		assert.Contains(t, out.String(), "entry-1")
	}
}

// Guards against a job that cannot be followed from its ID to the cause of its failure: at
// 2,600 starts a second, three of five lines on placed tasks were held back.
func TestEveryDecisionOfABusyFleetIsLogged(t *testing.T) {
	const starts, seconds = 2600, 60
	l := newLimiter(streamBurst, streamInterval)
	at := time.Unix(0, 0)
	for range seconds {
		for range starts {
			allowed, suppressed := l.allow("task placed", at)
			require.True(t, allowed)
			require.Zero(t, suppressed)
			at = at.Add(time.Second / starts)
		}
	}
}
