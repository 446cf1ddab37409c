package e2e

import (
	"syscall"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/internal/fake"
)

// A leader that is frozen for longer than the leases, while a worker is lost and
// its task starts elsewhere, must not act on its old view once it goes on.
func TestLeaderFrozenBeyondTheLeases(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.setConfig(shortLeases)
	journal := fake.NewJournal()
	_, cut := c.worker(journal, "w1", 8)
	c.command(0, `declare batch long { processors 1 memory 1GiB payload "{}" }`)
	c.eventually("long runs on w1", func() bool { return c.taskState(0, "long") == "running" })
	c.worker(journal, "w2", 8)
	old := c.leader()
	c.control[old].signal(syscall.SIGSTOP)
	cut()
	c.eventually("long runs on w2", func() bool { return journal.Live("long") == `worker "w2" epoch 2` })
	c.control[old].signal(syscall.SIGCONT)
	c.awaitVoters(3)
	c.command(0, `declare batch after { processors 1 memory 1GiB payload "{\"run_ms\": 100}" }`)
	c.eventually("after finished", func() bool { return c.taskState(0, "after") == "finished" })
	assert.Equal(t, `worker "w2" epoch 2`, journal.Live("long"))
	assert.Empty(t, journal.Violations())
	assert.Equal(t, 3, journal.Starts())
}

// Five replicas accept commands without any two of them. Without three, no
// command is refused as not run once it may have been taken.
func TestFiveReplicasLoseTwo(t *testing.T) {
	c := newCluster(t, 5, 1)
	leader := c.leader()
	c.control[leader].kill()
	c.control[(leader+1)%5].kill()
	c.command(0, "declare batch kept { processors 1 memory 1GiB }")
	c.control[(leader+2)%5].kill()
	reply, err := c.try(0, uuid.NewString(), "declare batch open { processors 1 memory 1GiB }", "")
	if assert.NoError(t, err) {
		assert.NotEqualValues(t, "done", reply.Outcome)
	}
	c.control[(leader+2)%5].start()
	c.command(0, "declare batch later { processors 1 memory 1GiB }")
	names := map[any]bool{}
	for _, row := range c.command(0, "show tasks").Rows {
		names[row.Get("task")] = true
	}
	assert.True(t, names["kept"])
	assert.True(t, names["later"])
}
