package e2e

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/workerapi"
)

// shortLeases is a configuration with short leases, so that a lost worker is
// detected and its tasks are restarted within seconds.
const shortLeases = "leases: {duration: 3s, hold: 500ms, usage: 1s}\n"

func (c *cluster) setConfig(text string) {
	c.t.Helper()
	reply, err := c.sendCommand(0, uuid.NewString(), "set config from FILE", text)
	if err != nil || reply.Outcome != "done" {
		c.t.Fatalf("set config: %v %+v", err, reply)
	}
}

// runWorker runs one simulated worker. The function crash stops it at once, without
// notice to the cluster.
func (c *cluster) runWorker(journal *fake.Journal, name string, processors float64) (worker *fake.Worker, crash func()) {
	return c.startIncarnation(journal, name, processors, 1)
}

func (c *cluster) startIncarnation(journal *fake.Journal, name string, processors float64, incarnation uint64) (worker *fake.Worker, crash func()) {
	ctx, cancel := context.WithCancel(context.Background())
	worker = fake.NewWorker(fake.WorkerOptions{
		Name:        name,
		Incarnation: incarnation,
		Rack:        name,
		Capacity:    workerapi.Capacity{Processors: processors, MemoryBytes: 64 << 30},
		Entries:     c.platformURLs(),
		Journal:     journal,
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		worker.Run(ctx)
	}()
	crash = func() {
		cancel()
		<-done
	}
	c.t.Cleanup(crash)
	return worker, crash
}

// After the lease of a lost worker has expired, its tasks must be restarted exactly
// once on another worker.
func TestTasksOfALostWorkerResumeOnce(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.setConfig(shortLeases)
	journal := fake.NewJournal()
	_, crash := c.runWorker(journal, "w1", 8)
	for i := range 4 {
		c.command(0, fmt.Sprintf(`declare batch long-%d { processors 1 memory 1GiB payload "{}" }`, i))
	}
	for i := range 4 {
		task := fmt.Sprintf("long-%d", i)
		c.eventually(task+" runs", func() bool { return c.taskState(0, task) == "running" })
	}
	c.runWorker(journal, "w2", 8)
	crash()
	for i := range 4 {
		task := fmt.Sprintf("long-%d", i)
		c.eventually(task+" runs on w2", func() bool {
			return c.taskState(0, task) == "running" && journal.Live(task) == `worker "w2" epoch 2`
		})
	}
	assert.Empty(t, journal.Violations())
	assert.Equal(t, 8, journal.Starts())
}

// Draining a worker must checkpoint and move its batch tasks, and must start the
// replacement of a service replica before that replica stops.
func TestDrainMovesWork(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.setConfig(shortLeases)
	journal := fake.NewJournal()
	c.runWorker(journal, "w1", 8)
	c.command(0, `declare batch long { processors 1 memory 1GiB payload "{}" }`)
	c.command(0, `declare service quote { processors 1 memory 1GiB replicas 2 objective p99 50ms }`)
	for _, task := range []string{"long", "quote/0", "quote/1"} {
		c.eventually(task+" runs", func() bool { return c.taskState(0, task) == "running" })
	}
	c.runWorker(journal, "w2", 8)
	c.command(0, "drain worker w1")
	c.eventually("w1 is empty and two replicas run on w2", func() bool {
		assert.GreaterOrEqual(t, journal.LiveOn("", "quote/"), 2, "a replica stopped before its replacement was running")
		return journal.LiveOn("w1", "") == 0 && journal.LiveOn("w2", "quote/") == 2
	})
	assert.Equal(t, `worker "w2" epoch 2`, journal.Live("long"))
	assert.Empty(t, journal.Violations())
	c.command(0, `declare batch new { processors 7 memory 1GiB payload "{}" }`)
	c.command(0, "undrain worker w1")
	c.eventually("new runs on w1", func() bool { return journal.Live("new") == `worker "w1" epoch 1` })
}

// Killing all processes at the same time must lose nothing that was acknowledged.
func TestAllProcessesKilledLosesNothing(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.setConfig("services:\n  quote: {timeout: 1s, queue_limit: 50}\n")
	for i := range 20 {
		c.command(i%2, fmt.Sprintf("declare batch kept-%d { processors 1 memory 1GiB }", i))
	}
	all := append(append([]*process{}, c.control...), c.entries...)
	for _, p := range all {
		p.kill()
	}
	for _, p := range all {
		p.start()
	}
	c.awaitVoters(3)
	c.eventually("the configuration is in effect again", func() bool {
		return c.counter(0, "config_version") == 2 && c.counter(1, "config_version") == 2
	})
	assert.Len(t, c.command(1, "show tasks").Rows, 20)
}
