package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/route"
)

// ServeHTTP answers one request of a caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := p.options.Now()
	count(p.options.Metrics.Requests)
	c, err := p.readCall(r)
	if err != nil {
		p.answerError(w, r, "", err)
		return
	}
	if err := p.enter(); err != nil {
		p.answerError(w, r, c.id, err)
		return
	}
	defer p.active.Done()
	s, err := p.known(c.service)
	if err == nil {
		err = p.readBody(w, r, c)
	}
	if err != nil {
		p.answerError(w, r, c.id, err)
		return
	}
	outcome, status := p.answer(w, r, s, c)
	p.observe(c, p.options.Now().Sub(start), outcome, status)
}

func (p *Proxy) answer(w http.ResponseWriter, r *http.Request, s *service, c *call) (kind.Outcome, int) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	granted, final := p.claim(ctx, c)
	if final == nil {
		done := s.execute(ctx, c)
		final = &done
	}
	if final.rest != nil {
		return p.stream(ctx, w, c, granted, final)
	}
	if granted != nil {
		granted.resolve(final.kept(p.options.MaxKeptAnswer))
	}
	if c.hopped {
		w.Header().Set(HeaderLoad, formatLoad(s.load()))
	}
	return final.outcome, p.write(w, c, final)
}

func (p *Proxy) observe(c *call, took time.Duration, outcome kind.Outcome, status int) {
	switch outcome {
	case kind.OutcomeDone:
		count(p.options.Metrics.Done)
	case kind.OutcomeNotRun:
		count(p.options.Metrics.NotRun)
	case kind.OutcomeUnknown, kind.OutcomeRefused:
		count(p.options.Metrics.Unknown)
	}
	if p.options.OnOutcome != nil && !c.hopped {
		p.options.OnOutcome(c.service, took, outcome, status)
	}
	p.options.Logger.Debug().Str("request", c.id).Str("service", c.service).Str("outcome", string(outcome)).
		Int("status", status).Dur("took", took).Msg("request answered")
}

// write sends a whole answer.
func (p *Proxy) write(w http.ResponseWriter, c *call, final *result) int {
	p.setOutcome(w, c, final)
	if final.err != nil {
		if kind.Of(final.err).Answer().Status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", seconds(final.wait))
		}
		kind.WriteProblem(w, final.err)
		return kind.Of(final.err).Answer().Status
	}
	p.copyHeader(w, final)
	if c.method != http.MethodHead && final.status != http.StatusNoContent && final.status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(final.body)))
	}
	w.WriteHeader(final.status)
	_, _ = w.Write(final.body) // The caller may be gone; nothing is left to tell it.
	return final.status
}

// stream passes on an answer that is longer than the bound. If it breaks off,
// the caller's connection is closed in the middle of the message.
func (p *Proxy) stream(ctx context.Context, w http.ResponseWriter, c *call, granted *claim, final *result) (kind.Outcome, int) {
	p.setOutcome(w, c, final)
	p.copyHeader(w, final)
	w.WriteHeader(final.status)
	err := pass(w, final)
	final.rest.Close()
	if err == nil {
		final.finish(verdictOf(final.status))
		granted.resolve(controlapi.ClaimResult{Outcome: string(kind.OutcomeDone)})
		return kind.OutcomeDone, final.status
	}
	verdict := route.Failed
	if errors.Is(err, errCallerGone) || errors.Is(ctx.Err(), context.Canceled) {
		verdict = route.Abandoned
	}
	final.finish(verdict)
	granted.resolve(controlapi.ClaimResult{Outcome: string(kind.OutcomeUnknown)})
	p.observe(c, 0, kind.OutcomeUnknown, final.status)
	panic(http.ErrAbortHandler)
}

var errCallerGone = errors.New("the caller closed its connection")

func pass(w io.Writer, final *result) error {
	if _, err := w.Write(final.body); err != nil {
		return errCallerGone
	}
	buffer := make([]byte, streamBuffer)
	for {
		n, err := final.rest.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errCallerGone
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// streamBuffer is the size in bytes of the pieces of a streamed answer.
const streamBuffer = 32 << 10

func (p *Proxy) setOutcome(w http.ResponseWriter, c *call, final *result) {
	header := w.Header()
	header.Set(HeaderRequestID, c.id)
	header.Set(HeaderOutcome, string(final.outcome))
	header.Set(HeaderAttempts, strconv.Itoa(final.attempts))
	if final.name != "" && final.status != 0 {
		name := final.name
		if far := final.header.Get(HeaderTarget); far != "" {
			name = far // A peer entry host says which target it was.
		}
		header.Set(HeaderTarget, name)
	}
}

func (p *Proxy) copyHeader(w http.ResponseWriter, final *result) {
	header := w.Header()
	endToEnd(header, final.header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // Keeps net/http from guessing one.
	}
}

// answerError answers a request that was not taken on. It certainly did not
// run.
func (p *Proxy) answerError(w http.ResponseWriter, r *http.Request, id string, err error) {
	count(p.options.Metrics.NotRun)
	if id == "" {
		id = p.requestID(r)
	}
	header := w.Header()
	header.Set(HeaderRequestID, id)
	header.Set(HeaderOutcome, string(kind.OutcomeNotRun))
	header.Set(HeaderAttempts, "0")
	k := kind.Of(err)
	if k.Answer().Status == http.StatusServiceUnavailable {
		header.Set("Retry-After", seconds(defaultRetryAfter))
	}
	if k == kind.Stopping {
		header.Set("Connection", "close")
	}
	kind.WriteProblem(w, err)
}

func seconds(d time.Duration) string {
	whole := int((d + time.Second - 1) / time.Second)
	return strconv.Itoa(max(whole, 1))
}

// hopURL is the URL under which a peer entry host takes the call.
func (c *call) hopURL() *url.URL {
	service := url.PathEscape(c.service)
	return &url.URL{
		Scheme: "http", Path: pathPrefix + c.service + c.target.Path, RawPath: pathPrefix + service + c.target.RawPath,
		RawQuery: c.target.RawQuery,
	}
}
