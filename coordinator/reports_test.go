package coordinator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/workflow"
)

// Pattern: thousands of workers report to the leader, each on a connection of its own, and
// take the connections that its calls to them need. Their reports are shared out over the
// other members, evenly, and each worker keeps its member.
func TestReportsOfManyWorkersAreSharedOut(t *testing.T) {
	const workers = 3000
	members := []string{"a:1", "b:1", "c:1", "d:1", "e:1"}
	counts := make(map[string]int)
	for i := range workers {
		name := fmt.Sprint("i-", i)
		member := memberFor(name, "c:1", members)
		assert.Equal(t, member, memberFor(name, "c:1", []string{"e:1", "d:1", "c:1", "b:1", "a:1"}))
		counts[member]++
	}
	assert.Zero(t, counts["c:1"])
	assert.Len(t, counts, len(members)-1)
	for member, count := range counts {
		assert.InDelta(t, workers/(len(members)-1), count, workers/20, member)
	}
	assert.Equal(t, "a:1", memberFor("i-1", "a:1", []string{"a:1"}), "a leader without others takes the reports itself")
}

// A fleet for which the leader has connections reports to the leader, without a hop.
func TestAWorkerIsToldWhereToReport(t *testing.T) {
	c := startLeader(t)
	announce := &Call{Announce: &dispatch.Announcement{Life: workflow.Incarnation{Name: "i-1", BornMs: 1}, Address: "127.0.0.1:1", Service: "pool", Capacity: workflow.Resources{MilliProcessors: 1000}}}
	result := call(t, c, announce)
	require.Nil(t, result.Err)
	assert.Equal(t, c.options.Replica.Address, result.ReportTo)
}
