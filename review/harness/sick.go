package main

import (
	"sync"
	"time"
)

// sick: an executor leaves a start without an answer, refuses the next ones as unhealthy, and
// restarts under its ID 3 s after that start, which is carried out then. Meanwhile the task runs
// elsewhere.
func sick(f *fleet, trouble bool) bool {
	f.startSystem()
	f.nineOthers()
	f.startExecutor("m-10", "a", "r-1", "")
	f.settle()
	const id = "00000000000000f1"
	var once sync.Once
	fall := func(e *executor, o *order) {
		late := *o
		f.note("start %s run %d on %s is left without an answer", o.Task, o.Attempt, e.id)
		e.mu.Lock()
		e.unhealthy = true
		e.mu.Unlock()
		go func() {
			time.Sleep(2500 * time.Millisecond)
			e.crash(true)
			time.Sleep(500 * time.Millisecond)
			f.startLife(e.id, e.machine, e.kind, e.rack, e.addr, &late)
		}()
	}
	if trouble {
		f.unanswered = func(e *executor, o *order) (first bool) {
			once.Do(func() {
				first = true
				fall(e, o)
			})
			return first
		}
	}
	f.world.mu.Lock()
	f.world.specs[id] = "job"
	f.world.jobs[id] = []taskModel{{work: 4 * time.Second, cpu: 1000, mem: 500}}
	f.world.mu.Unlock()
	if !f.submit("/q/", id, `{"Spec":"job","Phases":[{"Count":1,`+taskJSON+`}]}`) {
		fatal("the job was not accepted")
	}
	time.Sleep(12 * time.Second)
	f.state(0, "/q/", id)
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return len(f.world.broken) == 0
}
