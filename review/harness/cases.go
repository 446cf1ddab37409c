package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// nineOthers starts the executors of the usual kind: a tenth is a share of 0.1 of them.
func (f *fleet) nineOthers() {
	for i := range 9 {
		f.startExecutor(fmt.Sprintf("m-%d", i+1), "a", fmt.Sprintf("r-%d", i%2), "")
	}
}

const taskJSON = `"Cpu":1000,"MemMb":500,"EstimateMs":500`

// crashLoop: the only executor of a kind crashes and comes back a few times. A job that lasts
// must be restarted however it ends.
func crashLoop(f *fleet, trouble bool) bool {
	f.startSystem()
	f.nineOthers()
	special := f.startExecutor("m-10", "b", "r-1", "")
	f.settle()
	const id = "00000000000000b1"
	task := id + ".0.0.0"
	f.world.mu.Lock()
	f.world.specs[id] = "watch"
	f.world.jobs[id] = []taskModel{{cpu: 1000, mem: 500, label: "b"}}
	f.world.mu.Unlock()
	if !f.submit("/w/", id, `{"Spec":"watch","Phases":[{"Count":1,`+taskJSON+`,"RequiredLabel":"b","Perpetual":true}]}`) {
		fatal("the job was not accepted")
	}
	runs := func(timeout time.Duration) bool {
		for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			if f.world.runsOf(task) > 0 {
				return true
			}
		}
		return false
	}
	if !runs(5 * time.Second) {
		fatal("the task did not start")
	}
	for crash := 1; crash <= 5; crash++ {
		time.Sleep(4 * time.Second)
		if !trouble {
			continue
		}
		special.crash(true)
		time.Sleep(2 * time.Second)
		special = f.startExecutor("m-10", "b", "r-1", special.addr)
		if !runs(14*time.Second) && strings.Contains(f.state(0, "/w/", id), "failed") {
			break
		}
	}
	time.Sleep(10 * time.Second) // No impairment any more.
	failed := false
	for entry := range entryCount {
		failed = failed || strings.Contains(f.state(entry, "/w/", id), `"failed"`)
	}
	f.world.mu.Lock()
	ends, starts := f.world.ends[task], f.world.starts[task]
	f.world.mu.Unlock()
	f.note("task %s: %d starts, ends listed by executors: %v, runs now: %d", task, starts, ends, f.world.runsOf(task))
	for _, how := range ends {
		if how == "failed" {
			fatal("the task failed by itself")
		}
	}
	return !failed
}

