package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// Guards against decisions of an earlier term that are committed in a later one of the same member:
// its loop has not learned yet that it lost the leadership and has it again, and the decisions rest
// on a state that other leaders may have changed since.
func TestABatchIsNotCommittedInALaterTerm(t *testing.T) {
	c := startLeader(t)
	for _, earlier := range []uint64{1, 0} {
		l := &loop{Coordinator: &Coordinator{options: c.options, replica: c.replica, metrics: newMetrics(), ctx: t.Context(), commits: make(chan commitResult, 1)}}
		l.term = c.replica.Status().Term - earlier
		before := c.replica.Status().Last
		l.propose(workflow.NewPlanned(workflow.NewState()).Begin(1))
		result := <-l.commits
		l.goroutines.Wait()
		if earlier == 0 {
			require.NoError(t, result.err)
			continue
		}
		assert.True(t, kind.Is(result.err, kind.NotLeader), "%v", result.err)
		assert.Equal(t, before, c.replica.Status().Last)
	}
}
