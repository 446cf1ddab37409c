package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mangohill.example/mangohill/internal/fake"
)

// worker is one incarnation of a simulated worker that implements the platform's
// worker protocol. Each task takes taskDuration, unless its job says otherwise.
type worker struct {
	*place
	checks         *checks
	id             string
	startedAt      time.Time
	mu             sync.Mutex
	dead           bool
	highestFence   uint64
	leaseEnd       time.Time
	lastEndNumber  int
	unackedEnds    []attemptEnd
	running        map[string]int // running attempt by task
	highestEnded   map[string]int // highest attempt that ended or was stopped, by task
	leaseExpiredAt time.Time
	wake           chan struct{}
	// processors is the capacity, which shrank last at shrunkAt. reports counts the reports.
	processors int
	shrunkAt   time.Time
	reports    int
	// crashed is called, if set, after the worker has crashed.
	crashed func(*worker)
	// carriesOutLate reports, if set, whether an order gets no answer now, as it is carried out
	// later, if ever.
	carriesOutLate func(w *worker, path string, o *controlRequest) bool
	// refusesStarts is set while the worker refuses starts as unhealthy; ended is closed once it
	// has crashed. succeeded, if not nil, is closed once the next incarnation is at its place,
	// which takes the calls that arrive until then.
	refusesStarts bool
	ended         chan struct{}
	succeeded     chan struct{}
}

type attemptEnd struct {
	number  int
	task    string
	attempt int
	outcome string
	endedAt time.Time
}

const (
	taskDuration     = 150 * time.Millisecond
	workerProcessors = 8
	// deadlyDelay is the time after which a deadly task crashes its worker.
	deadlyDelay = 10 * time.Millisecond
	// shrinkNotice is the time after which a smaller capacity binds: StableWindowMs and one
	// report.
	shrinkNotice     = 4100 * time.Millisecond
	maxLease         = 10 * time.Second // bounds a lease, whatever end control sets
	startPath        = "/-/run-start"
	pollPath         = "/-/hold"
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
)

// controlRequest is the body of a request from control. Fence is its fencing token;
// ExpiresAtMs is the end of the lease on the worker's clock (see clockMs).
type controlRequest struct {
	Task        string
	Attempt     int
	Spec        string
	Fence       uint64
	ExpiresAtMs int64
	AckedUpto   int
	WaitMs      int64
	// late is set if the order is carried out late, and processors are those of the worker when
	// it arrived.
	late       bool
	processors int
}

// place is an address at which one incarnation of a worker follows another.
type place struct {
	server   *httptest.Server
	relay    *fake.Relay
	occupant atomic.Pointer[worker]
	calm     calm        // disturbed by faults of the worker and its connections
	isolated atomic.Bool // whether the worker's own calls don't arrive either
}

func (p *place) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	p.occupant.Load().ServeHTTP(out, r)
}

func (p *place) close() {
	p.relay.Close()
	p.server.CloseClientConnections()
	p.server.Close()
}

// newWorker returns an incarnation at a place, or at a new one if that is nil. It accepts orders
// once it is the occupant.
func newWorker(c *checks, id string, at *place) (*worker, error) {
	w := &worker{checks: c, id: id, place: at, startedAt: time.Now(), running: make(map[string]int), highestEnded: make(map[string]int), processors: workerProcessors, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	if at != nil {
		return w, nil
	}
	w.place = new(place)
	w.occupant.Store(w)
	w.server = httptest.NewServer(w.place)
	var err error
	w.relay, err = fake.StartRelay(strings.TrimPrefix(w.server.URL, "http://"))
	return w, err
}

// crash ends the incarnation and gives its place up.
func (w *worker) crash() {
	if !w.end() {
		return
	}
	w.close()
	if w.crashed != nil {
		go w.crashed(w)
	}
}

// end ends the incarnation: its tasks stop, and its state is lost. It returns false if
// the incarnation had ended before.
func (w *worker) end() bool {
	if !w.die(nil) {
		return false
	}
	w.relay.Reset()
	return true
}

// endSilently ends the incarnation like end, but no connection to it is reset: the next
// incarnation at the place takes the calls that arrive until it is up.
func (w *worker) endSilently() bool { return w.die(make(chan struct{})) }

func (w *worker) die(succeeded chan struct{}) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return false
	}
	w.checks.beginFault(&w.checks.calm, &w.calm)()
	w.dead, w.succeeded = true, succeeded
	close(w.ended)
	w.checks.workerCrashed(w.running)
	for task := range w.running {
		w.checks.taskEnded(task, w)
	}
	return true
}

