package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// machine is a machine of the pool. Its executor is nil while it is in upkeep or gone.
type machine struct {
	name, kind, rack, state string
	executor                *executor
	waves                   []uint64 // waves for which its upkeep has begun
}

// cloud is the infrastructure's list of machines and its orders, as PROTOCOL.md says.
type cloud struct {
	f        *fleet
	addr     string
	mu       sync.Mutex
	machines []*machine
	fences   map[string]uint64
}

func (f *fleet) startCloud() {
	l, err := net.Listen("tcp", f.net+".9:0")
	if err != nil {
		fatal("%v", err)
	}
	f.cloud = &cloud{f: f, addr: l.Addr().String(), fences: make(map[string]uint64)}
	go func() { _ = http.Serve(l, f.cloud) }()
}

// add puts a machine with an executor into the pool.
func (c *cloud) add(name, kind, rack string) *machine {
	m := &machine{name: name, kind: kind, rack: rack, state: "up"}
	m.executor = c.f.startExecutor(name, kind, rack, "")
	c.mu.Lock()
	c.machines = append(c.machines, m)
	c.mu.Unlock()
	c.f.note("machine %s is in the pool", name)
	return m
}

// remove takes a machine away for good.
func (c *cloud) remove(m *machine) {
	c.mu.Lock()
	c.machines = slices.DeleteFunc(c.machines, func(other *machine) bool { return other == m })
	c.mu.Unlock()
	m.executor.crash(true)
	c.f.note("machine %s is gone", m.name)
}

func (c *cloud) hasBegun(name string, wave uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.name == name {
			return slices.Contains(m.waves, wave)
		}
	}
	return false
}

func (c *cloud) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	status, answer := c.handle(r)
	data, _ := json.Marshal(answer)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

func (c *cloud) handle(r *http.Request) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Method == http.MethodGet {
		rows := []map[string]any{}
		for _, m := range c.machines {
			row := map[string]any{"Machine": m.name, "Pool": "pool", "State": m.state, "Zone": "z", "Labels": []string{m.kind, m.rack}, "Capacity": map[string]int{"Cpu": 16000, "MemMb": 64000, "Gpu": 0}}
			if m.state == "up" {
				row["Id"] = m.executor.id
			}
			rows = append(rows, row)
		}
		return http.StatusOK, map[string]any{"Machines": rows, "NextToken": ""}
	}
	var o struct {
		Machine string
		Wave    uint64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return http.StatusBadRequest, nil
	}
	at := slices.IndexFunc(c.machines, func(m *machine) bool { return m.name == o.Machine })
	if at < 0 {
		return http.StatusBadRequest, nil
	}
	m := c.machines[at]
	fence, _ := strconv.ParseUint(r.Header.Get("X-Mangohill-Fence-Token"), 10, 64)
	if fence < c.fences[m.name] {
		return http.StatusConflict, map[string]string{"Reason": "fence"}
	}
	c.fences[m.name] = fence
	if slices.Contains(m.waves, o.Wave) {
		return http.StatusOK, map[string]string{}
	}
	if m.state != "up" {
		return http.StatusConflict, map[string]string{"Reason": "busy"}
	}
	c.f.note("upkeep of machine %s for wave %d begins, ordered by %s", m.name, o.Wave, r.Header.Get("X-Mangohill-Duty-Holder"))
	m.waves, m.state = append(m.waves, o.Wave), "upkeep"
	go m.executor.crash(true)
	time.AfterFunc(upkeepTime, func() {
		next := c.f.startExecutor(m.name, m.kind, m.rack, "")
		c.mu.Lock()
		m.executor, m.state = next, "up"
		c.mu.Unlock()
	})
	return http.StatusOK, map[string]string{}
}

// wave asks for the upkeep of machines.
func (f *fleet) wave(id uint64, limit int, names []string) {
	list, _ := json.Marshal(names)
	f.note("operator asks for wave %d: %s, %d at once", id, list, limit)
	f.operate("POST", "/-/wave-start", fmt.Sprintf(`{"Wave":%d,"Machines":%s,"DeadlineS":20,"Cap":%d}`, id, list, limit))
}

// awaitWave polls a wave until it is said to be completed.
func (f *fleet) awaitWave(id uint64, timeout time.Duration) bool {
	last := ""
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for i := range controlCount {
			status, body := call("GET", f.control(i), "", fmt.Sprintf("/-/wave-get/%d", id), "")
			if text := fmt.Sprintf("%d %s", status, body); text != last {
				f.note("operator GET /-/wave-get/%d: %s", id, text)
				last = text
			}
			var reply struct{ State string }
			if status == http.StatusOK && json.Unmarshal([]byte(body), &reply) == nil && reply.State == "completed" {
				return true
			}
		}
	}
	return false
}
