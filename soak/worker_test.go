package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"mangohill.example/mangohill/internal/fake"
)

// worker is one life of a stand-in worker that speaks the platform's protocol.
// Each task takes workTime.
type worker struct {
	checks *checks
	id     string
	born   time.Time
	server *httptest.Server
	relay  *fake.Relay
	mu     sync.Mutex
	dead   bool
	fence  uint64
	lease  time.Time
	number int
	ended  []ending
	live   map[string]int // attempts by task
	over   map[string]int // the highest attempt that ended or was stopped
	lapsed time.Time
	wake   chan struct{}
}

type ending struct {
	number  int
	task    string
	attempt int
	how     string
	at      time.Time
}

const (
	workTime      = 150 * time.Millisecond
	workerCores   = 8000
	longestLease  = 10 * time.Second
	reportsEvery  = 500 * time.Millisecond
	reportTimeout = time.Second
)

type order struct {
	Task        string
	Attempt     int
	Spec        string
	Fence       uint64
	ExpiresAtMs int64
	AckedUpto   int
	WaitMs      int64
}

func newWorker(c *checks, id string) (*worker, error) {
	w := &worker{checks: c, id: id, born: time.Now(), live: make(map[string]int), over: make(map[string]int), wake: make(chan struct{}, 1)}
	w.server = httptest.NewServer(w)
	var err error
	w.relay, err = fake.StartRelay(strings.TrimPrefix(w.server.URL, "http://"))
	return w, err
}

// crash ends the life: nothing runs any more, and nothing of it is remembered.
func (w *worker) crash() {
	w.mu.Lock()
	w.dead = true
	for task := range w.live {
		w.checks.end(task, w)
	}
	w.mu.Unlock()
	w.relay.Close()
	w.server.CloseClientConnections()
	w.server.Close()
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Mangohill-Expect-Instance") != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, answer := w.take(r.URL.Path, &o)
	answer["ClockMs"], answer["born"] = w.clock(), w.born.UnixMilli()
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(answer) // The caller may have gone.
}

func (w *worker) take(path string, o *order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		return http.StatusConflict, map[string]any{"Reason": "fence"}
	}
	w.fence = o.Fence
	if until := w.born.Add(time.Duration(o.ExpiresAtMs) * time.Millisecond); o.ExpiresAtMs > 0 && until.After(w.lease) {
		w.lease = minTime(until, time.Now().Add(longestLease))
		time.AfterFunc(time.Until(w.lease), w.lapse)
	}
	switch path {
	case "/-/run-start":
		return w.start(o)
	case "/-/run-stop":
		w.over[o.Task] = max(w.over[o.Task], o.Attempt)
		if attempt, runs := w.live[o.Task]; runs && attempt <= o.Attempt {
			w.finish(o.Task, attempt, "stopped")
		}
	case "/-/hold":
		return http.StatusOK, w.hold(o)
	}
	return http.StatusOK, map[string]any{}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (w *worker) start(o *order) (int, map[string]any) {
	if attempt, runs := w.live[o.Task]; runs && attempt == o.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if o.Attempt <= w.over[o.Task] {
		return http.StatusConflict, map[string]any{"Reason": "old"}
	}
	if o.ExpiresAtMs <= w.clock() {
		return http.StatusConflict, map[string]any{"Reason": "late"}
	}
	w.live[o.Task] = o.Attempt
	w.checks.begin(o.Task, o.Spec, w)
	if len(w.live)*1000 > workerCores {
		w.checks.violate("%s runs %d tasks", w.id, len(w.live))
	}
	time.AfterFunc(workTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.live[o.Task] == o.Attempt && !w.dead {
			w.finish(o.Task, o.Attempt, "done")
		}
	})
	return http.StatusOK, map[string]any{}
}

// finish lists an end. The caller holds the lock.
func (w *worker) finish(task string, attempt int, how string) {
	delete(w.live, task)
	w.over[task] = max(w.over[task], attempt)
	w.number++
	w.ended = append(w.ended, ending{w.number, task, attempt, how, time.Now()})
	w.checks.end(task, w)
	if how == "done" {
		w.checks.done(task)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || time.Now().Before(w.lease) {
		return
	}
	w.lapsed = time.Now()
	for task, attempt := range w.live {
		w.finish(task, attempt, "lapsed")
	}
}

// hold answers a look. The caller holds the lock, which is given up while it waits.
func (w *worker) hold(o *order) map[string]any {
	for _, e := range w.ended {
		if e.number <= o.AckedUpto && e.how == "done" {
			w.checks.note(e.task, e.at, w.lapsed.After(e.at))
		}
	}
	w.ended = slices.DeleteFunc(w.ended, func(e ending) bool { return e.number <= o.AckedUpto })
	if len(w.ended) == 0 && o.WaitMs > 0 {
		w.mu.Unlock()
		select {
		case <-w.wake:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, attempt := range w.live {
		running = append(running, []any{task, attempt, "", 50, 1000})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return map[string]any{"Running": running, "Ended": ended}
}

// report announces the worker to the control addresses in turn until it has crashed.
func (w *worker) report(controls []string) {
	client := &http.Client{Timeout: reportTimeout}
	for turn := 0; ; turn++ {
		w.mu.Lock()
		dead := w.dead
		w.mu.Unlock()
		if dead {
			return
		}
		body := fmt.Sprintf(`{"Service":"pool","Addr":%q,"Zone":"z","State":"ready","Capacity":{"Cpu":%d,"MemMb":100000,"Gpu":0},"Labels":["a","r1"],"ClockMs":%d,"born":%d}`,
			w.relay.Address(), workerCores, w.clock(), w.born.UnixMilli())
		request, err := http.NewRequest(http.MethodPut, "http://"+controls[turn%len(controls)]+"/-/instances/"+w.id, strings.NewReader(body))
		if err != nil {
			panic(err)
		}
		if answer, err := client.Do(request); err == nil {
			_ = answer.Body.Close() // The status decides nothing here.
		}
		time.Sleep(reportsEvery)
	}
}
