package dispatch

import (
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/headroom"
	"mangohill.example/mangohill/workflow"
)

// lastingReturns watches the lasting tasks of a load: how long each waits for its next run after
// its last one has ended.
type lastingReturns struct {
	*urgentLoad
	// endedAt is when the last run of a task ended, zero while it runs.
	endedAt map[workflow.TaskRef]Instant
	// roomSince is since when a task that has waited for six seconds has done so beside capacity
	// for it twice over: what lasting tasks leave over, whether short ones use it or not.
	roomSince map[workflow.TaskRef]Instant
	// lastOn is the worker of the last run of each task that ran.
	lastOn map[workflow.TaskRef]*simWorker
	// leaving are the workers that are lost, or about to be.
	leaving []*simWorker
	longest time.Duration
	// overdue holds the tasks that waited longer than the platform's rules allow.
	overdue map[workflow.TaskRef]bool
	returns int
}

func watchReturns(u *urgentLoad) *lastingReturns {
	r := &lastingReturns{urgentLoad: u, endedAt: make(map[workflow.TaskRef]Instant), roomSince: make(map[workflow.TaskRef]Instant), lastOn: make(map[workflow.TaskRef]*simWorker), overdue: make(map[workflow.TaskRef]bool)}
	u.every(tickInterval, r.watch)
	return r
}

func (r *lastingReturns) watch() {
	var room []workflow.Resources
	for _, w := range r.workers {
		if slices.Contains(r.leaving, w) || w.dead || w.partitioned || w.draining {
			continue
		}
		left := w.capacity
		for _, run := range w.running {
			if run.step.Lasting {
				left = left.Sub(run.step.Resources)
			}
		}
		room = append(room, left)
	}
	for id, job := range r.lasting {
		for i := range job.tasks {
			ref := workflow.TaskRef{Job: id, Index: uint32(i)}
			runs := r.sim.runs[ref]
			switch {
			case len(runs) > 0 && r.endedAt[ref] != 0:
				r.returns++
				delete(r.endedAt, ref)
			case len(runs) == 0 && r.lastOn[ref] != nil && r.endedAt[ref] == 0:
				r.endedAt[ref] = r.now
				if w := r.lastOn[ref]; w.partitioned { // Nobody knows of an end there before.
					r.endedAt[ref] = max(r.now, w.leaseExpiresAt)
				}
			}
			if len(runs) > 0 {
				r.lastOn[ref] = runs[0].worker
			}
			if r.endedAt[ref] != 0 && r.placedOutOfReach(ref) {
				r.endedAt[ref] = r.now // Placed in time; nobody knows whether it runs before its lease ends.
			}
			ended := r.endedAt[ref]
			if ended != 0 {
				r.longest = max(r.longest, r.now.Sub(ended))
			}
			switch {
			case ended == 0 || r.now.Sub(ended) < 6*time.Second || roomFor(room, job.step.Resources) < 2:
				delete(r.roomSince, ref)
			case r.roomSince[ref] == 0:
				r.roomSince[ref] = r.now
			case r.now.Sub(r.roomSince[ref]) >= 3*time.Second:
				r.overdue[ref] = true
			}
		}
	}
}

// placedOutOfReach reports whether an attempt of a task is recorded on a worker that is cut off.
func (r *lastingReturns) placedOutOfReach(ref workflow.TaskRef) bool {
	return slices.ContainsFunc(r.engine.sortedViews, func(v *workerView) bool {
		w := r.workers[v.worker.Address]
		return w != nil && w.partitioned && v.attempts[ref] != nil
	})
}

// lost returns the workers of a failure domain, an eighth of all.
func (r *lastingReturns) lost() []*simWorker {
	var workers []*simWorker
	for _, address := range slices.Sorted(maps.Keys(r.workers)) {
		if r.workers[address].domain == "z0" {
			workers = append(workers, r.workers[address])
		}
	}
	return workers
}

