package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// settleStarts plans and reports the started tasks as running.
func settleStarts(s *Scheduler, tasks map[types.TaskID]*types.Task, now time.Time) []Action {
	actions := s.Plan(now)
	for _, a := range starts(actions) {
		t := tasks[a.Task]
		t.State, t.Worker, t.Epoch, t.ChangedMs = types.TaskRunning, a.Worker, a.Epoch, now.UnixMilli()
		s.UpsertTask(*t)
	}
	return actions
}

func submitAll(s *Scheduler, list ...types.Task) map[types.TaskID]*types.Task {
	tasks := map[types.TaskID]*types.Task{}
	for i := range list {
		tasks[list[i].ID] = &list[i]
		s.UpsertTask(list[i])
	}
	return tasks
}

func TestUrgentTaskPreemptsTheCheapestTask(t *testing.T) {
	s := New(Options{Seed: 1})
	s.UpsertWorker(testWorker(1))
	tasks := submitAll(s, testTask(1, types.KindBatch, 2000), testTask(2, types.KindBatch, 4800), testTask(3, types.KindBatch, 1000))
	settleStarts(s, tasks, epoch0)
	urgent := testTask(9, types.KindBatch, 2000)
	urgent.Job.Urgent = true
	now := epoch0.Add(time.Hour)
	s.UpsertTask(urgent)
	actions := s.Plan(now)
	require.Len(t, actions, 1)
	assert.Equal(t, types.TaskID(1), actions[0].(Checkpoint).Task)
	assert.Contains(t, s.Explain(9).Outcome, "leave")
	assert.Empty(t, s.Plan(now.Add(100*time.Millisecond)))

	victim := tasks[1]
	victim.State, victim.Stopping = types.TaskCheckpointing, types.TaskEvicted
	s.UpsertTask(*victim)
	late := s.Plan(now.Add(preemptionGrace))
	require.Len(t, late, 1, "a checkpoint that takes too long is stopped")
	assert.Equal(t, types.TaskID(1), late[0].(Stop).Task)

	victim.State, victim.Stopping, victim.Worker = types.TaskEvicted, "", 0
	s.UpsertTask(*victim)
	begun := starts(s.Plan(now.Add(1100 * time.Millisecond)))
	require.Len(t, begun, 1, "the room is reserved: neither the evicted task nor task 3 takes it")
	assert.Equal(t, types.TaskID(9), begun[0].Task)
}

func TestDrainedServiceIsReplacedBeforeItStops(t *testing.T) {
	s := New(Options{Seed: 1})
	s.UpsertWorker(testWorker(1))
	tasks := submitAll(s, testTask(1, types.KindService, 1000), testTask(2, types.KindBatch, 1000))
	settleStarts(s, tasks, epoch0)
	drained := testWorker(1)
	drained.DrainRequested = true
	s.UpsertWorker(drained)
	s.UpsertWorker(testWorker(2))
	now := epoch0.Add(time.Minute)
	actions := s.Plan(now)
	require.Len(t, actions, 2)
	assert.Equal(t, types.TaskID(1), actions[0].(Replace).Task)
	assert.Equal(t, types.TaskID(2), actions[1].(Checkpoint).Task)

	s.Rejected(actions[0], kind.Errorf(kind.NoQuorum, "no leader"))
	again := s.Plan(now)
	require.Len(t, again, 1, "a temporary error does not stop the service")
	assert.IsType(t, Replace{}, again[0])

	replacement := testTask(3, types.KindService, 1000)
	replacement.Job = tasks[1].Job
	replacement.Replaces = 1
	tasks[3] = &replacement
	s.UpsertTask(replacement)
	begun := starts(settleStarts(s, tasks, now.Add(time.Second)))
	require.Len(t, begun, 1)
	assert.Equal(t, types.WorkerID(2), begun[0].Worker)
	assert.Empty(t, s.Plan(now.Add(2*time.Second)), "the old replica serves until the target of the new one is announced")
	last := s.Plan(now.Add(time.Second + replacementSettleTime))
	require.Len(t, last, 1)
	assert.Equal(t, Stop{Task: 1, Epoch: 1, Then: types.TaskFinished, Reason: last[0].Cause()}, last[0])
}

func TestTaskThatCannotFinishInTimeIsNotStartedAndExplained(t *testing.T) {
	s := New(Options{Seed: 1})
	s.SetConfig(types.Config{CreditsEnd: epoch0.Add(time.Hour)})
	s.UpsertWorker(testWorker(1))
	long, short, late := testTask(1, types.KindBatch, 1000), testTask(2, types.KindBatch, 1000), testTask(3, types.KindBatch, 1000)
	long.Job.ExpectedMs = (2 * time.Hour).Milliseconds()
	short.Job.ExpectedMs = (30 * time.Minute).Milliseconds()
	late.Job.ExpectedMs = (30 * time.Minute).Milliseconds()
	late.Job.DeadlineMs = epoch0.Add(10 * time.Minute).UnixMilli()
	tasks := submitAll(s, long, short, late)
	begun := starts(settleStarts(s, tasks, epoch0))
	require.Len(t, begun, 1)
	assert.Equal(t, types.TaskID(2), begun[0].Task)
	assert.Contains(t, s.Explain(1).Outcome, "the end of the credits")
	assert.Contains(t, s.Explain(3).Outcome, "its deadline")
	s.SetConfig(types.Config{CreditsEnd: epoch0.Add(9 * time.Hour)})
	assert.Len(t, starts(s.Plan(epoch0.Add(deadlineRecheckInterval))), 1, "the credits were extended")
}

