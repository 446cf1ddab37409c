package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mangohill.example/mangohill/exchange"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/route"
)

// fate says what is known about one send.
type fate uint8

const (
	// answered: the far end gave its answer, whole or as far as it was read.
	answered fate = iota
	// notRun: no byte can have reached the far end, or it refused the request.
	notRun
	// mayHaveRun: the request was sent and its end is not known.
	mayHaveRun
)

// attempt is the end of one send.
type attempt struct {
	fate   fate
	sent   bool
	name   string
	status int
	header http.Header
	body   []byte
	// rest is the part of a long answer that is not read yet; finish must be
	// called after it.
	rest   *exchange.Answer
	finish func(route.SendResult)
	// retryAfter is what a refusing far end asked for.
	retryAfter string
	err        error
}

const (
	// fastService is the service time up to which connections are used again;
	// above it the cost of a fresh connection does not matter.
	fastService = 100 * time.Millisecond
	// shortestSilence is the time without a byte after which the first send of an
	// idempotent request is given up; slow services get silencePerServiceTime
	// service times.
	shortestSilence       = time.Second
	silencePerServiceTime = 10
	// hopSilence is added for a hop, whose far end may wait by itself.
	hopSilence = 400 * time.Millisecond
)

// paramsOf returns the terms of a send. The first send of an idempotent request
// may use an old connection and is given up if that stays silent; later sends
// are on fresh connections and wait until the deadline.
func (s *service) paramsOf(c *call, d route.Decision, earlier int) exchange.Params {
	params := exchange.Params{Echo: c.id, EchoHeader: HeaderRequestID}
	if !c.idempotent || earlier > 0 {
		return params
	}
	mean := s.serviceTime()
	params.Reuse = mean < fastService
	params.SilenceTimeout = max(shortestSilence, silencePerServiceTime*mean)
	if params.Reuse {
		params.SilenceTimeout = shortestSilence
	}
	if d.Action == route.Hop {
		params.SilenceTimeout += hopSilence
	}
	return params
}

// send carries out a Send or Hop decision.
func (s *service) send(ctx context.Context, c *call, d route.Decision, earlier int) attempt {
	finish := s.finisher(d)
	b, ok := s.backendOf(d)
	if !ok {
		finish(route.Abandoned)
		return attempt{fate: notRun, name: d.Name, err: kind.Errorf(kind.NoTarget, "target %q went away", d.Name)}
	}
	if ctx.Err() != nil {
		finish(route.Abandoned)
		return attempt{fate: notRun, name: d.Name, err: kind.Errorf(kind.DeadlineExceeded, "no time was left to send the request")}
	}
	answer, err := b.client.Do(ctx, s.outgoing(c, d), s.paramsOf(c, d, earlier))
	if err != nil {
		return s.failed(ctx, d, finish, err)
	}
	s.learnPeer(d, answer)
	if refused(d, answer) {
		return s.refusedBy(d, finish, answer)
	}
	return s.collect(ctx, d, finish, answer)
}

func (s *service) outgoing(c *call, d route.Decision) *http.Request {
	request := c.outgoing(s.proxy.options.Now(), c.host)
	if d.Action != route.Hop {
		return request
	}
	peer, _ := s.proxy.peer(d.Name)
	request.URL = c.hopURL()
	request.Header.Set(HeaderHop, strconv.FormatUint(peer.Token, 16))
	request.Header.Set(HeaderCaller, c.caller)
	request.Header.Set(HeaderIdempotent, strconv.FormatBool(c.idempotent))
	return request
}

// finisher returns a function that gives the slot of d back.
func (s *service) finisher(d route.Decision) func(route.SendResult) {
	return func(v route.SendResult) {
		if d.Action == route.Send {
			s.done(d, v)
		}
	}
}

// refused reports whether the far end says that it did not run the request. A
// target says so with a 503 only.
func refused(d route.Decision, answer *exchange.Answer) bool {
	if d.Action == route.Send && answer.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	return answer.Header.Get(HeaderOutcome) == string(kind.OutcomeNotRun)
}