// requireCapacityForAll requires that all lasting tasks fit on the workers that are left, beside
// each other and twice over for the widest.
func (r *lastingReturns) requireCapacityForAll(lost []*simWorker) {
	var free []workflow.Resources
	for _, w := range r.workers {
		if !slices.Contains(lost, w) {
			free = append(free, w.capacity)
		}
	}
	var gaps []headroom.Gap
	for _, job := range r.lasting {
		gaps = append(gaps, headroom.Gap{Need: job.step.Resources, Count: int(job.step.Count)})
	}
	headroom.SortGaps(gaps)
	gaps = append(gaps, headroom.Gap{Need: gaps[0].Need, Count: 2})
	_, missing := headroom.Pack(free, gaps)
	require.Zero(r.t, slices.Max(missing))
}

// loseWorkers plays a load of lasting tasks for 72% of a fleet and of urgent ones for more than the
// rest. After 12 s, an eighth of the workers is lost.
func loseWorkers(t *testing.T, seed uint64, lose func(*lastingReturns, []*simWorker)) *lastingReturns {
	u := newUrgentLoad(newSim(t, seed))
	r := watchReturns(u)
	lost := r.lost()
	r.fillWithLasting(0.76)
	r.requireCapacityForAll(lost)
	r.run(2 * time.Second)
	r.arrivals(0, 40*time.Second, 100, r.submitQuick)
	r.arrivals(0, 40*time.Second, 18, r.submitBatch)
	r.run(12 * time.Second)
	r.leaving = lost
	lose(r, lost)
	r.run(30 * time.Second)
	return r
}

// lossesOfWorkers are ways to lose a part of the workers.
var lossesOfWorkers = map[string]func(*lastingReturns, []*simWorker){
	"drained": func(r *lastingReturns, workers []*simWorker) {
		for i, w := range workers {
			r.after(time.Duration(i)*300*time.Millisecond, w.drain)
		}
	},
	"evacuated": func(r *lastingReturns, _ []*simWorker) { r.evacuate("z0") },
	"lapsed": func(r *lastingReturns, workers []*simWorker) {
		for _, w := range workers {
			w.partitioned = true
		}
		for ref, ended := range r.endedAt {
			if w := r.lastOn[ref]; w.partitioned && r.now.Sub(ended) < 2*tickInterval { // Not reported yet.
				r.endedAt[ref] = w.leaseExpiresAt
			}
		}
	},
	"drained before a new leader": func(r *lastingReturns, workers []*simWorker) {
		for _, w := range workers {
			w.drain()
		}
		r.after(2*time.Second, r.takeOver)
	},
}

// returnSeeds returns the seeds to play: MANGOHILL_SEEDS of them from 1 on, else a few.
func returnSeeds() uint64 {
	if n, err := strconv.Atoi(os.Getenv("MANGOHILL_SEEDS")); err == nil {
		return uint64(n)
	}
	return 2
}

// Guards against lasting tasks that yield to urgent ones or lose their worker and do not come back
// in time, although the fleet has capacity for all of them: short work takes what becomes free, and
// more of them are preempted meanwhile.
func TestLastingTasksComeBackInTimeAfterTheLossOfWorkers(t *testing.T) {
	t.Parallel()
	for name, lose := range lossesOfWorkers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= returnSeeds(); seed++ {
				r := loseWorkers(t, seed, lose)
				t.Logf("seed %d: %d returns, the longest after %v, %d tasks beyond the bound; %v", seed, r.returns, r.longest, len(r.overdue), r.result(14_000_000_000, 43_000_000_000))
				assert.Empty(t, r.overdue, "seed %d", seed)
				assert.Positive(t, r.engine.counters.Yielded)
			}
		})
	}
}

// Guards against preemptions in a fleet that has no room for all lasting tasks: what yields goes on
// waiting behind others, and its room is owed to these.
func TestNoLastingTaskYieldsThatCannotComeBack(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= returnSeeds(); seed++ {
		r := watchReturns(newUrgentLoad(newSim(t, seed)))
		r.fillWithLasting(0.8)
		r.run(2 * time.Second)
		r.arrivals(0, 40*time.Second, 15, r.submitQuick)
		r.run(10 * time.Second)
		r.fillWithLasting(1.2)
		r.run(25 * time.Second)
		t.Logf("seed %d: %d returns, the longest after %v; %v", seed, r.returns, r.longest, r.result(14_000_000_000, 40_000_000_000))
		assert.LessOrEqual(t, r.longest, 9*time.Second, "seed %d", seed)
		require.Empty(t, r.violations)
	}
}
