package fake

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mangohill.example/mangohill/types"
)

// Behavior selects how a Target answers requests.
type Behavior uint8

// Behaviors of a Target.
const (
	// Answer runs the request and sends a complete answer.
	Answer Behavior = iota
	// RefuseRun answers 503 with the outcome not-run and runs nothing.
	RefuseRun
	// Truncate runs the request and closes the connection in the middle of the
	// answer.
	Truncate
	// Hang runs the request and never answers.
	Hang
	// HangMidBody runs the request and stops sending in the middle of the answer,
	// with the connection open.
	HangMidBody
	// CloseEarly runs the request and closes the connection without an answer.
	CloseEarly
	// CloseUnread closes the connection without reading the request body and runs
	// nothing.
	CloseUnread
	// EndlessBody runs the request and sends an answer whose body never ends.
	EndlessBody
	// DuplicateResponse runs the request and sends its answer twice.
	DuplicateResponse
	// WrongRequestID answers with the request ID of another request.
	WrongRequestID
	// CloseDelimited runs the request and sends an answer without a length, which
	// ends when the connection closes.
	CloseDelimited
	// InternalError runs the request and answers 500.
	InternalError
)

// TargetOptions configures a Target.
type TargetOptions struct {
	Name          string
	Service       string
	FailureDomain string
	Incarnation   uint64
	Slots         int
	Connections   int
	// Listen is the address to serve on; if it is empty, a free loopback port is
	// used.
	Listen string
	// AnnounceAddress, if set, is announced in place of the listening address, so
	// that requests pass through a relay.
	AnnounceAddress string
	// Platforms are the platform addresses of entry hosts. Announcements go to each
	// in turn, as a load balancer would spread them.
	Platforms []string
	// Delay is the run time of a request.
	Delay time.Duration
}

// Target is a fake server process of a service. It counts the executions of each
// request ID.
type Target struct {
	options  TargetOptions
	listener net.Listener
	server   *http.Server
	client   *http.Client

	mu           sync.Mutex
	behavior     Behavior
	delay        time.Duration
	state        types.TargetState
	runs         map[string]int
	inFlight     int
	peakInFlight int
	conns        int
	peakConns    int

	nextPlatform atomic.Uint64
	cancel       context.CancelFunc
	wait         sync.WaitGroup
	stopped      chan struct{}
}

// StartTarget starts a server and, if Platforms are given, its announcements.
func StartTarget(options TargetOptions) (*Target, error) {
	options = targetDefaults(options)
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		options: options, listener: listener, client: &http.Client{Timeout: 3 * time.Second},
		delay: options.Delay, state: types.TargetReady, runs: make(map[string]int), cancel: cancel, stopped: make(chan struct{}),
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 10 * time.Second}
	t.wait.Add(1)
	go func() {
		defer t.wait.Done()
		_ = t.server.Serve(countingListener{Listener: listener, target: t}) // Returns when the target stops.
	}()
	if len(options.Platforms) > 0 {
		t.wait.Add(1)
		go t.announceLoop(ctx)
	}
	return t, nil
}

func targetDefaults(options TargetOptions) TargetOptions {
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	if options.Slots == 0 {
		options.Slots = 8
	}
	if options.Connections == 0 {
		options.Connections = 60
	}
	if options.Incarnation == 0 {
		options.Incarnation = 1
	}
	return options
}

// Address returns the address on which the target serves.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Record returns the state of the target as it is announced.
func (t *Target) Record() types.Target {
	address := t.options.AnnounceAddress
	if address == "" {
		address = t.Address()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return types.Target{
		Name: t.options.Name, Service: t.options.Service, Address: address, FailureDomain: t.options.FailureDomain,
		Incarnation: t.options.Incarnation, Slots: t.options.Slots, Connections: t.options.Connections,
		State: t.state, InFlight: t.inFlight,
	}
}

// SetBehavior changes how the target answers and the run time of a request.
func (t *Target) SetBehavior(behavior Behavior, delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behavior = behavior
	t.delay = delay
}

// Runs returns the number of executions of a request ID.
func (t *Target) Runs(requestID string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[requestID]
}

// TotalRuns returns the number of executions of all requests.
func (t *Target) TotalRuns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, n := range t.runs {
		total += n
	}
	return total
}

// PeakInFlight returns the largest number of requests that ran at the same time.
func (t *Target) PeakInFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peakInFlight
}

// PeakConnections returns the largest number of connections open at the same time.
func (t *Target) PeakConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peakConns
}

// InFlight returns the number of running requests.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// ServeHTTP runs one request. The answer names the target in a header and echoes
// the body of the request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	behavior, delay := t.behavior, t.delay
	t.mu.Unlock()
	if behavior == CloseUnread {
		panic(http.ErrAbortHandler)
	}
	if behavior == RefuseRun {
		w.Header().Set("Mangohill-Outcome", "not-run")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	t.begin(r.Header.Get("Mangohill-Request-Id"))
	defer t.end()
	if delay > 0 {
		time.Sleep(delay)
	}
	t.respond(w, r, behavior, body)
}

func (t *Target) begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
	t.inFlight++
	t.peakInFlight = max(t.peakInFlight, t.inFlight)
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, behavior Behavior, body []byte) {
	w.Header().Set("X-Target", t.options.Name)
	w.Header().Set("X-Path", r.URL.RequestURI())
	switch behavior {
	case Answer:
		_, _ = w.Write(body) // The peer may be gone.
	case InternalError:
		http.Error(w, "failed", http.StatusInternalServerError)
	case WrongRequestID:
		w.Header().Set("Mangohill-Request-Id", "another")
		_, _ = w.Write(body) // As above.
	case Hang:
		<-t.stopped
		panic(http.ErrAbortHandler)
	case CloseEarly:
		panic(http.ErrAbortHandler)
	case EndlessBody:
		t.writeEndless(w, r)
	case Truncate, HangMidBody, DuplicateResponse, CloseDelimited:
		t.writeRaw(w, behavior, body)
	case RefuseRun, CloseUnread:
	}
}

func (t *Target) writeEndless(w http.ResponseWriter, r *http.Request) {
	chunk := bytes.Repeat([]byte("x"), 32<<10)
	for r.Context().Err() == nil {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// writeRaw writes a malformed answer to the hijacked connection, which net/http
// would not send.
func (t *Target) writeRaw(w http.ResponseWriter, behavior Behavior, body []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }() // The answer is complete.
	const responseFormat = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
	switch behavior {
	case Truncate:
		fmt.Fprintf(buffered, responseFormat, len(body)+10, body)
	case HangMidBody:
		fmt.Fprintf(buffered, responseFormat, len(body)+10, body)
		_ = buffered.Flush() // The target hangs even if the write failed.
		<-t.stopped
	case DuplicateResponse:
		answer := fmt.Sprintf(responseFormat, len(body), body)
		_, _ = buffered.WriteString(answer + answer) // The peer may be gone.
		_ = buffered.Flush()                         // As above.
		_, _ = io.Copy(io.Discard, conn)             // Waits until the peer closes.
	case CloseDelimited:
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body)
	default:
	}
	_ = buffered.Flush() // The peer may be gone.
}

// Stop stops the announcements and the server and closes all connections.
func (t *Target) Stop() {
	t.cancel()
	t.mu.Lock()
	select {
	case <-t.stopped:
	default:
		close(t.stopped)
	}
	t.mu.Unlock()
	_ = t.server.Close() // Makes Serve return.
	t.wait.Wait()
	t.client.CloseIdleConnections()
}
