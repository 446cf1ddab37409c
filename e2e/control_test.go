package e2e

import (
	"syscall"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/internal/fake"
)

// A leader is frozen for longer than the leases. Meanwhile a worker is lost and
// its task starts on another worker. The old leader must not act on its outdated
// state when it resumes.
func TestLeaderFrozenBeyondTheLeases(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.setConfig(shortLeases)
	journal := fake.NewJournal()
	_, crash := c.runWorker(journal, "w1", 8)
	c.command(0, `declare batch long { processors 1 memory 1GiB payload "{}" }`)
	c.eventually("long runs on w1", func() bool { return c.taskState(0, "long") == "running" })
	c.runWorker(journal, "w2", 8)
	old := c.leader()
	c.control[old].signal(syscall.SIGSTOP)
	crash()
	c.eventually("long runs on w2", func() bool { return journal.Live("long") == `worker "w2" epoch 2` })
	c.control[old].signal(syscall.SIGCONT)
	c.awaitVoters(3)
	c.command(0, `declare batch after { processors 1 memory 1GiB payload "{\"run_ms\": 100}" }`)
	c.eventually("after finished", func() bool { return c.taskState(0, "after") == "finished" })
	assert.Equal(t, `worker "w2" epoch 2`, journal.Live("long"))
	assert.Empty(t, journal.Violations())
	assert.Equal(t, 3, journal.Starts())
}

// Five replicas must accept commands after the loss of two. After the loss of
// three, a command must not be reported as done. Once a quorum is back, commands
// must succeed again and acknowledged ones must still be there.
func TestFiveReplicasLoseTwo(t *testing.T) {
	c := newCluster(t, 5, 1)
	leader := c.leader()
	c.control[leader].kill()
	c.control[(leader+1)%5].kill()
	c.command(0, "declare batch kept { processors 1 memory 1GiB }")
	c.control[(leader+2)%5].kill()
	reply, err := c.sendCommand(0, uuid.NewString(), "declare batch open { processors 1 memory 1GiB }", "")
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
