package dispatch

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// queueCatalog returns a catalog with the queues of the given names.
func queueCatalog(version uint64, names ...string) *workflow.Catalog {
	c := &workflow.Catalog{Version: version, Services: []workflow.Service{{Name: "pool"}}}
	for _, name := range names {
		c.Queues = append(c.Queues, workflow.Queue{Name: name, Host: "h", PathPrefix: "/" + name + "/", Service: "pool", TimeoutMs: 3000, MaxAttempts: 3})
	}
	return c
}

// Guards against an answer that shows a configuration which is not committed: if this
// leader fails, the next one answers by the previous configuration.
func TestAnAnswerAboutANewQueueWaitsForItsConfiguration(t *testing.T) {
	for path, want := range map[string]kind.Kind{"/added/": "", "/added/no-job": kind.BadRequest} {
		e := New(Settings{}, zerolog.Nop(), 1, workflow.NewState(), 0)
		e.SetCatalog(queueCatalog(1, "q"), func(*kind.Error) {})
		require.NotNil(t, e.TakeBatch())
		e.Committed()
		e.SetCatalog(queueCatalog(2, "q", "added"), func(*kind.Error) {})
		for range 2 { // Before and after the batch is proposed.
			var got *Reply
			e.HandleRequest(&Request{Verb: Query, Host: "h", Path: path}, func(r Reply) { got = &r })
			require.Nil(t, got, "%s: answered before the commit", path)
			if e.TakeBatch() == nil {
				e.Committed()
				require.NotNil(t, got)
				if want == "" {
					assert.Nil(t, got.Err)
					continue
				}
				assert.Equal(t, want, got.Err.Kind)
			}
		}
	}
}

// Guards against a worker's end that exceeds the limit of a command, which no leader
// could record. The end counts; its checkpoint is dropped.
func TestAnEndWithAnOversizedCheckpointIsRecorded(t *testing.T) {
	s := newSim(t, 1)
	s.setCatalog()
	w := s.addWorker("w1", 8)
	s.run(time.Second)
	long := step(1)
	long.EstimatedMs, long.Resumable = 60_000, true
	s.submit(1, long)
	s.run(time.Second)
	ref := workflow.TaskRef{Job: 1}
	require.NotNil(t, w.running[ref])
	v := s.engine.views[s.engine.state.WorkerNamed("w1").ID]
	s.engine.recordEnds(v, []EndedAttempt{{Number: 1, Task: ref, Attempt: 1, How: workflow.EndStopped, Checkpoint: strings.Repeat("c", workflow.MaxCommandBytes)}})
	assert.Nil(t, v.attempts[ref], "the attempt has ended")
	for batch := s.engine.TakeBatch(); batch != nil; batch = s.engine.TakeBatch() {
		data, err := batch.Encode()
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), workflow.MaxCommandBytes)
		s.engine.Committed()
	}
	assert.Empty(t, s.engine.state.Job(1).Task(ref).Checkpoint)
}

// Guards against a leader whose decisions of one round exceed the limit of the log. All
// of them are proposed, in order, each batch within the limit, and a gang in one batch.
func TestDecisionsOfOneRoundAreProposedInSeveralBatches(t *testing.T) {
	const jobs = 400
	committed := workflow.NewState()
	e := New(Settings{}, zerolog.Nop(), 1, workflow.NewState(), 0)
	e.SetCatalog(queueCatalog(1, "q"), func(*kind.Error) {})
	for i := range 40 {
		e.Announce(&Announcement{Life: workflow.Incarnation{Name: workflow.JobID(i).String(), BornMs: 1}, Address: workflow.JobID(i).String(), Service: "pool", Capacity: workflow.Resources{MilliProcessors: 100_000}}, func(*kind.Error) {})
	}
	for _, poll := range e.TakeOrders() {
		e.HandleAnswer(&Answer{Order: poll, Outcome: Done, ClockMs: 1})
	}
	accepted, gang := 0, workflow.Step{Count: 60, Gang: true, Resources: workflow.Resources{MilliProcessors: 100}}
	for i := range jobs {
		spec := &workflow.JobSpec{Payload: strings.Repeat("p", 4000), Steps: []workflow.Step{gang}}
		e.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + workflow.JobID(i+1).String(), Job: spec}, func(r Reply) {
			require.Nil(t, r.Err)
			require.NotNil(t, committed.Job(workflow.JobID(i+1)), "accepted before it was committed")
			accepted++
		})
	}
	batches, gangs := 0, 0
	for batch := e.TakeBatch(); batch != nil; batch = e.TakeBatch() {
		batches++
		data, err := batch.Encode()
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), workflow.MaxCommandBytes)
		placed := make(map[workflow.JobID]int)
		for _, op := range batch.Ops {
			if op.Place != nil {
				placed[op.Place.Task.Job]++
			}
		}
		for id, members := range placed {
			require.EqualValues(t, gang.Count, members, "job %s", id)
			gangs++
		}
		for _, err := range committed.ApplyBatch(batch) {
			require.NoError(t, err)
		}
		e.Committed()
	}
	assert.Greater(t, batches, 1)
	assert.Equal(t, jobs, accepted)
	assert.Equal(t, jobs, gangs)
	want, err := e.State().Snapshot()
	require.NoError(t, err)
	got, err := committed.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, want, got, "the replicated state is that of the leader")
}

