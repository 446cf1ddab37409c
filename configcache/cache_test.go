package configcache

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLowerVersionNeverReplacesAHigherOne(t *testing.T) {
	c := New()
	changed, err := c.Update(3, "weights: {tail_latency: 3, evictions: 1, throughput: 1}\n", nil)
	require.NoError(t, err)
	assert.True(t, changed)
	changed, err = c.Update(2, "weights: {tail_latency: 2, evictions: 1, throughput: 1}\n", nil)
	require.NoError(t, err)
	assert.False(t, changed)
	assert.EqualValues(t, 3, c.Config().Weights.TailLatency)
	_, err = c.Update(4, "weights: {no_such_weight: 1}\n", nil)
	require.Error(t, err)
	assert.EqualValues(t, 3, c.Version())
}

// Guards against evacuations that are taken from one version and a configuration of another.
func TestEvacuationsBelongToTheVersionInForce(t *testing.T) {
	c := New()
	for _, update := range []struct {
		version   uint64
		evacuated []string
	}{{1, nil}, {3, []string{"b"}}, {2, []string{"a"}}} {
		_, err := c.Update(update.version, "entry: {stop_when_stale: 0s}\n", update.evacuated)
		require.NoError(t, err)
	}
	assert.True(t, c.Evacuated("b"))
	assert.False(t, c.Evacuated("a"))
	_, err := c.Update(4, "entry: {stop_when_stale: 0s}\n", nil)
	require.NoError(t, err)
	assert.False(t, c.Evacuated("b"))
}

func TestServingEndsWithoutConfirmation(t *testing.T) {
	start := time.Unix(1000, 0)
	texts := map[string]bool{
		"entry: {stop_when_stale: 5s}\n": false,
		"entry: {stop_when_stale: 0s}\n": true,
	}
	for text, servesOn := range texts {
		c := New()
		assert.False(t, c.MayServe(start), "no configuration yet")
		_, err := c.Update(1, text, nil)
		require.NoError(t, err)
		c.Confirm(start, 1)
		assert.True(t, c.MayServe(start.Add(5*time.Second)))
		assert.Equal(t, servesOn, c.MayServe(start.Add(6*time.Second)), text)
		c.Confirm(start.Add(6*time.Second), 2)
		assert.Equal(t, servesOn, c.MayServe(start.Add(6*time.Second)), "a newer version exists: this one is not current")
	}
}
