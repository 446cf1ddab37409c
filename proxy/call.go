package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

const (
	pathPrefix = "/v1/services/"
	// defaultTimeout applies to services without a configured timeout.
	defaultTimeout = 2 * time.Second
	// maxTimeout limits the timeout that a caller may request.
	maxTimeout   = 10 * time.Minute
	maxNameBytes = 128
	maxKeyBytes  = 256
)

// call is one request of a caller, with its whole body.
type call struct {
	id         string
	service    string
	caller     string
	method     string
	host       string
	target     *url.URL
	header     http.Header
	body       []byte
	idempotent bool
	key        string
	hopped     bool
	deadline   time.Time
}

// splitPath splits an escaped request path into the service name and the
// escaped path for the target.
func splitPath(escaped string) (service, rest string, err error) {
	tail, found := strings.CutPrefix(escaped, pathPrefix)
	if !found {
		return "", "", kind.Errorf(kind.NotFound, "path %q is not below %s", escaped, pathPrefix)
	}
	name, rest, _ := strings.Cut(tail, "/")
	service, err = url.PathUnescape(name)
	if err != nil || service == "" || len(service) > maxNameBytes {
		return "", "", kind.Errorf(kind.BadRequest, "service name %q is empty, too long or badly escaped", name)
	}
	return service, "/" + rest, nil
}

// targetURL builds the URL sent to the target. It keeps the caller's escaping.
func targetURL(escaped, query string) (*url.URL, error) {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return nil, kind.Errorf(kind.BadRequest, "path %q: %w", escaped, err)
	}
	return &url.URL{Scheme: "http", Path: path, RawPath: escaped, RawQuery: query}, nil
}

// readCall parses a request of a caller, except for its body.
func (p *Proxy) readCall(r *http.Request) (*call, error) {
	service, rest, err := splitPath(r.URL.EscapedPath())
	if err != nil {
		return nil, err
	}
	if r.Method == http.MethodConnect {
		return nil, kind.Errorf(kind.MethodNotAllowed, "method CONNECT is not supported")
	}
	target, err := targetURL(rest, r.URL.RawQuery)
	if err != nil {
		return nil, err
	}
	c := &call{
		id: p.requestID(r), service: service, caller: callerOf(r), method: r.Method, host: r.Host,
		target: target, header: r.Header,
	}
	c.hopped, err = p.isHop(r)
	if err != nil {
		return nil, err
	}
	if c.idempotent, err = isIdempotent(r); err != nil {
		return nil, err
	}
	if c.key, err = idempotencyKey(r, c.idempotent); err != nil {
		return nil, err
	}
	timeout, err := p.timeoutOf(r, service)
	if err != nil {
		return nil, err
	}
	c.deadline = p.options.Now().Add(timeout)
	return c, nil
}

// requestID returns the caller's request ID, or generates one.
func (p *Proxy) requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxKeyBytes {
		return p.idPrefix + strconv.FormatUint(p.nextID.Add(1), 36)
	}
	return id
}

func callerOf(r *http.Request) string {
	if name := r.Header.Get(HeaderCaller); name != "" && len(name) <= maxNameBytes {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// isHop reports whether another entry host forwarded the request. A wrong token
// is refused: the sender has the token of an earlier process of this host.
func (p *Proxy) isHop(r *http.Request) (bool, error) {
	text := r.Header.Get(HeaderHop)
	if text == "" {
		return false, nil
	}
	if token, err := strconv.ParseUint(text, 16, 64); err != nil || token != p.options.Token || token == 0 {
		return false, kind.Errorf(kind.Unreachable, "the hop token is not that of this process")
	}
	return true, nil
}

// isIdempotent returns the value of the header, or else the default for the
// method (RFC 9110, 9.2.2).
func isIdempotent(r *http.Request) (bool, error) {
	switch text := r.Header.Get(HeaderIdempotent); text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
	default:
		return false, kind.Errorf(kind.BadRequest, "header %s: %q is neither true nor false", HeaderIdempotent, text)
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true, nil
	}
	return false, nil
}

// idempotencyKey returns the key that must be claimed before the request is
// sent, or "" if no claim is needed.
func idempotencyKey(r *http.Request, idempotent bool) (string, error) {
	values := r.Header.Values(HeaderIdempotencyKey)
	if len(values) > 1 {
		return "", kind.Errorf(kind.BadRequest, "header %s is given %d times", HeaderIdempotencyKey, len(values))
	}
	if idempotent || len(values) == 0 {
		return "", nil
	}
	if len(values[0]) > maxKeyBytes {
		return "", kind.Errorf(kind.BadRequest, "header %s: %d bytes exceed %d", HeaderIdempotencyKey, len(values[0]), maxKeyBytes)
	}
	return values[0], nil
}

func (p *Proxy) timeoutOf(r *http.Request, service string) (time.Duration, error) {
	timeout := defaultTimeout
	if config, ok := p.serviceConfig(service); ok && config.Timeout > 0 {
		timeout = config.Timeout
	}
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return timeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, kind.Errorf(kind.BadRequest, "header %s: %q is not a positive number of milliseconds", HeaderTimeout, text)
	}
	if ms > maxTimeout.Milliseconds() {
		return maxTimeout, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (p *Proxy) serviceConfig(service string) (types.ServiceConfig, bool) {
	if p.options.Config == nil {
		return types.ServiceConfig{}, false
	}
	config := p.options.Config()
	if config == nil {
		return types.ServiceConfig{}, false
	}
	found, ok := config.Services[service]
	return found, ok
}

// readBody reads the caller's whole body before the request takes a slot.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, c *call) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > p.options.MaxBody {
		return kind.Errorf(kind.BodyTooLarge, "body of %d bytes exceeds %d", r.ContentLength, p.options.MaxBody)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.deadline) // httptest recorders do not support deadlines.
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(http.MaxBytesReader(w, r.Body, p.options.MaxBody))
	_ = control.SetReadDeadline(time.Time{}) // Not supported by recorders either.
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return kind.Errorf(kind.BodyTooLarge, "body exceeds %d bytes", p.options.MaxBody)
	}
	if err != nil {
		return kind.Errorf(kind.BadRequest, "body: %w", err)
	}
	c.body = buffer.Bytes()
	return nil
}

// digest hashes method, URI and body, to detect a key that is used for two
// different requests.
func (c *call) digest() uint64 {
	hash := xxhash.New()
	for _, part := range []string{c.method, c.target.RequestURI()} {
		_, _ = hash.WriteString(part) // Hashes never return errors.
		_, _ = hash.Write([]byte{0})  // As above.
	}
	_, _ = hash.Write(c.body) // As above.
	return hash.Sum64()
}

// noUserAgent prevents net/http from adding its default User-Agent.
var noUserAgent = []string{""}

// outgoing builds the request for the receiver. It has no GetBody, so that
// net/http cannot replay it.
func (c *call) outgoing(now time.Time, host string) *http.Request {
	header := make(http.Header, len(c.header)+4)
	copyEndToEnd(header, c.header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = noUserAgent
	}
	leftMs := max(c.deadline.Sub(now).Milliseconds(), 1)
	ownValues := []string{c.id, strconv.FormatInt(leftMs, 10)}
	header[HeaderRequestID] = ownValues[:1:1]
	header[HeaderTimeout] = ownValues[1:]
	request := &http.Request{
		Method: c.method, URL: c.target, Host: host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(c.body)),
	}
	if len(c.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return request
}
