package workerapi

import (
	"encoding/json"
	"math"

	"mangohill.example/mangohill/types"
)

// Capacity is an amount of resources in the platform's units.
type Capacity struct {
	Processors   float64 `json:"processors"`
	MemoryBytes  int64   `json:"memory_bytes"`
	Accelerators int64   `json:"accelerators"`
}

// Resources converts c to the units used internally.
func (c Capacity) Resources() types.Resources {
	return types.Resources{
		MilliProcessors: int64(math.Round(c.Processors * types.MilliPerProcessor)),
		MemoryBytes:     c.MemoryBytes,
		Accelerators:    c.Accelerators,
	}
}

// CapacityFromResources converts r to the platform's units.
func CapacityFromResources(r types.Resources) Capacity {
	return Capacity{Processors: r.Processors(), MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

// States of an attempt, as a worker reports them.
const (
	AttemptRunning      = "running"
	AttemptThrottled    = "throttled"
	AttemptCheckpointed = "checkpointed"
	AttemptFinished     = "finished"
	AttemptFailed       = "failed"
	AttemptStopped      = "stopped"
)

// SyncRequest is the body of POST /v1/workers/{worker}/sync. SentMs is the worker's
// monotonic clock in milliseconds. Full means that Tasks lists all attempts on the
// worker. HoldMs is how long the entry host may hold the response while it has no
// command, in milliseconds.
type SyncRequest struct {
	Incarnation   uint64        `json:"incarnation"`
	SentMs        int64         `json:"sent_ms"`
	FailureDomain string        `json:"failure_domain,omitempty"`
	Rack          string        `json:"rack,omitempty"`
	State         string        `json:"state,omitempty"` // ready or leaving
	Capacity      *Capacity     `json:"capacity,omitempty"`
	Tasks         []TaskStatus  `json:"tasks,omitempty"`
	Usage         []UsageSample `json:"usage,omitempty"`
	Full          bool          `json:"full,omitempty"`
	HoldMs        int64         `json:"hold_ms,omitempty"`
}

// TaskStatus is the state of one attempt.
type TaskStatus struct {
	Task       string `json:"task"`
	Epoch      uint64 `json:"epoch"`
	State      string `json:"state"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// UsageSample is a usage measurement of an attempt, taken at TakenMs on the worker's
// monotonic clock (milliseconds). Progress is the completed part of the work, 0 to 1.
type UsageSample struct {
	Task         string  `json:"task"`
	Epoch        uint64  `json:"epoch"`
	TakenMs      int64   `json:"taken_ms"`
	Processors   float64 `json:"processors"`
	MemoryBytes  int64   `json:"memory_bytes"`
	LatencyP99Ms float64 `json:"latency_p99_ms,omitempty"`
	Progress     float64 `json:"progress,omitempty"`
}

// SyncResponse is the body of the response to a SyncRequest. Resync asks the worker for
// a full sync. UsageMs is the interval of its usage reports in milliseconds.
type SyncResponse struct {
	Lease    *Lease    `json:"lease,omitempty"`
	Resync   bool      `json:"resync,omitempty"`
	UsageMs  int64     `json:"usage_ms,omitempty"`
	Commands []Command `json:"commands,omitempty"`
}

// Lease allows the worker to run tasks for DurationMs milliseconds after
// CountedFromSentMs, which is the SentMs of the sync that renewed the lease.
type Lease struct {
	CountedFromSentMs int64 `json:"counted_from_sent_ms"`
	DurationMs        int64 `json:"duration_ms"`
}

// Command is a command to a worker about one attempt. Verb is one of start, throttle,
// unthrottle, checkpoint and stop. Share is the part of Processors that a throttled
// task may use, 0 to 1. ResumeFrom is the checkpoint from which a start resumes.
type Command struct {
	Task         string          `json:"task"`
	Epoch        uint64          `json:"epoch"`
	Verb         string          `json:"verb"`
	Class        string          `json:"class,omitempty"`
	Processors   float64         `json:"processors,omitempty"`
	MemoryBytes  int64           `json:"memory_bytes,omitempty"`
	Accelerators int64           `json:"accelerators,omitempty"`
	ResumeFrom   string          `json:"resume_from,omitempty"`
	Share        float64         `json:"share,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty"`
}

// Announcement is the body of PUT /v1/targets/{target}. Slots is the number of requests
// that the target serves at a time, InFlight the number that it serves now.
type Announcement struct {
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Incarnation   uint64 `json:"incarnation"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	State         string `json:"state"` // ready or leaving
	InFlight      int    `json:"in_flight"`
}

// AnnouncementResponse tells a target the time in milliseconds within which to announce
// itself again.
type AnnouncementResponse struct {
	AnnounceWithinMs int64 `json:"announce_within_ms"`
}
