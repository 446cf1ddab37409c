package dispatch

import (
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// Request is a caller's request about a job or a queue.
type Request struct {
	Verb RequestVerb
	Host string
	Path string
	// Job is what is submitted.
	Job *workflow.JobSpec
}

// RequestVerb is what a caller asks for.
type RequestVerb uint8

// Verbs of requests.
const (
	Submit RequestVerb = iota + 1
	Query
	CancelJob
)

// Reply answers a Request. Err is nil for success.
type Reply struct {
	Err *kind.Error
	// State is the job's state.
	State workflow.JobState
	// Waiting is the number of the queue's jobs of which nothing has started;
	// IsQueue tells that the request asked for it.
	Waiting int
	IsQueue bool
}

// HandleRequest decides on a request and calls reply, perhaps later.
func (e *Engine) HandleRequest(r *Request, reply func(Reply)) {
	queue, rest, ok := e.state.Catalog().Match(r.Host, r.Path)
	if e.state.Catalog() == nil {
		reply(refusal(kind.Overloaded, "there is no configuration yet"))
		return
	}
	if !ok {
		e.then(func() { reply(refusal(kind.UnknownService, "no queue serves %s%s", r.Host, r.Path)) })
		return
	}
	if rest == "" && r.Verb == Query {
		e.countWaiting(queue.Name, reply)
		return
	}
	id, err := workflow.ParseJobID(rest)
	if err != nil {
		reply(refusal(kind.BadRequest, "%v", err))
		return
	}
	switch r.Verb {
	case Submit:
		e.submit(queue, id, r.Job, reply)
	case Query:
		e.query(id, reply)
	case CancelJob:
		e.cancel(id, reply)
	}
}

func refusal(k kind.Kind, format string, args ...any) Reply {
	return Reply{Err: kind.Errorf(k, format, args...)}
}

func (e *Engine) submit(queue *workflow.Queue, id workflow.JobID, spec *workflow.JobSpec, reply func(Reply)) {
	if job := e.state.Job(id); job != nil {
		e.then(func() { reply(Reply{State: job.State()}) })
		return
	}
	if err := spec.Validate(); err != nil {
		reply(refusal(kind.BadRequest, "%v", err))
		return
	}
	if err := e.decide(workflow.Op{Accept: &workflow.Accept{ID: id, Queue: queue.Name, Spec: *spec}}); err != nil {
		reply(refusal(kind.Internal, "%v", err))
		return
	}
	e.counters.Accepted++
	e.ready.noteWork(e.state.Job(id))
	e.ready.touch(id)
	e.then(func() {
		e.log.Info().Stringer("job", id).Str("queue", queue.Name).Uint64("catalog", e.state.Catalog().Version).Uint64("term", e.fence).Msg("job accepted")
		reply(Reply{State: workflow.JobPending})
	})
}

func (e *Engine) query(id workflow.JobID, reply func(Reply)) {
	job := e.state.Job(id)
	if job == nil {
		e.then(func() { reply(refusal(kind.NotFound, "job %s", id)) })
		return
	}
	state := job.State()
	e.then(func() { reply(Reply{State: state}) })
}

func (e *Engine) cancel(id workflow.JobID, reply func(Reply)) {
	job := e.state.Job(id)
	if job == nil {
		e.then(func() { reply(refusal(kind.NotFound, "job %s", id)) })
		return
	}
	if job.Active() {
		if err := e.decide(workflow.Op{Cancel: &workflow.Cancel{ID: id}}); err != nil {
			reply(refusal(kind.Internal, "%v", err))
			return
		}
		e.counters.Cancelled++
		e.then(func() {
			e.log.Info().Stringer("job", id).Uint64("term", e.fence).Msg("job cancelled")
			e.stopEnded(job)
		})
	}
	e.then(func() { reply(Reply{State: job.State()}) })
}

func (e *Engine) countWaiting(queue string, reply func(Reply)) {
	waiting := 0
	for _, job := range e.state.Jobs() {
		if job.Queue == queue && job.State() == workflow.JobPending {
			waiting++
		}
	}
	reply(Reply{Waiting: waiting, IsQueue: true})
}

// SetCatalog puts a catalog in force and calls done, perhaps later.
func (e *Engine) SetCatalog(c *workflow.Catalog, done func(*kind.Error)) {
	if err := c.Validate(); err != nil {
		done(asKind(err))
		return
	}
	before := uint64(0)
	if present := e.state.Catalog(); present != nil {
		before = present.Version
	}
	if c.Version <= before {
		err := e.state.Apply(&workflow.Op{SetCatalog: &workflow.SetCatalog{Catalog: *c}})
		e.then(func() { done(asKind(err)) })
		return
	}
	if err := e.decide(workflow.Op{SetCatalog: &workflow.SetCatalog{Catalog: *c}}); err != nil {
		done(asKind(err))
		return
	}
	e.then(func() {
		e.log.Info().Uint64("before", before).Uint64("version", c.Version).Int("queues", len(c.Queues)).Uint64("term", e.fence).Msg("catalog set")
		done(nil)
	})
}

// ReadCatalog calls done with the newest committed catalog, nil if there is none.
func (e *Engine) ReadCatalog(done func(*workflow.Catalog)) {
	catalog := e.state.Catalog()
	e.then(func() { done(catalog) })
}

func asKind(err error) *kind.Error {
	if err == nil {
		return nil
	}
	if listed := kind.Parse(err.Error()); listed != nil {
		return listed
	}
	return kind.Errorf(kind.Internal, "%v", err)
}
