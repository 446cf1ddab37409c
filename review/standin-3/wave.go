//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["wave"] = wave }

// machines stands in for the infrastructure's pool of machines.
type machines struct {
	mu     sync.Mutex
	record *record
	launch func(i int) *executor
	of     map[string]*machine
	order  []string
}

type machine struct {
	number  int
	life    *executor
	state   string // up, leaving, upkeep or gone
	done    map[uint64]bool
	fence   uint64
	refused int
}

// list answers GET /-/machines. A machine that has left is not listed.
func (m *machines) list(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []any{}
	for _, name := range m.order {
		x := m.of[name]
		if x.state == "gone" {
			continue
		}
		state := x.state
		if state == "leaving" {
			state = "up"
		}
		rows = append(rows, map[string]any{"Machine": name, "Pool": service, "State": state, "Zone": x.life.zone, "Labels": []string{x.life.kind, x.life.rack},
			"Capacity": map[string]any{"Cpu": x.life.cpu, "MemMb": x.life.mem, "Gpu": 0}, "Id": x.life.id})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Machines": rows, "NextToken": ""})
}

// maintain answers POST /-/machine-upkeep.
func (m *machines) maintain(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string
		Wave    uint64
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	fence, _ := strconv.ParseUint(r.Header.Get("X-Mangohill-Fence-Token"), 10, 64)
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := func(status int, reason string) {
		m.record.add("POST /-/machine-upkeep %s wave %d: %d %s", order.Machine, order.Wave, status, reason)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(map[string]any{"Reason": reason})
	}
	x := m.of[order.Machine]
	switch {
	case x == nil:
		answer(400, "")
		return
	case fence < x.fence:
		answer(409, "fence")
		return
	}
	x.fence = fence
	switch {
	case x.done[order.Wave]:
		answer(200, "")
	case x.state != "up":
		x.refused++
		answer(409, "busy")
	default:
		x.done[order.Wave], x.state = true, "upkeep"
		x.life.crash()
		time.AfterFunc(2*time.Second, func() { // MaintenanceS
			m.mu.Lock()
			defer m.mu.Unlock()
			x.life, x.state = m.launch(x.number), "up"
		})
		answer(200, "")
	}
}

// leave empties a machine and takes it away, as scale_in does.
func (m *machines) leave(name string) {
	m.mu.Lock()
	x := m.of[name]
	x.state = "leaving"
	e := x.life
	m.mu.Unlock()
	m.record.add("machine %s is leaving", name)
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	time.Sleep(3500 * time.Millisecond) // A report, DrainMs and a little longer.
	status, _, err := call("DELETE", fmt.Sprintf("http://%s/-/instances/%s", e.fleet.controls[0], e.id), "", nil, time.Second)
	m.record.add("DELETE /-/instances/%s: %d %v", e.id, status, err)
	e.crash()
	m.mu.Lock()
	x.state = "gone"
	m.mu.Unlock()
	m.record.add("machine %s has left", name)
}

// wave requests the upkeep of two of eight machines, one at once. One of them, drawn by lot, leaves.
// The other one is the only one with the label that the jobs need.
func wave(c *cluster, trouble bool) string {
	l := &ledger{jobs: map[string]*jobEntry{}, width: 1}
	f := &fleet{record: c.record, service: service, started: l.started, over: l.over, kinds: map[string]string{"m0": "b"},
		workTime: func(string, string, uint32) (time.Duration, string) { return 6 * time.Second, "done" }}
	pool := &machines{record: c.record, of: map[string]*machine{}}
	pool.launch = func(i int) *executor {
		return f.launch(fmt.Sprintf("m%d", i), fmt.Sprintf("%s.%d:%d", c.net, 101+i, workerPort), c.zones[i%4], fmt.Sprintf("r%d", i%4), 64000, 256000)
	}
	listener, err := net.Listen("tcp", c.cloud)
	if err != nil {
		cannotRun("the pool of machines: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", pool.list)
	mux.HandleFunc("POST /-/machine-upkeep", pool.maintain)
	go func() { _ = http.Serve(listener, mux) }()
	c.start()
	for _, p := range c.controls {
		f.controls = append(f.controls, fmt.Sprintf("%s:%d", p.ip, controlPort))
	}
	c.waitReady()
	c.putConfig(config(1, route("quick", "/quick/", 0, 3)))
	for i := range 8 {
		name := fmt.Sprintf("m%d", i)
		pool.order = append(pool.order, name)
		pool.of[name] = &machine{number: i, life: pool.launch(i), state: "up", done: map[uint64]bool{}}
	}
	time.Sleep(4 * time.Second)
	drawn := seed()
	c.record.add("seed %d", drawn)
	lot := rand.New(rand.NewPCG(drawn, 0))
	leaving := fmt.Sprintf("m%d", 1+lot.IntN(7))
	submit := func() {
		id := fmt.Sprintf("%016x", lot.Uint64())
		job := map[string]any{"Spec": "quick", "Phases": []any{map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 1000, "EstimateMs": 6000, "RequiredLabel": "b"}}}
		if c.submit("/quick/", id, job) == 200 {
			l.mu.Lock()
			l.of(id).accepted = time.Now()
			l.mu.Unlock()
		}
	}
	for i := range 30 { // A job each second; the wave begins after the sixth.
		submit()
		if i == 5 {
			if trouble {
				go pool.leave(leaving)
			}
			body := map[string]any{"Wave": 1, "Machines": []string{"m0", leaving}, "DeadlineS": 20, "Cap": 1}
			status, data, err := call("POST", fmt.Sprintf("http://%s/-/wave-start", f.controls[0]), "", body, 3*time.Second)
			c.record.add("POST /-/wave-start %v: %d %s %v", body, status, data, err)
			if status != 200 {
				cannotRun("the wave was not accepted: %d %v", status, err)
			}
		}
		time.Sleep(time.Second)
	}
	ended := time.Now()
	c.record.add("the traffic has ended")
	time.Sleep(time.Until(ended.Add(finishS * time.Second)))
	status, data, err := call("GET", fmt.Sprintf("http://%s/-/wave-get/1", f.controls[0]), "", nil, 3*time.Second)
	c.record.add("GET /-/wave-get/1: %d %s %v", status, data, err)
	return c.checkIdle(l, 9*time.Second)
}

// checkIdle looks at the accepted jobs for a while from finish_s after the end of the traffic. LOST is
// broken if one of them has nothing running for 3 s on end.
func (c *cluster) checkIdle(l *ledger, span time.Duration) string {
	from := time.Now()
	idleSince := map[string]time.Time{}
	var stuck []string
	for time.Since(from) < span && len(stuck) == 0 {
		l.mu.Lock()
		for id, j := range l.jobs {
			switch {
			case j.accepted.IsZero() || j.done >= l.width || j.runs > 0:
				delete(idleSince, id)
			case j.lastRun.After(idleSince[id]) || idleSince[id].IsZero():
				idleSince[id] = time.Now()
			case time.Since(idleSince[id]) > 3*time.Second:
				stuck = append(stuck, id)
			}
		}
		l.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
	for n, id := range stuck {
		c.state(n, "/quick/", id)
	}
	if len(stuck) == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: over %d s after the end of the traffic, %d accepted jobs had nothing running for 3 s; the executor that they need is up and has room: %v", finishS, len(stuck), stuck)
}