// Guards against jobs that are small as a request and large as state: together they must
// not exhaust the memory of every member that leads. Jobs that are kept already, and the
// room of jobs that are dropped, are not affected.
func TestJobsBeyondTheMemoryOfAMemberAreRefused(t *testing.T) {
	const perJob = 20_000
	e := New(Settings{MaxJobBytes: 64 << 20}, zerolog.Nop(), 1, workflow.NewState(), 0)
	e.SetCatalog(queueCatalog(1, "q"), func(*kind.Error) {})
	request := func(verb RequestVerb, id workflow.JobID) (reply Reply) {
		spec := &workflow.JobSpec{Steps: []workflow.Step{{Count: perJob}}}
		e.HandleRequest(&Request{Verb: verb, Host: "h", Path: "/q/" + id.String(), Job: spec}, func(r Reply) { reply = r })
		for e.TakeBatch() != nil {
			e.Committed()
		}
		return reply
	}
	accepted := workflow.JobID(0)
	for ; accepted < 1000; accepted++ {
		if r := request(Submit, accepted+1); r.Err != nil {
			require.Equal(t, kind.Overloaded, r.Err.Kind)
			break
		}
	}
	require.Positive(t, accepted)
	require.Less(t, accepted, workflow.JobID(1000), "%d tasks are accepted", 1000*perJob)
	assert.Nil(t, request(Submit, 1).Err, "a job that was accepted is repeated")
	require.Nil(t, request(CancelJob, 1).Err)
	e.Advance(0, e.State().NowMs()+10*time.Minute.Milliseconds())
	require.Nil(t, request(CancelJob, 2).Err, "the time of the state advances with the next batch")
	assert.Nil(t, request(Submit, accepted+1).Err)
}

// Guards against a process that is ended for its memory because the estimate of jobs leaves
// something out: what is measured refuses further jobs too, and those accepted are answered.
func TestJobsAreRefusedWhileTheHeapIsFull(t *testing.T) {
	e := New(Settings{MaxJobBytes: 64 << 20, MaxHeapBytes: 1000}, zerolog.Nop(), 1, workflow.NewState(), 0)
	e.SetCatalog(queueCatalog(1, "q"), func(*kind.Error) {})
	submit := func(id workflow.JobID) (reply Reply) {
		spec := &workflow.JobSpec{Steps: []workflow.Step{{Count: 1}}}
		e.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + id.String(), Job: spec}, func(r Reply) { reply = r })
		for e.TakeBatch() != nil {
			e.Committed()
		}
		return reply
	}
	e.SetLiveHeap(1000)
	require.Nil(t, submit(1).Err)
	e.SetLiveHeap(1001)
	require.NotNil(t, submit(2).Err)
	assert.Equal(t, kind.Overloaded, submit(2).Err.Kind)
	assert.Nil(t, submit(1).Err, "a job that was accepted is repeated")
	e.SetLiveHeap(900)
	assert.Nil(t, submit(2).Err)
}

// Guards against a leader that loses its term with a gang that it places beside a configuration
// of nearly the size of a command: together they exceed it.
func TestAGangBesideALargeConfigurationIsABatchOfItsOwn(t *testing.T) {
	const members = 1000
	e := New(Settings{}, zerolog.Nop(), 1, workflow.NewState(), 0)
	commit := func() (batches int) {
		for batch := e.TakeBatch(); batch != nil; batch = e.TakeBatch() {
			data, err := batch.Encode()
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), workflow.MaxCommandBytes)
			e.Committed()
			batches++
		}
		return batches
	}
	e.SetCatalog(queueCatalog(1, "q"), func(err *kind.Error) { require.Nil(t, err) })
	for i := range 10 {
		name := workflow.JobID(i).String()
		e.Announce(&Announcement{Life: workflow.Incarnation{Name: name, BornMs: 1}, Address: name, Service: "pool", Capacity: workflow.Resources{MilliProcessors: 1_000_000}}, func(*kind.Error) {})
	}
	commit()
	for _, poll := range e.TakeOrders() {
		e.HandleAnswer(&Answer{Order: poll, Outcome: Done, ClockMs: 1})
	}
	large := queueCatalog(2, "q")
	large.Source = make([]byte, maxOpBytes-2000)
	for i, random := 0, rand.New(rand.NewPCG(1, 1)); i < len(large.Source); i++ {
		large.Source[i] = byte(random.Uint32()) // It can't be compressed.
	}
	spec := &workflow.JobSpec{Steps: []workflow.Step{{Count: members, Gang: true, Resources: workflow.Resources{MilliProcessors: 100}}}}
	e.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + workflow.JobID(1).String(), Job: spec}, func(r Reply) { require.Nil(t, r.Err) })
	e.SetCatalog(large, func(err *kind.Error) { require.Nil(t, err) })
	require.GreaterOrEqual(t, commit(), 2)
	require.Equal(t, workflow.TaskPlaced, e.state.Job(1).Task(workflow.TaskRef{Job: 1}).State)
	require.EqualValues(t, 2, e.state.Catalog().Version)
}
