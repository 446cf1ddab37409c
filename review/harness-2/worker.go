package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds that the pages set for an executor.
const (
	holdMax   = 10 * time.Second
	stopTime  = 200 * time.Millisecond // At most StopMs, 900 ms.
	beatEvery = 1100 * time.Millisecond
	startup   = 300 * time.Millisecond // After it a task that lasts is at work.
)

// event is a line that a worker writes to standard output.
type event struct {
	AtMs    int64
	Worker  string
	Born    int64
	What    string // up, start, refused, unanswered, pace, end
	Task    string
	Attempt uint32
	How     string
	Fence   uint64
}

// run is a task at work. A run of length zero lasts until it is stopped. Its Spec tells what
// it does: "run=LENGTH_MS serve" or "run=LENGTH_MS cpu=THOUSANDTHS".
type run struct {
	task           string
	attempt        uint32
	since          time.Time
	length, worked time.Duration
	serves         bool
	cpu            int
	pace           int
}

// newRun returns a run that begins now.
func newRun(o order) *run {
	x := &run{task: o.Task, attempt: o.Attempt, since: time.Now(), pace: 100}
	for _, field := range strings.Fields(o.Spec) {
		key, value, _ := strings.Cut(field, "=")
		n, _ := strconv.Atoi(value)
		switch key {
		case "run":
			x.length = time.Duration(n) * time.Millisecond
		case "cpu":
			x.cpu = n
		case "serve":
			x.serves = true
		}
	}
	return x
}

type ended struct {
	number  uint64
	task    string
	attempt uint32
	how     string
}

// worker is one life of an executor, as PROTOCOL.md describes it.
type worker struct {
	id, addr, service, zone string
	labels                  []string
	cpu, mem                int64
	born                    int64
	startedAt               time.Time

	mu       sync.Mutex
	fence    uint64
	lease    time.Time
	running  []*run
	ends     []ended
	lastEnd  uint64
	over     map[string]uint32 // by task, the highest run that was stopped or has ended
	shedding bool
	tail     int           // of the tasks that serve, in milliseconds
	mute     string        // starts of the tasks of this job stay without an answer
	changed  chan struct{} // closed at the next end
	out      *json.Encoder
	outMu    sync.Mutex
}

func runWorker(args []string) {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{startedAt: time.Now(), over: map[string]uint32{}, changed: make(chan struct{}), tail: 20, out: json.NewEncoder(os.Stdout)}
	f.StringVar(&w.id, "id", "", "")
	f.StringVar(&w.addr, "addr", "", "")
	f.StringVar(&w.service, "service", "", "")
	f.StringVar(&w.zone, "zone", "", "")
	f.Int64Var(&w.cpu, "cpu", 64000, "")
	f.Int64Var(&w.mem, "mem", 256000, "")
	f.StringVar(&w.mute, "mute", "", "")
	labels := f.String("labels", "a,r1", "")
	controls := f.String("controls", "", "")
	_ = f.Parse(args)
	w.labels = strings.Split(*labels, ",")
	w.born = w.startedAt.UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.start)
	mux.HandleFunc("POST /-/run-stop", w.stop)
	mux.HandleFunc("POST /-/hold", w.hold)
	mux.HandleFunc("POST /-/pace", w.pace)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	go func() {
		err := http.ListenAndServe(w.addr, mux)
		fmt.Fprintln(os.Stderr, w.id, err)
		os.Exit(exitNotRun)
	}()
	w.emit(event{What: "up"})
	go w.advance()
	go w.readCommands()
	w.beat(strings.Split(*controls, ","))
}

// readCommands takes commands of the driver; the worker ends with its input.
func (w *worker) readCommands() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		w.mu.Lock()
		switch command, value, _ := strings.Cut(lines.Text(), " "); command {
		case "shed":
			w.shedding = true
		case "sound":
			w.shedding = false
		case "mute":
			w.mute = value
		case "tail":
			w.tail, _ = strconv.Atoi(value)
		}
		w.mu.Unlock()
	}
	os.Exit(0)
}

func (w *worker) emit(e event) {
	e.AtMs, e.Worker, e.Born = time.Now().UnixMilli(), w.id, w.born
	w.outMu.Lock()
	defer w.outMu.Unlock()
	_ = w.out.Encode(e) // The driver may have ended.
}

// clock is the worker's steady clock.
func (w *worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() + 1000 }

type order struct {
	Task        string
	Attempt     uint32
	Spec        string
	ExpiresAtMs int64
	Fence       uint64
	AckedUpto   uint64
	WaitMs      int64
	Percent     int
}

// accept reads an order. It answers orders that are not for this life, or of a holder that
// another one has replaced. It returns with w.mu held if ok.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if want := r.Header.Get("X-Mangohill-Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	w.mu.Lock()
	if o.Fence < w.fence {
		w.refuse(rw, "fence")
		w.mu.Unlock()
		return o, false
	}
	w.fence = o.Fence
	return o, true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	w.answer(rw, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason})
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data) // The caller may have gone.
}

