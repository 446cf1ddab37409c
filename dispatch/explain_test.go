package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

const explainedJob = workflow.JobID(99)

// explainCase is a state of a fleet and a job whose placement is explained in it.
type explainCase struct {
	prepare func(s *sim)
	spec    workflow.JobSpec
	// first is the expected first choice, empty for none; rejected is a filter that must reject
	// as many workers.
	first, filter string
	rejected      int
}

func withStep(change func(*workflow.Step)) workflow.JobSpec {
	changed := step(4)
	change(&changed)
	return workflow.JobSpec{Steps: []workflow.Step{changed}}
}

// occupy starts a job of which each worker gets a part.
func occupy(id workflow.JobID, count uint32, ms int64, change func(*workflow.Step)) func(*sim) {
	return func(s *sim) {
		load := step(count)
		load.EstimatedMs = ms
		change(&load)
		s.submit(id, load)
		s.run(time.Second)
	}
}

func unchanged(*workflow.Step) {}

func lasting(s *workflow.Step) { s.Lasting, s.Image, s.LatencyTargetMs = true, "web", 100 }

func scavenging(s *workflow.Step) { s.Scavenger, s.Image = true, "batch" }

var explainCases = map[string]explainCase{
	"free":       {prepare: func(*sim) {}, spec: withStep(unchanged), first: "b1"},
	"full":       {prepare: occupy(1, 28, 4000, unchanged), spec: withStep(unchanged), filter: filterCapacity, rejected: 3},
	"evacuated":  {prepare: func(s *sim) { s.evacuate("b") }, spec: withStep(unchanged), first: "a2", filter: filterEvacuated, rejected: 1},
	"draining":   {prepare: func(s *sim) { s.workers["b1:1"].draining = true; s.run(2 * time.Second) }, spec: withStep(unchanged), first: "a2", filter: filterDraining, rejected: 1},
	"quarantine": {prepare: func(s *sim) { s.viewOf("b1").quarantinedUntil = s.now.Add(time.Minute) }, spec: withStep(unchanged), first: "a2", filter: filterQuarantine, rejected: 1},
	"cut off":    {prepare: func(s *sim) { s.workers["b1:1"].partitioned = true; s.run(5 * time.Second) }, spec: withStep(unchanged), first: "a2", filter: filterUnreachable, rejected: 1},
	"takeover":   {prepare: func(s *sim) { s.takeOver() }, spec: withStep(unchanged), filter: filterUnreachable, rejected: 3},
	"limit":      {prepare: occupy(1, 3, 9000, unchanged), spec: withStep(func(s *workflow.Step) { s.MaxPerWorker = 1 }), first: "b1"},
	"label":      {prepare: func(*sim) {}, spec: withStep(func(s *workflow.Step) { s.Label = "gpu" }), filter: filterLabel, rejected: 3},
	"rack":       {prepare: func(*sim) {}, spec: withStep(func(s *workflow.Step) { s.OneRack = true }), first: "a2"},
	"lasting":    {prepare: occupy(1, 3, 500, lasting), spec: withStep(lasting), first: "b1"},
	"scavenger":  {prepare: occupy(1, 3, 500, lasting), spec: withStep(scavenging), first: "a1"},
}

// newExplainSim returns a fleet of workers of 12, 10 and 6 processors in the state of the case.
func newExplainSim(t *testing.T, c explainCase) *sim {
	s := newSim(t, 1)
	s.setCatalog()
	s.addWorkerIn("a", "a1", 12)
	s.addWorkerIn("a", "a2", 10)
	s.addWorkerIn("b", "b1", 6)
	s.run(time.Second)
	c.prepare(s)
	require.True(t, s.runUntil(time.Second, func() bool { return s.engine.inFlight == nil && len(s.engine.waiting) == 0 }))
	return s
}

func (s *sim) viewOf(name string) *workerView {
	for _, v := range s.engine.sortedViews {
		if v.worker.Life.Name == name {
			return v
		}
	}
	s.t.Fatalf("no worker %s", name)
	return nil
}

