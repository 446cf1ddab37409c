package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// taskModel says how the tasks of a step behave. A zero work time means that they last.
type taskModel struct {
	work  time.Duration
	cpu   int
	mem   int
	label string
}

// world is what all executors know together: the jobs that callers submitted, and which runs
// there are.
type world struct {
	f      *fleet
	mu     sync.Mutex
	jobs   map[string][]taskModel // by job ID, one for each step
	specs  map[string]string
	runs   map[string]map[*executor]int // running attempts by task
	ends   map[string][]string          // how the attempts of a task ended
	began  map[string]time.Time         // first start of any task, by job
	starts map[string]int               // by task
	broken []string
}

func newWorld(f *fleet) *world {
	return &world{f: f, jobs: make(map[string][]taskModel), specs: make(map[string]string), runs: make(map[string]map[*executor]int), ends: make(map[string][]string), began: make(map[string]time.Time), starts: make(map[string]int)}
}

// breaks records a broken rule. The caller holds w.mu.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.f.note("BROKEN %s", text)
}

func (w *world) model(task string) *taskModel {
	parts := strings.Split(task, ".")
	steps := w.jobs[parts[0]]
	var step int
	if len(parts) != 4 {
		return nil
	}
	if _, err := fmt.Sscan(parts[2], &step); err != nil || step >= len(steps) {
		return nil
	}
	return &steps[step]
}

type run struct {
	task    string
	attempt int
	on      *executor
	began   time.Time
	timers  []*time.Timer
	over    bool
}

type endRow struct {
	number, attempt int
	task, how       string
}

// executor is one life of a machine.
type executor struct {
	f                                   *fleet
	id, machine, rack, kind, zone, addr string
	born                                time.Time
	server                              *http.Server
	listener                            net.Listener

	mu        sync.Mutex
	dead      bool
	unhealthy bool // answers starts with 503
	draining  bool
	beatAddr  string
	seq       int
	fence     uint64
	leaseEnd  time.Time
	lastEnd   int
	ended     []endRow
	running   map[string]*run
	highest   map[string]int
	wake      chan struct{}
	cpu, mem  int
}

func (f *fleet) all() []*executor {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.execs)
}

// startExecutor starts a new life of a machine, at a given address or a new one if empty.
func (f *fleet) startExecutor(machine, kind, rack, addr string) *executor {
	return f.startLife(fmt.Sprintf("i-%08x", rand.Uint32()), machine, kind, rack, addr, nil)
}

// startLife starts a new life of a machine under a given ID. An order that was sent to an earlier
// life of that ID and not answered is carried out as it comes up.
func (f *fleet) startLife(id, machine, kind, rack, addr string, late *order) *executor {
	f.mu.Lock()
	f.nextHost++
	if addr == "" {
		addr = fmt.Sprintf("%s.%d:%d", f.net, 20+f.nextHost, f.ports.exec)
	}
	f.mu.Unlock()
	e := &executor{f: f, id: id, machine: machine, rack: rack, kind: kind, zone: "z", addr: addr, born: time.Now(),
		running: make(map[string]*run), highest: make(map[string]int), wake: make(chan struct{}, 1), cpu: 16000, mem: 64000}
	var err error
	for range 50 {
		if e.listener, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fatal("executor: %v", err)
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(e.listener) }()
	f.mu.Lock()
	f.execs = append(f.execs, e)
	f.mu.Unlock()
	f.note("executor %s (machine %s, kind %s) starts at %s", e.id, machine, kind, addr)
	if late != nil {
		f.note("the start of %s run %d, sent to an earlier life of %s, is carried out late", late.Task, late.Attempt, id)
		e.handle("/-/run-start", late)
	}
	go e.beat()
	return e
}

// crash ends the life of an executor: everything on it ends, and nothing is told.
func (e *executor) crash(noted bool) {
	w := e.f.world
	w.mu.Lock()
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		w.mu.Unlock()
		return
	}
	e.dead = true
	var lost []string
	for _, r := range e.running {
		lost = append(lost, fmt.Sprintf("%s run %d", r.task, r.attempt))
		e.drop(r)
	}
	e.mu.Unlock()
	w.mu.Unlock()
	_ = e.server.Close()
	if noted {
		e.f.note("executor %s crashes, with it end: %s", e.id, strings.Join(lost, ", "))
	}
}

