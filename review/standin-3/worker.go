//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// run is one run of a task on an executor.
type run struct {
	task     string
	attempt  uint32
	spec     string
	began    time.Time
	stopping bool
	end      *time.Timer
	saved    string
}

// ended is a run that has ended, as it is listed until it is acknowledged.
type ended struct {
	number  uint64
	task    string
	attempt uint32
	how     string
	saved   string
}

// executor is a stand-in for one life of an executor. All it does follows PROTOCOL.md.
type executor struct {
	fleet                      *fleet
	id, machine, address, kind string
	service, zone, rack        string
	cpu, mem                   int64
	born                       int64
	started                    time.Time

	mu      sync.Mutex
	up      bool
	fence   uint64
	expires int64 // on its own clock
	lease   *time.Timer
	running map[string]*run
	closed  map[string]uint32 // the highest run of each task that was stopped or has ended here
	ends    []ended
	nextEnd uint64
	changed chan struct{}
	server  *http.Server
	seq     uint64
	beat    string
	state   string
	// dark is closed once the executor is lost: its channels stay open, and nothing is answered.
	dark chan struct{}
}

// fleet are the executors of a deployment and what they need in common.
type fleet struct {
	record   *record
	controls []string
	service  string
	mu       sync.Mutex
	lives    int
	// workTime returns for how long a task works, zero for ever, and how it ends.
	workTime func(task, spec string, attempt uint32) (time.Duration, string)
	// started and over are told of each run.
	started func(e *executor, r *run)
	over    func(e *executor, r *run, how string)
	// kinds are the labels of machines that are not of kind "a".
	kinds map[string]string
}