func TestTeamsShareFairlyWithinTheirQuotas(t *testing.T) {
	s := New(Options{Seed: 1})
	s.UpsertWorker(testWorker(1))
	var list []types.Task
	for i := range 30 {
		task := testTask(i+1, types.KindBatch, 1000)
		task.Job.Team = []string{"many", "many", "many", "many", "few"}[i%5]
		list = append(list, task)
	}
	tasks := submitAll(s, list...)
	held := map[string]int{}
	for _, a := range starts(settleStarts(s, tasks, epoch0)) {
		held[tasks[a.Task].Job.Team]++
	}
	assert.Equal(t, map[string]int{"many": 3, "few": 3}, held)
	s.SetConfig(types.Config{Teams: map[string]types.TeamQuota{"few": {Processors: 4}}})
	for id := range types.WorkerID(6) {
		s.UpsertWorker(testWorker(int(id) + 2))
	}
	settleStarts(s, tasks, epoch0)
	assert.EqualValues(t, 4000, s.teams["few"].used.MilliProcessors)
	assert.Contains(t, s.Explain(tasks[30].ID).Outcome, "quota")
}

func TestCancellationBurstDoesNotDelayStarts(t *testing.T) {
	s := New(Options{Seed: 1})
	var list []types.Task
	for i := range 20_000 {
		list = append(list, testTask(i+1, types.KindBatch, 1000))
	}
	submitAll(s, list...)
	for _, task := range list[:19_990] {
		task.State = types.TaskCancelled
		s.UpsertTask(task)
		s.RemoveTask(task.ID)
	}
	assert.Equal(t, 10, s.queue.length)
	s.UpsertWorker(testWorker(1))
	assert.Len(t, starts(s.Plan(epoch0)), 6, "the headroom of one worker allows six tasks")
}

func TestLargeTaskIsNotStarvedBySmallOnes(t *testing.T) {
	s := New(Options{Seed: 1})
	s.UpsertWorker(testWorker(1))
	tasks := map[types.TaskID]*types.Task{}
	submit := func(milli int64, now time.Time) {
		task := testTask(len(tasks)+1, types.KindBatch, milli)
		task.SubmittedMs, task.ChangedMs = now.UnixMilli(), now.UnixMilli()
		tasks[task.ID] = &task
		s.UpsertTask(task)
	}
	for i := range 6 {
		submit(1000, epoch0.Add(time.Duration(i)*time.Millisecond))
	}
	settleStarts(s, tasks, epoch0)
	submit(6000, epoch0)
	large := tasks[7]
	for i := 1; large.State == types.TaskWaiting && i < 60; i++ {
		now := epoch0.Add(time.Duration(i) * time.Minute)
		submit(1000, now)
		for id := range types.TaskID(len(tasks)) {
			task := tasks[id+1]
			if task.State == types.TaskRunning && now.UnixMilli()-task.ChangedMs >= 5*60_000+int64(task.ID%6)*60_000 {
				task.State, task.Worker, task.ChangedMs = types.TaskFinished, 0, now.UnixMilli()
				s.UpsertTask(*task)
			}
		}
		settleStarts(s, tasks, now)
	}
	assert.Equal(t, types.TaskRunning, large.State)
}

func TestReplicasSpreadOverDomainsAndRacks(t *testing.T) {
	s := New(Options{Seed: 1})
	for i := range 64 {
		s.UpsertWorker(testWorker(i + 1))
	}
	job := testTask(1, types.KindService, 1000).Job
	domains := map[string]int{}
	racks := map[string]int{}
	for i := range 16 {
		task := testTask(i+1, types.KindService, 1000)
		task.Job = job
		s.UpsertTask(task)
	}
	for _, a := range starts(s.Plan(epoch0)) {
		w := s.hostByID[a.Worker].worker
		domains[w.FailureDomain]++
		racks[w.Rack]++
	}
	assert.Equal(t, map[string]int{"d0": 4, "d1": 4, "d2": 4, "d3": 4}, domains)
	for rack, n := range racks {
		assert.LessOrEqual(t, n, 2, fmt.Sprint("rack ", rack))
	}
}

