package workflow

import (
	"strings"

	"mangohill.example/mangohill/kind"
)

// Queue is where callers submit jobs of one kind.
type Queue struct {
	Name       string `cbor:"1,keyasint"`
	Host       string `cbor:"2,keyasint"`
	PathPrefix string `cbor:"3,keyasint"`
	Service    string `cbor:"4,keyasint"`
	TimeoutMs  int64  `cbor:"5,keyasint"`
	// Priority orders the queues; 0 comes first.
	Priority int32 `cbor:"6,keyasint,omitempty"`
	// MaxAttempts is the number of failed attempts of a task after which its job
	// has failed.
	MaxAttempts uint32 `cbor:"7,keyasint,omitempty"`
	// StretchMilli, in thousandths, times the longest chain of work plus
	// LatencyObjectiveMs is the latency objective of a job.
	StretchMilli       int64 `cbor:"8,keyasint,omitempty"`
	LatencyObjectiveMs int64 `cbor:"9,keyasint,omitempty"`
	// Advised queues run only on workers that the advice service allows.
	Advised bool `cbor:"10,keyasint,omitempty"`
	// AdviceBaseMs and AdviceEachMs are the time that the advice service takes for
	// a call and for each worker named; AdviceValidMs is the life of a ticket.
	AdviceBaseMs  int64 `cbor:"11,keyasint,omitempty"`
	AdviceEachMs  int64 `cbor:"12,keyasint,omitempty"`
	AdviceValidMs int64 `cbor:"13,keyasint,omitempty"`
}

// Service is a pool of workers.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections bounds the connections to one worker.
	MaxConnections int `cbor:"2,keyasint,omitempty"`
	// Spare pools are switched off and lend their hosts to others.
	Spare bool `cbor:"3,keyasint,omitempty"`
}

// Limits bound callers' requests.
type Limits struct {
	MaxHeaderBytes  int   `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes    int64 `cbor:"2,keyasint,omitempty"`
	HeaderTimeoutMs int64 `cbor:"3,keyasint,omitempty"`
	IdleTimeoutMs   int64 `cbor:"4,keyasint,omitempty"`
}

// Catalog is one version of the queues and services.
type Catalog struct {
	Version  uint64    `cbor:"1,keyasint"`
	Queues   []Queue   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	// Source is the text that the operator sent, which is what he reads back.
	Source []byte `cbor:"5,keyasint"`
}

// Validate returns an error of kind bad_config for a catalog that may not be in
// force.
func (c *Catalog) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return kind.Errorf(kind.BadConfig, "service %q has no name or is listed twice", s.Name)
		}
		services[s.Name] = true
	}
	type place struct{ host, prefix string }
	places := make(map[place]string, len(c.Queues))
	for _, q := range c.Queues {
		at := place{strings.ToLower(q.Host), q.PathPrefix}
		other, taken := places[at]
		switch {
		case q.Name == "" || q.Host == "" || !strings.HasPrefix(q.PathPrefix, "/"):
			return kind.Errorf(kind.BadConfig, "queue %q needs a name, a host and a path prefix", q.Name)
		case !services[q.Service]:
			return kind.Errorf(kind.BadConfig, "queue %q names the unknown service %q", q.Name, q.Service)
		case taken:
			return kind.Errorf(kind.BadConfig, "queues %q and %q share host %q and prefix %q", other, q.Name, q.Host, q.PathPrefix)
		case q.TimeoutMs <= 0:
			return kind.Errorf(kind.BadConfig, "queue %q has a time-out of %d ms", q.Name, q.TimeoutMs)
		}
		places[at] = q.Name
	}
	return nil
}

// Match returns the queue with the longest prefix of the path on the host, and
// the rest of the path.
func (c *Catalog) Match(host, path string) (queue *Queue, rest string, ok bool) {
	if c == nil {
		return nil, "", false
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.PathPrefix) && (queue == nil || len(q.PathPrefix) > len(queue.PathPrefix)) {
			queue = q
		}
	}
	if queue == nil {
		return nil, "", false
	}
	return queue, path[len(queue.PathPrefix):], true
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