func (e *executor) clockMs() int64 { return time.Since(e.born).Milliseconds() + 1000 }

// beat reports the executor to the control addresses, as PROTOCOL.md says.
func (e *executor) beat() {
	for i := 0; ; i++ {
		e.mu.Lock()
		e.seq++
		seq, dead, draining, to := e.seq, e.dead, e.draining, e.beatAddr
		e.mu.Unlock()
		if dead {
			return
		}

		state := "ready"
		if draining {
			state = "draining"
		}
		body := fmt.Sprintf(`{"Service":"pool","Addr":%q,"Zone":%q,"Version":"v1","Slots":8,"State":%q,"ColdLeftMs":0,"Machine":%q,"Capacity":{"Cpu":%d,"MemMb":%d,"Gpu":0},"Labels":[%q,%q],"ClockMs":%d,"Seq":%d,"born":%d}`,
			e.addr, e.zone, state, e.machine, e.cpu, e.mem, e.kind, e.rack, e.clockMs(), seq, e.born.UnixMilli())
		for try := range controlCount + 1 {
			address := e.f.control((i + try) % controlCount)
			if to != "" && try == 0 {
				address = to
			}
			status, answer := call("PUT", address, "", "/-/instances/"+e.id, body)
			if status/100 == 2 {
				var reply struct{ BeatAddr string }
				_ = json.Unmarshal([]byte(answer), &reply)
				to = reply.BeatAddr
				break
			}
			to = ""
		}
		e.mu.Lock()
		e.beatAddr = to
		e.mu.Unlock()

		time.Sleep(heartbeat)
	}
}

type order struct {
	Task        string
	Attempt     int
	Spec        string
	Checkpoint  string
	Fence       uint64
	ExpiresAtMs int64
	AckedUpto   int
	WaitMs      int64
	Percent     int
}

func (e *executor) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Mangohill-Expect-Instance"); id != "" && id != e.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/-/run-start" && e.f.unanswered != nil && e.f.unanswered(e, &o) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, answer := e.handle(r.URL.Path, &o)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	answer["ClockMs"], answer["born"] = e.clockMs(), e.born.UnixMilli()
	data, _ := json.Marshal(answer)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

func (e *executor) handle(path string, o *order) (int, map[string]any) {
	w := e.f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return 0, nil
	}
	if path == "/-/run-start" && e.unhealthy {
		e.f.note("start %s run %d on %s: 503, unhealthy", o.Task, o.Attempt, e.id)
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if o.Fence < e.fence {
		return http.StatusConflict, map[string]any{"Reason": "fence"}
	}
	e.fence = o.Fence
	if o.ExpiresAtMs > 0 {
		until := e.born.Add(time.Duration(o.ExpiresAtMs-1000) * time.Millisecond)
		if limit := time.Now().Add(holdMax); until.After(limit) {
			until = limit
		}
		if until.After(e.leaseEnd) {
			e.leaseEnd = until
			time.AfterFunc(time.Until(until), e.expire)
		}
	}
	switch path {
	case "/-/run-start":
		return e.begin(o)
	case "/-/run-stop":
		if o.Attempt > e.highest[o.Task] {
			e.highest[o.Task] = o.Attempt
		}
		if r := e.running[o.Task]; r != nil && r.attempt <= o.Attempt {
			e.f.note("stop of %s run %d on %s", r.task, r.attempt, e.id)
			r.timers = append(r.timers, time.AfterFunc(stopTime, func() { e.finish(r, "stopped") }))
		}
		return http.StatusOK, map[string]any{}
	case "/-/pace":
		return http.StatusOK, map[string]any{}
	case "/-/hold":
		return e.hold(o)
	}
	return http.StatusNotFound, map[string]any{}
}

