package types

import (
	"math"
	"time"
)

// Config is the cluster's configuration: the policy that operators change by
// command. The operator's text itself is replicated, under a version number.
type Config struct {
	Services map[string]ServiceConfig `yaml:"services,omitempty"`
	Weights  Weights                  `yaml:"weights,omitempty"`
	Teams    map[string]TeamQuota     `yaml:"teams,omitempty"`
	// CreditsEnd is when the cluster's credits end, by which tasks have to finish. Zero
	// means no end.
	CreditsEnd time.Time   `yaml:"credits_end,omitempty"`
	Leases     LeaseConfig `yaml:"leases,omitempty"`
	Entry      EntryConfig `yaml:"entry,omitempty"`
}

// ServiceConfig is the policy of one service. Timeout applies to requests that name no
// timeout, and QueueLimit bounds the requests that wait at one entry host.
type ServiceConfig struct {
	Timeout    time.Duration `yaml:"timeout,omitempty"`
	QueueLimit int           `yaml:"queue_limit,omitempty"`
	Objective  Objective     `yaml:"objective,omitempty"`
}

// Objective is a service-level objective: the latency that 99% of the requests must
// not exceed and the fraction of requests, between 0 and 1, that must succeed.
type Objective struct {
	P99     time.Duration `yaml:"p99,omitempty"`
	Success float64       `yaml:"success,omitempty"`
}

// Weights are the relative weights of the scheduler's objectives.
type Weights struct {
	TailLatency float64 `yaml:"tail_latency"`
	Evictions   float64 `yaml:"evictions"`
	Throughput  float64 `yaml:"throughput"`
}

// TeamQuota bounds the resources that all tasks of one team may hold together. Memory
// is a size such as 8GiB.
type TeamQuota struct {
	Processors   float64 `yaml:"processors,omitempty"`
	Memory       string  `yaml:"memory,omitempty"`
	Accelerators int64   `yaml:"accelerators,omitempty"`
}

// Limit returns the quota as Resources. Memory must have been validated by
// ParseSize; a malformed size counts as zero.
func (q TeamQuota) Limit() Resources {
	memory, err := ParseSize(q.Memory)
	if err != nil {
		memory = 0
	}
	return Resources{
		MilliProcessors: int64(math.Round(q.Processors * MilliPerProcessor)),
		MemoryBytes:     memory,
		Accelerators:    q.Accelerators,
	}
}

// LeaseConfig configures the workers' leases. Duration is that of a lease,
// MaxPollHold the longest time for which an entry host holds a worker's poll open
// without a command, and UsageInterval the interval of workers' usage reports.
type LeaseConfig struct {
	Duration      time.Duration `yaml:"duration,omitempty"`
	MaxPollHold   time.Duration `yaml:"hold,omitempty"`
	UsageInterval time.Duration `yaml:"usage,omitempty"`
}

// EntryConfig is the policy of entry hosts that are cut off from the control group.
type EntryConfig struct {
	// StopWhenStale is the time without confirmation that the configuration is
	// current after which an entry host reports that it is not ready. Zero means
	// that it stays ready.
	StopWhenStale time.Duration `yaml:"stop_when_stale,omitempty"`
}

// DefaultConfigText is the configuration of a new cluster, version 1.
const DefaultConfigText = `weights: {tail_latency: 3, evictions: 3, throughput: 2}
leases: {duration: 10s, hold: 3s, usage: 10s}
entry: {stop_when_stale: 10s}
`
