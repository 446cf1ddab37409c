package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memoryKB returns the resident memory of a process.
func memoryKB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // It has ended.
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			return n
		}
	}
	return 0
}

// watchMemory ends processes that take more than MemoryMb, as the platform does, and starts them
// again after a short delay. It counts the ends by address.
func (f *fleet) watchMemory(ends map[string]int, mu *sync.Mutex, done <-chan struct{}) {
	largest := int64(0)
	for {
		select {
		case <-done:
			f.note("the largest process took %d kB", largest)
			return
		case <-time.After(200 * time.Millisecond):
		}
		for _, p := range f.processes {
			kb := memoryKB(p.command.Process.Pid)
			largest = max(largest, kb)
			if kb <= memoryMb<<10 {
				continue
			}
			mu.Lock()
			ends[p.ip]++
			f.note("process %s %s takes %d kB, over MemoryMb: it is killed, for the %d. time", p.role, p.ip, kb, ends[p.ip])
			mu.Unlock()
			p.kill()
			time.Sleep(300 * time.Millisecond)
			f.start(p, false)
		}
	}
}

// schedules: requesters hand in jobs that repeat each minute for two weeks, two a second, and some
// small jobs. No process may end by itself three times on half of the core.
func schedules(f *fleet, trouble bool) bool {
	repeats := 20000 // Each minute for two weeks.
	if !trouble {
		repeats = 20
	}
	f.startSystem()
	for i := range 10 {
		f.startExecutor(fmt.Sprintf("m-%d", i+1), "a", fmt.Sprintf("r-%d", i%2), "")
	}
	f.settle()
	var mu sync.Mutex
	ends, done := make(map[string]int), make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { f.watchMemory(ends, &mu, done) })
	const model = 300 * time.Millisecond
	job := func(id, more string) bool {
		f.world.mu.Lock()
		f.world.specs[id] = "job"
		f.world.jobs[id] = []taskModel{{work: model, cpu: 1000, mem: 500}}
		f.world.mu.Unlock()
		return f.submit("/q/", id, `{"Spec":"job","Phases":[{"Count":1,`+taskJSON+`}]`+more+`}`)
	}
	var callers sync.WaitGroup
	first := time.Now().Add(time.Hour).UnixMilli()
	for i := range 60 {
		callers.Go(func() {
			job(fmt.Sprintf("00000000000e%04x", i), fmt.Sprintf(`,"Repeats":%d,"FirstMs":%d,"PeriodMs":60000`, repeats, first))
		})
		time.Sleep(500 * time.Millisecond)
	}
	callers.Wait()
	for i := 0; f.seconds() < 100; i++ {
		id := fmt.Sprintf("00000000000f%04x", i)
		asked := time.Now()
		accepted := job(id, "")
		f.note("a small job was accepted: %t, in %v", accepted, time.Since(asked).Round(time.Millisecond))
		time.Sleep(time.Second)
		if status, body := call("GET", f.front(i%entryCount), "jobs.example", "/q/"+id, ""); status != http.StatusOK {
			f.note("caller GET /q/%s: %d %s", id, status, body)
		}
	}
	close(done)
	watch.Wait()
	often := 0
	mu.Lock()
	defer mu.Unlock()
	for i := range controlCount {
		f.note("control process %s was killed %d times for its memory", f.ip(i), ends[f.ip(i)])
		if ends[f.ip(i)] >= 3 {
			often++
		}
	}
	return 2*often < controlCount
}
