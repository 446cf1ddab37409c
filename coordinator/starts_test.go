package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/workflow"
)

// Guards against a start that waited for a connection and is sent to an evacuated domain, or
// for an engine that was dropped.
func TestStartsAreCheckedJustBeforeTheyAreSent(t *testing.T) {
	c := startLeader(t)
	start := &dispatch.Order{Verb: dispatch.Start, Term: c.Replica().Status().Term, Domain: "a"}
	assert.True(t, c.mayStart(start))
	assert.Nil(t, call(t, c, &Call{SetEvacuation: &workflow.SetEvacuation{Domain: "a", Evacuated: true}}).Err)
	assert.False(t, c.mayStart(start))
	assert.True(t, c.mayStart(&dispatch.Order{Verb: dispatch.Stop, Term: start.Term, Domain: "a"}))
	elsewhere := &dispatch.Order{Verb: dispatch.Start, Term: start.Term, Domain: "b"}
	assert.True(t, c.mayStart(elsewhere))
	elsewhere.Term--
	assert.False(t, c.mayStart(elsewhere), "its engine was dropped")
	assert.Nil(t, call(t, c, &Call{SetEvacuation: &workflow.SetEvacuation{Domain: "a"}}).Err)
	assert.Eventually(t, func() bool { return c.mayStart(start) }, 30*time.Second, time.Millisecond)
}
