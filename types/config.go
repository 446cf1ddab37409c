package types

import (
	"math"
	"time"
)

// Config is the cluster's configuration: the policy that operators change by
// command. It is replicated as the text that the operator gave, under a version.
type Config struct {
	Services   map[string]ServiceConfig `yaml:"services,omitempty"`
	Weights    Weights                  `yaml:"weights,omitempty"`
	Teams      map[string]TeamQuota     `yaml:"teams,omitempty"`
	CreditsEnd time.Time                `yaml:"credits_end,omitempty"`
	Leases     LeaseConfig              `yaml:"leases,omitempty"`
	Entry      EntryConfig              `yaml:"entry,omitempty"`
}

// ServiceConfig is the policy of one service.
type ServiceConfig struct {
	Timeout    time.Duration `yaml:"timeout,omitempty"`
	QueueLimit int           `yaml:"queue_limit,omitempty"`
	Objective  Objective     `yaml:"objective,omitempty"`
}

// Objective is a service-level objective.
type Objective struct {
	P99     time.Duration `yaml:"p99,omitempty"`
	Success float64       `yaml:"success,omitempty"`
}

// Weights are the relative weights of the scheduler's goals.
type Weights struct {
	TailLatency float64 `yaml:"tail_latency"`
	Evictions   float64 `yaml:"evictions"`
	Throughput  float64 `yaml:"throughput"`
}

// TeamQuota bounds what the tasks of one team may hold together.
type TeamQuota struct {
	Processors   float64 `yaml:"processors,omitempty"`
	Memory       string  `yaml:"memory,omitempty"`
	Accelerators int64   `yaml:"accelerators,omitempty"`
}

// Limit returns the quota as resources. Memory must have been checked by
// ParseSize; a malformed one counts as zero.
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

// LeaseConfig sets the workers' leases.
type LeaseConfig struct {
	Duration      time.Duration `yaml:"duration,omitempty"`
	MaxPollHold   time.Duration `yaml:"hold,omitempty"`
	UsageInterval time.Duration `yaml:"usage,omitempty"`
}

// EntryConfig is the policy of entry hosts that are cut off from control.
type EntryConfig struct {
	// StopWhenStale turns readiness off after this time without proof that the
	// configuration in force is current. Zero serves on.
	StopWhenStale time.Duration `yaml:"stop_when_stale,omitempty"`
}

// DefaultConfigText is the first configuration of a new cluster, version 1.
const DefaultConfigText = `weights: {tail_latency: 3, evictions: 3, throughput: 2}
leases: {duration: 10s, hold: 3s, usage: 10s}
entry: {stop_when_stale: 10s}
`
