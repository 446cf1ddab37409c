package operator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
)

type executorFunc func(args controlapi.CommandArgs) (controlapi.CommandReply, error)

func (f executorFunc) Execute(_ context.Context, args controlapi.CommandArgs) (controlapi.CommandReply, error) {
	return f(args)
}

// loopback is a transport that calls a handler without a socket. It drops the
// first dropResponses responses.
type loopback struct {
	handler       http.Handler
	dropResponses int
	sent          []string
}

func (l *loopback) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	l.handler.ServeHTTP(recorder, r)
	l.sent = append(l.sent, r.URL.Host)
	if l.dropResponses > 0 {
		l.dropResponses--
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return recorder.Result(), nil
}

// The answer to the first send is lost. The command must be resent with the same ID
// to the next entry host, or it could run twice.
func TestALostAnswerIsAskedForAgainUnderTheSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ids []string
		handler := Handler(executorFunc(func(args controlapi.CommandArgs) (controlapi.CommandReply, error) {
			ids = append(ids, args.ID)
			return controlapi.CommandReply{Outcome: kind.OutcomeDone, Version: 8}, nil
		}))
		transport := &loopback{handler: handler, dropResponses: 1}
		client := &Client{Entries: []string{"a:1", "b:1"}, Transport: transport}
		reply := client.Execute(t.Context(), NewArgs("cancel x", ""))
		assert.Equal(t, kind.OutcomeDone, reply.Outcome)
		assert.Equal(t, uint64(8), reply.Version)
		require.Len(t, ids, 2)
		assert.Equal(t, ids[0], ids[1])
		assert.Equal(t, []string{"a:1", "b:1"}, transport.sent)
	})
}

// The first answer is lost and all resends are refused. The first send may have run
// the command, so the outcome must not be reported as refused.
func TestOneUnknownSendMakesTheOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := Handler(executorFunc(func(controlapi.CommandArgs) (controlapi.CommandReply, error) {
			return controlapi.CommandReply{}, kind.Errorf(kind.NoQuorum, "no leader")
		}))
		client := &Client{Entries: []string{"a:1"}, Transport: &loopback{handler: handler, dropResponses: 1}}
		reply := client.Execute(t.Context(), NewArgs("cancel x", ""))
		assert.Equal(t, kind.OutcomeUnknown, reply.Outcome)
		assert.Equal(t, kind.ExitUnknown, ExitCode(reply, true))
		assert.Equal(t, kind.ExitRefused, ExitCode(reply, false))
	})
}

func TestAnUnreachableEntryHostMeansThatNothingRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &Client{Entries: []string{"a:1"}, Timeout: time.Second, Transport: unreachable{}}
		reply := client.Execute(t.Context(), NewArgs("cancel x", ""))
		assert.Equal(t, kind.OutcomeRefused, reply.Outcome)
		assert.Equal(t, kind.ExitRefused, ExitCode(reply, true))
	})
}

// unreachable fails to connect to every host.
type unreachable struct{}

func (unreachable) RoundTrip(r *http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", r.URL.Host, syscall.ECONNREFUSED)}
}

func TestARefusalIsNotResent(t *testing.T) {
	calls := 0
	handler := Handler(executorFunc(func(controlapi.CommandArgs) (controlapi.CommandReply, error) {
		calls++
		return controlapi.CommandReply{Outcome: kind.OutcomeRefused, Kind: kind.VersionConflict}, nil
	}))
	client := &Client{Entries: []string{"a:1"}, Transport: &loopback{handler: handler}}
	reply := client.Execute(t.Context(), NewArgs("set config from f", "weights: {}"))
	assert.Equal(t, 1, calls)
	assert.Equal(t, kind.VersionConflict, reply.Kind)
	assert.Equal(t, kind.ExitRefused, ExitCode(reply, true))
}

func TestStatusesComeFromTheTableOfKinds(t *testing.T) {
	id := uuid.NewString()
	for _, k := range kind.All() {
		handler := Handler(executorFunc(func(controlapi.CommandArgs) (controlapi.CommandReply, error) {
			return controlapi.CommandReply{}, kind.Errorf(k, "detail")
		}))
		response := post(handler, `{"id": "`+id+`", "text": "cancel x"}`)
		assert.Equal(t, k.Answer().Status, response.Code, k)
		assert.Contains(t, response.Body.String(), `"kind":"`+string(k)+`"`)
	}
}

func TestReplyJSONHasEveryField(t *testing.T) {
	handler := Handler(executorFunc(func(controlapi.CommandArgs) (controlapi.CommandReply, error) {
		return controlapi.CommandReply{Outcome: kind.OutcomeDone}, nil
	}))
	id := uuid.NewString()
	response := post(handler, `{"id": "`+id+`", "text": "show tasks"}`)
	assert.JSONEq(t, `{"id": "`+id+`", "outcome": "done", "kind": "", "version": 0, "rows": [], "message": ""}`, response.Body.String())
}

func TestMalformedBodiesGetAProblemDocument(t *testing.T) {
	handler := Handler(executorFunc(func(controlapi.CommandArgs) (controlapi.CommandReply, error) {
		t.Error("a malformed command was executed")
		return controlapi.CommandReply{}, nil
	}))
	id := uuid.NewString()
	for body, status := range map[string]int{
		"":                                  http.StatusBadRequest,
		"[]":                                http.StatusBadRequest,
		`{"id": "7", "text": "show tasks"}`: http.StatusBadRequest,
		`{"id": "` + id + `"}`:              http.StatusBadRequest,
		strings.Repeat(" ", MaxBodyBytes+1): http.StatusRequestEntityTooLarge,
	} {
		response := post(handler, body)
		assert.Equal(t, status, response.Code)
		assert.Equal(t, "application/problem+json", response.Header().Get("Content-Type"))
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, CommandsPath, nil))
	assert.Equal(t, http.StatusMethodNotAllowed, recorder.Code)
	assert.Equal(t, http.MethodPost, recorder.Header().Get("Allow"))
}

func post(handler http.Handler, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, CommandsPath, strings.NewReader(body)))
	return recorder
}

func TestACommandIsLoggedWithItsID(t *testing.T) {
	var out strings.Builder
	args := NewArgs("cancel x", "")
	executor := Logged(executorFunc(func(controlapi.CommandArgs) (controlapi.CommandReply, error) {
		return controlapi.CommandReply{}, kind.Errorf(kind.NoQuorum, "no leader")
	}), zerolog.New(&out))
	_, err := executor.Execute(t.Context(), args)
	assert.Equal(t, kind.NoQuorum, kind.Of(err))
	assert.Contains(t, out.String(), args.ID)
	assert.Contains(t, out.String(), `"outcome":"refused","kind":"no_quorum"`)
}
