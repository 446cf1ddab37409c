package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// checks records what workers and callers observe, and every violation of a
// guarantee of the platform.
type checks struct {
	mu        sync.Mutex
	running   map[string]*worker   // worker that runs the task, by task
	startedAt map[string]time.Time // latest start, by task
	doneTasks map[string]bool
	ackedEnds map[string]string // by which order, by task
	submitted map[string]bool
	// deadly holds the jobs whose first task crashes each worker that starts it; crashes
	// counts the crashes under that task, and startsAfter its starts after the third.
	deadly               map[string]bool
	crashes, startsAfter map[string]int
	cancelled            map[string]time.Time // acknowledgement of the cancellation, by job
	// durations holds how long the tasks of a job's first step take, unless taskDuration.
	durations  map[string]time.Duration
	lateStarts int            // starts that were carried out late
	lateOrders map[string]int // orders that were carried out late, by path
	starts     int
	violations []string
	// evacuatedAt holds when the evacuation in force of a domain was confirmed, confirmed counts
	// the orders of the operator that were.
	evacuatedAt map[string]time.Time
	confirmed   int
	lasting     map[string]*lastingTask // by task
	// calm is disturbed by faults of control processes, cuts and crashes, an entry of domains
	// while the domain is evacuated.
	calm    calm
	domains map[string]*calm
}

// cancelGracePeriod is the time after a cancellation is acknowledged during which
// tasks of the job may still start.
const cancelGracePeriod = 3 * time.Second

// firstStepTasks is the number of tasks in the first step of each job.
const firstStepTasks = 3

func newChecks() *checks {
	c := &checks{
		running: make(map[string]*worker), startedAt: make(map[string]time.Time), doneTasks: make(map[string]bool),
		ackedEnds: make(map[string]string), submitted: make(map[string]bool), deadly: make(map[string]bool), crashes: make(map[string]int), startsAfter: make(map[string]int), cancelled: make(map[string]time.Time), durations: make(map[string]time.Duration), evacuatedAt: make(map[string]time.Time), lasting: make(map[string]*lastingTask), lateOrders: make(map[string]int), domains: make(map[string]*calm),
	}
	for _, domain := range domains {
		c.domains[domain] = new(calm)
	}
	return c
}

func (c *checks) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

func (c *checks) addViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// setDuration sets how long the tasks of a job's first step take.
func (c *checks) setDuration(job string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.durations[job] = d
}

// durationOf returns how long a task takes.
func (c *checks) durationOf(task string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	if d, ok := c.durations[job]; ok && strings.Split(task, ".")[2] == "0" {
		return d
	}
	return taskDuration
}

// percentOf returns how much of its work a task that runs has done.
func (c *checks) percentOf(task string) int {
	duration := c.durationOf(task)
	c.mu.Lock()
	defer c.mu.Unlock()
	most := time.Duration(99)
	if c.lasting[task] != nil {
		most = 100
	}
	return int(min(most, 100*time.Since(c.startedAt[task])/duration))
}

// carriedOutLate counts an order that is carried out late.
func (c *checks) carriedOutLate(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateOrders[path]++
}

// taskStarted records the start of a task on w and checks that it is allowed. The bounds of
// time, those after an evacuation and after a cancellation, don't hold for a start that the
// worker carries out late.
func (c *checks) taskStarted(task, spec string, w *worker, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	if late {
		c.lateStarts++
	} else {
		c.checkDomain(task, w)
	}
	job, _, _ := strings.Cut(task, ".")
	if other := c.running[task]; other != nil {
		c.addViolationLocked("task %s starts on %s while it runs on %s", task, w.id, other.id)
	}
	if by := c.ackedEnds[task]; by != "" {
		c.addViolationLocked("task %s starts on %s after its end was acknowledged by %s", task, w.id, by)
	}
	if !c.submitted[job] || spec != "spec-"+job {
		c.addViolationLocked("task %s starts with a payload other than its job's, or its job was never submitted", task)
	}
	if cancelledAt, ok := c.cancelled[job]; ok && !late && time.Since(cancelledAt) > cancelGracePeriod {
		c.addViolationLocked("task %s starts %v after its job was cancelled", task, time.Since(cancelledAt))
	}
	if parts := strings.Split(task, "."); len(parts) == 4 && parts[2] == "1" {
		for i := range firstStepTasks {
			if !c.doneTasks[job+"."+parts[1]+".0."+strconv.Itoa(i)] {
				c.addViolationLocked("task %s starts before all tasks of the previous step are done", task)
			}
		}
	}
	if c.deadly[job] && task == job+".0.0.0" && c.crashes[job] >= 3 {
		if c.startsAfter[job]++; c.startsAfter[job] > 2 {
			c.addViolationLocked("task %s starts %d times after three workers crashed under it", task, c.startsAfter[job])
		}
	}
	c.running[task], c.startedAt[task] = w, time.Now()
}

func (c *checks) isDeadly(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadly[job]
}

// crashesWorker reports whether a task crashes the worker that starts it.
func (c *checks) crashesWorker(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, rest, _ := strings.Cut(task, ".")
	return c.deadly[job] && rest == "0.0.0"
}

// workerCrashed counts a crash under the tasks that a worker ran.
func (c *checks) workerCrashed(tasks map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range tasks {
		if job, rest, _ := strings.Cut(task, "."); rest == "0.0.0" {
			c.crashes[job]++
		}
	}
}

func (c *checks) taskEnded(task string, w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[task] == w {
		delete(c.running, task)
		if t := c.lasting[task]; t != nil {
			t.endedAt = time.Now()
		}
	}
}

func (c *checks) taskDone(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doneTasks[task] = true
}

// endAcknowledged records that control acknowledged the end of a task. A start
// between endedAt and now is a violation unless the lease expired in between.
func (c *checks) endAcknowledged(task string, endedAt time.Time, leaseExpired bool, by string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startedAt[task].After(endedAt) && !leaseExpired {
		c.addViolationLocked("task %s started again between its end and the acknowledgement of the end by %s", task, by)
	}
	c.ackedEnds[task] = by
}