func (s *sim) explain(q *PlacementQuestion) *PlacementExplanation {
	x, err := s.engine.ExplainPlacement(q)
	require.Nil(s.t, err)
	return x
}

// nextPlacement submits a job and returns the worker on which the next plan places its first task,
// empty for none.
func (s *sim) nextPlacement(spec workflow.JobSpec) string {
	s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + explainedJob.String(), Job: &spec}, func(Reply) {})
	for _, op := range s.engine.TakeBatch().Ops {
		if op.Place != nil && op.Place.Task == (workflow.TaskRef{Job: explainedJob}) {
			return s.engine.state.Worker(op.Place.Worker).Life.Name
		}
	}
	return ""
}

// Guards against an explanation that differs from what the next plan does, and against parts of a
// score that are not those of the decision.
func TestTheExplainedFirstChoiceIsWhereTheNextPlanPlacesTheTask(t *testing.T) {
	for name, c := range explainCases {
		t.Run(name, func(t *testing.T) {
			s := newExplainSim(t, c)
			x := s.explain(&PlacementQuestion{Host: "h", Path: "/q/", Job: &c.spec})
			t.Logf("\n%s", x.Text())
			require.Len(t, x.Steps, 1)
			explained, first := x.Steps[0], ""
			assert.Empty(t, explained.Blocked)
			assert.Equal(t, 3, x.Workers)
			for _, w := range explained.Best {
				sum := int64(0)
				for _, p := range w.Parts {
					sum += p.Value
				}
				assert.Equal(t, w.Score, sum, "the parts of the score of %s", w.Worker)
			}
			counted := explained.Fitting
			for _, r := range explained.Rejections {
				assert.LessOrEqual(t, len(r.Examples), maxRejectionExamples)
				assert.NotEqual(t, filterOther, r.Filter)
				if r.Filter != filterSilent {
					counted += r.Workers
				}
				if r.Filter == c.filter {
					assert.Equal(t, c.rejected, r.Workers)
				}
			}
			assert.Equal(t, x.Workers, counted, "each worker must fit or be rejected once")
			if c.filter != "" {
				assert.Contains(t, x.Text(), c.filter)
			}
			if len(explained.Best) > 0 {
				first = explained.Best[0].Worker
			}
			assert.Equal(t, c.first, first)
			assert.Equal(t, first, s.nextPlacement(c.spec))
		})
	}
}

// Guards against a question that changes the state, or a cache that later decisions read.
func TestAnExplanationChangesNothing(t *testing.T) {
	for name, c := range explainCases {
		t.Run(name, func(t *testing.T) {
			var snapshots, batches [2][]byte
			var later [2][]byte
			for i := range 2 {
				s := newExplainSim(t, c)
				v := s.engine.sortedViews[0]
				cached, sortedAt, images := v.placementState, s.engine.ready.lastSortMs, s.engine.slowdown.pairs.Clone()
				if i == 1 {
					for range 3 {
						s.explain(&PlacementQuestion{Queue: "q", Job: &c.spec})
					}
				}
				assert.Same(t, cached, v.placementState)
				assert.Equal(t, sortedAt, s.engine.ready.lastSortMs)
				assert.Equal(t, images, s.engine.slowdown.pairs.Clone())
				var err error
				snapshots[i], err = s.engine.State().Snapshot()
				require.NoError(t, err)
				s.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + explainedJob.String(), Job: &c.spec}, func(Reply) {})
				s.runEngine()
				batches[i], err = s.pending.Encode()
				require.NoError(t, err)
				s.run(8 * time.Second)
				later[i], err = s.committed.Snapshot()
				require.NoError(t, err)
				assert.Empty(t, s.violations)
			}
			assert.Equal(t, snapshots[0], snapshots[1])
			assert.Equal(t, batches[0], batches[1])
			assert.Equal(t, later[0], later[1], "the decisions of the following seconds")
		})
	}
}

