package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/headroom"
	"mangohill.example/mangohill/kind"
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

// BenchmarkUrgentPool measures one decision on the pool of capacity for urgent tasks, in a
// fleet of the users' size that lasting tasks fill. It is due each one preemption interval at most.
func BenchmarkUrgentPool(b *testing.B) {
	for _, workers := range []int{100, 490, 900, 3000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) { benchmarkUrgentPool(b, workers) })
	}
}

func benchmarkUrgentPool(b *testing.B, workers int) {
	e := New(Settings{}, zerolog.Nop(), 1, workflow.NewState(), 1)
	queue := workflow.Queue{Name: "q", Host: "h", PathPrefix: "/", Service: "s", TimeoutMs: 1000, StretchMilli: 2000, LatencyObjectiveMs: 100_000}
	if err := e.propose(workflow.Op{SetCatalog: &workflow.SetCatalog{Catalog: workflow.Catalog{Version: 1, Queues: []workflow.Queue{queue}, Services: []workflow.Service{{Name: "s"}}}}}); err != nil {
		b.Fatal(err)
	}
	for i := range workers {
		name := fmt.Sprint("w", i)
		e.Announce(&Announcement{Life: workflow.Incarnation{Name: name, BornMs: 1}, Address: name, Service: "s", Capacity: workflow.Resources{MilliProcessors: 18_000, MemoryMB: 64_000}}, func(*kind.Error) {})
	}
	for _, v := range e.sortedViews {
		v.fenced, v.clockMs, v.pollInFlight = true, 1, true
	}
	next := workflow.JobID(0)
	submit := func(step workflow.Step) {
		next++
		e.submit(&queue, next, &Request{Job: &workflow.JobSpec{Steps: []workflow.Step{step}}}, func(Reply) {})
	}
	settle := func() {
		for e.TakeBatch() != nil {
			e.Committed()
		}
		for _, v := range e.sortedViews {
			for _, a := range v.attemptList {
				a.running, a.percent, a.callInFlight = true, fullShare, false
			}
		}
	}
	for range workers * 6 / 14 {
		submit(workflow.Step{Count: 14, Resources: workflow.Resources{MilliProcessors: 3000, MemoryMB: 6400}, Lasting: true, MaxUnavailable: 2})
	}
	settle()
	for i := range workers / 20 {
		submit(workflow.Step{Count: 10, EstimatedMs: 700, Resources: workflow.Resources{MilliProcessors: 1000 + 700*int64(i%10), MemoryMB: 5200}})
	}
	settle()
	for range 50 {
		e.now = e.now.Add(headroom.SampleInterval)
		e.updatePools()
	}
	for _, v := range e.sortedViews {
		v.answeredAt, v.pollDueAt = e.now, 0
	}
	p, set := e.urgentPools["s"], e.newCandidateSet()
	if !e.viewPool(set, "s").isMissing() {
		b.Fatal("no gap is missing")
	}
	b.ResetTimer()
	for range b.N {
		p.preemptedAt = nil
		e.preemptFor(set, "s", p)
		b.StopTimer()
		if len(p.preemptedAt) == 0 {
			b.Fatal("nothing is preempted")
		}
		for _, v := range e.sortedViews {
			for _, a := range v.attemptList {
				a.stopWanted, a.callInFlight = false, false
			}
		}
		e.TakeOrders()
		b.StartTimer()
	}
}
