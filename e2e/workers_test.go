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

// shortLeases is a configuration under which a lost worker is given up soon.
const shortLeases = "leases: {duration: 3s, hold: 500ms, usage: 1s}\n"

func (c *cluster) setConfig(text string) {
	c.t.Helper()
	reply, err := c.try(0, uuid.NewString(), "set config from FILE", text)
	if err != nil || reply.Outcome != "done" {
		c.t.Fatalf("set config: %v %+v", err, reply)
	}
}

// worker starts one stand-in worker that the returned function cuts off: it ends
// at once, without a word to the system.
func (c *cluster) worker(journal *fake.Journal, name string, processors float64) (worker *fake.Worker, cut func()) {
	return c.workerIncarnation(journal, name, processors, 1)
}

func (c *cluster) workerIncarnation(journal *fake.Journal, name string, processors float64, incarnation uint64) (worker *fake.Worker, cut func()) {
	ctx, cancel := context.WithCancel(context.Background())
	worker = fake.NewWorker(fake.WorkerOptions{
		Name:        name,
		Incarnation: incarnation,
		Rack:        name,
		Capacity:    workerapi.Capacity{Processors: processors, MemoryBytes: 64 << 30},
		Entries:     c.platforms(),
		Journal:     journal,
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		worker.Run(ctx)
	}()
	cut = func() {
		cancel()
		<-done
	}
	c.t.Cleanup(cut)
	return worker, cut
}

// The tasks of a lost worker run again elsewhere, once, after its lease.
func TestTasksOfALostWorkerResumeOnce(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.setConfig(shortLeases)
	journal := fake.NewJournal()
	_, cut := c.worker(journal, "w1", 8)
	for i := range 4 {
		c.command(0, fmt.Sprintf(`declare batch long-%d { processors 1 memory 1GiB payload "{}" }`, i))
	}
	for i := range 4 {
		task := fmt.Sprintf("long-%d", i)
		c.eventually(task+" runs", func() bool { return c.taskState(0, task) == "running" })
	}
	c.worker(journal, "w2", 8)
	cut()
	for i := range 4 {
		task := fmt.Sprintf("long-%d", i)
		c.eventually(task+" runs on w2", func() bool {
			return c.taskState(0, task) == "running" && journal.Live(task) == `worker "w2" epoch 2`
		})
	}
	assert.Empty(t, journal.Violations())
	assert.Equal(t, 8, journal.Starts())
}

// A drain checkpoints batch work and moves it, and replaces services before they
// stop.
func TestDrainMovesWork(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.setConfig(shortLeases)
	journal := fake.NewJournal()
	c.worker(journal, "w1", 8)
	c.command(0, `declare batch long { processors 1 memory 1GiB payload "{}" }`)
	c.command(0, `declare service quote { processors 1 memory 1GiB replicas 2 objective p99 50ms }`)
	for _, task := range []string{"long", "quote/0", "quote/1"} {
		c.eventually(task+" runs", func() bool { return c.taskState(0, task) == "running" })
	}
	c.worker(journal, "w2", 8)
	c.command(0, "drain worker w1")
	c.eventually("w1 is empty and two replicas run on w2", func() bool {
		assert.GreaterOrEqual(t, journal.LiveOn("", "quote/"), 2, "a replica stopped before its replacement ran")
		return journal.LiveOn("w1", "") == 0 && journal.LiveOn("w2", "quote/") == 2
	})
	assert.Equal(t, `worker "w2" epoch 2`, journal.Live("long"))
	assert.Empty(t, journal.Violations())
	c.command(0, `declare batch new { processors 7 memory 1GiB payload "{}" }`)
	c.command(0, "undrain worker w1")
	c.eventually("new runs on w1", func() bool { return journal.Live("new") == `worker "w1" epoch 1` })
}

// Everything acknowledged is there after all processes were killed at once.
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
	c.eventually("the configuration is in force again", func() bool {
		return c.counter(0, "config_version") == 2 && c.counter(1, "config_version") == 2
	})
	assert.Len(t, c.command(1, "show tasks").Rows, 20)
}
