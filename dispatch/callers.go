package dispatch

import (
	"strconv"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// Request is a caller's request about a job or a queue.
type Request struct {
	Verb RequestVerb
	Host string
	Path string
	// Job is the job to submit, BodyBytes the size of the body that it was decoded from.
	Job       *workflow.JobSpec
	BodyBytes int64
}

// RequestVerb is the kind of a request.
type RequestVerb uint8

// Verbs of requests.
const (
	Submit RequestVerb = iota + 1
	Query
	CancelJob
)

// Reply is the answer to a Request. Err is nil for success, otherwise of kind overloaded
// (there is no catalog yet, no memory for further jobs, or no room for another cancelled ID),
// invalid_transition (the job was cancelled before it arrived), unknown_service, bad_request,
// body_too_large, not_found or internal.
type Reply struct {
	Err *kind.Error
	// State is the job's state.
	State workflow.JobState
	// Waiting is the number of the queue's jobs that have not started any task;
	// IsQueue tells that the request asked for it.
	Waiting int
	IsQueue bool
}

// HandleRequest decides on a request and calls reply once all that the answer rests on is
// committed.
func (e *Engine) HandleRequest(r *Request, reply func(Reply)) {
	queue, rest, ok := e.state.MatchQueue(r.Host, r.Path)
	if e.state.Catalog() == nil {
		reply(refusal(kind.Overloaded, "there is no configuration yet"))
		return
	}
	if !ok {
		e.afterCommit(func() { reply(refusal(kind.UnknownService, "no queue serves %s%s", r.Host, r.Path)) })
		return
	}
	if rest == "" && r.Verb == Query {
		e.countWaiting(queue.Name, reply)
		return
	}
	id, err := workflow.ParseJobID(rest)
	if err != nil {
		e.afterCommit(func() { reply(refusal(kind.BadRequest, "%v", err)) })
		return
	}
	switch r.Verb {
	case Submit:
		e.submit(queue, id, r, reply)
	case Query:
		e.query(id, reply)
	case CancelJob:
		e.cancel(id, reply)
	default:
		reply(refusal(kind.BadRequest, "unknown verb %d of a request", r.Verb))
	}
}

func refusal(k kind.Kind, format string, args ...any) Reply {
	return Reply{Err: kind.Errorf(k, format, args...)}
}

func (e *Engine) submit(queue *workflow.Queue, id workflow.JobID, r *Request, reply func(Reply)) {
	spec := r.Job
	if spec == nil {
		reply(refusal(kind.BadRequest, "the request has no job"))
		return
	}
	if job := e.state.Job(id); job != nil {
		e.afterCommit(func() { reply(Reply{State: job.State()}) })
		return
	}
	if e.state.IsCancelledID(id) {
		e.counters.RefusedCancelled++
		e.afterCommit(func() {
			e.log.Info().Stringer("job", id).Str("queue", queue.Name).Uint64("term", e.term).Msg("cancelled job refused")
			reply(refusal(kind.InvalidTransition, "job %s was cancelled before it was submitted here", id))
		})
		return
	}
	if limit := e.state.Catalog().Limits.MaxBodyBytes; limit > 0 && r.BodyBytes > limit {
		e.afterCommit(func() {
			reply(refusal(kind.BodyTooLarge, "a body of %d bytes exceeds the limit of %d bytes", r.BodyBytes, limit))
		})
		return
	}
	if err := spec.Validate(); err != nil {
		e.afterCommit(func() { reply(refusal(kind.BadRequest, "%v", err)) })
		return
	}
	if limit := e.settings.MaxJobBytes; limit > 0 && e.state.JobBytes() > limit {
		e.afterCommit(func() {
			reply(refusal(kind.Overloaded, "the accepted jobs take %d bytes, the limit is %d bytes", e.state.JobBytes(), limit))
		})
		return
	}
	if limit := e.settings.MaxHeapBytes; limit > 0 && e.liveHeapBytes > limit {
		e.afterCommit(func() {
			reply(refusal(kind.Overloaded, "the process holds %d bytes, the limit for further jobs is %d bytes", e.liveHeapBytes, limit))
		})
		return
	}
	if err := e.propose(workflow.Op{Accept: &workflow.Accept{ID: id, Queue: queue.Name, Spec: *spec}}); err != nil {
		reply(refusal(kind.Internal, "%v", err))
		return
	}
	e.counters.Accepted++
	e.ready.recordWork(e.state.Job(id))
	e.ready.markDirty(id)
	prompt, receivedAt := hasPromptTasks(e.state.Job(id)), e.now
	e.afterCommit(func() {
		took := e.since(receivedAt)
		e.observeStage(StageAccept, prompt, took)
		e.log.Info().Stringer("job", id).Dur("took", took).Str("queue", queue.Name).Uint64("catalog", e.state.Catalog().Version).Uint64("term", e.term).Msg("job accepted")
		reply(Reply{State: workflow.JobPending})
	})
}

func (e *Engine) query(id workflow.JobID, reply func(Reply)) {
	job := e.state.Job(id)
	if job == nil {
		e.afterCommit(func() { reply(refusal(kind.NotFound, "job %s", id)) })
		return
	}
	state := job.State()
	e.afterCommit(func() { reply(Reply{State: state}) })
}

func (e *Engine) cancel(id workflow.JobID, reply func(Reply)) {
	job := e.state.Job(id)
	if job == nil {
		e.cancelUnknown(id, reply)
		return
	}
	if job.Active() {
		if err := e.propose(workflow.Op{Cancel: &workflow.Cancel{ID: id}}); err != nil {
			reply(refusal(kind.Internal, "%v", err))
			return
		}
		e.counters.Cancelled++
		receivedAt := e.now
		e.afterCommit(func() {
			e.log.Info().Stringer("job", id).Dur("took", e.since(receivedAt)).Uint64("term", e.term).Msg("job cancelled")
			e.stopJobAttempts(job)
		})
	}
	e.afterCommit(func() { reply(Reply{State: job.State()}) })
}

// cancelUnknown answers the cancel of a job that is not known. Its submission may be under way:
// it is refused from then on.
func (e *Engine) cancelUnknown(id workflow.JobID, reply func(Reply)) {
	changes, err := e.state.CheckCancel(id)
	if changes {
		err = e.propose(workflow.Op{Cancel: &workflow.Cancel{ID: id}})
	}
	if err != nil {
		e.counters.RefusedCancels++
		e.afterCommit(func() { reply(Reply{Err: toKindError(err)}) })
		return
	}
	e.afterCommit(func() {
		if changes {
			e.log.Info().Stringer("job", id).Uint64("term", e.term).Msg("unknown job cancelled")
		}
		reply(refusal(kind.NotFound, "job %s", id))
	})
}

func (e *Engine) countWaiting(queue string, reply func(Reply)) {
	waiting := 0
	for _, job := range e.state.Jobs() {
		if job.Queue == queue && job.State() == workflow.JobPending {
			waiting++
		}
	}
	version := e.state.Catalog().Version
	e.afterCommit(func() {
		e.log.Info().Str("queue", queue).Int("waiting", waiting).Uint64("catalog", version).Uint64("term", e.term).Msg("queue counted")
		reply(Reply{Waiting: waiting, IsQueue: true})
	})
}

// SetCatalog makes a catalog the current one and calls done, at once or when this
// is committed. A catalog that is no newer than the current one changes nothing.
// The error is of kind bad_config for an invalid catalog, version_conflict for other
// content under the current version, and body_too_large for one that no command holds.
func (e *Engine) SetCatalog(c *workflow.Catalog, done func(*kind.Error)) {
	if err := c.Validate(); err != nil {
		done(toKindError(err))
		return
	}
	if changes, err := e.state.CheckCatalog(c); err != nil || !changes {
		e.afterCommit(func() { done(toKindError(err)) })
		return
	}
	before := "none"
	if current := e.state.Catalog(); current != nil {
		before = strconv.FormatUint(current.Version, 10)
	}
	compressed, err := c.Compressed()
	if err == nil {
		err = e.propose(workflow.Op{SetCatalog: &workflow.SetCatalog{Catalog: *compressed}})
	}
	if err != nil {
		done(toKindError(err))
		return
	}
	e.afterCommit(func() {
		e.log.Info().Str("before", before).Uint64("version", c.Version).Int("queues", len(c.Queues)).Uint64("term", e.term).Msg("catalog set")
		done(nil)
	})
}

// ReadCatalog calls done with the newest committed catalog, nil if there is none.
func (e *Engine) ReadCatalog(done func(*workflow.Catalog)) {
	catalog := e.state.Catalog()
	e.afterCommit(func() { done(catalog) })
}

// toKindError converts an error to one of the kind that its text names, or else
// Internal.
func toKindError(err error) *kind.Error {
	if err == nil {
		return nil
	}
	if withKind := kind.Parse(err.Error()); withKind != nil {
		return withKind
	}
	return kind.Errorf(kind.Internal, "%v", err)
}
