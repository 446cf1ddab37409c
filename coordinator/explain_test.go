package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// Guards against a question that the leader does not pass to its engine, or that enters the log,
// and against an answer without a leader.
func TestTheLeaderExplainsAPlacement(t *testing.T) {
	c := startLeader(t)
	spec := workflow.JobSpec{Steps: []workflow.Step{{Count: 2, Resources: workflow.Resources{MilliProcessors: 1000}}}}
	question := &Call{ExplainPlacement: &dispatch.PlacementQuestion{Host: "host.example", Path: "/prefix-0000000/", Job: &spec}}
	before, err := c.store.Copy()
	require.NoError(t, err)
	result := call(t, c, question)
	require.Nil(t, result.Err)
	require.NotNil(t, result.Explanation)
	assert.Equal(t, c.replica.Status().Term, result.Explanation.Term)
	assert.Equal(t, "pool", result.Explanation.Service)
	assert.Equal(t, 2, result.Explanation.Steps[0].Pending)
	after, err := c.store.Copy()
	require.NoError(t, err)
	assert.Equal(t, before, after)
	assert.Equal(t, kind.NotFound, call(t, c, &Call{ExplainPlacement: &dispatch.PlacementQuestion{JobID: workflow.JobID(7).String()}}).Err.Kind)

	c.serving.Store(false)
	_, err = c.Do(context.Background(), question)
	assert.True(t, kind.Is(err, kind.NoQuorum), "%v", err)
	client := NewClient(ClientOptions{Seeds: []string{"a:1"}, Caller: unreachablePeers{}, Logger: zerolog.Nop()})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Do(ctx, question)
	assert.True(t, kind.Is(err, kind.NoQuorum), "%v", err)
}