func TestNewLeaderKnowsWhatRanBefore(t *testing.T) {
	s := New(Options{Seed: 1})
	throttled := testTask(1, types.KindBatch, 2000)
	throttled.State, throttled.Worker, throttled.Epoch, throttled.ShareMilli = types.TaskThrottled, 1, 4, 500
	throttled.ChangedMs = epoch0.UnixMilli()
	s.UpsertTask(throttled)
	s.UpsertWorker(testWorker(1))
	assert.Equal(t, throttled.Job.Request, s.hostByID[1].committed, "the request of a task that was known before its worker is committed")
	s.UpsertTask(testTask(2, types.KindBatch, 6001))
	assert.Empty(t, starts(s.Plan(epoch0.Add(time.Hour))))
	assert.InDelta(t, 2*(restartSeconds+checkpointFailureChance*3600), s.evictionCost(s.tasks[1]), 1)
}

func TestUnknownClassIsTriedAloneBesideAService(t *testing.T) {
	s := New(Options{Seed: 1})
	s.UpsertWorker(testWorker(1))
	tasks := submitAll(s, testTask(1, types.KindService, 1000))
	settleStarts(s, tasks, epoch0)
	for id := 2; id <= 4; id++ {
		unknown := testTask(id, types.KindBatch, 1500)
		unknown.Job.Class = "unknown"
		tasks[unknown.ID] = &unknown
		s.UpsertTask(unknown)
	}
	assert.Len(t, starts(settleStarts(s, tasks, epoch0)), 1)
	why := s.Explain(4)
	require.NotEmpty(t, why.RuledOut)
	assert.Equal(t, "interference", why.RuledOut[0].Filter)
}

func TestWaitingTaskStartsWhenTheMeasuredUseFalls(t *testing.T) {
	s := New(Options{Seed: 1})
	s.UpsertWorker(testWorker(1))
	tasks := submitAll(s, testTask(1, types.KindBatch, 4000))
	settleStarts(s, tasks, epoch0)
	now := epoch0.Add(10 * time.Second)
	s.ObserveUsage(now, types.Usage{Task: 1, Epoch: 1, Worker: 1, MilliProcessors: 6800})
	second := testTask(2, types.KindBatch, 1000)
	s.UpsertTask(second)
	assert.Empty(t, starts(s.Plan(now)))
	assert.Equal(t, "headroom", s.Explain(2).RuledOut[0].Filter)
	now = now.Add(time.Second)
	s.ObserveUsage(now, types.Usage{Task: 1, Epoch: 1, Worker: 1, MilliProcessors: 1000})
	assert.Len(t, starts(s.Plan(now.Add(batchSearchInterval))), 1)
}

func TestLearnedMemoryOfAClassKeepsAHostFromRunningOut(t *testing.T) {
	s := New(Options{Seed: 1})
	s.UpsertWorker(testWorker(1))
	var list []types.Task
	for id := 1; id <= 5; id++ {
		task := testTask(id, types.KindBatch, 100)
		task.Job.Class = "large"
		task.Job.Request.MemoryBytes = 4 * gib
		list = append(list, task)
	}
	tasks := submitAll(s, list[:3]...)
	settleStarts(s, tasks, epoch0)
	now := epoch0.Add(10 * time.Second)
	for range 20 {
		for id := range types.TaskID(3) {
			s.ObserveUsage(now, types.Usage{Task: id + 1, Epoch: 1, Worker: 1, MilliProcessors: 100, MemoryBytes: 8 * gib})
		}
		now = now.Add(10 * time.Second)
	}
	s.UpsertTask(list[3])
	assert.Empty(t, starts(s.Plan(now)), "24 of 32 GiB are used, and a task of the class is expected to use 8")
	assert.Equal(t, "headroom", s.Explain(4).RuledOut[0].Filter)
}

func TestResumedTaskNeedsOnlyWhatItsCheckpointLacks(t *testing.T) {
	s := New(Options{Seed: 1})
	s.SetConfig(types.Config{CreditsEnd: epoch0.Add(3 * time.Hour)})
	s.UpsertWorker(testWorker(1))
	task := testTask(1, types.KindBatch, 1000)
	task.Job.ExpectedMs = (2 * time.Hour).Milliseconds()
	tasks := submitAll(s, task)
	settleStarts(s, tasks, epoch0)
	now := epoch0.Add(90 * time.Minute)
	s.ObserveUsage(now, types.Usage{Task: 1, Epoch: 1, Worker: 1, MilliProcessors: 900, ProgressMilli: 750})
	for _, state := range []types.TaskState{types.TaskCheckpointing, types.TaskEvicted} {
		tasks[1].State, tasks[1].ChangedMs = state, now.UnixMilli()
		s.UpsertTask(*tasks[1])
	}
	assert.Equal(t, 30*time.Minute, s.remainingRuntime(s.tasks[1]).Round(time.Minute))
	assert.Len(t, starts(s.Plan(epoch0.Add(2*time.Hour))), 1)
}

func TestUnknownClassIsTriedOnASmallHost(t *testing.T) {
	s := New(Options{Seed: 1})
	s.UpsertWorker(testWorker(1))
	tasks := submitAll(s, testTask(1, types.KindService, 1000))
	settleStarts(s, tasks, epoch0)
	s.UpsertTask(testTask(2, types.KindBatch, 4000)) // Half of the host.
	assert.Len(t, starts(s.Plan(epoch0)), 1)
}
