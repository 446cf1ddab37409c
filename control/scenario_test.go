package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/lease"
	"mangohill.example/mangohill/types"
)

func TestDrainMovesBatchAndReplacesServicesFirst(t *testing.T) {
	c := newSimCluster(t, 6, 1)
	c.mustExecute("declare service quote { replicas 4 processors 2 memory 1GiB objective p99 50ms }")
	for i := range 4 {
		c.mustExecute(fmt.Sprintf("declare batch route-%d { processors 2 memory 1GiB }", i))
	}
	running := func() bool { return c.countRunning("quote") == 4 && c.taskState("route-3") == types.TaskRunning }
	c.runUntil(30*time.Second, running)
	c.advance(2 * time.Second)

	drained := c.workerOf("quote/0")
	c.mustExecute("drain worker " + drained)
	w, _ := c.store.WorkerNamed(drained)
	before := make(map[types.TaskID]uint64)
	for _, task := range c.store.Attempts(w.ID) {
		before[task.ID] = task.Epoch
	}
	c.runUntil(2*time.Minute, func() bool {
		assert.GreaterOrEqual(t, c.countRunning("quote"), 4, "a replica stopped before its replacement ran")
		for _, task := range c.store.Attempts(w.ID) {
			assert.Equal(t, before[task.ID], task.Epoch, "task %q started on the draining worker", task.Name)
		}
		return len(c.store.Attempts(w.ID)) == 0
	})
	c.runUntil(time.Minute, func() bool {
		for i := range 4 {
			if c.taskState(fmt.Sprintf("route-%d", i)) != types.TaskRunning {
				return false
			}
		}
		return true
	})
	for id := range before {
		task, ok := c.store.Task(id)
		if ok && task.Job.Kind == types.KindBatch {
			assert.Equal(t, fmt.Sprintf("%s@1", task.Name), c.resumedFrom[task.Name][2], "the task resumes from its checkpoint")
		}
	}
}

func TestCancellationBurstDoesNotDelayUrgentWork(t *testing.T) {
	c := newSimCluster(t, 8, 1)
	const jobs = 600
	for i := range jobs {
		c.mustExecute(fmt.Sprintf("declare batch route-%d { processors 2 memory 1GiB expected 40m }", i))
	}
	c.advance(10 * time.Second)
	for i := range jobs {
		if i%10 != 0 {
			c.mustExecute(fmt.Sprintf("cancel route-%d", i))
		}
	}
	c.mustExecute("declare batch coat-3 { processors 8 memory 16GiB urgent }")
	c.runUntil(3200*time.Millisecond, func() bool { return c.taskState("coat-3") == types.TaskRunning })
}

func TestSilentWorkersTasksResumeElsewhereOnce(t *testing.T) {
	c := newSimCluster(t, 2, 1)
	c.mustExecute("declare batch route-7 { processors 2 memory 1GiB }")
	c.runUntil(10*time.Second, func() bool { return c.taskState("route-7") == types.TaskRunning })
	c.advance(2 * time.Second)
	first := c.workerOf("route-7")
	c.workers[first].partitioned = true
	startTick := c.ticks
	c.runUntil(time.Minute, func() bool { return c.workerOf("route-7") != first && c.taskState("route-7") == types.TaskRunning })
	waited := time.Duration(c.ticks-startTick) * tick
	assert.Greater(t, waited, 8*time.Second, "the task restarted before the lease expired")
	assert.Less(t, waited, 16*time.Second)
	c.workers[first].partitioned = false
	c.runUntil(time.Minute, func() bool { w, _ := c.store.WorkerNamed(first); return w.State == types.WorkerReady })
	c.advance(10 * time.Second)
	assert.Len(t, c.resumedFrom["route-7"], 2)
	assert.Empty(t, c.workers[first].tasks)
}

func TestNewLeaderWaitsOutTheLeasesOfTheOldOne(t *testing.T) {
	c := newSimCluster(t, 2, 1)
	c.mustExecute("declare batch route-7 { processors 2 memory 1GiB }")
	c.runUntil(10*time.Second, func() bool { return c.taskState("route-7") == types.TaskRunning })
	first := c.workerOf("route-7")
	c.workers[first].partitioned = true
	c.advance(9 * time.Second)
	c.elect()
	startTick := c.ticks
	c.runUntil(time.Minute, func() bool { return c.workerOf("route-7") != first && c.taskState("route-7") == types.TaskRunning })
	assert.Greater(t, time.Duration(c.ticks-startTick)*tick, 10*time.Second+lease.DefaultMaxQuorumContactAge)
}

func TestWhyNamesTheFilterThatRulesHostsOut(t *testing.T) {
	c := newSimCluster(t, 2, 1)
	c.advance(time.Second)
	c.mustExecute("declare batch huge { processors 100 memory 1GiB }")
	c.advance(2 * time.Second)
	var lines []string
	for _, row := range c.command("why huge").Rows {
		lines = append(lines, row.Get("why").(string))
	}
	assert.Contains(t, strings.Join(lines, "\n"), "capacity")
	parked := c.taskState("huge") == types.TaskParked
	assert.True(t, parked || c.taskState("huge") == types.TaskWaiting)
}