// begin carries out a start. The caller holds w.mu and e.mu.
func (e *executor) begin(o *order) (int, map[string]any) {
	w := e.f.world
	if r := e.running[o.Task]; r != nil && r.attempt == o.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if o.Attempt <= e.highest[o.Task] || e.running[o.Task] != nil {
		return http.StatusConflict, map[string]any{"Reason": "old"}
	}
	if o.ExpiresAtMs <= e.clockMs() {
		return http.StatusConflict, map[string]any{"Reason": "late"}
	}
	job, _, _ := strings.Cut(o.Task, ".")
	m := w.model(o.Task)
	if m == nil || o.Spec != w.specs[job] {
		w.breaks("UNASKED %s starts on %s, which no caller sent so", o.Task, e.id)
		return http.StatusBadRequest, map[string]any{}
	}
	if m.label != "" && m.label != e.kind {
		w.breaks("ROUTE %s starts on %s of kind %s", o.Task, e.id, e.kind)
	}
	for other := range w.runs[o.Task] {
		w.breaks("TWICE %s run %d starts on %s while it runs on %s", o.Task, o.Attempt, e.id, other.id)
	}
	e.f.note("start %s run %d on %s (machine %s)", o.Task, o.Attempt, e.id, e.machine)
	r := &run{task: o.Task, attempt: o.Attempt, on: e}
	e.running[o.Task] = r
	if w.runs[o.Task] == nil {
		w.runs[o.Task] = make(map[*executor]int)
	}
	w.runs[o.Task][e] = o.Attempt
	w.starts[o.Task]++
	if w.began[job].IsZero() {
		w.began[job] = time.Now()
	}
	r.began = time.Now()
	if m.work > 0 {
		r.timers = append(r.timers, time.AfterFunc(m.work, func() { e.finish(r, "done") }))
	}
	return http.StatusOK, map[string]any{}
}

// drop forgets a run that is over. The caller holds w.mu and e.mu.
func (e *executor) drop(r *run) {
	r.over = true
	for _, t := range r.timers {
		t.Stop()
	}
	delete(e.running, r.task)
	if r.attempt > e.highest[r.task] {
		e.highest[r.task] = r.attempt
	}
	delete(e.f.world.runs[r.task], e)
}

// finish ends a run and lists its end.
func (e *executor) finish(r *run, how string) {
	w := e.f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.over || e.dead {
		return
	}
	e.list(r, how)
}

// list ends a run and lists its end. The caller holds w.mu and e.mu.
func (e *executor) list(r *run, how string) {
	e.drop(r)
	e.lastEnd++
	e.ended = append(e.ended, endRow{e.lastEnd, r.attempt, r.task, how})
	e.f.world.ends[r.task] = append(e.f.world.ends[r.task], how)
	e.f.note("end %s run %d on %s: %s", r.task, r.attempt, e.id, how)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// expire ends everything once the lease is over.
func (e *executor) expire() {
	w := e.f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead || time.Now().Before(e.leaseEnd) {
		return
	}
	for _, r := range e.running {
		e.list(r, "lapsed")
	}
}

// hold answers a poll. The caller holds w.mu and e.mu, which are released while it waits.
func (e *executor) hold(o *order) (int, map[string]any) {
	w := e.f.world
	e.ended = slices.DeleteFunc(e.ended, func(row endRow) bool { return row.number <= o.AckedUpto })
	if len(e.ended) == 0 && o.WaitMs > 0 {
		e.mu.Unlock()
		w.mu.Unlock()
		select {
		case <-e.wake:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
		e.mu.Lock()
		if e.dead {
			return 0, nil
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.running {
		percent, gauge := 100, 5
		if m := w.model(r.task); m != nil && m.work > 0 {
			percent, gauge = int(min(99, 100*time.Since(r.began)/m.work)), m.cpu
		} else if time.Since(r.began) < 300*time.Millisecond {
			percent = 30
		}
		running = append(running, []any{r.task, r.attempt, "", percent, gauge})
	}
	for _, row := range e.ended[:min(len(e.ended), 500)] {
		ended = append(ended, []any{row.number, row.task, row.attempt, row.how, ""})
	}
	return http.StatusOK, map[string]any{"Running": running, "Ended": ended}
}

// runsOf returns on how many executors a task runs now.
func (w *world) runsOf(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs[task])
}
