package fleet

import (
	"time"

	"mangohill.example/mangohill/types"
)

// Spec describes a simulated fleet and its workload.
type Spec struct {
	Name           string
	Seed           uint64
	Workers        int
	WorkersPerRack int
	FailureDomains int
	Capacity       types.Resources
	Weights        types.Weights
	Services       []Service
	Batch          []BatchClass
	Duration       time.Duration
	Tick           time.Duration
	// Demand is the rate at which batch work arrives, as a share of the fleet's
	// processors.
	Demand float64
	// ReportEvery is the interval between the usage reports of a worker, MaxLag the
	// longest time until one arrives.
	ReportEvery time.Duration
	MaxLag      time.Duration
	Faults      Faults
}

// Faults selects the faults and load changes of a run.
type Faults struct {
	// LoadShift raises the load of one service after another for a time.
	LoadShift bool
	// ArrivalBursts makes one batch class after another dominate the arrivals.
	ArrivalBursts bool
	// WrongDeclarations makes the actual run times and use differ from the declared
	// ones by a factor from 1/3 to 3.
	WrongDeclarations bool
	// BadWorkers is the number of workers that fail all tasks.
	BadWorkers int
	// BadJobs is the share of batch jobs that fail everywhere.
	BadJobs float64
	// CancelBursts periodically cancels a third of the pending batch tasks.
	CancelBursts bool
	// RackLoss makes one rack fail in the middle of the run.
	RackLoss bool
	// UrgentEvery is the interval between urgent batch jobs, zero for none.
	UrgentEvery time.Duration
}

// pressure holds a value for each shared resource of a host: cache, memory bandwidth,
// disk and network. It describes how strongly a batch class uses the resource, or
// how sensitive a service is to its use.
type pressure [4]float64

// Service describes a service with its replicas.
type Service struct {
	Name        string
	Replicas    int
	Request     types.Resources
	P99         time.Duration // without interference, at half load
	Sensitivity pressure
}

// BatchClass describes batch jobs of a class.
type BatchClass struct {
	Name     string
	Team     string
	Request  types.Resources
	Minutes  float64 // mean run time without interference
	Pressure pressure
}

const gib = int64(1) << 30

func resources(processors float64, memoryGiB int64) types.Resources {
	return types.Resources{MilliProcessors: int64(processors * types.MilliPerProcessor), MemoryBytes: memoryGiB * gib}
}

// Association returns the fleet of the first user, for whom tail latency weighs most.
func Association(seed uint64) Spec {
	spec := baseSpec("association", seed)
	spec.Workers, spec.WorkersPerRack = 65, 8
	spec.Capacity = resources(64, 250)
	spec.Weights = types.Weights{TailLatency: 5, Evictions: 2, Throughput: 1}
	spec.Services = services(65, 4)
	spec.Batch = batchClasses(8)
	return spec
}

// Consortium returns the fleet of the second user, for whom evictions weigh most,
// followed by throughput.
func Consortium(seed uint64) Spec {
	spec := baseSpec("consortium", seed)
	spec.Workers, spec.WorkersPerRack = 50, 6
	spec.Capacity = resources(32, 125)
	spec.Weights = types.Weights{TailLatency: 2, Evictions: 5, Throughput: 3}
	spec.Services = services(50, 2)
	spec.Batch = batchClasses(4)
	return spec
}

func baseSpec(name string, seed uint64) Spec {
	return Spec{
		Name: name, Seed: seed, FailureDomains: 4, Duration: 4 * time.Hour, Tick: time.Second,
		Demand: 0.75, ReportEvery: 10 * time.Second, MaxLag: 15 * time.Second,
	}
}

// services returns typical services of the users for a fleet of n workers, whose
// replicas request the given processors.
func services(n int, processors float64) []Service {
	request := resources(processors, int64(2*processors))
	return []Service{
		{"quote", n * 2 / 5, request, 40 * time.Millisecond, pressure{1, 0.5, 0, 0.1}},
		{"booking", n * 3 / 5, request, 60 * time.Millisecond, pressure{0.1, 0.2, 1, 0.3}},
		{"dispatch", n / 4, request, 25 * time.Millisecond, pressure{0.2, 0.1, 0, 1}},
	}
}

// batchClasses returns batch classes whose tasks request up to the given processors.
func batchClasses(processors float64) []BatchClass {
	p, m := processors, int64(2*processors)
	return []BatchClass{
		{"routing", "planning", resources(p, m), 25, pressure{0.2, 0.9, 0, 0.1}},
		{"tiles", "maps", resources(p/2, m), 10, pressure{1, 0.3, 0.1, 0}},
		{"import", "data", resources(p/2, m/2), 15, pressure{0, 0.1, 1, 0.3}},
		{"simulation", "planning", resources(p, m), 40, pressure{0.05, 0.05, 0, 0}},
		{"transfer", "data", resources(p/4, m/4), 8, pressure{0.1, 0, 0.2, 1}},
		{"report", "office", resources(p/4, m/2), 12, pressure{0.1, 0.1, 0.1, 0.1}},
	}
}