func (s *service) refusedBy(d route.Decision, finish func(route.SendResult), answer *exchange.Answer) attempt {
	_, _ = io.CopyN(io.Discard, answer, maxRefusalBody) // Only to keep the connection.
	answer.Close()
	finish(route.Refused)
	return attempt{
		fate: notRun, sent: true, name: d.Name, retryAfter: answer.Header.Get("Retry-After"),
		err: kind.Errorf(kind.Overloaded, "%q refused the request", d.Name),
	}
}

// maxRefusalBody is the size in bytes up to which the body of a refusal is read.
const maxRefusalBody = 4 << 10

func (s *service) failed(ctx context.Context, d route.Decision, finish func(route.SendResult), err error) attempt {
	verdict := route.Failed
	if errors.Is(ctx.Err(), context.Canceled) {
		verdict = route.Abandoned
	}
	finish(verdict)
	var fault *exchange.Error
	sent := !errors.As(err, &fault) || fault.Sent
	if errors.Is(err, exchange.ErrSilenceTimeout) {
		count(s.proxy.options.Metrics.SilenceTimeouts)
		s.closeIdle(d)
	}
	if sent {
		return attempt{fate: mayHaveRun, sent: true, name: d.Name, err: kind.Errorf(kind.TargetFailed, "%q: %w", d.Name, err)}
	}
	return attempt{fate: notRun, name: d.Name, err: kind.Errorf(kind.NoTarget, "%q cannot be reached: %w", d.Name, err)}
}

// closeIdle closes the other unused connections to where d led: what took one
// of them has likely taken all.
func (s *service) closeIdle(d route.Decision) {
	if b, ok := s.backendOf(d); ok {
		b.client.CloseIdle()
	}
}

// collect reads the answer up to the bound.
func (s *service) collect(ctx context.Context, d route.Decision, finish func(route.SendResult), answer *exchange.Answer) attempt {
	limit := s.proxy.options.MaxBufferedAnswer
	body, whole, err := readUpTo(answer, answer.ContentLength, limit)
	if err != nil {
		answer.Close()
		if answer.Silent() {
			err = exchange.ErrSilenceTimeout
		}
		return s.failed(ctx, d, finish, err)
	}
	result := attempt{fate: answered, sent: true, name: d.Name, status: answer.StatusCode, header: answer.Header, body: body}
	if d.Action == route.Hop {
		result.fate = fateOfHop(answer)
	}
	if !whole {
		result.rest = answer
		result.finish = finish
		return result
	}
	answer.Close()
	finish(verdictOf(result.status))
	return result
}

// verdictOf returns what a whole answer shows about its target. A server error
// is passed on as the answer that it is, but a target that gives many of them,
// quickly, must not draw more requests.
func verdictOf(status int) route.SendResult {
	if status >= http.StatusInternalServerError {
		return route.Failed
	}
	return route.Answered
}

// fateOfHop reads the outcome that a peer entry host reported.
func fateOfHop(answer *exchange.Answer) fate {
	if answer.Header.Get(HeaderOutcome) == string(kind.OutcomeUnknown) {
		return mayHaveRun
	}
	return answered
}

// readUpTo reads a body. It reports false if the body is longer than limit; the
// read part is returned with it.
func readUpTo(body io.Reader, length, limit int64) ([]byte, bool, error) {
	if length > limit {
		return nil, false, nil
	}
	size := int64(512)
	if length >= 0 {
		size = length + 1 // The byte more lets the last read see the end.
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		if int64(len(buffer)) > limit {
			return buffer, false, nil
		}
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
	}
}

// learnPeer takes in the load that a peer sent with its answer.
func (s *service) learnPeer(d route.Decision, answer *exchange.Answer) {
	if d.Action != route.Hop {
		return
	}
	if load, ok := parseLoad(answer.Header.Get(HeaderLoad)); ok {
		s.setPeer(d.Name, load)
	}
}

func formatLoad(load route.Load) string {
	return strconv.Itoa(load.Slots) + "," + strconv.Itoa(load.Free) + "," + strconv.Itoa(load.Queued)
}

func parseLoad(text string) (route.Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return route.Load{}, false
	}
	var numbers [3]int
	for i, part := range parts {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return route.Load{}, false
		}
		numbers[i] = n
	}
	return route.Load{Slots: numbers[0], Free: numbers[1], Queued: numbers[2]}, true
}
