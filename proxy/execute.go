package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"mangohill.example/mangohill/chart"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/route"
)

// result is the final result of a call.
type result struct {
	attempt
	outcome  kind.Outcome
	attempts int
	// retryDelay is the Retry-After of a 503.
	retryDelay time.Duration
}

const (
	// maxSends limits the sends of one idempotent request that may have reached a
	// receiver.
	maxSends = 3
	// maxTries limits all tries of one request, including those that were
	// refused or not sent.
	maxTries = 6
)

// execution is the state of one call while it is executed.
type execution struct {
	service *service
	call    *call
	request route.Request
	sends   int
	tries   int
	hops    int
	// outcome is the outcome so far, a state of the chart "request".
	outcome kind.Outcome
}

var requestChart = chart.MustLoad("request")

// sendEvents are the events of the chart "request", indexed by delivery.
var sendEvents = [...]string{answered: "answered", notRun: "refused", mayHaveRun: "lost"}

// advance updates the outcome after a send.
func (e *execution) advance(d delivery) {
	next, err := requestChart.Next(string(e.outcome), sendEvents[d])
	if err != nil {
		next = string(kind.OutcomeUnknown) // No such transition; unknown promises nothing to the caller.
	}
	e.outcome = kind.Outcome(next)
}

// mayHaveRun reports whether an unanswered send may have run.
func (e *execution) mayHaveRun() bool { return e.outcome == kind.OutcomeUnknown }

// execute queues and sends a call, retries it where allowed and returns the
// final result.
func (s *service) execute(ctx context.Context, c *call) result {
	s.earnRetry()
	e := &execution{service: s, call: c, outcome: kind.Outcome(requestChart.Initial()), request: route.Request{
		ID: route.RequestID(s.proxy.nextID.Add(1)), Caller: c.caller, Deadline: c.deadline, Hopped: c.hopped,
	}}
	for {
		decision := s.acquire(ctx, e.request)
		if decision.Action == route.Refuse {
			return e.refusalResult(decision)
		}
		a := e.send(ctx, decision)
		if a.delivery == answered {
			return result{attempt: a, outcome: e.outcome, attempts: e.sends}
		}
		if !e.mayRetry(ctx, a) {
			return e.failureResult(ctx, a)
		}
		count(s.proxy.options.Metrics.Retries)
	}
}

// send executes a decision of the router and records the result.
func (e *execution) send(ctx context.Context, d route.Decision) attempt {
	if d.Action == route.Send && e.call.idempotent && e.sends == 0 && e.service.mayHedge() {
		return e.sendWithHedge(ctx, d)
	}
	a := e.service.send(ctx, e.call, d, e.sends)
	e.recordSend(d, a)
	return a
}

func (e *execution) recordSend(d route.Decision, a attempt) {
	e.tries++
	if a.sent {
		e.sends++
		count(e.service.proxy.options.Metrics.Sends)
	}
	e.advance(a.delivery)
	if d.Action == route.Send && a.delivery != answered {
		e.request.Avoid = append(e.request.Avoid, d.Name)
	}
	if d.Action == route.Send {
		return
	}
	e.hops++
	count(e.service.proxy.options.Metrics.Hops)
	if a.delivery != answered {
		e.request.Hopped = true // The request is not forwarded a second time.
	}
}

// mayRetry reports whether the call may be sent again, and spends a token of
// the retry budget if so.
func (e *execution) mayRetry(ctx context.Context, a attempt) bool {
	if ctx.Err() != nil || a.unread != nil {
		return false
	}
	if e.mayHaveRun() && !e.call.idempotent {
		return false
	}
	if e.sends >= maxSends && e.mayHaveRun() || e.tries >= maxTries {
		return false
	}
	return e.service.spendRetry()
}

// refusalResult returns the result of a call that the router refused.
func (e *execution) refusalResult(d route.Decision) result {
	err := kind.Errorf(kind.NoTarget, "service %q has no ready target", e.call.service)
	switch d.Reason {
	case route.QueueFull:
		err = kind.Errorf(kind.Overloaded, "the queue of service %q is full", e.call.service)
	case route.TooLate:
		err = kind.Errorf(kind.DeadlineExceeded, "no target of service %q is expected to be free in time", e.call.service)
	case route.NoTarget, route.NoReason:
	}
	return e.failedResult(attempt{err: err}, d.RetryAfter)
}

// failureResult returns the result of a call whose last send failed.
func (e *execution) failureResult(ctx context.Context, a attempt) result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && a.delivery == mayHaveRun {
		a.err = kind.Errorf(kind.UnknownOutcome, "%q did not answer before the deadline", a.name)
	}
	retryDelay := defaultRetryAfter
	if seconds, err := strconv.Atoi(a.retryAfter); err == nil && seconds > 0 {
		retryDelay = time.Duration(seconds) * time.Second
	}
	if a.delivery == mayHaveRun && a.status != 0 {
		// A peer entry host reported the failure; its answer is passed on.
		return result{attempt: a, outcome: kind.OutcomeUnknown, attempts: e.sends}
	}
	return e.failedResult(a, retryDelay)
}

// defaultRetryAfter is the Retry-After of a 503 if neither the router nor the
// receiver gave one.
const defaultRetryAfter = time.Second

// failedResult returns the result of a failed call. If any send may have run,
// the outcome is unknown, even if the last send did not run.
func (e *execution) failedResult(a attempt, retryDelay time.Duration) result {
	if e.mayHaveRun() && kind.Of(a.err).Answer().Outcome == kind.OutcomeNotRun {
		a.err = kind.Errorf(kind.UnknownOutcome, "an earlier send may have run; the last one: %w", a.err)
	}
	return result{attempt: a, outcome: kind.Of(a.err).Answer().Outcome, attempts: e.sends, retryDelay: retryDelay}
}

// storedResult returns what is stored for resends of a claimed call.
func (r *result) storedResult(limit int) controlapi.ClaimResult {
	out := controlapi.ClaimResult{Outcome: string(r.outcome)}
	if r.err != nil || r.unread != nil || r.outcome != kind.OutcomeDone || len(r.body) > limit {
		return out
	}
	out.Kept = true
	out.Status = r.status
	out.Header = make(map[string]string)
	for _, name := range storedHeaders {
		if value := r.header.Get(name); value != "" {
			out.Header[name] = value
		}
	}
	out.Body = r.body
	return out
}

// storedHeaders are the header fields that are stored with an answer.
var storedHeaders = []string{"Content-Type", "Content-Language", "Content-Encoding", "Location", "Etag", "Last-Modified"}

// resultFromStored rebuilds the result from a stored answer.
func resultFromStored(stored controlapi.ClaimResult) result {
	header := make(http.Header, len(stored.Header))
	for name, value := range stored.Header {
		header.Set(name, value)
	}
	return result{
		attempt: attempt{delivery: answered, status: stored.Status, header: header, body: stored.Body},
		outcome: kind.Outcome(stored.Outcome),
	}
}
