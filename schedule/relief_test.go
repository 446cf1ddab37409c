package schedule

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/types"
)

// baselineMicros is the latency of the tests' services without neighbours.
const baselineMicros = 1000

// fixedModel predicts that class noisy slows services down and that others do not.
type fixedModel struct{ *interference.Model }

func (m fixedModel) Baseline(interference.VictimID, float64) (float64, float64) {
	return math.Log(baselineMicros), 0
}

func (m fixedModel) LogSlowdown(_ interference.VictimID, c interference.Class, _, share float64) (float64, float64) {
	if c == m.Class("noisy") {
		return 0.4 * share, 0
	}
	return 0, 0
}

// reliefFixture is one worker with a service and three batch tasks. The test sets the
// latency of the service.
type reliefFixture struct {
	s     *Scheduler
	now   time.Time
	tasks map[types.TaskID]*types.Task
	log   []Action
	at    []time.Time // time of each action in log
}

func newReliefFixture(t *testing.T, weights types.Weights) *reliefFixture {
	p := &reliefFixture{s: New(Options{Seed: 1, Model: fixedModel{interference.NewModel()}}), now: epoch0, tasks: map[types.TaskID]*types.Task{}}
	p.s.SetConfig(types.Config{Weights: weights})
	p.s.UpsertWorker(testWorker(1))
	for id, class := range []string{"quote", "noisy", "noisy", "quiet"} {
		k := types.KindBatch
		if id == 0 {
			k = types.KindService
		}
		task := testTask(id+1, k, 1000)
		task.Job.Class = class
		p.tasks[task.ID] = &task
		p.s.UpsertTask(task)
	}
	p.plan()
	require.Len(t, p.log, 4)
	for id := range types.TaskID(4) {
		p.set(id+1, types.TaskRunning)
	}
	return p
}

func (p *reliefFixture) set(id types.TaskID, state types.TaskState) {
	task := p.tasks[id]
	task.State = state
	task.ChangedMs = p.now.UnixMilli()
	p.s.UpsertTask(*task)
}

// plan applies the actions. Checkpoints never end.
func (p *reliefFixture) plan() {
	for _, action := range p.s.Plan(p.now) {
		p.log = append(p.log, action)
		p.at = append(p.at, p.now)
		switch a := action.(type) {
		case Start:
			p.tasks[a.Task].Epoch, p.tasks[a.Task].Worker = a.Epoch, a.Worker
			p.set(a.Task, types.TaskStarting)
		case Throttle:
			p.tasks[a.Task].ShareMilli = a.ShareMilli
			p.set(a.Task, types.TaskThrottled)
		case Unthrottle:
			p.tasks[a.Task].ShareMilli = 0
			p.set(a.Task, types.TaskRunning)
		case Checkpoint:
			p.tasks[a.Task].Stopping = types.TaskEvicted
			p.set(a.Task, types.TaskCheckpointing)
		}
	}
}

// report advances by 10 s, passes the usage reports with the given slowdown of the
// service, and plans.
func (p *reliefFixture) report(slowdown float64) {
	p.now = p.now.Add(10 * time.Second)
	for id := range types.TaskID(4) {
		task := p.tasks[id+1]
		if !task.State.Placed() {
			continue
		}
		u := types.Usage{Task: task.ID, Epoch: task.Epoch, Worker: 1, AgeMs: 3000, MilliProcessors: 900}
		if task.Job.Kind == types.KindService {
			u.LatencyP99Us = int64(baselineMicros * slowdown)
		}
		p.s.ObserveUsage(p.now, u)
	}
	p.plan()
}