// awaitSuccessor waits, if the incarnation ended silently, until the next one is up. It returns
// the processors of the ended one, otherwise 0.
func (w *worker) awaitSuccessor() int {
	w.mu.Lock()
	succeeded, processors := w.succeeded, w.processors
	w.mu.Unlock()
	if succeeded == nil {
		return 0
	}
	<-succeeded
	return processors
}

// cut cuts the connections to the worker and, if isolated is set, those from it as well, until
// the returned function is called.
func (w *worker) cut(isolated bool) (restore func()) {
	end := w.checks.beginFault(&w.checks.calm, &w.calm)
	w.relay.Blackhole(true)
	w.isolated.Store(isolated)
	return func() {
		w.relay.Blackhole(false)
		w.isolated.Store(false)
		end()
	}
}

// refuseStarts makes the worker refuse starts as unhealthy, or accept them again.
func (w *worker) refuseStarts(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusesStarts = on
}

// resize changes the capacity, which the next report tells.
func (w *worker) resize(processors int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if processors < w.processors {
		w.shrunkAt = time.Now()
	}
	w.processors = processors
}

// clockMs returns the milliseconds since the start of the incarnation, at least 1.
func (w *worker) clockMs() int64 { return time.Since(w.startedAt).Milliseconds() + 1 }

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var o controlRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Mangohill-Expect-Instance") != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if processors := w.awaitSuccessor(); processors > 0 {
		if r.URL.Path == startPath {
			w.checks.startUnanswered(o.Task)
		}
		w, o.late, o.processors = w.occupant.Load(), true, processors
	}
	if w.carriesOutLate != nil && w.carriesOutLate(w, r.URL.Path, &o) {
		if r.URL.Path == startPath {
			w.checks.startUnanswered(o.Task)
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, answer := w.handle(r.URL.Path, &o)
	if status == 0 {
		w.awaitSuccessor()
		panic(http.ErrAbortHandler) // A process that has crashed answers nothing.
	}
	answer["ClockMs"], answer["born"] = w.clockMs(), w.startedAt.UnixMilli()
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(answer) // The caller may have disconnected.
}

// handle carries out a request and returns the status and the answer, zero if the worker
// has crashed: it runs nothing that reaches it before its listener is closed.
func (w *worker) handle(path string, o *controlRequest) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return 0, nil
	}
	if o.late {
		w.checks.carriedOutLate(path)
	}
	if w.refusesStarts && path == startPath {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if o.Fence < w.highestFence {
		return http.StatusConflict, map[string]any{"Reason": "fence"}
	}
	w.highestFence = o.Fence
	if until := w.startedAt.Add(time.Duration(o.ExpiresAtMs) * time.Millisecond); o.ExpiresAtMs > 0 && until.After(w.leaseEnd) {
		w.leaseEnd = minTime(until, time.Now().Add(maxLease))
		time.AfterFunc(time.Until(w.leaseEnd), w.expireLease)
	}
	switch path {
	case startPath:
		return w.start(o)
	case "/-/run-stop":
		w.highestEnded[o.Task] = max(w.highestEnded[o.Task], o.Attempt)
		if attempt, runs := w.running[o.Task]; runs && attempt <= o.Attempt {
			w.recordEnd(o.Task, attempt, "stopped")
		}
	case pollPath:
		answer := w.poll(o)
		if w.dead { // It crashed while the poll waited.
			return 0, nil
		}
		return http.StatusOK, answer
	}
	return http.StatusOK, map[string]any{}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (w *worker) start(o *controlRequest) (int, map[string]any) {
	if attempt, runs := w.running[o.Task]; runs && attempt == o.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if o.Attempt <= w.highestEnded[o.Task] {
		return http.StatusConflict, map[string]any{"Reason": "old"}
	}
	if o.ExpiresAtMs <= w.clockMs() {
		return http.StatusConflict, map[string]any{"Reason": "late"}
	}
	w.running[o.Task] = o.Attempt
	w.checks.taskStarted(o.Task, o.Spec, w, o.late)
	used := 0
	for task := range w.running {
		used += w.checks.processorsOf(task)
	}
	// An order that is carried out late may bring the worker to the capacity that it had when
	// the order arrived: how soon a smaller one binds is a bound of time.
	if used > max(w.processors, o.processors) && time.Since(w.shrunkAt) > shrinkNotice {
		w.checks.addViolation("%s runs tasks on %d of %d processors", w.id, used, w.processors)
	}
	if w.checks.crashesWorker(o.Task) {
		time.AfterFunc(deadlyDelay, w.crash)
	}
	if w.checks.lasts(o.Task) {
		return http.StatusOK, map[string]any{}
	}
	time.AfterFunc(w.checks.durationOf(o.Task), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Task] == o.Attempt && !w.dead {
			w.recordEnd(o.Task, o.Attempt, "done")
		}
	})
	return http.StatusOK, map[string]any{}
}

