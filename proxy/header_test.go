package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/proxy"
	"mangohill.example/mangohill/types"
)

// pipeTarget answers every connection in memory and records the requests.
type pipeTarget struct {
	answer     string
	requests   []*http.Request
	bodies     []string
	extraBytes int
}

func (p *pipeTarget) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }() // The answer has been written.
		reader := bufio.NewReader(far)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		p.requests = append(p.requests, request)
		p.bodies = append(p.bodies, string(body))
		p.extraBytes += reader.Buffered()
		_, _ = io.WriteString(far, p.answer) // The client may have closed the connection.
	}()
	return near, nil
}

func pipeProxy(target *pipeTarget) *proxy.Proxy {
	start := time.Now().Add(-time.Hour)
	now := start
	p := proxy.New(proxy.Options{
		Name: "entry-1", Dial: target.dial, Now: func() time.Time { return now }, Logger: zerolog.Nop(), MaxBody: 1 << 10,
	})
	p.SetMembers(nil)
	now = time.Now()
	p.SetTarget(types.Target{Name: "t1", Service: "quote", Address: "127.0.0.1:1", Slots: 8, State: types.TargetReady})
	return p
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: X-Drop\r\nX-Drop: 1\r\nKeep-Alive: 5\r\nX-Keep: 2\r\nMangohill-Outcome: not-run\r\n\r\nok"

// Hop-by-hop fields, fields that Connection lists and Mangohill-* fields of the
// sender must not be forwarded in either direction; all other fields must.
func TestHeaderForwarding(t *testing.T) {
	target := &pipeTarget{answer: okAnswer}
	request := httptest.NewRequest(http.MethodPost, "/v1/services/quote/a?q=1", strings.NewReader("body"))
	for name, value := range map[string]string{
		"Connection": "X-Secret", "X-Secret": "1", "Te": "trailers", "Upgrade": "h2c", "Expect": "100-continue",
		"Proxy-Authorization": "x", "Authorization": "kept", "Mangohill-Hop": "", "Mangohill-Load": "1,1,1",
		"Idempotency-Key": "k", "Mangohill-Idempotent": "true", "Accept-Encoding": "br",
	} {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	pipeProxy(target).ServeHTTP(recorder, request)
	require.Equal(t, http.StatusOK, recorder.Code, recorder.Body.String())
	got := target.requests[0].Header
	for _, name := range []string{"Connection", "X-Secret", "Te", "Upgrade", "Expect", "Proxy-Authorization", "Mangohill-Load", "User-Agent", "Mangohill-Idempotent"} {
		assert.NotContains(t, got, name)
	}
	assert.Equal(t, "kept", got.Get("Authorization"))
	assert.Equal(t, "k", got.Get("Idempotency-Key"))
	assert.Equal(t, "br", got.Get("Accept-Encoding"))
	assert.Equal(t, "/a?q=1", target.requests[0].RequestURI)
	answer := recorder.Result().Header
	assert.NotContains(t, answer, "X-Drop")
	assert.NotContains(t, answer, "Keep-Alive")
	assert.Equal(t, "2", answer.Get("X-Keep"))
	assert.Equal(t, "done", answer.Get("Mangohill-Outcome"), "a 200 counts as done, even if the target sends another outcome")
}

func TestAnswersWithoutABody(t *testing.T) {
	for _, test := range []struct{ method, answer, length string }{
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n", "77"},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nEtag: \"x\"\r\n\r\n", ""},
	} {
		target := &pipeTarget{answer: test.answer}
		recorder := httptest.NewRecorder()
		pipeProxy(target).ServeHTTP(recorder, httptest.NewRequest(test.method, "/v1/services/quote/", nil))
		assert.Equal(t, "done", recorder.Header().Get(proxy.HeaderOutcome), test.answer)
		assert.Equal(t, test.length, recorder.Header().Get("Content-Length"))
	}
}

func TestBadRequestsAreNotSent(t *testing.T) {
	for name, change := range map[string]func(*http.Request){
		"idempotent": func(r *http.Request) { r.Header.Set(proxy.HeaderIdempotent, "maybe") },
		"timeout":    func(r *http.Request) { r.Header.Set(proxy.HeaderTimeout, "-1") },
		"two keys":   func(r *http.Request) { r.Header[proxy.HeaderIdempotencyKey] = []string{"a", "b"} },
		"hop token":  func(r *http.Request) { r.Header.Set(proxy.HeaderHop, "zz") },
		"path":       func(r *http.Request) { r.URL = &url.URL{Path: "/v1/other"} },
		"no service": func(r *http.Request) { r.URL = &url.URL{Path: "/v1/services//x"} },
		"body": func(r *http.Request) {
			r.Body = io.NopCloser(bytes.NewReader(make([]byte, 2<<10)))
			r.ContentLength = -1
		},
		"known length": func(r *http.Request) { r.ContentLength = 2 << 10 },
	} {
		t.Run(name, func(t *testing.T) {
			target := &pipeTarget{answer: okAnswer}
			request := httptest.NewRequest(http.MethodPost, "/v1/services/quote/", strings.NewReader("x"))
			change(request)
			recorder := httptest.NewRecorder()
			pipeProxy(target).ServeHTTP(recorder, request)
			assert.GreaterOrEqual(t, recorder.Code, 400)
			assert.Equal(t, "not-run", recorder.Header().Get(proxy.HeaderOutcome))
			assert.Empty(t, target.requests)
		})
	}
}

// FuzzRequest feeds arbitrary bytes as a caller's request. The target must get
// either one well-formed request with the same body, or nothing.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /v1/services/quote/a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("GET /v1/services/quote/%2F%0d%0a HTTP/1.1\r\nHost: x\r\nConnection: Host, X\r\nX: 1\r\n\r\n"))
	f.Add([]byte("PUT /v1/services/quote/ HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if request.ContentLength > 0 {
			request.ContentLength = int64(len(body))
		}
		request.Header.Del(proxy.HeaderTimeout)
		target := &pipeTarget{answer: okAnswer}
		recorder := httptest.NewRecorder()
		pipeProxy(target).ServeHTTP(recorder, request)
		if outcome := recorder.Header().Get(proxy.HeaderOutcome); outcome != "done" && outcome != "not-run" {
			t.Fatalf("outcome %q of %q: %s", outcome, data, recorder.Body)
		}
		if len(target.requests) == 0 {
			return
		}
		if len(target.requests) > 1 || target.extraBytes > 0 || target.bodies[0] != string(body) {
			t.Fatalf("%q reached the target as %v with bodies %q and %d bytes more", data, target.requests, target.bodies, target.extraBytes)
		}
	})
}
