package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/workflow"
)

// TestAnExhaustedScavengerStandsForItsImage: whether a scavenger finds a place
// hangs on its image, so that the failure of one says nothing of another.
func TestAnExhaustedScavengerStandsForItsImage(t *testing.T) {
	ready := func(image string, processors int64, scavenger bool) *readyStep {
		return &readyStep{job: &workflow.Job{Service: "pool"}, step: &workflow.Step{
			Count: 1, Image: image, Scavenger: scavenger, Resources: workflow.Resources{MilliProcessors: processors},
		}}
	}
	p := &pool{}
	p.noteExhausted(ready("harmful", 1000, true), false)
	assert.True(t, p.covered(ready("harmful", 2000, true)))
	assert.False(t, p.covered(ready("harmful", 500, true)), "a smaller one may fit")
	assert.False(t, p.covered(ready("harmless", 2000, true)))
	assert.False(t, p.covered(ready("", 2000, false)))
	p.noteExhausted(ready("", 1000, false), true)
	assert.False(t, p.covered(ready("any", 2000, false)), "the task only avoids a worker")
	p.noteExhausted(ready("", 1000, false), false)
	assert.True(t, p.covered(ready("any", 2000, false)))
}
