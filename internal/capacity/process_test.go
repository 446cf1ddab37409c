package capacity

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTicksAreReadBehindANameWithSpaces(t *testing.T) {
	ticks, err := ticksOf("7 (a (odd) name) S 1 2 3 4 5 6 7 8 9 10 120 30 0 0")
	require.NoError(t, err)
	assert.EqualValues(t, 150, ticks)
	_, err = ticksOf("7 (short) S")
	assert.Error(t, err)
}

func TestThisProcessCanBeRead(t *testing.T) {
	first, err := ReadProcess(os.Getpid())
	require.NoError(t, err)
	last := first
	last.at = first.at.Add(2 * time.Second)
	last.ticks += 50
	last.written += 4000
	usage := last.Since(first)
	assert.InDelta(t, 0.25, usage.Core, 1e-9)
	assert.InDelta(t, 2000, usage.WrittenPerSecond, 1e-9)
	assert.Positive(t, usage.ResidentBytes)
	assert.GreaterOrEqual(t, usage.PeakBytes, usage.ResidentBytes)
}
