package workflow

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a number of a report, recorded before reports were checked, that hides all later
// ones of its worker.
func TestAnImpossibleReportIsOvertaken(t *testing.T) {
	s := NewState()
	require.NoError(t, s.Apply(&Op{Join: &Join{Life: Incarnation{Name: "w1", BornMs: 1}, Address: "10.0.0.1:1", Service: "pool", Capacity: Resources{MilliProcessors: 1000}}}))
	id := s.WorkerNamed("w1").ID
	for _, r := range []Resize{{Worker: id, Report: MaxReport + 1, Capacity: Resources{MilliProcessors: 9000}}, {Worker: id, Report: 5, Capacity: Resources{MilliProcessors: 2000}}} {
		require.NoError(t, s.Apply(&Op{Resize: &r}))
	}
	assert.EqualValues(t, 2000, s.Worker(id).Capacity.MilliProcessors)
}
