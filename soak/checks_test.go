package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// checks holds what workers and callers see, and the promises that it breaks.
type checks struct {
	mu         sync.Mutex
	live       map[string]*worker
	begun      map[string]time.Time
	doneTasks  map[string]bool
	noted      map[string]bool
	submitted  map[string]bool
	cancelled  map[string]time.Time
	starts     int
	violations []string
}

// cancelTime is the time after which no task of a cancelled job may be started.
const cancelTime = 3 * time.Second

// firstStep is the number of tasks of a job's first step.
const firstStep = 3

func newChecks() *checks {
	return &checks{
		live: make(map[string]*worker), begun: make(map[string]time.Time), doneTasks: make(map[string]bool),
		noted: make(map[string]bool), submitted: make(map[string]bool), cancelled: make(map[string]time.Time),
	}
}

func (c *checks) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(format, args...)
}

func (c *checks) add(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// begin checks a start.
func (c *checks) begin(task, spec string, w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	job, _, _ := strings.Cut(task, ".")
	if other := c.live[task]; other != nil {
		c.add("task %s starts on %s and runs on %s", task, w.id, other.id)
	}
	if c.noted[task] {
		c.add("task %s starts on %s after its end was acknowledged", task, w.id)
	}
	if !c.submitted[job] || spec != "spec-"+job {
		c.add("task %s of no job, or with another payload, starts", task)
	}
	if at, ok := c.cancelled[job]; ok && time.Since(at) > cancelTime {
		c.add("task %s starts %v after its cancelling", task, time.Since(at))
	}
	if strings.HasPrefix(task, job+".0.1.") {
		for i := range firstStep {
			if !c.doneTasks[job+".0.0."+strconv.Itoa(i)] {
				c.add("task %s starts before the step before it is done", task)
			}
		}
	}
	c.live[task], c.begun[task] = w, time.Now()
}

func (c *checks) end(task string, w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.live[task] == w {
		delete(c.live, task)
	}
}

func (c *checks) done(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doneTasks[task] = true
}

// note takes in that an end is acknowledged. A start since the end is a break,
// unless the lease ran out in between.
func (c *checks) note(task string, ended time.Time, lapsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun[task].After(ended) && !lapsed {
		c.add("task %s was started between its end and the acknowledgement", task)
	}
	c.noted[task] = true
}
