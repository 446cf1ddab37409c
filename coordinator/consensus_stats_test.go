package coordinator

import (
	"bytes"
	"encoding/json"
	"expvar"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a document of metrics that tells nothing of the group when only its first 4,000
// bytes are kept.
func TestTheStateOfTheGroupComesEarlyInTheMetrics(t *testing.T) {
	c := startLeader(t)
	call(t, c, &Call{SetCatalog: catalogOf(1, 1)})
	vars := new(expvar.Map)
	c.Publish(vars)
	var published struct{ Consensus consensusStats }
	require.NoError(t, json.Unmarshal([]byte(vars.String()), &published))
	s := published.Consensus
	assert.Equal(t, "leader", s.Role)
	assert.True(t, s.Serving)
	assert.Equal(t, c.replica.Status().Term, s.Term)
	assert.Positive(t, s.Applied)
	for _, ms := range []int64{s.ContactMs, s.CommitMs, s.LoopMs} {
		assert.GreaterOrEqual(t, ms, int64(0))
	}
	_, after, ok := strings.Cut(vars.String(), `"consensus"`)
	require.True(t, ok)
	assert.Less(t, len(vars.String())-len(after), 3000)
}

// Guards against a leader whose batch is never committed, which no line of the log would tell.
func TestABatchThatIsNotCommittedIsLogged(t *testing.T) {
	c := startLeader(t)
	var out bytes.Buffer
	l := &loop{Coordinator: &Coordinator{options: c.options, replica: c.replica, metrics: newMetrics()}, nextOverdue: overdueCommit, proposedBytes: 7}
	l.options.Logger = zerolog.New(&out)
	l.reportOverdue()
	assert.Empty(t, out.String(), "no batch is in progress")
	l.metrics.proposedAt.set()
	l.reportOverdue()
	assert.Empty(t, out.String())
	l.metrics.proposedAt.ns.Add(-2 * overdueCommit.Nanoseconds())
	l.reportOverdue()
	l.reportOverdue()
	assert.Equal(t, 1, strings.Count(out.String(), "batch overdue"), "it is repeated after an interval only")
	assert.Contains(t, out.String(), `"bytes":7`)
	assert.GreaterOrEqual(t, l.nextOverdue, 3*time.Second)
}