func (f *fleet) launch(machine, address, zone, rack string, cpu, mem int64) *executor {
	f.mu.Lock()
	f.lives++
	id := fmt.Sprintf("i-%s-%d", machine, f.lives)
	f.mu.Unlock()
	e := &executor{
		fleet: f, id: id, machine: machine, address: address, kind: "a", service: f.service, zone: zone, rack: rack, cpu: cpu, mem: mem,
		born: time.Now().UnixMilli(), started: time.Now(), up: true, running: map[string]*run{}, closed: map[string]uint32{}, changed: make(chan struct{}), state: "ready",
		dark: make(chan struct{}),
	}
	if kind := f.kinds[machine]; kind != "" {
		e.kind = kind
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("executor %s: %v", id, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", e.handle(e.runStart))
	mux.HandleFunc("POST /-/run-stop", e.handle(e.runStop))
	mux.HandleFunc("POST /-/hold", e.handle(e.hold))
	mux.HandleFunc("POST /-/pace", e.handle(e.pace))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	f.record.add("executor %s up at %s", id, address)
	go e.report()
	return e
}

func (e *executor) clockMs() int64 { return time.Since(e.started).Milliseconds() + 1000 }

type order struct {
	Task        string
	Attempt     uint32
	Spec        string
	ExpiresAtMs int64
	Fence       uint64
	Checkpoint  string
	AckedUpto   uint64
	WaitMs      int64
	Percent     *int
}

// handle decodes an order and checks the lifetime and the fence.
func (e *executor) handle(do func(o *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer := func(status int, body map[string]any) {
			body["ClockMs"], body["born"] = e.clockMs(), e.born
			data, _ := json.Marshal(body)
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_, _ = w.Write(data)
		}
		select {
		case <-e.dark:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			answer(400, map[string]any{})
			return
		}
		if expected := r.Header.Get("X-Mangohill-Expect-Instance"); expected != "" && expected != e.id {
			answer(421, map[string]any{})
			return
		}
		e.mu.Lock()
		if !e.up {
			e.mu.Unlock()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if o.Fence < e.fence {
			e.mu.Unlock()
			answer(409, map[string]any{"Reason": "fence"})
			return
		}
		e.fence = o.Fence
		e.mu.Unlock()
		status, body := do(&o)
		answer(status, body)
	}
}

// grant prolongs the lease. The caller holds e.mu.
func (e *executor) grant(expires int64) {
	if expires <= 0 {
		return
	}
	expires = min(expires, e.clockMs()+10000)
	if expires <= e.expires {
		return
	}
	e.expires = expires
	if e.lease != nil {
		e.lease.Stop()
	}
	e.lease = time.AfterFunc(time.Duration(expires-e.clockMs())*time.Millisecond, e.lapse)
}

func (e *executor) lapse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up && e.clockMs() >= e.expires {
		for _, r := range e.running {
			e.finish(r, "lapsed")
		}
	}
}

// finish ends a run and lists its end. The caller holds e.mu.
func (e *executor) finish(r *run, how string) {
	if e.running[r.task] != r {
		return
	}
	delete(e.running, r.task)
	if r.end != nil {
		r.end.Stop()
	}
	e.nextEnd++
	e.ends = append(e.ends, ended{e.nextEnd, r.task, r.attempt, how, r.saved})
	e.closed[r.task] = max(e.closed[r.task], r.attempt)
	e.fleet.record.add("%s: run %s attempt %d ends %s", e.id, r.task, r.attempt, how)
	if e.fleet.over != nil {
		e.fleet.over(e, r, how)
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) runStart(o *order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.ExpiresAtMs > 0 && o.ExpiresAtMs <= e.clockMs() {
		return 409, map[string]any{"Reason": "late"}
	}
	e.grant(o.ExpiresAtMs)
	if r := e.running[o.Task]; r != nil && r.attempt == o.Attempt {
		return 200, map[string]any{}
	}
	if o.Attempt <= e.closed[o.Task] || e.running[o.Task] != nil {
		return 409, map[string]any{"Reason": "old"}
	}
	r := &run{task: o.Task, attempt: o.Attempt, spec: o.Spec, began: time.Now(), saved: o.Checkpoint}
	e.running[o.Task] = r
	e.fleet.record.add("%s: run %s attempt %d starts (fence %d, expires %d)", e.id, o.Task, o.Attempt, o.Fence, o.ExpiresAtMs)
	if e.fleet.started != nil {
		e.fleet.started(e, r)
	}
	work, how := e.fleet.workTime(o.Task, o.Spec, o.Attempt)
	if work > 0 {
		r.end = time.AfterFunc(work, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.up {
				e.finish(r, how)
			}
		})
	}
	return 200, map[string]any{}
}

func (e *executor) runStop(o *order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed[o.Task] = max(e.closed[o.Task], o.Attempt)
	if r := e.running[o.Task]; r != nil && r.attempt <= o.Attempt && !r.stopping {
		r.stopping = true
		time.AfterFunc(300*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.up {
				e.finish(r, "stopped")
			}
		})
	}
	return 200, map[string]any{}
}

func (e *executor) pace(o *order) (int, map[string]any) { return 200, map[string]any{} }

func (e *executor) hold(o *order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grant(o.ExpiresAtMs)
	for len(e.ends) > 0 && e.ends[0].number <= o.AckedUpto {
		e.fleet.record.add("%s: end %d of %s attempt %d acknowledged", e.id, e.ends[0].number, e.ends[0].task, e.ends[0].attempt)
		e.ends = e.ends[1:]
	}
	if wait := min(o.WaitMs, 2000); len(e.ends) == 0 && wait > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		e.mu.Lock()
	}
	if !e.up {
		e.mu.Unlock()
		<-e.dark
		time.Sleep(20 * time.Second)
		e.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	rows, ends := [][]any{}, [][]any{}
	var tasks []string
	for task := range e.running {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		r := e.running[task]
		percent := 100
		if r.end != nil {
			percent = 50
		} else if time.Since(r.began) < 500*time.Millisecond {
			percent = 0
		}
		rows = append(rows, []any{task, r.attempt, r.saved, percent, 0})
	}
	for i, end := range e.ends {
		if i == 500 {
			break
		}
		ends = append(ends, []any{end.number, end.task, end.attempt, end.how, end.saved})
	}
	return 200, map[string]any{"Running": rows, "Ended": ends}
}

// crash ends the life without notice: what runs ends, and its channels are reset.
func (e *executor) crash() {
	e.lose()
	_ = e.server.Close()
}

// lose ends the life without notice, as a loss of the machine does: what runs ends, and nothing
// is answered any more, not even with a reset.
func (e *executor) lose() {
	e.mu.Lock()
	e.up = false
	if e.lease != nil {
		e.lease.Stop()
	}
	for _, r := range e.running {
		if r.end != nil {
			r.end.Stop()
		}
		e.fleet.record.add("%s: run %s attempt %d is lost in the crash", e.id, r.task, r.attempt)
		if e.fleet.over != nil {
			e.fleet.over(e, r, "crash")
		}
	}
	e.running = map[string]*run{}
	close(e.dark)
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
	e.fleet.record.add("executor %s is lost", e.id)
}

// report sends the liveness reports.
func (e *executor) report() {
	next := 0
	for {
		e.mu.Lock()
		up := e.up
		if !up {
			e.mu.Unlock()
			return
		}
		e.seq++
		body := map[string]any{
			"Service": e.service, "Addr": e.address, "Zone": e.zone, "Version": "v1", "Slots": 8, "State": e.state, "ColdLeftMs": 0,
			"Capacity": map[string]any{"Cpu": e.cpu, "MemMb": e.mem, "Gpu": 0}, "Labels": []string{e.kind, e.rack}, "ClockMs": e.clockMs(), "Seq": e.seq, "born": e.born,
		}
		to := e.beat
		e.mu.Unlock()
		if to == "" {
			to = e.fleet.controls[next%len(e.fleet.controls)]
			next++
		}
		status, data, err := call("PUT", "http://"+to+"/-/instances/"+e.id, "", body, time.Second)
		if err != nil || status/100 != 2 {
			e.mu.Lock()
			e.beat = ""
			e.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var reply struct{ BeatAddr string }
		_ = json.Unmarshal(data, &reply)
		e.mu.Lock()
		e.beat = strings.TrimSpace(reply.BeatAddr)
		e.mu.Unlock()
		time.Sleep(1100 * time.Millisecond)
	}
}
