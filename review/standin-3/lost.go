//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["waiting"] = func(c *cluster, trouble bool) string { return lostExecutor(c, trouble, true) }
	cases["stuck"] = func(c *cluster, trouble bool) string { return lostExecutor(c, trouble, false) }
}

// seed returns SEED, or another number if it is not set.
func seed() uint64 {
	if s, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return s
	}
	return uint64(time.Now().UnixNano())
}

// ledger knows of each job when it was accepted, when its first task began, which runs it has, and
// when the last of them ended.
type ledger struct {
	mu   sync.Mutex
	jobs map[string]*jobEntry
	// width is the number of tasks of each job.
	width int
}

type jobEntry struct {
	accepted, begun, lastRun time.Time
	runs, done               int
}

func (l *ledger) of(task string) *jobEntry {
	id, _, _ := strings.Cut(task, ".")
	if l.jobs[id] == nil {
		l.jobs[id] = &jobEntry{}
	}
	return l.jobs[id]
}

func (l *ledger) started(_ *executor, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.of(r.task)
	if j.begun.IsZero() {
		j.begun = time.Now()
	}
	j.runs++
}

func (l *ledger) over(_ *executor, r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.of(r.task)
	j.runs--
	j.lastRun = time.Now()
	if how == "done" {
		j.done++
	}
}

// Bounds of the users' pages.
const (
	visibleMs = 3000
	finishS   = 14

	// tasksAtOnce is the number of tasks that are handed in each half second, in one job or in
	// several.
	tasksAtOnce = 16
)

// lostExecutor hands in 16 short tasks each half second for 15 s. After 12 s one of eight executors,
// drawn by lot, is lost for good.
func lostExecutor(c *cluster, trouble, askWaiting bool) string {
	c.start()
	l := &ledger{jobs: map[string]*jobEntry{}, width: tasksAtOnce}
	if askWaiting {
		l.width = 1
	}
	f := &fleet{record: c.record, service: service, started: l.started, over: l.over, workTime: func(string, string, uint32) (time.Duration, string) { return 300 * time.Millisecond, "done" }}
	for _, p := range c.controls {
		f.controls = append(f.controls, fmt.Sprintf("%s:%d", p.ip, controlPort))
	}
	c.waitReady()
	c.putConfig(config(1, route("quick", "/quick/", 0, 3)))
	const count = 8
	executors := make([]*executor, count)
	for i := range executors {
		executors[i] = f.launch(fmt.Sprintf("m%d", i), fmt.Sprintf("%s.%d:%d", c.net, 101+i, workerPort), c.zones[i%4], fmt.Sprintf("r%d", i%4), 64000, 256000)
	}
	time.Sleep(4 * time.Second)
	drawn := seed()
	lot := rand.New(rand.NewPCG(drawn, 0))
	victim := executors[lot.IntN(count)]
	c.record.add("seed %d", drawn)
	var handIns sync.WaitGroup
	begin := time.Now()
	lost := false
	for i := 0; time.Since(begin) < 15*time.Second; i++ {
		if trouble && !lost && time.Since(begin) >= 12*time.Second {
			lost = true
			victim.lose()
		}
		for range tasksAtOnce / l.width {
			id := fmt.Sprintf("%016x", lot.Uint64())
			handIns.Go(func() {
				job := map[string]any{"Spec": "quick", "Phases": []any{map[string]any{"Count": l.width, "Cpu": 7000, "MemMb": 13000, "EstimateMs": 300, "Fills": true, "Image": "plan"}}}
				if c.submit("/quick/", id, job) == 200 {
					l.mu.Lock()
					l.of(id).accepted = time.Now()
					l.mu.Unlock()
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	handIns.Wait()
	ended := time.Now()
	c.record.add("the traffic has ended")
	if askWaiting {
		return c.checkWaiting(l, ended)
	}
	return c.checkStuck(l, ended)
}

// checkWaiting asks for the number of waiting jobs at each entry process, none of which anything
// has happened to. MIXED is broken if it is under half of the jobs that were accepted over
// visible_ms + 2 s before and have not begun.
func (c *cluster) checkWaiting(l *ledger, ended time.Time) string {
	for i := 0; time.Since(ended) < 20*time.Second; i++ {
		asked := time.Now()
		p := c.entries[i%len(c.entries)]
		status, data, err := call("GET", fmt.Sprintf("http://%s:%d/quick/", p.ip, frontPort), host, nil, 3*time.Second)
		var reply struct{ Waiting *int }
		if err == nil && status == 200 {
			err = json.Unmarshal(data, &reply)
		}
		if err != nil || status != 200 || reply.Waiting == nil {
			c.record.add("GET /quick/ at %s: %d %s %v", p.name, status, data, err)
			continue
		}
		var waiting []string
		l.mu.Lock()
		for id, j := range l.jobs {
			if !j.accepted.IsZero() && asked.Sub(j.accepted) > (visibleMs+2000)*time.Millisecond && j.begun.IsZero() {
				waiting = append(waiting, id)
			}
		}
		l.mu.Unlock()
		c.record.add("GET /quick/ at %s: %s; accepted over 5 s before and not begun: %d %v", p.name, data, len(waiting), waiting)
		if 2**reply.Waiting < len(waiting) {
			return fmt.Sprintf("MIXED: %s gives %d jobs as waiting; %d were accepted over 5 s before, and no executor has begun a task of them", p.name, *reply.Waiting, len(waiting))
		}
		time.Sleep(250 * time.Millisecond)
	}
	return ""
}

// checkStuck asks for the jobs finish_s after the end of the traffic. LOST is broken if for 3 s
// from then on an accepted job has nothing running, though its task is due; the executors that are
// left are all but idle by then.
func (c *cluster) checkStuck(l *ledger, ended time.Time) string {
	time.Sleep(time.Until(ended.Add(finishS * time.Second)))
	from := time.Now()
	var open []string
	l.mu.Lock()
	for id, j := range l.jobs {
		if !j.accepted.IsZero() && j.done < l.width {
			open = append(open, id)
		}
	}
	l.mu.Unlock()
	c.record.add("%d s after the end of the traffic %d accepted jobs are not done: %v", finishS, len(open), open)
	idle := map[string]bool{}
	for _, id := range open {
		idle[id] = true
	}
	for i := 0; time.Since(from) < 3200*time.Millisecond; i++ {
		l.mu.Lock()
		running := 0
		for _, j := range l.jobs {
			running += max(j.runs, 0)
		}
		for _, id := range open {
			if j := l.jobs[id]; j.runs > 0 || j.done >= l.width || j.lastRun.After(from) {
				idle[id] = false
			}
		}
		l.mu.Unlock()
		if i%10 == 0 {
			c.record.add("%d tasks run on all executors", running)
			for n, id := range open {
				c.state(n, "/quick/", id)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	var stuck []string
	for id, is := range idle {
		if is {
			stuck = append(stuck, id)
		}
	}
	if len(stuck) == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: for 3 s from %d s after the end of the traffic, %d accepted jobs had nothing running beside idle executors: %v", finishS, len(stuck), stuck)
}
