package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// lastingJobs jobs of lastingTasks tasks each last until they are cancelled. Each task needs
	// lastingProcessors processors; together they need a sixth of the workers' capacity.
	lastingJobs, lastingTasks, lastingProcessors = 2, 2, 2
	// maxLastingGap is the time after the end of its last run within which a lasting task must
	// run again, if nothing has disturbed the fleet for calmTime and sound workers have capacity
	// for it twice over beside the other lasting tasks.
	maxLastingGap, calmTime = 9 * time.Second, 7 * time.Second
)

// calm tells for how long no fault has acted. It is guarded by the lock of checks.
type calm struct {
	faults int
	since  time.Time
}

func (c *calm) lasts(d time.Duration) bool { return c.faults == 0 && time.Since(c.since) >= d }

// beginFault records that a fault acts from now on until the returned function is called.
func (c *checks) beginFault(disturbed ...*calm) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range disturbed {
		d.faults++
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, d := range disturbed {
			d.faults--
			d.since = time.Now()
		}
	}
}

// lastingTask is what workers observe of a lasting task.
type lastingTask struct {
	endedAt time.Time // end of the latest run, zero while there was none or the task runs
	overdue bool
	longest time.Duration
	// starts is disturbed while a start of the task that got no answer may be carried out.
	starts calm
}

// lasts reports whether a task lasts.
func (c *checks) lasts(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lasting[task] != nil
}

// processorsOf returns how many processors a task needs.
func (c *checks) processorsOf(task string) int {
	if c.lasts(task) {
		return lastingProcessors
	}
	return 1
}

// startUnanswered records that a start gets no answer.
func (c *checks) startUnanswered(task string) {
	c.mu.Lock()
	t := c.lasting[task]
	c.mu.Unlock()
	if t != nil {
		time.AfterFunc(maxOrderDelay, c.beginFault(&t.starts))
	}
}

func lastingJob(i int) string { return fmt.Sprintf("0000000e%08x", i+1) }

// submitLastingJobs submits the lasting jobs and waits until all of their tasks run.
func (f *fleet) submitLastingJobs() {
	client := &http.Client{Timeout: 2 * time.Second}
	for i := range lastingJobs {
		id := lastingJob(i)
		f.checks.mu.Lock()
		f.checks.submitted[id] = true
		for task := range lastingTasks {
			f.checks.lasting[fmt.Sprintf("%s.0.0.%d", id, task)] = new(lastingTask)
		}
		f.checks.mu.Unlock()
		job := fmt.Sprintf(`{"Spec":"spec-%s","Phases":[{"Count":%d,"Cpu":%d,"MemMb":10,"EstimateMs":150,"Perpetual":true}]}`, id, lastingTasks, lastingProcessors*1000)
		require.True(f.t, f.sendUntilDone(client, http.MethodPost, id, job), "a lasting job was not accepted")
	}
	require.Eventually(f.t, func() bool {
		f.checks.mu.Lock()
		defer f.checks.mu.Unlock()
		for task := range f.checks.lasting {
			if f.checks.running[task] == nil {
				return false
			}
		}
		return true
	}, settleTimeout, 50*time.Millisecond, "a lasting task did not start")
}

// watchLastingTasks checks the lasting tasks until done is closed.
func (f *fleet) watchLastingTasks(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		f.mu.Lock()
		workers := append([]*worker(nil), f.workers...)
		f.mu.Unlock()
		capacity := make(map[*worker]int)
		for _, w := range workers {
			w.mu.Lock()
			if !w.dead && time.Since(w.startedAt) >= calmTime {
				capacity[w] = w.processors / lastingProcessors
			}
			w.mu.Unlock()
		}
		f.checks.checkLastingTasks(capacity)
	}
}

// checkLastingTasks checks that each lasting task runs, or has not waited too long. capacity
// holds for how many lasting tasks the workers that have been up for calmTime have capacity.
func (c *checks) checkLastingTasks(capacity map[*worker]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	free, waiting := 0, 0
	for w, n := range capacity {
		if w.calm.lasts(calmTime) && c.domains[w.domain()].lasts(calmTime) {
			free += n
		}
	}
	for task := range c.lasting {
		w := c.running[task]
		switch _, up := capacity[w]; {
		case w == nil:
			waiting++
		case up && w.calm.lasts(calmTime) && c.domains[w.domain()].lasts(calmTime):
			free--
		}
	}
	for task, t := range c.lasting {
		if c.running[task] != nil || t.endedAt.IsZero() {
			t.overdue = false
			continue
		}
		waited := time.Since(t.endedAt)
		t.longest = max(t.longest, waited)
		if t.overdue || waited <= maxLastingGap || !c.calm.lasts(calmTime) || !t.starts.lasts(calmTime) || free-(waiting-1) < 2 {
			continue
		}
		t.overdue = true
		c.addViolationLocked("lasting task %s has not run for %v; there is capacity for %d, %d wait", task, waited, free, waiting)
	}
}

// awaitLastingTasks waits until the fleet has been calm for maxLastingGap and each lasting task
// runs or is overdue. All workers must be able to run tasks.
func (f *fleet) awaitLastingTasks() {
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		f.checks.mu.Lock()
		settled := f.checks.calm.lasts(maxLastingGap)
		for task, t := range f.checks.lasting {
			settled = settled && (f.checks.running[task] != nil || t.overdue)
		}
		f.checks.mu.Unlock()
		if settled {
			return
		}
	}
	f.checks.addViolation("not all lasting tasks run at the end")
}

// checkLastingJobs checks that the lasting jobs are known as running, and reports the longest
// wait of their tasks.
func (f *fleet) checkLastingJobs() {
	client := &http.Client{Timeout: 2 * time.Second}
	for i := range lastingJobs {
		var status int
		var state string
		for deadline := time.Now().Add(settleTimeout); status == 0 && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
			status, state = call(client, http.MethodGet, "http://"+f.ip(controlCount+i%entryCount)+":8161/q/"+lastingJob(i), "")
		}
		if status != http.StatusOK || !strings.Contains(state, "running") {
			f.checks.addViolation("lasting job %s is shown as %d %s", lastingJob(i), status, state)
		}
	}
	f.checks.mu.Lock()
	defer f.checks.mu.Unlock()
	longest := time.Duration(0)
	for _, t := range f.checks.lasting {
		longest = max(longest, t.longest)
	}
	f.t.Logf("longest wait of a lasting task: %v", longest.Round(100*time.Millisecond))
}
