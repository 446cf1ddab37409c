package coordinator

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/replica"
	"mangohill.example/mangohill/rpcclient"
	"mangohill.example/mangohill/workflow"
)

// startLeader starts a group of one member, which has the catalog of version 1.
func startLeader(t *testing.T) *Coordinator { return startLeaderWith(t, noWorkers{}) }

// startLeaderWith is startLeader with the given workers.
func startLeaderWith(t *testing.T, workers WorkerCaller) *Coordinator {
	rpc := rpcclient.New(rpcclient.Options{})
	t.Cleanup(rpc.Close)
	c, err := Start(Options{
		Replica:  replica.Options{Name: "c1", Address: "127.0.0.1:1", DataDir: t.TempDir(), Bootstrap: true, Caller: rpc},
		Dispatch: dispatch.Settings{Lease: 8 * time.Second, MaxLease: 10 * time.Second}, Workers: workers, Logger: zerolog.Nop(),
	})
	require.NoError(t, err)
	t.Cleanup(c.Stop)
	require.Eventually(t, c.leads, 30*time.Second, time.Millisecond)
	require.Nil(t, call(t, c, &Call{SetCatalog: catalogOf(1, 1)}).Err)
	return c
}

// call makes a call that the leader must answer without a change of leader.
func call(t *testing.T, c *Coordinator, call *Call) Result {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	result, err := c.Do(ctx, call)
	require.NoError(t, err)
	return result
}

// catalogOf returns a catalog with as many queues, whose text has 180 bytes a queue.
func catalogOf(version uint64, queues int) *workflow.Catalog {
	c := &workflow.Catalog{Version: version, Services: []workflow.Service{{Name: "pool"}}}
	var text strings.Builder
	for i := range queues {
		q := workflow.Queue{Name: fmt.Sprintf("queue-%07d", i), Host: "host.example", PathPrefix: fmt.Sprintf("/prefix-%07d/", i), Service: "pool", TimeoutMs: 3000, MaxAttempts: 3, StretchMilli: 2000, LatencyObjectiveMs: 1000}
		c.Queues = append(c.Queues, q)
		fmt.Fprintf(&text, `{"Name":%q,"Host":%q,"PathPrefix":%q,"Service":%q,"TimeoutMs":3000,"Priority":2,"TargetDurationMs":1000,"MaxAttempts":3,"Stretch":2.0},`, q.Name, q.Host, q.PathPrefix, q.Service)
	}
	c.Source = []byte(text.String())
	return c
}

func submission(id uint64, spec workflow.JobSpec) *Call {
	return &Call{Request: &dispatch.Request{Verb: dispatch.Submit, Host: "host.example", Path: "/prefix-0000000/" + workflow.JobID(id).String(), Job: &spec}}
}

// Guards against a valid configuration whose command exceeds the limit of the log, so
// that each leader that proposes it loses its engine and the operator's repetition ends
// the next one.
func TestALargeConfigurationDoesNotEndTheLeader(t *testing.T) {
	c := startLeader(t)
	term := c.replica.Status().Term
	for i, queues := range []int{4640, 5500} {
		version := uint64(i + 2)
		large := catalogOf(version, queues)
		require.Greater(t, len(large.Source), 800<<10)
		require.Nil(t, call(t, c, &Call{SetCatalog: large}).Err, "a text of %d bytes", len(large.Source))
		read := call(t, c, &Call{ReadCatalog: true}).Catalog
		assert.Equal(t, large.Version, read.Version)
		text, err := read.Text()
		require.NoError(t, err)
		assert.Equal(t, large.Source, text)
		require.Nil(t, call(t, c, &Call{SetCatalog: large}).Err, "the same again")
		changed := catalogOf(version, queues-1)
		require.Equal(t, kind.VersionConflict, call(t, c, &Call{SetCatalog: changed}).Err.Kind)
	}
	assert.Equal(t, term, c.replica.Status().Term)
}

// Guards against a read of a large configuration that costs the leader the transmission of all queues:
// the reader gets the text and needs nothing else.
func TestAReadOfAConfigurationCarriesItsTextAlone(t *testing.T) {
	c := startLeader(t)
	large := catalogOf(2, 4200)
	require.Nil(t, call(t, c, &Call{SetCatalog: large}).Err)
	compressed, err := large.Compressed()
	require.NoError(t, err)
	result := call(t, c, &Call{ReadCatalog: true})
	var encoded bytes.Buffer
	require.NoError(t, gob.NewEncoder(&encoded).Encode(&result))
	t.Logf("%d bytes, %d of them the text", encoded.Len(), len(compressed.CompressedSource))
	assert.Less(t, encoded.Len(), len(compressed.CompressedSource)+8<<10)
}

