package workflow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a member that applies open starts the more slowly the more there are, so that a
// leader with thousands of them is behind for half a minute.
func TestOpenStartsAreAppliedWithoutASearchOfAll(t *testing.T) {
	timePerStart := func(count uint32) time.Duration {
		best := time.Duration(1 << 62)
		for range 5 {
			s, begin := NewState(), time.Now()
			for _, settled := range []bool{false, true} {
				for i := range count {
					op := OpenStart{Task: TaskRef{Job: 1, Index: i}, Life: Incarnation{Name: "w"}, Settled: settled}
					require.NoError(t, s.Apply(&Op{OpenStart: &op}))
				}
			}
			best = min(best, time.Since(begin)/time.Duration(count))
			require.Empty(t, s.OpenStarts())
		}
		return best
	}
	few, many := timePerStart(500), timePerStart(16_000) // Searches made it 32 times as long at least.
	assert.Less(t, many, 16*few, "time for an open start among 500 and among 16,000")
}
