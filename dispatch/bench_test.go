package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/workflow"
)

// BenchmarkSecond measures the leader's work in one second with fleets of several sizes: each
// worker answers a poll, and for each hundred workers some 300 scavengers end, as many are
// placed, and 30 jobs wait for room.
func BenchmarkSecond(b *testing.B) {
	for _, workers := range []int{100, 300, 350, 900, 3000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) { benchmarkSecond(b, workers) })
	}
}

func benchmarkSecond(b *testing.B, workers int) {
	const serving, images, workersPerJob = 5, 18, 6
	random := rand.New(rand.NewPCG(1, 1))
	state := workflow.NewState()
	apply := func(op workflow.Op) {
		if err := state.Apply(&op); err != nil {
			b.Fatal(err)
		}
	}
	queue := workflow.Queue{Name: "q", Host: "h", PathPrefix: "/", Service: "s", TimeoutMs: 1000, StretchMilli: 2000, LatencyObjectiveMs: 1000}
	apply(workflow.Op{SetCatalog: &workflow.SetCatalog{Catalog: workflow.Catalog{Version: 1, Queues: []workflow.Queue{queue}, Services: []workflow.Service{{Name: "s"}}}}})
	for i := range workers {
		name := fmt.Sprint("w", i)
		apply(workflow.Op{Join: &workflow.Join{Life: workflow.Incarnation{Name: name, BornMs: 1}, Address: name, Service: "s", Capacity: workflow.Resources{MilliProcessors: 37_000, MemoryMB: 125_000}}})
	}
	e := New(Settings{Lease: time.Minute, MaxLease: time.Minute}, zerolog.Nop(), 1, state, 1)
	for _, v := range e.sortedViews {
		v.fenced, v.clockMs, v.pollInFlight = true, 1, true
	}
	next := workflow.JobID(0)
	submit := func(step workflow.Step) {
		next++
		e.submit(&queue, next, &Request{Job: &workflow.JobSpec{Steps: []workflow.Step{step}}}, func(Reply) {})
	}
	for range workers * serving / 14 {
		submit(workflow.Step{Count: 14, Resources: workflow.Resources{MilliProcessors: 6400, MemoryMB: 13_000}, Lasting: true, LatencyTargetMs: 125, Image: fmt.Sprint("serving", random.IntN(10))})
	}
	commitBatches := func() {
		for e.TakeBatch() != nil {
			e.Committed()
		}
		e.TakeOrders()
	}
	commitBatches()
	simulateSecond := func() {
		for range workers / workersPerJob {
			submit(workflow.Step{Count: 20, EstimatedMs: 1700, Resources: workflow.Resources{MilliProcessors: 3500, MemoryMB: 6400}, Scavenger: true, Resumable: true, Image: fmt.Sprint("batch", random.IntN(images))})
		}
		for i := range workers {
			e.now = e.now.Add(time.Second / time.Duration(workers))
			e.wallMs = int64(e.now) / int64(time.Millisecond)
			v := e.sortedViews[i]
			v.answeredAt = e.now
			var answer Answer
			answer.Order = Order{Verb: Poll, Worker: v.worker.ID, Life: v.worker.Life, SentAt: e.now}
			answer.Outcome, answer.ClockMs = Done, 1
			for _, a := range v.attemptList {
				step := e.step(a.ref)
				if step != nil && step.Scavenger && e.since(a.placedAt) > 1700*time.Millisecond {
					answer.Ended = append(answer.Ended, EndedAttempt{Number: v.lastEndSeen + uint64(len(answer.Ended)) + 1, Task: a.ref, Attempt: a.number, How: workflow.EndDone})
					continue
				}
				answer.Running = append(answer.Running, RunningAttempt{Task: a.ref, Attempt: a.number, Percent: fullShare, Gauge: 40 + int64(random.IntN(20))})
			}
			e.HandleAnswer(&answer)
			if i%max(workers/50, 1) == 0 { // Each 20 ms.
				commitBatches()
			}
			if i%max(workers/20, 1) == 0 { // Each 50 ms.
				for _, v := range e.sortedViews {
					v.answeredAt, v.pollInFlight = e.now, true
				}
				e.Tick(e.now, e.wallMs)
			}
		}
	}
	for range 3 {
		simulateSecond()
	}
	b.ResetTimer()
	for range b.N {
		simulateSecond()
	}
	b.ReportMetric(float64(e.counters.Placed)/float64(b.N+3), "placed/s")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/(float64(e.counters.Placed)*float64(b.N)/float64(b.N+3)), "µs/placed")
}
