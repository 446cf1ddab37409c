package kind

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	jujuerrors "github.com/juju/errors"
)

// Error is an error of one of the listed kinds. Detail says what failed and where.
type Error struct {
	Kind   Kind
	Detail string
	cause  error
}

// Errorf returns an error of kind k with a formatted detail. A %w verb keeps
// the wrapped error reachable by errors.Is and errors.As.
func Errorf(k Kind, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Kind: k, Detail: wrapped.Error(), cause: errors.Unwrap(wrapped)}
}

// Wrap gives err the kind k and prefixes it with detail. It returns nil for a
// nil err.
func Wrap(k Kind, err error, detail string) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: k, Detail: detail + ": " + err.Error(), cause: jujuerrors.Cause(err)}
}

// Error returns the kind and the detail, in the form that Parse reads.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Detail }

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the kind of err, which may also be an error with only the text that
// Parse reads. It returns Internal for an error without a kind, and the empty kind
// for nil.
func Of(err error) Kind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	if e := Parse(err.Error()); e != nil {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool { return err != nil && Of(err) == k }

// Parse recovers an Error from the text that net/rpc carries for it. It returns
// nil if the text does not begin with a listed kind.
func Parse(text string) *Error {
	name, detail, found := strings.Cut(text, ": ")
	if !found {
		return nil
	}
	if _, ok := answers[Kind(name)]; !ok {
		return nil
	}
	return &Error{Kind: Kind(name), Detail: detail}
}

// Problem is a problem document (RFC 9457) with the kind as an extension member.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Kind   Kind   `json:"kind"`
}

// ProblemOf builds the problem document of err.
func ProblemOf(err error) Problem {
	k := Of(err)
	answer := k.Answer()
	detail := strings.TrimPrefix(err.Error(), string(k)+": ")
	return Problem{Type: "about:blank", Title: answer.Title, Status: answer.Status, Detail: detail, Kind: k}
}

// WriteProblem answers a request with the problem document of err. Header fields
// that are already set on w, such as Retry-After, are kept.
func WriteProblem(w http.ResponseWriter, err error) {
	problem := ProblemOf(err)
	body, marshalErr := json.Marshal(problem)
	if marshalErr != nil {
		http.Error(w, problem.Title, problem.Status)
		return
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(problem.Status)
	_, _ = w.Write(body) // The client may have disconnected; it cannot be told of the error.
}

// LeaderHint returns the leader's address that a not_leader error carries as its
// detail, and the empty string for other errors.
func LeaderHint(err error) string {
	if !Is(err, NotLeader) {
		return ""
	}
	if parsed := Parse(err.Error()); parsed != nil {
		return parsed.Detail
	}
	return ""
}