func count[A Action](log []Action) int {
	n := 0
	for _, a := range log {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

func TestReliefThrottlesContributorsBeforeItEvictsAndKills(t *testing.T) {
	p := newReliefFixture(t, types.Weights{TailLatency: 3, Evictions: 2, Throughput: 2})
	for range 30 {
		p.report(1.45)
	}
	relief := p.log[4:]
	require.IsType(t, Throttle{}, relief[0])
	assert.Equal(t, 4, count[Throttle](relief), "two noisy tasks with two throttle steps each")
	assert.Equal(t, 1, count[Checkpoint](relief))
	for _, a := range relief {
		throttle, ok := a.(Throttle)
		assert.False(t, ok && throttle.Task == 4, "the quiet task does not contribute")
	}
	why := p.s.Explain(2)
	require.NotEmpty(t, why.Events)
	assert.Contains(t, why.Events[0].Text, "throttled to 50%")
	assert.Contains(t, why.Lines()[len(why.Lines())-1], "service-1")
	last := relief[len(relief)-1]
	require.IsType(t, Stop{}, last, "the checkpoint did not end")
	waited := p.at[indexOf[Stop](p.log)].Sub(p.at[indexOf[Checkpoint](p.log)])
	assert.GreaterOrEqual(t, waited, checkpointTimeout)
	assert.Less(t, indexOf[Throttle](relief), indexOf[Checkpoint](relief))
	assert.Less(t, indexOf[Checkpoint](relief), indexOf[Stop](relief))
}

func indexOf[A Action](log []Action) int {
	for i, a := range log {
		if _, ok := a.(A); ok {
			return i
		}
	}
	return -1
}

func TestReliefDoesNotFlap(t *testing.T) {
	p := newReliefFixture(t, types.Weights{TailLatency: 3, Evictions: 3, Throughput: 2})
	const hours = 6
	for i := range hours * 360 {
		slowdown := 1.0
		if p.tasks[2].State == types.TaskRunning || p.tasks[3].State == types.TaskRunning || i%40 < 8 {
			slowdown = 1.5
		}
		p.report(slowdown)
	}
	// The hold-down doubles up to maxThrottleHoldDown, so an attempt is throttled at most
	// four times while it grows, and once in maxThrottleHoldDown after that.
	perTask := 5 + int(hours*time.Hour/maxThrottleHoldDown)
	assert.LessOrEqual(t, count[Unthrottle](p.log), 2*perTask)
	assert.Positive(t, count[Unthrottle](p.log))
}

func TestReliefKeepsToTheEvictionBudget(t *testing.T) {
	p := newReliefFixture(t, types.Weights{TailLatency: 3, Evictions: 2, Throughput: 2})
	const hours = 6
	for range hours * 360 {
		p.report(1.45)
		for id, task := range p.tasks {
			switch task.State {
			case types.TaskCheckpointing:
				task.Stopping, task.ShareMilli = "", 0
				p.set(id, types.TaskEvicted)
			case types.TaskStarting:
				p.set(id, types.TaskRunning)
			}
		}
	}
	assert.LessOrEqual(t, count[Checkpoint](p.log), 1+int(hours*p.s.evictionBudget.rate))
	assert.Positive(t, count[Checkpoint](p.log))
}

func TestMeasuredSlowdownIsAttributedToTheTasksThatRanThen(t *testing.T) {
	model := interference.NewModel()
	s := New(Options{Seed: 1, Model: model})
	s.UpsertWorker(testWorker(1))
	service, noisy := testTask(1, types.KindService, 1000), testTask(2, types.KindBatch, 4000)
	noisy.Job.Class = "noisy"
	now := epoch0
	run := func(task *types.Task, state types.TaskState) {
		task.State, task.Worker, task.ChangedMs = state, 1, now.UnixMilli()
		s.UpsertTask(*task)
	}
	service.Epoch = 1
	run(&service, types.TaskRunning)
	for i := range 200 {
		noisy.Epoch = uint64(i + 1)
		run(&noisy, types.TaskRunning)
		s.ObserveUsage(now, types.Usage{Task: 2, Epoch: noisy.Epoch, Worker: 1, MilliProcessors: 3000})
		now = now.Add(10 * time.Second)
		run(&noisy, types.TaskEvicted)
		// The report from the time with the neighbour arrives after the neighbour left.
		now = now.Add(5 * time.Second)
		s.ObserveUsage(now, types.Usage{Task: 1, Epoch: 1, Worker: 1, AgeMs: 8000, MilliProcessors: 500, LatencyP99Us: 2000})
		s.applyLatencyReports()
		now = now.Add(10 * time.Second)
		s.ObserveUsage(now, types.Usage{Task: 1, Epoch: 1, Worker: 1, AgeMs: 1000, MilliProcessors: 500, LatencyP99Us: 1000})
		s.applyLatencyReports()
	}
	share := 3.0 / 8
	logSlowdown, _ := model.LogSlowdown(s.tasks[1].job.victim, model.Class("noisy"), 0.5, share)
	assert.InDelta(t, math.Log(2), logSlowdown, 0.05)
}

func TestClassThatHarmsEverywhereStartsThrottledAfterAWhile(t *testing.T) {
	s := New(Options{Seed: 1, Model: fixedModel{interference.NewModel()}})
	s.UpsertWorker(testWorker(1))
	noisy := testTask(2, types.KindBatch, 4000)
	noisy.Job.Class = "noisy"
	tasks := submitAll(s, testTask(1, types.KindService, 1000), noisy)
	assert.Len(t, starts(settleStarts(s, tasks, epoch0)), 1)
	now := epoch0.Add(throttledStartAfter)
	assert.Len(t, starts(settleStarts(s, tasks, now)), 1)
	actions := s.Plan(now.Add(100 * time.Millisecond))
	require.Len(t, actions, 1)
	assert.Equal(t, Throttle{Task: 2, Epoch: 1, ShareMilli: firstShareMilli, Reason: actions[0].Cause()}, actions[0])
}