// twoCrashes: two executors crash one after the other and come back. The lasting tasks that were on
// both must run again within the bounds of LOST, since the other executors have room for all.
func twoCrashes(f *fleet, trouble bool) bool {
	f.startSystem()
	machines := make(map[string]*executor)
	for i := range 10 {
		name := fmt.Sprintf("m-%d", i+1)
		machines[name] = f.startExecutor(name, "a", fmt.Sprintf("r-%d", i%2), "")
	}
	f.settle()
	const id, count = "00000000000000d1", 6
	f.world.mu.Lock()
	f.world.specs[id] = "watch"
	f.world.jobs[id] = []taskModel{{cpu: 1000, mem: 500}}
	f.world.mu.Unlock()
	if !f.submit("/w/", id, fmt.Sprintf(`{"Spec":"watch","Phases":[{"Count":%d,%s,"Perpetual":true}]}`, count, taskJSON)) {
		fatal("the job was not accepted")
	}
	busiest := func() string {
		most, best := -1, ""
		for name, e := range machines {
			e.mu.Lock()
			n := len(e.running)
			e.mu.Unlock()
			if n > most {
				most, best = n, name
			}
		}
		f.note("machine %s runs %d tasks, the most", best, most)
		return best
	}
	for range 2 {
		time.Sleep(5 * time.Second)
		name := busiest()
		if !trouble {
			continue
		}
		machines[name].crash(true)
		time.Sleep(2 * time.Second)
		machines[name] = f.startExecutor(name, "a", machines[name].rack, machines[name].addr)
	}
	calm := time.Now()
	var idle [count]time.Time
	held := true
	for time.Since(calm) < 45*time.Second {
		for i := range count {
			task := fmt.Sprintf("%s.0.0.%d", id, i)
			now := time.Now()
			switch {
			case f.world.runsOf(task) > 0:
				idle[i] = time.Time{}
			case idle[i].IsZero():
				idle[i] = now
			}
			// All were lost 2 s before calm: from 4 s on, they are 6 s after their last run.
			since := calm.Add(4 * time.Second)
			if !idle[i].IsZero() && idle[i].Before(since) && now.Sub(since) > 3*time.Second {
				if held {
					f.note("task %s does not run for 3 s, from 6 s after its last run on, with 4 s of calm before", task)
				}
				held = false
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	for i := range count {
		f.note("task %d runs on %d executors at the end", i, f.world.runsOf(fmt.Sprintf("%s.0.0.%d", id, i)))
	}
	return held
}

// waiting: the only executor of a kind is unhealthy for 6.5 s and refuses all starts. The jobs that
// need it have not begun, and must be counted as waiting.
func waiting(f *fleet, trouble bool) bool {
	f.startSystem()
	f.nineOthers()
	special := f.startExecutor("m-10", "b", "r-1", "")
	f.settle()
	set := func(unhealthy bool) {
		special.mu.Lock()
		special.unhealthy = unhealthy
		special.mu.Unlock()
		f.note("executor %s unhealthy: %t", special.id, unhealthy)
	}
	if trouble {
		set(true)
		time.AfterFunc(6500*time.Millisecond, func() { set(false) })
	}
	accepted := make(map[string]time.Time)
	for i := range 6 {
		id := fmt.Sprintf("00000000000000c%d", i)
		f.world.mu.Lock()
		f.world.specs[id] = "job"
		f.world.jobs[id] = []taskModel{{work: 500 * time.Millisecond, cpu: 1000, mem: 500, label: "b"}}
		f.world.mu.Unlock()
		if !f.submit("/q/", id, `{"Spec":"job","Phases":[{"Count":1,`+taskJSON+`,"RequiredLabel":"b"}]}`) {
			fatal("a job was not accepted")
		}
		accepted[id] = time.Now()
	}
	held := true
	for end := time.Now().Add(6200 * time.Millisecond); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for entry := range entryCount {
			asked := time.Now()
			status, body := call("GET", f.front(entry), "jobs.example", "/q/", "")
			var reply struct{ Waiting int }
			if status != http.StatusOK || json.Unmarshal([]byte(body), &reply) != nil {
				f.note("caller GET /q/ at entry %d: %d %s", entry, status, body)
				continue
			}
			unbegun := 0
			f.world.mu.Lock()
			for id, at := range accepted {
				if f.world.began[id].IsZero() && asked.Sub(at) > (visibleMs+2000)*time.Millisecond {
					unbegun++
				}
			}
			f.world.mu.Unlock()
			f.note("caller GET /q/ at entry %d: %d %s; %d jobs that were accepted over visible_ms + 2 s before haven't begun", entry, status, body, unbegun)
			if 2*reply.Waiting < unbegun {
				held = false
			}
		}
	}
	return held
}

// wave: between two waves of upkeep a machine is replaced by a new one, which the second wave names.
func wave(f *fleet, trouble bool) bool {
	f.startCloud()
	f.startSystem()
	c := f.cloud
	var machines []*machine
	for i := range 16 { // One of them is a share of 0.0625.
		machines = append(machines, c.add(fmt.Sprintf("m-%d", i+1), "a", fmt.Sprintf("r-%d", i%2)))
	}
	f.settle()
	f.wave(1, 1, []string{"m-1", "m-2"})
	if !f.awaitWave(1, 30*time.Second) {
		fatal("the first wave was not completed")
	}
	time.Sleep(4 * time.Second)
	names := []string{"m-3", "m-16"}
	if trouble {
		// Notice, gone after 2 s, another machine 4 s later.
		gone := machines[15]
		gone.executor.mu.Lock()
		gone.executor.draining = true
		gone.executor.mu.Unlock()
		f.note("executor %s is told to leave", gone.executor.id)
		time.Sleep(2 * time.Second)
		c.remove(gone)
		time.Sleep(4 * time.Second)
		c.add("m-17", "a", "r-0")
		names[1] = "m-17"
	}
	time.Sleep(5 * time.Second) // The new executor has reported itself several times.
	f.wave(2, 1, names)
	completed := f.awaitWave(2, 30*time.Second)
	held := true
	for _, name := range names {
		begun := c.hasBegun(name, 2)
		f.note("wave 2 completed: %t; upkeep of %s has begun: %t", completed, name, begun)
		if completed && !begun {
			held = false
		}
	}
	if !completed {
		fatal("the second wave was not completed")
	}
	return held
}
