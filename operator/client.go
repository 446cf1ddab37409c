package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
)

// Defaults of a client.
const (
	DefaultTimeout = 15 * time.Second
	// DefaultAttemptTimeout bounds one send, so that a connection that went silent
	// does not use up the whole timeout.
	DefaultAttemptTimeout = 5 * time.Second
)

// Pause between two sends.
const (
	minPause = 50 * time.Millisecond
	maxPause = time.Second
)

// maxReplyBytes bounds the answer to a command.
const maxReplyBytes = 64 << 20

// Client sends commands to entry hosts.
type Client struct {
	// Entries are the operators' addresses of entry hosts. A resend goes to the
	// next one.
	Entries []string
	// Timeout bounds a command with all its resends, zero for DefaultTimeout.
	Timeout time.Duration
	// AttemptTimeout bounds one send, zero for DefaultAttemptTimeout.
	AttemptTimeout time.Duration
	// Transport is used in place of the default one.
	Transport http.RoundTripper
}

// NewArgs returns the arguments of a command under a new ID. The ID holds the
// time (UUID version 7, RFC 9562), so that the control group knows one that is
// older than its table of outcomes.
func NewArgs(text, file string) controlapi.CommandArgs {
	return controlapi.CommandArgs{ID: newID(), Text: text, File: file}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString() // It holds no time, and is as unique.
	}
	return id.String()
}

// Execute sends the command and resends it under its ID until an answer settles
// its outcome or the timeout ends. The reply always tells the outcome: refused
// when the command certainly did not run, unknown when it may have.
func (c *Client) Execute(ctx context.Context, args controlapi.CommandArgs) controlapi.CommandReply {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.Timeout, DefaultTimeout))
	defer cancel()
	attempts := &attempts{id: args.ID}
	for i := 0; ; i++ {
		reply := c.attempt(ctx, c.Entries[i%len(c.Entries)], args)
		attempts.add(reply)
		if settled(reply) {
			return reply
		}
		if !sleep(ctx, pause(i)) {
			return attempts.reply()
		}
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// settled reports whether a resend could not give another outcome.
func settled(reply controlapi.CommandReply) bool {
	if reply.Outcome == kind.OutcomeDone {
		return true
	}
	answer := reply.Kind.Answer()
	return answer.Retry != kind.RetrySameID && answer.Status != http.StatusServiceUnavailable
}

// attempts remembers whether any send may have run.
type attempts struct {
	id      string
	unknown *controlapi.CommandReply
	last    controlapi.CommandReply
}

func (a *attempts) add(reply controlapi.CommandReply) {
	a.last = reply
	if reply.Outcome == kind.OutcomeUnknown {
		a.unknown = &reply
	}
}

// reply returns the reply after the timeout. One send of unknown outcome makes
// the whole unknown, whatever the later ones say.
func (a *attempts) reply() controlapi.CommandReply {
	if a.unknown != nil {
		return *a.unknown
	}
	return a.last
}

func pause(attempt int) time.Duration {
	limit := minPause << min(attempt, 8)
	limit = min(limit, maxPause)
	return limit/2 + rand.N(limit/2)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *Client) attempt(ctx context.Context, entry string, args controlapi.CommandArgs) controlapi.CommandReply {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.AttemptTimeout, DefaultAttemptTimeout))
	defer cancel()
	reply, err := c.send(ctx, entry, args)
	if err != nil {
		reply = ReplyOf(err)
	}
	reply.ID = args.ID
	return reply
}

func (c *Client) send(ctx context.Context, entry string, args controlapi.CommandArgs) (controlapi.CommandReply, error) {
	var reply controlapi.CommandReply
	body, err := json.Marshal(args)
	if err != nil {
		return reply, kind.Errorf(kind.BadRequest, "command: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+CommandsPath, bytes.NewReader(body))
	if err != nil {
		return reply, kind.Errorf(kind.BadRequest, "entry host %s: %w", entry, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.transport().RoundTrip(request)
	if err != nil {
		return reply, sendError(entry, err)
	}
	defer response.Body.Close()
	return readReply(entry, response)
}

// freshTransport opens a connection for each send: a pooled one may have gone
// silent since.
var freshTransport = &http.Transport{DisableKeepAlives: true}

func (c *Client) transport() http.RoundTripper {
	if c.Transport != nil {
		return c.Transport
	}
	return freshTransport
}

func sendError(entry string, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return kind.Errorf(kind.Unreachable, "entry host %s: %w", entry, err)
	}
	return kind.Errorf(kind.UnknownOutcome, "entry host %s: no answer: %w", entry, err)
}

func readReply(entry string, response *http.Response) (controlapi.CommandReply, error) {
	var reply controlapi.CommandReply
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return reply, kind.Errorf(kind.UnknownOutcome, "entry host %s: the answer broke off: %w", entry, err)
	}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		return reply, problemError(entry, body)
	}
	if err := json.Unmarshal(body, &reply); err != nil || reply.Outcome == "" {
		return reply, kind.Errorf(kind.UnknownOutcome, "entry host %s: status %d without a command's answer", entry, response.StatusCode)
	}
	return reply, nil
}

func problemError(entry string, body []byte) error {
	var problem kind.Problem
	if err := json.Unmarshal(body, &problem); err != nil || problem.Kind == "" {
		return kind.Errorf(kind.UnknownOutcome, "entry host %s: the problem document cannot be read", entry)
	}
	return kind.Errorf(problem.Kind, "%s", problem.Detail)
}

// ExitCode returns the exit code of the command line for a reply: 0 done, 1
// refused or failed, 2 bad usage, 3 outcome unknown. A command that changes
// nothing is never of unknown outcome: it failed.
func ExitCode(reply controlapi.CommandReply, mutates bool) int {
	switch reply.Outcome {
	case kind.OutcomeDone:
		return kind.ExitDone
	case kind.OutcomeUnknown:
		if mutates {
			return kind.ExitUnknown
		}
		return kind.ExitRefused
	}
	if reply.Kind.Answer().Exit == kind.ExitUsage {
		return kind.ExitUsage
	}
	return kind.ExitRefused
}