func TestCancelledAttemptEndsAndFreesItsWorker(t *testing.T) {
	c := newSimCluster(t, 1, 1)
	c.mustExecute("declare batch route-7 { processors 2 memory 1GiB }")
	c.runUntil(10*time.Second, func() bool { return c.taskState("route-7") == types.TaskRunning })
	c.mustExecute("cancel route-7")
	c.runUntil(5*time.Second, func() bool { return c.taskState("route-7") == types.TaskCancelled })
	w, _ := c.store.WorkerNamed("w1")
	assert.Zero(t, w.Committed)
	assert.Empty(t, c.workers["w1"].tasks)
}

func TestAttemptMissingFromAFullSyncIsStoppedThenRestarted(t *testing.T) {
	c := newSimCluster(t, 1, 1)
	c.mustExecute("declare batch route-7 { processors 2 memory 1GiB }")
	c.runUntil(10*time.Second, func() bool { return c.taskState("route-7") == types.TaskRunning })
	w := c.workers["w1"]
	clear(w.tasks)
	w.full = true
	c.runUntil(10*time.Second, func() bool { return len(w.tasks) == 1 })
	assert.Len(t, c.resumedFrom["route-7"], 2)
}

func TestStrayAttemptIsStopped(t *testing.T) {
	c := newSimCluster(t, 1, 1)
	c.advance(2 * time.Second)
	w := c.workers["w1"]
	w.tasks["ghost"] = &simTask{epoch: 3}
	w.reportState("ghost", 3, "running", "")
	c.runUntil(10*time.Second, func() bool { return len(w.tasks) == 0 })
}

// TestLossyClusterKeepsItsPromises loses proposals, answers and messages, partitions and
// restarts workers, and changes the leader. simCluster.checkInvariants runs after every
// tick. Once the faults end, all batch tasks must end and the service must run again.
func TestLossyClusterKeepsItsPromises(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newSimCluster(t, 4, seed)
			c.lossy = true
			c.finishAfter = 100
			c.mustExecute("declare service quote { replicas 5 processors 3 memory 2GiB }")
			for i := range 20 {
				c.mustExecute(fmt.Sprintf("declare batch route-%d { processors 4 memory 4GiB expected 1m }", i))
			}
			for range 600 {
				c.injectFault()
				c.step()
			}
			c.lossy = false
			for _, w := range c.workers {
				w.partitioned = false
				c.mustExecute("undrain worker " + w.name)
			}
			c.runUntil(5*time.Minute, func() bool {
				for _, task := range c.store.Tasks() {
					if task.Job.Kind == types.KindBatch && !task.State.Terminal() && task.State != types.TaskParked {
						return false
					}
				}
				return c.countRunning("quote") >= 5
			})
		})
	}
}

// injectFault injects a random fault or command in one of six ticks.
func (c *simCluster) injectFault() {
	names := c.names()
	w := c.workers[names[c.random.IntN(len(names))]]
	switch c.random.IntN(60) {
	case 0:
		w.partitioned = true
	case 1, 2:
		w.partitioned = false
	case 3:
		*w = *nextIncarnation(w)
	case 4:
		c.elect()
	case 5:
		_ = c.command("drain worker " + w.name)
	case 6, 7:
		_ = c.command("undrain worker " + w.name)
	case 8:
		_ = c.command(fmt.Sprintf("cancel route-%d", c.random.IntN(20)))
	case 9:
		_ = c.command(fmt.Sprintf("declare batch route-%d { processors 4 memory 4GiB expected 1m }", c.random.IntN(20)))
	}
}

// nextIncarnation returns the next incarnation of a worker.
func nextIncarnation(w *simWorker) *simWorker {
	return &simWorker{
		name:         w.name,
		incarnation:  w.incarnation + 1,
		full:         true,
		tasks:        make(map[string]*simTask),
		highestEpoch: make(map[string]uint64),
	}
}

func TestWorkerWhoseRegistrationWentUnansweredIsLostInTime(t *testing.T) {
	c := newSimCluster(t, 1, 1)
	c.replica.injectLoss = func() (drop, loseAnswer bool) { return false, true }
	c.step()
	c.workers["w1"].partitioned = true
	c.replica.injectLoss = nil
	w, ok := c.store.WorkerNamed("w1")
	assert.True(t, ok)
	assert.Equal(t, types.WorkerReady, w.State)
	c.runUntil(20*time.Second, func() bool { w, _ := c.store.WorkerNamed("w1"); return w.State == types.WorkerLost })
}

func TestStartThatWasNotDeliveredDoesNotBeginOnADrainingWorker(t *testing.T) {
	c := newSimCluster(t, 1, 1)
	c.advance(2 * time.Second)
	c.workers["w1"].partitioned = true
	c.mustExecute("declare batch route-7 { processors 2 memory 1GiB }")
	c.advance(time.Second)
	assert.Equal(t, types.TaskStarting, c.taskState("route-7"))
	c.mustExecute("drain worker w1")
	c.workers["w1"].partitioned = false
	c.runUntil(10*time.Second, func() bool { return c.taskState("route-7") == types.TaskEvicted })
	assert.Empty(t, c.resumedFrom["route-7"])
}

func TestCommandsGoWhereTheNewestSyncArrived(t *testing.T) {
	o := newOutbox()
	o.setEntryHost(1, "entry-2", 1, 2000)
	o.setEntryHost(1, "entry-1", 1, 1999)
	assert.Equal(t, "entry-2", o.mailboxes[1].entry, "the renewal of the older sync arrived later")
	o.setEntryHost(1, "entry-1", 2, 5)
	assert.Equal(t, "entry-1", o.mailboxes[1].entry, "a new incarnation has its own clock, so the session decides")
}
