package fleet

import (
	"time"

	"mangohill.example/mangohill/types"
)

// Spec describes a fleet and its work.
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
	// Demand is the batch work that arrives, as a part of the fleet's processors.
	Demand float64
	// ReportEvery is the interval of a worker's usage reports, MaxLag the longest
	// time that one takes to arrive.
	ReportEvery time.Duration
	MaxLag      time.Duration
	Faults      Faults
}

// Faults switches the disturbances of a run on.
type Faults struct {
	// LoadShift raises one service after another for a while.
	LoadShift bool
	// ArrivalBursts makes one class after another arrive in bulk.
	ArrivalBursts bool
	// WrongDeclarations makes true run times and use differ from the declared ones
	// by 0.3 to 3 times.
	WrongDeclarations bool
	// BadWorkers is the number of workers that fail all tasks.
	BadWorkers int
	// BadJobs is the share of batch jobs that fail everywhere.
	BadJobs float64
	// CancelBursts cancels a third of the waiting tasks at intervals.
	CancelBursts bool
	// RackLoss takes one rack away at half of the run.
	RackLoss bool
	// UrgentEvery is the interval of urgent batch jobs, zero for none.
	UrgentEvery time.Duration
}

// pressure is what a class demands of, or suffers on, each shared resource of a
// host: cache, memory bandwidth, disk and network.
type pressure [4]float64

// Service describes a service with its replicas.
type Service struct {
	Name        string
	Replicas    int
	Request     types.Resources
	P99         time.Duration // alone, at half load
	Sensitivity pressure
}

// BatchClass describes batch jobs of a class.
type BatchClass struct {
	Name     string
	Team     string
	Request  types.Resources
	Minutes  float64 // mean run time alone
	Pressure pressure
}

const gib = int64(1) << 30

func size(processors float64, memoryGiB int64) types.Resources {
	return types.Resources{MilliProcessors: int64(processors * types.MilliPerProcessor), MemoryBytes: memoryGiB * gib}
}

// Association is the fleet of the first user: tail latency weighs most.
func Association(seed uint64) Spec {
	spec := base("association", seed)
	spec.Workers, spec.WorkersPerRack = 65, 8
	spec.Capacity = size(64, 250)
	spec.Weights = types.Weights{TailLatency: 5, Evictions: 2, Throughput: 1}
	spec.Services = services(65, 4)
	spec.Batch = classes(8)
	return spec
}

// Consortium is the fleet of the second user: evictions weigh most, then
// throughput.
func Consortium(seed uint64) Spec {
	spec := base("consortium", seed)
	spec.Workers, spec.WorkersPerRack = 50, 6
	spec.Capacity = size(32, 125)
	spec.Weights = types.Weights{TailLatency: 2, Evictions: 5, Throughput: 3}
	spec.Services = services(50, 2)
	spec.Batch = classes(4)
	return spec
}

func base(name string, seed uint64) Spec {
	return Spec{
		Name: name, Seed: seed, FailureDomains: 4, Duration: 4 * time.Hour, Tick: time.Second,
		Demand: 0.75, ReportEvery: 10 * time.Second, MaxLag: 15 * time.Second,
	}
}

// services returns the users' kind of services for a fleet of n workers.
func services(n int, processors float64) []Service {
	request := size(processors, int64(2*processors))
	return []Service{
		{"quote", n * 2 / 5, request, 40 * time.Millisecond, pressure{1, 0.5, 0, 0.1}},
		{"booking", n * 3 / 5, request, 60 * time.Millisecond, pressure{0.1, 0.2, 1, 0.3}},
		{"dispatch", n / 4, request, 25 * time.Millisecond, pressure{0.2, 0.1, 0, 1}},
	}
}

// classes returns batch classes whose tasks take about the given processors.
func classes(processors float64) []BatchClass {
	p, m := processors, int64(2*processors)
	return []BatchClass{
		{"routing", "planning", size(p, m), 25, pressure{0.2, 0.9, 0, 0.1}},
		{"tiles", "maps", size(p/2, m), 10, pressure{1, 0.3, 0.1, 0}},
		{"import", "data", size(p/2, m/2), 15, pressure{0, 0.1, 1, 0.3}},
		{"simulation", "planning", size(p, m), 40, pressure{0.05, 0.05, 0, 0}},
		{"transfer", "data", size(p/4, m/4), 8, pressure{0.1, 0, 0.2, 1}},
		{"report", "office", size(p/4, m/2), 12, pressure{0.1, 0.1, 0.1, 0.1}},
	}
}
