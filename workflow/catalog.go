package workflow

import (
	"strings"

	"mangohill.example/mangohill/kind"
)

// Queue accepts jobs from callers under one host and path prefix, and sets the
// terms for these jobs.
type Queue struct {
	Name       string `cbor:"1,keyasint"`
	Host       string `cbor:"2,keyasint"`
	PathPrefix string `cbor:"3,keyasint"`
	// Service names the pool of workers that run the jobs.
	Service   string `cbor:"4,keyasint"`
	TimeoutMs int64  `cbor:"5,keyasint"`
	// Priority orders the queues; 0 is the highest priority.
	Priority int32 `cbor:"6,keyasint,omitempty"`
	// MaxAttempts is the number of failed attempts of one task at which its job
	// fails.
	MaxAttempts uint32 `cbor:"7,keyasint,omitempty"`
	// The latency objective of a job is the duration of its critical path times
	// StretchMilli/1000, plus LatencyObjectiveMs.
	StretchMilli       int64 `cbor:"8,keyasint,omitempty"`
	LatencyObjectiveMs int64 `cbor:"9,keyasint,omitempty"`
	// Advised marks queues whose jobs run only on workers that the advice service
	// allows.
	Advised bool `cbor:"10,keyasint,omitempty"`
	// A call to the advice service takes AdviceBaseMs, plus AdviceEachMs for each
	// worker that it names; a ticket is valid for AdviceValidMs.
	AdviceBaseMs  int64 `cbor:"11,keyasint,omitempty"`
	AdviceEachMs  int64 `cbor:"12,keyasint,omitempty"`
	AdviceValidMs int64 `cbor:"13,keyasint,omitempty"`
}

// Service describes a pool of workers.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections limits the connections to one worker.
	MaxConnections int `cbor:"2,keyasint,omitempty"`
	// Spare marks a pool that is switched off; its hosts serve other pools.
	Spare bool `cbor:"3,keyasint,omitempty"`
}

// Limits holds the limits on the size and duration of callers' requests.
type Limits struct {
	MaxHeaderBytes  int   `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes    int64 `cbor:"2,keyasint,omitempty"`
	HeaderTimeoutMs int64 `cbor:"3,keyasint,omitempty"`
	IdleTimeoutMs   int64 `cbor:"4,keyasint,omitempty"`
}

// Catalog holds one version of the queues and services.
type Catalog struct {
	Version  uint64    `cbor:"1,keyasint"`
	Queues   []Queue   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	// Source is the text as the operator sent it; reads return it unchanged. In the
	// replicated state CompressedSource holds it instead; see Text.
	Source           []byte `cbor:"5,keyasint"`
	CompressedSource []byte `cbor:"6,keyasint,omitempty"`
}

// Validate returns an error of kind bad_config if a service or queue is incomplete
// or duplicated, or if a queue names an unknown service.
func (c *Catalog) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return kind.Errorf(kind.BadConfig, "service %q has an empty or duplicate name", s.Name)
		}
		services[s.Name] = true
	}
	type route struct{ host, prefix string }
	queueAt := make(map[route]string, len(c.Queues))
	for _, q := range c.Queues {
		key := route{strings.ToLower(q.Host), q.PathPrefix}
		other, taken := queueAt[key]
		switch {
		case q.Name == "" || q.Host == "" || !strings.HasPrefix(q.PathPrefix, "/"):
			return kind.Errorf(kind.BadConfig, "queue %q must have a name, a host and a path prefix that starts with a slash", q.Name)
		case !services[q.Service]:
			return kind.Errorf(kind.BadConfig, "queue %q names the unknown service %q", q.Name, q.Service)
		case taken:
			return kind.Errorf(kind.BadConfig, "queues %q and %q have the same host %q and path prefix %q", other, q.Name, q.Host, q.PathPrefix)
		case q.TimeoutMs <= 0:
			return kind.Errorf(kind.BadConfig, "queue %q has a time-out of %d ms, it must be positive", q.Name, q.TimeoutMs)
		}
		queueAt[key] = q.Name
	}
	return nil
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (Service, bool) {
	if c == nil {
		return Service{}, false
	}
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