// Guards against an answer without a time while the fleet is full, and against a time that is far
// from the next start.
func TestAWaitingJobIsExplained(t *testing.T) {
	s := newExplainSim(t, explainCases["full"])
	s.submit(2, step(4))
	full := s.explain(&PlacementQuestion{JobID: workflow.JobID(2).String()})
	t.Logf("\n%s", full.Text())
	require.NotNil(t, full.Steps[0].NextFree)
	expected := s.now.Add(time.Duration(full.Steps[0].NextFree.InMs) * time.Millisecond)
	assert.Equal(t, 4, full.Steps[0].Pending)
	started := s.starts
	require.True(t, s.runUntil(20*time.Second, func() bool { return s.starts > started }))
	assert.InDelta(t, 0, s.now.Sub(expected).Seconds(), 1, "the expected time of the first start")
}

// Guards against an answer that overlooks the limit per worker of a job that waits.
func TestALimitPerWorkerIsExplained(t *testing.T) {
	s := newExplainSim(t, explainCase{prepare: func(s *sim) {
		s.viewOf("a1").quarantinedUntil, s.viewOf("b1").quarantinedUntil = s.now.Add(time.Minute), s.now.Add(time.Minute)
		occupy(2, 4, 30_000, func(s *workflow.Step) { s.MaxPerWorker = 1 })(s)
	}})
	s.viewOf("a1").quarantinedUntil, s.viewOf("b1").quarantinedUntil = 0, 0
	x := s.explain(&PlacementQuestion{JobID: workflow.JobID(2).String()})
	t.Logf("\n%s", x.Text())
	explained := x.Steps[0]
	assert.Equal(t, 3, explained.Pending)
	assert.Equal(t, 2, explained.RoomFor)
	require.Len(t, explained.Rejections, 1)
	assert.Equal(t, filterMaxPerWorker, explained.Rejections[0].Filter)
	assert.Equal(t, "a2", explained.Rejections[0].Examples[0].Worker)
	placed := s.engine.TakeBatch().Ops[0].Place
	assert.Equal(t, explained.Best[0].Worker, s.engine.state.Worker(placed.Worker).Life.Name)
}

// Guards against questions that are answered although they name nothing.
func TestUnanswerableQuestionsAreRefused(t *testing.T) {
	s := newExplainSim(t, explainCases["free"])
	spec := withStep(unchanged)
	for _, c := range []struct {
		question PlacementQuestion
		want     kind.Kind
	}{
		{PlacementQuestion{}, kind.BadRequest},
		{PlacementQuestion{Queue: "q", Job: &workflow.JobSpec{}}, kind.BadRequest},
		{PlacementQuestion{Queue: "other", Job: &spec}, kind.NotFound},
		{PlacementQuestion{Host: "h", Path: "/other/", Job: &spec}, kind.UnknownService},
		{PlacementQuestion{JobID: explainedJob.String()}, kind.NotFound},
		{PlacementQuestion{JobID: "x"}, kind.BadRequest},
	} {
		_, err := s.engine.ExplainPlacement(&c.question)
		require.NotNil(t, err)
		assert.Equal(t, c.want, err.Kind)
	}
}

// Guards against a change of what later decisions read while capacity is held for urgent tasks,
// scavengers run and lasting tasks wait, and against workers that are counted twice or whose
// filter is not named.
func TestExplanationsUnderLoadChangeNothing(t *testing.T) {
	var snapshots [2][]byte
	for i := range 2 {
		u := newUrgentLoad(newSim(t, 1))
		u.fillWithLasting(7300.0 / 9150)
		u.run(2 * time.Second)
		u.arrivals(0, 8*time.Second, 15, u.submitQuick)
		u.arrivals(0, 8*time.Second, 18, u.submitBatch)
		held := false
		for range 200 {
			// Questions come between ticks, when caches are out of date.
			u.run(39 * time.Millisecond)
			u.engine.Advance(u.now, u.wall())
			if i == 1 {
				before := decisionInputsOf(u.engine)
				held = u.checkExplanations() || held
				require.Equal(t, before, decisionInputsOf(u.engine))
			}
		}
		u.run(2 * time.Second)
		var err error
		snapshots[i], err = u.committed.Snapshot()
		require.NoError(t, err)
		if i == 1 {
			assert.True(t, held, "no capacity was held for urgent tasks")
		}
	}
	assert.Equal(t, snapshots[0], snapshots[1])
}

