package e2e

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/fake"
)

// shortBatch declares a batch job that runs for 200 ms, given its name.
const shortBatch = `declare batch %s { processors 2 memory 1GiB class routing payload "{\"run_ms\": 200}" }`

func TestBatchRunsFromDeclarationToEnd(t *testing.T) {
	c := newCluster(t, 3, 2)
	journal := fake.NewJournal()
	c.runWorkers(journal, 2, 8)
	for i := range 6 {
		c.command(i%2, fmt.Sprintf(shortBatch, fmt.Sprintf("route-%d", i)))
	}
	for i := range 6 {
		task := fmt.Sprintf("route-%d", i)
		c.eventually(task+" finished", func() bool { return c.taskState(1, task) == "finished" })
		assert.Equal(t, 1, journal.Finished(task))
	}
	assert.Empty(t, journal.Violations())
	reply := c.command(0, "why route-0")
	assert.NotEmpty(t, reply.Rows)
}

// When the leader crashes or freezes, no acknowledged command may be lost and no
// task may run in two places at the same time.
func TestLeaderLossKeepsCommandsAndTasks(t *testing.T) {
	faults := map[string]func(p *process) (repair func()){
		"killed": func(p *process) func() {
			p.kill()
			return p.start
		},
		"frozen": func(p *process) func() {
			p.signal(syscall.SIGSTOP)
			return func() { p.signal(syscall.SIGCONT) }
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 2)
			journal := fake.NewJournal()
			c.runWorkers(journal, 3, 8)
			c.command(0, `declare batch long { processors 2 memory 1GiB payload "{}" }`)
			c.eventually("long runs", func() bool { return c.taskState(0, "long") == "running" })
			runsOn := journal.Live("long")
			repair := inject(c.control[c.leader()])
			for i := range 3 {
				c.command(i%2, fmt.Sprintf(shortBatch, fmt.Sprintf("after-%d", i)))
			}
			for i := range 3 {
				task := fmt.Sprintf("after-%d", i)
				c.eventually(task+" finished", func() bool { return c.taskState(0, task) == "finished" })
			}
			repair()
			c.awaitVoters(3)
			assert.Equal(t, "running", c.taskState(0, "long"))
			assert.Equal(t, runsOn, journal.Live("long"), "a task on a live worker must not move")
			assert.Empty(t, journal.Violations())
		})
	}
}

// A control host that lost its disk must rejoin as a new member. The loss of a
// second host right after that must lose no acknowledged command.
func TestDiskLossThenSecondHostLoss(t *testing.T) {
	c := newCluster(t, 3, 1)
	for i := range 5 {
		c.command(0, fmt.Sprintf(`declare batch kept-%d { processors 1 memory 1GiB }`, i))
	}
	leader := c.leader()
	first := c.control[(leader+1)%3]
	second := c.control[(leader+2)%3]
	first.kill()
	removeAll(t, c.dataDir((leader+1)%3))
	c.command(0, `declare batch during { processors 1 memory 1GiB }`)
	lost := c.memberID((leader + 1) % 3)
	first.start()
	c.eventually("the repaired host votes under a new identity", func() bool {
		id := c.memberID((leader + 1) % 3)
		return id != "" && id != lost
	})
	c.awaitVoters(3)
	second.kill()
	c.command(0, `declare batch afterwards { processors 1 memory 1GiB }`)
	reply := c.command(0, "show tasks")
	assert.Len(t, reply.Rows, 7)
}

// Of two operators that replace the same configuration version, one must succeed
// and one must get a conflict. A resend of a command through another entry host
// must return the first outcome.
func TestRacingOperatorsAndResends(t *testing.T) {
	c := newCluster(t, 3, 2)
	const config = "services:\n  quote: {timeout: 1s, queue_limit: 50}\n"
	replies := make(chan controlapi.CommandReply, 2)
	for i := range 2 {
		go func() {
			reply, err := c.sendCommand(i, uuid.NewString(), "set config from FILE if version 1", config)
			if err != nil {
				t.Error(err)
			}
			replies <- reply
		}()
	}
	outcomes := map[string]int{}
	for range 2 {
		reply := <-replies
		outcomes[string(reply.Outcome)+" "+string(reply.Kind)]++
	}
	assert.Equal(t, map[string]int{"done ": 1, "refused version_conflict": 1}, outcomes)

	id := uuid.NewString()
	first, err := c.sendCommand(0, id, "declare batch once { processors 1 memory 1GiB }", "")
	require.NoError(t, err)
	again, err := c.sendCommand(1, id, "declare batch once { processors 1 memory 1GiB }", "")
	require.NoError(t, err)
	assert.Equal(t, first, again)
	other, err := c.sendCommand(1, id, "declare batch other { processors 1 memory 1GiB }", "")
	require.NoError(t, err)
	assert.EqualValues(t, "command_reused", other.Kind)
}
