package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a leader that only places tasks when many wait, and against tasks that wait for
// long since placing them takes long.
func TestPlacingLeavesTimeForOtherWork(t *testing.T) {
	for _, took := range []time.Duration{100 * time.Microsecond, 10 * time.Millisecond, 200 * time.Millisecond} {
		var p pacer
		now, busy := time.Unix(1000, 0), time.Duration(0)
		longest := time.Duration(0)
		for end := now.Add(10 * time.Second); now.Before(end); {
			idleSince := now
			for !p.due(now) {
				now = now.Add(100 * time.Microsecond) // Other work.
			}
			longest = max(longest, now.Sub(idleSince))
			now, busy = now.Add(took), busy+took
			p.record(now, took)
		}
		if took < maxPacerPause/pacerPauses {
			assert.LessOrEqual(t, busy, 2600*time.Millisecond, "a quarter of the time, %v each", took)
		}
		assert.LessOrEqual(t, longest, maxPacerPause)
	}
}