// recordEnd records the end of an attempt and wakes a waiting poll. The caller holds
// the lock.
func (w *worker) recordEnd(task string, attempt int, outcome string) {
	delete(w.running, task)
	w.highestEnded[task] = max(w.highestEnded[task], attempt)
	w.lastEndNumber++
	w.unackedEnds = append(w.unackedEnds, attemptEnd{w.lastEndNumber, task, attempt, outcome, time.Now()})
	w.checks.taskEnded(task, w)
	if outcome == "done" {
		w.checks.taskDone(task)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || time.Now().Before(w.leaseEnd) {
		return
	}
	w.leaseExpiredAt = time.Now()
	for task, attempt := range w.running {
		w.recordEnd(task, attempt, "lapsed")
	}
}

// poll drops the acknowledged ends and returns the running and ended attempts. If
// none has ended, it waits up to WaitMs for one. The caller holds the lock, which is
// released during the wait.
func (w *worker) poll(o *controlRequest) map[string]any {
	for _, e := range w.unackedEnds {
		if e.number <= o.AckedUpto && e.outcome == "done" {
			by := fmt.Sprintf("a poll to %s at %s, end %d of %d (late: %t)", w.id, time.Now().Format("15:04:05.000"), e.number, o.AckedUpto, o.late)
			w.checks.endAcknowledged(e.task, e.endedAt, w.leaseExpiredAt.After(e.endedAt), by)
		}
	}
	w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(e attemptEnd) bool { return e.number <= o.AckedUpto })
	if len(w.unackedEnds) == 0 && o.WaitMs > 0 {
		w.mu.Unlock()
		select {
		case <-w.wake:
		case <-w.ended:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		w.mu.Lock()
	}
	// Running rows: task, attempt, checkpoint, progress in percent, gauge. Ended rows:
	// number, task, attempt, outcome, checkpoint.
	running, ended := [][]any{}, [][]any{}
	for task, attempt := range w.running {
		running = append(running, []any{task, attempt, "", w.checks.percentOf(task), 1000})
	}
	for _, e := range w.unackedEnds {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.outcome, ""})
	}
	return map[string]any{"Running": running, "Ended": ended}
}

// announce registers the worker every announceInterval, at each control address in
// turn, until the worker crashes.
func (w *worker) announce(controls []string) {
	client := &http.Client{Timeout: announceTimeout}
	for turn := 0; ; turn++ {
		w.mu.Lock()
		dead, processors := w.dead, w.processors
		w.reports++
		report := w.reports
		w.mu.Unlock()
		if dead {
			return
		}
		if w.isolated.Load() {
			time.Sleep(announceInterval)
			continue
		}
		body := fmt.Sprintf(`{"Service":"pool","Addr":%q,"Zone":%q,"State":"ready","Capacity":{"Cpu":%d,"MemMb":100000,"Gpu":0},"Labels":["a","r1"],"ClockMs":%d,"Seq":%d,"born":%d}`,
			w.relay.Address(), w.domain(), processors*1000, w.clockMs(), report, w.startedAt.UnixMilli())
		request, err := http.NewRequest(http.MethodPut, "http://"+controls[turn%len(controls)]+"/-/instances/"+w.id, strings.NewReader(body))
		if err != nil {
			panic(err)
		}
		if answer, err := client.Do(request); err == nil {
			_ = answer.Body.Close() // The status is not used.
		}
		time.Sleep(announceInterval)
	}
}
