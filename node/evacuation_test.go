package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/kind"
)

func (g *testCluster) domainRow(entry int, domain string) map[string]any {
	g.t.Helper()
	reply, err := g.command(entry, "show domains where domain = "+domain, "")
	require.NoError(g.t, err)
	require.Equal(g.t, kind.OutcomeDone, reply.Outcome, reply.Message)
	values := make(map[string]any)
	for _, row := range reply.Rows {
		for _, f := range row {
			values[f.Name] = f.Value
		}
	}
	return values
}

// Guards against an evacuation that is not in force on every entry host, that a change of
// leader loses, or that operators can't see.
func TestAnEvacuationIsInForceOnEveryEntryHost(t *testing.T) {
	g := newTestCluster(t, 3, 2)
	journal := fake.NewJournal()
	g.workerIn("d1", journal, "w1", 0)
	g.workerIn("d2", journal, "w2", 1)
	g.eventually("both domains are shown", func() bool {
		return g.domainRow(0, "d1")["workers"] == int64(1) && g.domainRow(0, "d2")["workers"] == int64(1)
	})
	g.mustCommand(0, `declare batch long { processors 1 memory 1GiB payload "{}" }`, "")
	g.eventually("long runs", func() bool { return journal.Live("long") != "" })
	domain, otherWorker := "d1", "w2"
	if journal.Live("long") == `worker "w2" epoch 1` {
		domain, otherWorker = "d2", "w1"
	}
	reply, err := g.command(0, "evacuate domain nowhere", "")
	require.NoError(t, err)
	assert.Equal(t, kind.NotFound, reply.Kind)
	g.mustCommand(0, "evacuate domain "+domain, "")
	inForce := func(want bool) func() bool {
		return func() bool {
			return g.entries[0].config.Evacuated(domain) == want && g.entries[1].config.Evacuated(domain) == want
		}
	}
	g.eventually("the evacuation is in force", inForce(true))
	row := g.domainRow(1, domain)
	assert.Equal(t, controlapi.DomainEvacuated, row["state"])
	assert.NotEmpty(t, row["since"])
	assert.Contains(t, row, "targets")
	g.eventually("long moves", func() bool { return journal.Live("long") == `worker "`+otherWorker+`" epoch 2` })

	leader := g.leader()
	g.control[leader].Stop()
	g.eventually("another leader", func() bool { l := g.leader(); return l >= 0 && l != leader })
	assert.Equal(t, controlapi.DomainEvacuated, g.domainRow(0, domain)["state"])
	g.mustCommand(1, "restore domain "+domain, "")
	g.eventually("the restore is in force", inForce(false))
	assert.Equal(t, controlapi.DomainInService, g.domainRow(1, domain)["state"])
	assert.Empty(t, journal.Violations())
}
