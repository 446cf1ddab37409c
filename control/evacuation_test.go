package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// Guards against work that starts in an evacuated domain or stays there, and against services
// that lose a replica before its replacement runs, also if the leader changes meanwhile.
func TestAnEvacuatedDomainIsEmptiedAndFilledAgain(t *testing.T) {
	c := newSimCluster(t, 12, 1)
	for i := range 12 {
		c.workers[fmt.Sprintf("w%d", i+1)].domain = fmt.Sprintf("d%d", i%3)
	}
	c.mustExecute("declare service quote { replicas 4 processors 2 memory 1GiB objective p99 50ms }")
	for i := range 6 {
		c.mustExecute(fmt.Sprintf("declare batch route-%d { processors 2 memory 1GiB }", i))
	}
	c.runUntil(30*time.Second, func() bool { return c.countRunning("quote") == 4 && c.taskState("route-5") == types.TaskRunning })
	c.advance(2 * time.Second)
	w, ok := c.store.WorkerNamed(c.workerOf("quote/0"))
	require.True(t, ok)
	domain := w.FailureDomain
	inDomain := func() (tasks []types.Task) {
		for _, w := range c.store.Workers() {
			if w.FailureDomain == domain {
				tasks = append(tasks, c.store.Attempts(w.ID)...)
			}
		}
		return tasks
	}
	require.Equal(t, kind.NotFound, c.command("evacuate domain nowhere").Kind)
	c.mustExecute("evacuate domain " + domain)
	before := make(map[types.TaskID]uint64)
	for _, task := range inDomain() {
		before[task.ID] = task.Epoch
	}
	require.NotEmpty(t, before)
	c.elect()
	c.runUntil(2*time.Minute, func() bool {
		assert.GreaterOrEqual(t, c.countRunning("quote"), 4, "a replica stopped before its replacement ran")
		for _, task := range inDomain() {
			assert.Equal(t, before[task.ID], task.Epoch, "task %q started in the evacuated domain", task.Name)
		}
		return len(inDomain()) == 0
	})
	c.runUntil(time.Minute, func() bool { return c.countRunning("quote") >= 4 })
	c.mustExecute("restore domain " + domain)
	for i := range 40 {
		c.mustExecute(fmt.Sprintf("declare batch more-%d { processors 2 memory 1GiB }", i))
	}
	c.runUntil(time.Minute, func() bool { return len(inDomain()) > 0 })
}
