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

// delivery says whether the receiver of one send, a target or a peer entry
// host, may have run the request.
type delivery uint8

const (
	// answered: the receiver answered; the body may be read only in part.
	answered delivery = iota
	// notRun: no byte can have reached the receiver, or it refused the request.
	notRun
	// mayHaveRun: the request was sent, but no valid answer arrived.
	mayHaveRun
)

// attempt is the result of one send.
type attempt struct {
	delivery delivery
	sent     bool
	name     string
	status   int
	header   http.Header
	body     []byte
	// unread is the rest of an answer that exceeds MaxBufferedAnswer, nil if the
	// whole answer was read. finish must be called after the rest is read.
	unread *exchange.Answer
	finish func(route.SendResult)
	// retryAfter is the Retry-After header of a refusal.
	retryAfter string
	err        error
}

const (
	// maxReuseServiceTime is the service time below which idle connections are
	// reused; for slower services the cost of a new connection does not matter.
	maxReuseServiceTime = 100 * time.Millisecond
	// minSilenceTimeout is the least time without a byte after which the first
	// send of an idempotent request is abandoned; slow services get
	// silenceServiceTimes times their mean service time.
	minSilenceTimeout   = time.Second
	silenceServiceTimes = 10
	// hopSilenceAllowance is added for a hop, because the peer entry host may
	// queue the request first.
	hopSilenceAllowance = 400 * time.Millisecond
)

// exchangeParams returns the parameters of a send. Only the first send of an
// idempotent request may reuse an idle connection and has a silence timeout;
// all other sends use new connections and wait until the deadline.
func (s *service) exchangeParams(c *call, d route.Decision, earlierSends int) exchange.Params {
	params := exchange.Params{Echo: c.id, EchoHeader: HeaderRequestID}
	if !c.idempotent || earlierSends > 0 {
		return params
	}
	mean := s.serviceTime()
	params.Reuse = mean < maxReuseServiceTime
	params.SilenceTimeout = max(minSilenceTimeout, silenceServiceTimes*mean)
	if params.Reuse {
		params.SilenceTimeout = minSilenceTimeout
	}
	if d.Action == route.Hop {
		params.SilenceTimeout += hopSilenceAllowance
	}
	return params
}

// send executes a Send or Hop decision of the router.
func (s *service) send(ctx context.Context, c *call, d route.Decision, earlierSends int) attempt {
	finish := s.slotReleaser(d)
	b, ok := s.backendOf(d)
	if !ok {
		finish(route.Abandoned)
		return attempt{delivery: notRun, name: d.Name, err: kind.Errorf(kind.NoTarget, "target %q was removed", d.Name)}
	}
	if ctx.Err() != nil {
		finish(route.Abandoned)
		return attempt{delivery: notRun, name: d.Name, err: kind.Errorf(kind.DeadlineExceeded, "the deadline passed before the request was sent")}
	}
	answer, err := b.client.Do(ctx, s.outgoing(c, d), s.exchangeParams(c, d, earlierSends))
	if err != nil {
		return s.handleFailure(ctx, d, finish, err)
	}
	s.updatePeerLoad(d, answer)
	if isRefusal(d, answer) {
		return s.handleRefusal(d, finish, answer)
	}
	return s.readAnswer(ctx, d, finish, answer)
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

// slotReleaser returns a function that releases the slot of d, if d is a send
// to a target.
func (s *service) slotReleaser(d route.Decision) func(route.SendResult) {
	return func(result route.SendResult) {
		if d.Action == route.Send {
			s.finishSend(d, result)
		}
	}
}

// isRefusal reports whether the receiver states that it did not run the
// request. From a target this counts only with status 503.
func isRefusal(d route.Decision, answer *exchange.Answer) bool {
	if d.Action == route.Send && answer.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	return answer.Header.Get(HeaderOutcome) == string(kind.OutcomeNotRun)
}

func (s *service) handleRefusal(d route.Decision, finish func(route.SendResult), answer *exchange.Answer) attempt {
	_, _ = io.CopyN(io.Discard, answer, maxRefusalBodyBytes) // Lets the connection be reused.
	answer.Close()
	finish(route.Refused)
	return attempt{
		delivery: notRun, sent: true, name: d.Name, retryAfter: answer.Header.Get("Retry-After"),
		err: kind.Errorf(kind.Overloaded, "%q refused the request", d.Name),
	}
}

// maxRefusalBodyBytes limits how much of the body of a refusal is read.
const maxRefusalBodyBytes = 4 << 10

func (s *service) handleFailure(ctx context.Context, d route.Decision, finish func(route.SendResult), err error) attempt {
	sendResult := route.Failed
	if errors.Is(ctx.Err(), context.Canceled) {
		sendResult = route.Abandoned
	}
	finish(sendResult)
	var fault *exchange.Error
	sent := !errors.As(err, &fault) || fault.Sent
	if errors.Is(err, exchange.ErrSilenceTimeout) {
		count(s.proxy.options.Metrics.SilenceTimeouts)
		s.closeIdle(d)
	}
	if sent {
		return attempt{delivery: mayHaveRun, sent: true, name: d.Name, err: kind.Errorf(kind.TargetFailed, "%q: %w", d.Name, err)}
	}
	return attempt{delivery: notRun, name: d.Name, err: kind.Errorf(kind.NoTarget, "%q cannot be reached: %w", d.Name, err)}
}

// closeIdle closes the idle connections to the receiver of d: the cause that
// silenced one connection has probably affected the others.
func (s *service) closeIdle(d route.Decision) {
	if b, ok := s.backendOf(d); ok {
		b.client.CloseIdle()
	}
}

// readAnswer reads the body up to MaxBufferedAnswer.
func (s *service) readAnswer(ctx context.Context, d route.Decision, finish func(route.SendResult), answer *exchange.Answer) attempt {
	limit := s.proxy.options.MaxBufferedAnswer
	body, whole, err := readUpTo(answer, answer.ContentLength, limit)
	if err != nil {
		answer.Close()
		if answer.Silent() {
			err = exchange.ErrSilenceTimeout
		}
		return s.handleFailure(ctx, d, finish, err)
	}
	result := attempt{delivery: answered, sent: true, name: d.Name, status: answer.StatusCode, header: answer.Header, body: body}
	if d.Action == route.Hop {
		result.delivery = deliveryOfHop(answer)
	}
	if !whole {
		result.unread = answer
		result.finish = finish
		return result
	}
	answer.Close()
	finish(sendResultOf(result.status))
	return result
}

// sendResultOf returns the result that a complete answer counts as for its
// target. A server error is passed on to the caller, but counts as a failure,
// so that a target that fails fast does not attract more requests.
func sendResultOf(status int) route.SendResult {
	if status >= http.StatusInternalServerError {
		return route.Failed
	}
	return route.Answered
}

// deliveryOfHop returns the delivery that follows from the outcome reported by
// a peer entry host.
func deliveryOfHop(answer *exchange.Answer) delivery {
	if answer.Header.Get(HeaderOutcome) == string(kind.OutcomeUnknown) {
		return mayHaveRun
	}
	return answered
}

// readUpTo reads a body. If the body is longer than limit, it returns false and
// the part read so far.
func readUpTo(body io.Reader, length, limit int64) ([]byte, bool, error) {
	if length > limit {
		return nil, false, nil
	}
	size := int64(512)
	if length >= 0 {
		size = length + 1 // One extra byte, so that the last read returns io.EOF.
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

// updatePeerLoad stores the load that a peer entry host sent with its answer.
func (s *service) updatePeerLoad(d route.Decision, answer *exchange.Answer) {
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
