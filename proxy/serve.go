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

// ServeHTTP handles one request of a caller or a peer entry host.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := p.options.Now()
	count(p.options.Metrics.Requests)
	c, err := p.readCall(r)
	if err != nil {
		p.answerError(w, r, "", err)
		return
	}
	if err := p.beginRequest(); err != nil {
		p.answerError(w, r, c.id, err)
		return
	}
	defer p.active.Done()
	s, err := p.findService(c.service)
	if err == nil {
		err = p.readBody(w, r, c)
	}
	if err != nil {
		p.answerError(w, r, c.id, err)
		return
	}
	outcome, status := p.answer(w, r, s, c)
	p.recordOutcome(c, p.options.Now().Sub(start), outcome, status)
}

func (p *Proxy) answer(w http.ResponseWriter, r *http.Request, s *service, c *call) (kind.Outcome, int) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	granted, final := p.claim(ctx, c)
	if final == nil {
		done := s.execute(ctx, c)
		final = &done
	}
	if final.unread != nil {
		return p.stream(ctx, w, c, granted, final)
	}
	if granted != nil {
		granted.resolve(final.storedResult(p.options.MaxKeptAnswer))
	}
	if c.hopped {
		w.Header().Set(HeaderLoad, formatLoad(s.load()))
	}
	return final.outcome, p.write(w, c, final)
}

func (p *Proxy) recordOutcome(c *call, took time.Duration, outcome kind.Outcome, status int) {
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

// write sends a buffered answer or an error and returns its status.
func (p *Proxy) write(w http.ResponseWriter, c *call, final *result) int {
	p.setOutcomeHeaders(w, c, final)
	if final.err != nil {
		if kind.Of(final.err).Answer().Status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", retryAfterSeconds(final.retryDelay))
		}
		kind.WriteProblem(w, final.err)
		return kind.Of(final.err).Answer().Status
	}
	p.copyHeader(w, final)
	if c.method != http.MethodHead && final.status != http.StatusNoContent && final.status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(final.body)))
	}
	w.WriteHeader(final.status)
	_, _ = w.Write(final.body) // The caller may have disconnected; an error cannot be reported to it.
	return final.status
}

// stream passes on an answer longer than MaxBufferedAnswer. If it breaks off,
// the caller's connection is aborted in the middle of the message.
func (p *Proxy) stream(ctx context.Context, w http.ResponseWriter, c *call, granted *claim, final *result) (kind.Outcome, int) {
	p.setOutcomeHeaders(w, c, final)
	p.copyHeader(w, final)
	w.WriteHeader(final.status)
	err := copyAnswer(w, final)
	final.unread.Close()
	if err == nil {
		final.finish(sendResultOf(final.status))
		granted.resolve(controlapi.ClaimResult{Outcome: string(kind.OutcomeDone)})
		return kind.OutcomeDone, final.status
	}
	sendResult := route.Failed
	if errors.Is(err, errCallerGone) || errors.Is(ctx.Err(), context.Canceled) {
		sendResult = route.Abandoned
	}
	final.finish(sendResult)
	granted.resolve(controlapi.ClaimResult{Outcome: string(kind.OutcomeUnknown)})
	p.recordOutcome(c, 0, kind.OutcomeUnknown, final.status)
	panic(http.ErrAbortHandler)
}

var errCallerGone = errors.New("the caller closed its connection")

func copyAnswer(w io.Writer, final *result) error {
	if _, err := w.Write(final.body); err != nil {
		return errCallerGone
	}
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := final.unread.Read(buffer)
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

// streamBufferBytes is the buffer size for streamed answers.
const streamBufferBytes = 32 << 10

func (p *Proxy) setOutcomeHeaders(w http.ResponseWriter, c *call, final *result) {
	header := w.Header()
	header.Set(HeaderRequestID, c.id)
	header.Set(HeaderOutcome, string(final.outcome))
	header.Set(HeaderAttempts, strconv.Itoa(final.attempts))
	if final.name != "" && final.status != 0 {
		name := final.name
		if targetName := final.header.Get(HeaderTarget); targetName != "" {
			name = targetName // A peer entry host names the target that it used.
		}
		header.Set(HeaderTarget, name)
	}
}

func (p *Proxy) copyHeader(w http.ResponseWriter, final *result) {
	header := w.Header()
	copyEndToEnd(header, final.header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // Prevents net/http from sniffing the type.
	}
}

// answerError answers a request that was rejected before it was sent; its
// outcome is not-run.
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
		header.Set("Retry-After", retryAfterSeconds(defaultRetryAfter))
	}
	if k == kind.Stopping {
		header.Set("Connection", "close")
	}
	kind.WriteProblem(w, err)
}

func retryAfterSeconds(d time.Duration) string {
	whole := int((d + time.Second - 1) / time.Second)
	return strconv.Itoa(max(whole, 1))
}

// hopURL returns the URL of the call on a peer entry host.
func (c *call) hopURL() *url.URL {
	service := url.PathEscape(c.service)
	return &url.URL{
		Scheme: "http", Path: pathPrefix + c.service + c.target.Path, RawPath: pathPrefix + service + c.target.RawPath,
		RawQuery: c.target.RawQuery,
	}
}
