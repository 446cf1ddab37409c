package schedule

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"mangohill.example/mangohill/types"
)

// fullCluster is a scheduler with 20 tasks on each worker, about a tenth of them
// replicas of services.
type fullCluster struct {
	s      *Scheduler
	random *rand.Rand
	tasks  []*types.Task
	now    time.Time
	nextID types.TaskID
}

const tasksPerWorker = 20

func newFullCluster(n int, model Model) *fullCluster {
	c := &fullCluster{s: New(Options{Seed: 1, Model: model}), random: rand.New(rand.NewPCG(1, 1)), now: epoch0}
	c.s.SetConfig(types.Config{Weights: types.Weights{TailLatency: 3, Evictions: 3, Throughput: 2}})
	for i := range n {
		w := testWorker(i + 1)
		w.FailureDomain = fmt.Sprintf("d%d", i*5/n)
		w.Capacity = types.Resources{MilliProcessors: 64_000, MemoryBytes: 250 * gib, Accelerators: int64(i % 3)}
		c.s.UpsertWorker(w)
	}
	for i := range n * tasksPerWorker {
		c.submit(i%8 == 0)
	}
	c.settle()
	return c
}

func (c *fullCluster) submit(service bool) {
	c.nextID++
	task := testTask(int(c.nextID), types.KindBatch, 1500+100*c.random.Int64N(8))
	task.Job.Class = fmt.Sprintf("class-%d", c.random.IntN(8))
	task.Job.Team = fmt.Sprintf("team-%d", c.random.IntN(23))
	task.Job.ExpectedMs = 600_000
	if service {
		task.Job.Kind = types.KindService
		task.Job.Name = fmt.Sprintf("service-%d", c.random.IntN(40))
		task.Job.Class = ""
	}
	c.tasks = append(c.tasks, &task)
	c.s.UpsertTask(task)
}

// settle plans until nothing starts, and reports the started tasks as running.
func (c *fullCluster) settle() int {
	total := 0
	for {
		actions := c.s.Plan(c.now)
		if len(actions) == 0 {
			return total
		}
		c.evict(actions)
		begun := starts(actions)
		total += len(begun)
		for _, a := range begun {
			task := c.tasks[a.Task-1]
			task.State, task.Worker, task.Epoch, task.ChangedMs = types.TaskRunning, a.Worker, a.Epoch, c.now.UnixMilli()
			c.s.UpsertTask(*task)
		}
	}
}

// evict reports the tasks that the plan checkpoints as evicted.
func (c *fullCluster) evict(actions []Action) {
	for _, action := range actions {
		a, ok := action.(Checkpoint)
		if !ok {
			continue
		}
		task := c.tasks[a.Task-1]
		task.State, task.Worker, task.ChangedMs = types.TaskEvicted, 0, c.now.UnixMilli()
		c.s.UpsertTask(*task)
	}
}

// finish reports n random running batch tasks as finished.
func (c *fullCluster) finish(n int) {
	for n > 0 {
		task := c.tasks[c.random.IntN(len(c.tasks))]
		if task.State != types.TaskRunning || task.Job.Kind == types.KindService {
			continue
		}
		task.State, task.Worker, task.ChangedMs = types.TaskFinished, 0, c.now.UnixMilli()
		c.s.UpsertTask(*task)
		n--
	}
}

// report passes the usage reports of up to n random running tasks.
func (c *fullCluster) report(n int) {
	for range n {
		task := c.tasks[c.random.IntN(len(c.tasks))]
		if task.State != types.TaskRunning {
			continue
		}
		u := types.Usage{Task: task.ID, Epoch: task.Epoch, Worker: task.Worker, AgeMs: 4000, MilliProcessors: task.Job.Request.MilliProcessors * 7 / 10}
		if task.Job.Kind == types.KindService {
			u.LatencyP99Us = 20_000 + c.random.Int64N(2000)
		}
		c.s.ObserveUsage(c.now, u)
	}
}

// BenchmarkDecision measures 100 ms of a cluster with 200 starts and 200 ends in a
// second, including its usage reports, and reports the cost of one start.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{65, 260, 560, 1120} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newFullCluster(workers, nil)
			begun := 0
			b.ReportAllocs()
			for b.Loop() {
				c.now = c.now.Add(100 * time.Millisecond)
				c.report(workers * tasksPerWorker / 100)
				c.finish(20)
				for range 20 {
					c.submit(false)
				}
				begun += c.settle()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(begun), "µs/start")
			b.ReportMetric(float64(begun)/float64(b.N), "starts/op")
		})
	}
}

// simulateSecond advances by one second and returns the number of starts.
func (c *fullCluster) simulateSecond() int {
	begun := 0
	for range 10 {
		c.now = c.now.Add(100 * time.Millisecond)
		c.report(len(c.tasks) / 100)
		begun += c.settle()
	}
	return begun
}

// BenchmarkSteadySecond measures one second of a full cluster without starts: ten
// plans, and the usage reports of a tenth of the tasks.
func BenchmarkSteadySecond(b *testing.B) {
	for _, workers := range []int{65, 260, 560, 1120} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newFullCluster(workers, nil)
			for range 60 {
				c.simulateSecond() // More tasks start once the real use is measured.
			}
			begun := 0
			b.ReportAllocs()
			for b.Loop() {
				begun += c.simulateSecond()
			}
			b.ReportMetric(float64(begun)/float64(b.N), "starts/op")
			b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N), "%core")
		})
	}
}

// BenchmarkMemory reports the heap size of the scheduler on a full cluster.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range []int{65, 560} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				c := newFullCluster(workers, nil)
				b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB")
				runtime.KeepAlive(c)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
