package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/schedule"
	"mangohill.example/mangohill/types"
)

// maxUrgentStart is the longest time to start of an urgent job on a full cluster.
const maxUrgentStart = 1600 * time.Millisecond

// largeCluster is a full cluster of the size that is expected within two years.
func largeCluster() Spec {
	spec := baseSpec("large", 1)
	spec.Workers, spec.WorkersPerRack, spec.FailureDomains = 560, 8, 5
	spec.Capacity = resources(64, 250)
	spec.Weights = types.Weights{TailLatency: 3, Evictions: 3, Throughput: 2}
	spec.Services = services(1040, 2)
	spec.Batch = []BatchClass{{"simulation", "planning", resources(2.5, 4), 40, pressure{0.05, 0.05, 0, 0}}}
	spec.Tick = 100 * time.Millisecond
	spec.Demand = 100 // fills the cluster within the first minute
	return spec
}

func TestUrgentWorkStartsInTimeOnAFullCluster(t *testing.T) {
	spec := largeCluster()
	f := New(&spec, schedule.New(schedule.Options{Seed: 1}))
	for range 600 {
		f.Step()
	}
	running := 0
	for _, task := range f.tasks {
		if task.State == types.TaskRunning {
			running++
		}
	}
	assert.Greater(t, running, 10_000)
	spec.Demand = 0
	spec.Batch[0].Request = resources(16, 32)
	for range 5 {
		for range 150 {
			f.submitBatch(0, true)
		}
		for range 100 {
			f.Step()
		}
	}
	assert.Len(t, f.Result.urgentStarts, 750)
	assert.Greater(t, f.Result.Evictions, 100, "tasks must be evicted for the urgent jobs")
	assert.LessOrEqual(t, f.Result.UrgentStart(), maxUrgentStart)
	assert.Zero(t, f.Result.Rejected)
	t.Logf("urgent %s, %d evictions, %d kills", f.Result.UrgentStart(), f.Result.Evictions, f.Result.Kills)
}

// run simulates spec with all faults. If model is nil, the scheduler learns its own.
func run(spec Spec, model schedule.Model) *Result {
	spec.Duration = 90 * time.Minute
	spec.Faults = Faults{
		LoadShift: true, ArrivalBursts: true, WrongDeclarations: true, BadWorkers: 2, BadJobs: 0.01,
		CancelBursts: true, RackLoss: true, UrgentEvery: 5 * time.Minute,
	}
	f := New(&spec, schedule.New(schedule.Options{Seed: spec.Seed, Model: model}))
	f.Run()
	return &f.Result
}

// TestLearnedPolicyKeepsItsTargets guards against a scheduler that learns interference
// wrongly or too slowly. Under all faults it may raise the p99 latency of a service by
// at most 15 %, must reach 90 % of the throughput with an oracle, and may evict at most
// a third of the tasks that it evicts with a blind model.
func TestLearnedPolicyKeepsItsTargets(t *testing.T) {
	for _, spec := range []Spec{Association(1), Consortium(1)} {
		t.Run(spec.Name, func(t *testing.T) {
			t.Parallel()
			learned := run(spec, nil)
			oracle := run(spec, NewOracle(&spec))
			blind := run(spec, NewBlind(&spec, BlindBold))
			assert.LessOrEqual(t, learned.WorstP99(), 1.15)
			assert.GreaterOrEqual(t, learned.Throughput(), 0.9*oracle.Throughput())
			assert.LessOrEqual(t, 3*learned.Evictions, blind.Evictions)
			assert.Zero(t, learned.Rejected)
			assert.Zero(t, learned.WrongParks)
			assert.Zero(t, learned.WrongQuarantines)
			t.Logf("p99 %.3f, throughput %.3f of %.3f, evictions %d of %d", learned.WorstP99(),
				learned.Throughput(), oracle.Throughput(), learned.Evictions, blind.Evictions)
		})
	}
}
