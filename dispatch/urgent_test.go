package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fillAndServe simulates the users' heaviest day: lasting tasks fill 80% of the fleet at the
// start and ask for nearly all of it within 34 s, while quick and batch jobs arrive.
func fillAndServe(t *testing.T, seed uint64) *urgentLoad {
	u := newUrgentLoad(newSim(t, seed))
	u.fillWithLasting(7300.0 / 9150)
	u.run(2 * time.Second)
	for second := range 34 {
		u.after(time.Duration(second)*time.Second, func() { u.fillWithLasting((7300 + 1300*float64(second+1)/34) / 9150) })
	}
	u.arrivals(0, 40*time.Second, 15, u.submitQuick)
	u.arrivals(12*time.Second, 6*time.Second, 7.5, u.submitQuick) // A burst.
	u.arrivals(0, 40*time.Second, 18, u.submitBatch)
	u.run(46 * time.Second)
	return u
}

// Guards against urgent jobs that never start, or start too late, since lasting tasks fill
// the fleet and hold for good what they get.
func TestUrgentJobsStartBesideLastingTasksThatFillTheFleet(t *testing.T) {
	const seeds = 4
	value := 0.0
	for seed := range uint64(seeds) {
		u := fillAndServe(t, seed+1)
		r := u.result(3_000_000_000, 43_000_000_000)
		t.Logf("seed %d: %v", seed+1, r)
		require.Empty(t, u.violations)
		assert.LessOrEqual(t, r.never+r.lateStart, r.jobs/10, "seed %d", seed+1)
		value += r.value / seeds
	}
	assert.GreaterOrEqual(t, value, 0.78, "the users' aim for a day")
}