// extend takes the lease of an order: never shorter than before, at most holdMax from now.
func (w *worker) extend(expiresMs int64) {
	if expiresMs == 0 {
		return
	}
	until := w.startedAt.Add(time.Duration(expiresMs-1000) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	shedding := w.shedding
	w.mu.Unlock()
	if shedding { // Unhealthy: it has done nothing.
		w.emit(event{What: "refused"})
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	if w.mute != "" && strings.HasPrefix(o.Task, w.mute+".") {
		w.emit(event{What: "unanswered", Task: o.Task, Attempt: o.Attempt})
		w.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // Ends the channel without an answer.
	}
	defer w.mu.Unlock()
	known := slices.ContainsFunc(w.running, func(x *run) bool { return x.task == o.Task && x.attempt == o.Attempt })
	switch {
	case known:
		w.extend(o.ExpiresAtMs)
	case o.Attempt <= w.over[o.Task]:
		w.extend(o.ExpiresAtMs)
		w.refuse(rw, "old")
		return
	case o.ExpiresAtMs <= w.clock():
		w.refuse(rw, "late")
		return
	default:
		w.extend(o.ExpiresAtMs)
		w.running = append(w.running, newRun(o))
		w.emit(event{What: "start", Task: o.Task, Attempt: o.Attempt, Fence: o.Fence})
	}
	w.answer(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.over[o.Task] = max(w.over[o.Task], o.Attempt)
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(func(x *run) bool { return x.task == o.Task && x.attempt <= o.Attempt }, "stopped")
	})
	w.answer(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	for _, x := range w.running {
		if x.task == o.Task && x.attempt == o.Attempt && x.pace != o.Percent {
			x.pace = o.Percent
			w.emit(event{What: "pace", Task: o.Task, Attempt: o.Attempt, How: fmt.Sprintf("%d%%", o.Percent)})
		}
	}
	w.answer(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

// end ends the runs that match. The caller holds w.mu.
func (w *worker) end(matches func(*run) bool, how string) {
	w.running = slices.DeleteFunc(w.running, func(x *run) bool {
		if !matches(x) {
			return false
		}
		w.lastEnd++
		w.ends = append(w.ends, ended{w.lastEnd, x.task, x.attempt, how})
		w.over[x.task] = max(w.over[x.task], x.attempt)
		w.emit(event{What: "end", Task: x.task, Attempt: x.attempt, How: how})
		close(w.changed)
		w.changed = make(chan struct{})
		return true
	})
}

// advance ends the runs that are done, and all of them when the lease is over.
func (w *worker) advance() {
	last := time.Now()
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		now := time.Now()
		for _, x := range w.running {
			x.worked += now.Sub(last) * time.Duration(x.pace) / 100
		}
		last = now
		w.end(func(x *run) bool { return x.length > 0 && x.worked >= x.length }, "done")
		if now.After(w.lease) {
			w.end(func(*run) bool { return true }, "lapsed")
		}
		w.mu.Unlock()
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.extend(o.ExpiresAtMs)
	w.ends = slices.DeleteFunc(w.ends, func(e ended) bool { return e.number <= o.AckedUpto })
	timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := o.WaitMs > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	runningRows, endRows := [][]any{}, [][]any{}
	for _, x := range w.running {
		percent := 0
		switch {
		case x.length > 0:
			percent = min(int(100*x.worked/x.length), 99)
		case time.Since(x.since) > startup:
			percent = 100
		}
		gauge := x.cpu * x.pace / 100
		if x.serves {
			gauge = w.tail
		}
		runningRows = append(runningRows, []any{x.task, x.attempt, "", percent, gauge})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		endRows = append(endRows, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	w.answer(rw, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born, "Running": runningRows, "Ended": endRows})
}

// beat reports to the system for as long as the process lives.
func (w *worker) beat(controls []string) {
	client := &http.Client{Timeout: time.Second}
	next, at := "", int(w.born)%len(controls)
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"Service": w.service, "Addr": w.addr, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
			"Capacity": map[string]any{"Cpu": w.cpu, "MemMb": w.mem, "Gpu": 0}, "Labels": w.labels, "ClockMs": w.clock(), "Seq": seq, "born": w.born,
			"Machine": "m-" + w.id,
		})
		for range 2 * len(controls) {
			address := next
			if address == "" {
				address = controls[at%len(controls)]
				at++
			}
			if next = w.report(client, address, body); next != "" {
				break
			}
		}
		time.Sleep(beatEvery)
	}
}

// report sends one liveness report and returns the address for the next one, empty if it
// was not acknowledged.
func (w *worker) report(client *http.Client, address string, body []byte) string {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+address+"/-/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return ""
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var reply struct{ BeatAddr string }
	data, _ := io.ReadAll(response.Body)
	if response.StatusCode/100 != 2 {
		return ""
	}
	if json.Unmarshal(data, &reply) == nil && reply.BeatAddr != "" {
		return reply.BeatAddr
	}
	return address
}