// Guards against calls of one round that make a batch above the limit of the log.
func TestManyLargeJobsAtOnceDoNotEndTheLeader(t *testing.T) {
	const jobs = 500
	c := startLeader(t)
	term := c.replica.Status().Term
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	var group sync.WaitGroup
	errs := make([]error, jobs)
	for i := range jobs {
		group.Go(func() {
			spec := workflow.JobSpec{Payload: strings.Repeat("p", 3900), Steps: []workflow.Step{{Count: 1, Resources: workflow.Resources{MilliProcessors: 1000}}}}
			result, err := c.Do(ctx, submission(uint64(i+1), spec))
			if err == nil && result.Err != nil {
				err = result.Err
			}
			errs[i] = err
		})
	}
	group.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	assert.Equal(t, term, c.replica.Status().Term)
}

// Guards against reports of many workers at once, as after an outage, that make a batch
// above the limit of the log.
func TestManyWorkersAtOnceDoNotEndTheLeader(t *testing.T) {
	const workers = 500
	c := startLeader(t)
	term := c.replica.Status().Term
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	var group sync.WaitGroup
	errs := make([]error, workers)
	for i := range workers {
		name := workflow.JobID(i + 1).String()
		group.Go(func() {
			result, err := c.Do(ctx, &Call{Announce: &dispatch.Announcement{Life: workflow.Incarnation{Name: name, BornMs: 1}, Address: name, Service: "pool", Labels: []string{strings.Repeat("l", 15<<10)}}})
			if err == nil && result.Err != nil {
				err = result.Err
			}
			errs[i] = err
		})
	}
	group.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	assert.Equal(t, term, c.replica.Status().Term)
}

// Guards against an input above the limit of a command that the leader takes, or leaves
// without an answer: it must be refused at once, and the leader must go on.
func TestAnInputAboveTheLimitOfACommandIsRefused(t *testing.T) {
	c := startLeader(t)
	term := c.replica.Status().Term
	huge := strings.Repeat("x", 2<<20)
	incompressible := catalogOf(2, 1)
	incompressible.Queues[0].Name = huge
	for name, oversized := range map[string]*Call{
		"configuration": {SetCatalog: incompressible},
		"image":         submission(1, workflow.JobSpec{Steps: []workflow.Step{{Count: 1, Image: huge}}}),
		"label":         submission(2, workflow.JobSpec{Steps: []workflow.Step{{Count: 1, Label: huge}}}),
		"rack":          submission(3, workflow.JobSpec{Steps: []workflow.Step{{Count: 1, DataRack: huge}}}),
		"dependencies":  submission(4, workflow.JobSpec{Steps: []workflow.Step{{Count: 1}, {Count: 1, After: make([]uint32, 2<<20)}}}),
		"worker":        {Announce: &dispatch.Announcement{Life: workflow.Incarnation{Name: "w1", BornMs: 1}, Address: "a:1", Service: "pool", Labels: []string{huge}}},
		"wave":          {StartWave: &workflow.StartWave{ID: 1, Hosts: []string{huge}, Parallel: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			result := call(t, c, oversized)
			require.NotNil(t, result.Err)
			assert.Contains(t, []kind.Kind{kind.BodyTooLarge, kind.BadRequest}, result.Err.Kind)
			assert.Equal(t, term, c.replica.Status().Term)
		})
	}
}

// Guards against an input that the leader applies and the log entry's decoder refuses:
// each leader in turn would find its state diverged.
func TestANameThatIsNotTextDoesNotEndTheLeader(t *testing.T) {
	c := startLeader(t)
	term := c.replica.Status().Term
	result := call(t, c, &Call{Announce: &dispatch.Announcement{Life: workflow.Incarnation{Name: "w\xff", BornMs: 1}, Address: "a:1", Service: "pool"}})
	require.NotNil(t, result.Err)
	assert.Equal(t, kind.BadRequest, result.Err.Kind)
	assert.Nil(t, call(t, c, &Call{Withdraw: &Withdrawal{Name: "w\xff"}}).Err)
	assert.Equal(t, term, c.replica.Status().Term)
}

// foreignWorker is a WorkerCaller whose worker refuses every fencing token.
type foreignWorker struct {
	noWorkers
	orders chan dispatch.Order
}

func (w foreignWorker) Do(_ context.Context, order *dispatch.Order, _ func() bool) dispatch.Answer {
	w.orders <- *order
	return dispatch.Answer{Order: *order, Outcome: dispatch.Fenced}
}

// Guards against a worker that refuses every leader's token, such as one that has served
// another cluster: it must not end each leader in turn. Whether another leader acts is
// for the replicated log to say.
func TestAWorkerWithAForeignFencingTokenDoesNotEndTheLeader(t *testing.T) {
	worker := foreignWorker{orders: make(chan dispatch.Order, 100)}
	c := startLeaderWith(t, worker)
	term := c.replica.Status().Term
	require.Nil(t, call(t, c, &Call{Announce: &dispatch.Announcement{Life: workflow.Incarnation{Name: "w1", BornMs: 1}, Address: "a:1", Service: "pool"}}).Err)
	<-worker.orders
	require.Never(t, func() bool { return c.replica.Status().Term > term || len(worker.orders) > 0 }, 2*time.Second, 10*time.Millisecond,
		"the leader must go on, and must not use the token at this worker again")
	require.NotNil(t, call(t, c, &Call{ReadCatalog: true}).Catalog)
}
