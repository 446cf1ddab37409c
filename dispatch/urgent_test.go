package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/headroom"
	"mangohill.example/mangohill/workflow"
)

// fillAndServe simulates the users' heaviest day: lasting tasks fill 80% of the fleet at the
// start and ask for nearly all of it within 34 s, while quick and batch jobs arrive.
func fillAndServe(t *testing.T, seed uint64) *urgentLoad {
	u := newUrgentLoad(newSim(t, seed))
	u.fillAndServe()
	u.run(46 * time.Second)
	return u
}

func (u *urgentLoad) fillAndServe() {
	u.fillWithLasting(7300.0 / 9150)
	u.run(2 * time.Second)
	for second := range 34 {
		u.after(time.Duration(second)*time.Second, func() { u.fillWithLasting((7300 + 1300*float64(second+1)/34) / 9150) })
	}
	u.arrivals(0, 40*time.Second, 15, u.submitQuick)
	u.arrivals(12*time.Second, 6*time.Second, 7.5, u.submitQuick) // A burst.
	u.arrivals(0, 40*time.Second, 18, u.submitBatch)
}

// Guards against urgent jobs that never start, or start too late, since lasting tasks fill
// the fleet and hold for good what they get.
func TestUrgentJobsStartBesideLastingTasksThatFillTheFleet(t *testing.T) {
	t.Parallel()
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

// Guards against stops beyond the bound, and against capacity that stays held once the load
// that it is for has ended: wide tasks that never come again.
func TestHeadroomIsReleasedAfterTheLoad(t *testing.T) {
	t.Parallel()
	u := fillAndServe(t, 1)
	require.Positive(t, u.engine.counters.Yielded)
	assert.LessOrEqual(t, u.result(0, u.now).maxStopsPerSecond, len(u.workers)/workersPerPreemption)
	u.run(22 * time.Second) // The window of the demand, and as long again for the last to return.
	yielded := u.engine.counters.Yielded
	u.run(5 * time.Second)
	assert.False(t, u.engine.poolActive("pool"))
	assert.Equal(t, yielded, u.engine.counters.Yielded)
	assert.Zero(t, u.engine.urgentPools["pool"].heldMilliProcessors)
	require.Empty(t, u.violations)
}

// Guards against capacity that is held, or lasting tasks that are stopped, where urgent tasks
// find room without.
func TestNothingIsHeldWhereUrgentTasksFindRoom(t *testing.T) {
	u := newUrgentLoad(newSim(t, 1))
	u.fillWithLasting(0.5)
	u.run(2 * time.Second)
	held := false
	u.every(tickInterval, func() { held = held || u.engine.poolActive("pool") })
	u.arrivals(0, 20*time.Second, 5, u.submitQuick)
	u.run(20 * time.Second)
	assert.False(t, held)
	assert.Empty(t, u.stopsAt)
	require.Empty(t, u.violations)
}

// Guards against a new leader that relies on a demand which it has not seen, preempts a task
// again that the one before preempted, or leaves the tasks that wait without a place.
func TestANewLeaderKeepsTheLimitsBesideHeadroom(t *testing.T) {
	t.Parallel()
	u := newUrgentLoad(newSim(t, 3))
	u.fillAndServe()
	u.run(20 * time.Second)
	for range 3 {
		u.takeOver()
		u.run(headroom.MinHistory - tickInterval)
		assert.Zero(t, u.engine.urgentPools["pool"].demand.Target())
		u.run(7 * time.Second)
	}
	require.Positive(t, u.engine.counters.Yielded)
	require.Empty(t, u.violations)
}

// Guards against limits that hold only where estimates are right: quick tasks take a third to
// three times their estimate.
func TestWrongEstimatesLeaveTheLimitsOnLastingTasks(t *testing.T) {
	t.Parallel()
	u := newUrgentLoad(newSim(t, 4))
	u.estimateError = 3
	u.fillAndServe()
	u.run(46 * time.Second)
	r := u.result(3_000_000_000, 43_000_000_000)
	t.Log(r)
	require.Empty(t, u.violations)
	assert.LessOrEqual(t, r.maxStopsPerSecond, len(u.workers)/workersPerPreemption)
}

// Guards against a wide urgent task that narrow ones pass over for as long as they come.
func TestAWideUrgentTaskIsNotPassedOver(t *testing.T) {
	t.Parallel()
	u := newUrgentLoad(newSim(t, 1))
	u.fillWithLasting(8600.0 / 9150)
	u.run(3 * time.Second)
	narrow := workflow.Step{Count: 10, Resources: workflow.Resources{MilliProcessors: 1000, MemoryMB: 500}, EstimatedMs: 700}
	wide := workflow.Step{Count: 2, Resources: workflow.Resources{MilliProcessors: 8000, MemoryMB: 5200}, EstimatedMs: 700}
	u.arrivals(0, 30*time.Second, 60, func() { u.submitJob("quick", narrow) })
	const objective = time.Duration(700*quickStretchMilli/1000+275) * time.Millisecond
	for range 5 {
		u.run(4 * time.Second)
		at, job := u.now, u.submitJob("quick", wide)
		assert.True(t, u.runUntil(lateDeadlineFactor*objective, func() bool { return u.state(job) == workflow.JobCompleted }), "submitted at %v", time.Duration(at))
	}
	require.Empty(t, u.violations)
}

// Guards against narrow urgent tasks that take, one by one, what stops free for a wide one. No lasting task
// is due yet, which would take it.
func TestRoomAddsUpForAWideUrgentTask(t *testing.T) {
	u := newUrgentLoadOn(newSim(t, 1), 8, 16, 16)
	u.submitJob("lasting", workflow.Step{Count: 64, Lasting: true, Image: "serving", Resources: workflow.Resources{MilliProcessors: 2000, MemoryMB: 1000}})
	u.run(3 * time.Second)
	narrow := workflow.Step{Count: 10, Resources: workflow.Resources{MilliProcessors: 1000, MemoryMB: 500}, EstimatedMs: 700}
	u.arrivals(0, 30*time.Second, 50, func() { u.submitJob("quick", narrow) })
	u.run(time.Second)
	wide := workflow.Step{Count: 1, Resources: workflow.Resources{MilliProcessors: 6000, MemoryMB: 5200}, EstimatedMs: 3000}
	job := u.submitJob("quick", wide)
	assert.True(t, u.runUntil(3*time.Second, func() bool { return u.lastStartAt[workflow.TaskRef{Job: job}] > 0 }), "before its objective is out of reach")
	require.Empty(t, u.violations)
}

// Guards against decisions on preemptions that take a growing share of the leader's time in a large
// fleet: each looks at all lasting tasks, and takes some 8 µs a worker.
func TestDecisionsOnPreemptionsTakeABoundedShare(t *testing.T) {
	for workers, expected := range map[int]time.Duration{10: 50 * time.Millisecond, 490: 50 * time.Millisecond, 900: 90 * time.Millisecond, 9000: 900 * time.Millisecond} {
		e := Engine{sortedViews: make([]*workerView, workers)}
		assert.Equal(t, expected, e.preemptionInterval(), "%d workers", workers)
	}
}
