package chart

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
)

func TestEmbeddedChartsAnswerEveryStateAndEvent(t *testing.T) {
	entries, err := files.ReadDir(".")
	require.NoError(t, err)
	for _, entry := range entries {
		c := MustLoad(strings.TrimSuffix(entry.Name(), ".yaml"))
		for _, state := range c.States() {
			for _, event := range c.Events() {
				to, err := c.Next(state, event)
				if err == nil {
					assert.Contains(t, c.States(), to)
					continue
				}
				assert.True(t, kind.Is(err, kind.InvalidTransition))
				assert.ErrorContains(t, err, event)
			}
		}
	}
}

func TestParseRejectsDanglingStates(t *testing.T) {
	_, err := Parse([]byte("name: door\ninitial: open\nstates: {open: {on: {close: shut}}}"))
	assert.ErrorContains(t, err, `state "shut" is not listed`)
	_, err = Parse([]byte("name: door\ninitial: ajar\nstates: {open: {}}"))
	assert.ErrorContains(t, err, `initial state "ajar" is not listed`)
}

func TestUnknownEventIsAnErrorWithAName(t *testing.T) {
	c, err := Parse([]byte("name: door\ninitial: open\nstates: {open: {on: {close: shut}}, shut: {on: {}}}"))
	require.NoError(t, err)
	to, err := c.Next("open", "close")
	require.NoError(t, err)
	assert.Equal(t, "shut", to)
	_, err = c.Next("shut", "close")
	assert.ErrorContains(t, err, `state "shut" does not accept event "close"`)
	_, err = c.Next("gone", "close")
	assert.ErrorContains(t, err, `no state "gone"`)
}