// checkExplanations asks for jobs of each kind and reports whether capacity was held.
func (u *urgentLoad) checkExplanations() bool {
	held := false
	for queue, change := range map[string]func(*workflow.Step){"quick": unchanged, "batch": scavenging, "lasting": lasting} {
		spec := withStep(change)
		spec.Steps[0].Resources = workflow.Resources{MilliProcessors: 2700, MemoryMB: 5200}
		x := u.explain(&PlacementQuestion{Queue: queue, Job: &spec})
		explained := x.Steps[0]
		counted := explained.Fitting
		for _, r := range explained.Rejections {
			assert.NotEqual(u.t, filterOther, r.Filter)
			held = held || r.Filter == filterHeld || r.Filter == filterReserved
			if r.Filter != filterSilent {
				counted += r.Workers
			}
		}
		held = held || explained.Blocked != ""
		assert.Equal(u.t, x.Workers, counted, "%s", x.Text())
		for _, w := range explained.Best {
			sum := int64(0)
			for _, p := range w.Parts {
				sum += p.Value
			}
			assert.Equal(u.t, w.Score, sum)
		}
	}
	return held
}

// decisionInputs is what ranking changes of an engine, and later decisions read.
type decisionInputs struct {
	placementStates []*placementState
	classes         []attemptClass
	lateness        []lateness
	densities       []float64
	sorted          []*readyStep
	lastSortMs      int64
	dirty, tickets  int
	pools           map[string]urgentPool
	images          *interference.PairModel
}

func decisionInputsOf(e *Engine) *decisionInputs {
	d := &decisionInputs{lastSortMs: e.ready.lastSortMs, sorted: slices.Clone(e.ready.sorted), dirty: len(e.ready.dirtyJobs), tickets: len(e.advisor.steps), pools: make(map[string]urgentPool), images: e.slowdown.pairs.Clone()}
	for _, v := range e.sortedViews {
		d.placementStates = append(d.placementStates, v.placementState)
		for _, a := range v.attemptList {
			d.classes = append(d.classes, a.class)
		}
	}
	for _, s := range d.sorted {
		d.lateness, d.densities = append(d.lateness, s.lateness), append(d.densities, s.valueDensity)
	}
	for service, p := range e.urgentPools {
		d.pools[service] = *p
	}
	return d
}

// Guards against an answer whose size or cost grows with the job.
func TestTheExplanationOfALargeJobIsBounded(t *testing.T) {
	s := newExplainSim(t, explainCases["free"])
	large := step(1000)
	large.OneRack = true
	spec := workflow.JobSpec{}
	for range 20 {
		spec.Steps = append(spec.Steps, large)
	}
	x := s.explain(&PlacementQuestion{Queue: "q", Job: &spec})
	assert.Len(t, x.Steps, maxExplainedSteps)
	assert.Equal(t, 4, x.OmittedSteps)
	room := 0
	for _, explained := range x.Steps {
		room += explained.RoomFor
		assert.Contains(t, x.Text(), "room for at least 4 tasks")
	}
	assert.Equal(t, maxExplainedTasks, room)
}

// Guards against the time since a takeover that is shown as that since an answer.
func TestAWorkerThatNeverAnsweredTheLeaderIsShownSo(t *testing.T) {
	s := newExplainSim(t, explainCases["takeover"])
	spec := withStep(unchanged)
	x := s.explain(&PlacementQuestion{Queue: "q", Job: &spec})
	assert.EqualValues(t, -1, x.Steps[0].Rejections[0].Examples[0].LastAnswerMs)
	assert.Contains(t, x.Text(), "no answer to this leader yet")
}
