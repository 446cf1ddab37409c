package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// newOwingEngine returns a leader whose workers are full of 20 short tasks each, with lasting tasks
// that are due for a reclaim, of an advised queue or another.
func newOwingEngine(b *testing.B, workers, owed int, maxPerWorker uint32, advised bool, size func(i int) int64) *Engine {
	e := New(Settings{}, zerolog.Nop(), 1, workflow.NewState(), 1)
	queue := workflow.Queue{Name: "q", Host: "h", PathPrefix: "/", Service: "s", TimeoutMs: 1000, StretchMilli: 2000, LatencyObjectiveMs: 100_000}
	of := queue
	of.Name, of.PathPrefix, of.Advised = "lasting", "/lasting/", advised
	if err := e.propose(workflow.Op{SetCatalog: &workflow.SetCatalog{Catalog: workflow.Catalog{Version: 1, Queues: []workflow.Queue{queue, of}, Services: []workflow.Service{{Name: "s"}}}}}); err != nil {
		b.Fatal(err)
	}
	for i := range workers {
		name := fmt.Sprint("w", i)
		e.Announce(&Announcement{Life: workflow.Incarnation{Name: name, BornMs: 1}, Address: name, Service: "s", Capacity: workflow.Resources{MilliProcessors: 20_000, MemoryMB: 64_000}}, func(*kind.Error) {})
	}
	for _, v := range e.sortedViews {
		v.fenced, v.clockMs, v.pollInFlight, v.answeredAt = true, 1, true, e.now
	}
	id := workflow.JobID(0)
	submit := func(queue *workflow.Queue, step workflow.Step) {
		id++
		e.submit(queue, id, &Request{Job: &workflow.JobSpec{Steps: []workflow.Step{step}}}, func(Reply) {})
	}
	for range workers {
		submit(&queue, workflow.Step{Count: 20, Resources: workflow.Resources{MilliProcessors: 1000, MemoryMB: 1000}, EstimatedMs: 60_000})
	}
	flush := func() {
		for e.TakeBatch() != nil {
			e.Committed()
		}
		e.TakeOrders()
	}
	flush()
	for i := range 40 {
		e.Advance(e.now.Add(50*time.Millisecond), int64(i*50))
		for _, v := range e.sortedViews {
			v.answeredAt, v.pollInFlight = e.now, true
		}
		e.Tick(e.now, e.wallMs)
		flush()
	}
	for _, v := range e.sortedViews {
		for _, a := range v.attemptList {
			a.running, a.runningSince, a.startAnswered, a.callInFlight, a.startCallInFlight = true, e.now, true, false, false
		}
	}
	for i := range owed {
		submit(&of, workflow.Step{Count: 1, Lasting: true, MaxPerWorker: maxPerWorker, Resources: workflow.Resources{MilliProcessors: size(i), MemoryMB: 100}})
	}
	flush()
	e.Advance(e.now.Add(50*time.Millisecond), e.wallMs+50)
	for _, v := range e.sortedViews {
		v.answeredAt, v.pollInFlight, v.pollDueAt = e.now, true, 0
	}
	e.Tick(e.now, e.wallMs)
	flush()
	e.Advance(e.now.Add(8*time.Second), e.wallMs+8000)
	for _, v := range e.sortedViews {
		v.answeredAt, v.pollInFlight, v.pollDueAt = e.now, true, 0
	}
	e.advisor = newAdvisor()
	if len(e.owedTasks()) != owed {
		b.Fatal("a lasting task is not owed capacity")
	}
	return e
}

// BenchmarkReclaim measures one search of workers for 300 lasting tasks that are due. It is made each
// reservationInterval, in the loop that does all other work of the leader.
func BenchmarkReclaim(b *testing.B) {
	for name, c := range map[string]struct {
		maxPerWorker uint32
		size         func(i int) int64
	}{
		"fit":            {0, func(int) int64 { return 4000 }},
		"none_fits":      {0, func(i int) int64 { return 30_000 - int64(i) }},
		"max_per_worker": {3, func(int) int64 { return 30_000 }},
	} {
		for _, workers := range []int{48, 350, 560} {
			b.Run(fmt.Sprint(name, "/workers=", workers), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					e := newOwingEngine(b, workers, 300, c.maxPerWorker, false, c.size)
					p := e.newCandidateSet()
					b.StartTimer()
					e.reserveForLasting(p)
				}
			})
		}
	}
}

// BenchmarkReclaimAdvised does so for tasks of 300 steps of an advised queue. Of each, the advice
// service has permitted the first workers and refused the others, or answered nothing yet.
func BenchmarkReclaimAdvised(b *testing.B) {
	for name, c := range map[string]struct {
		answered  bool
		permitted int
	}{
		"all_permitted": {true, 1000},
		"one_permitted": {true, 1},
		"all_refused":   {true, 0},
		"not_asked":     {false, 0},
	} {
		for _, workers := range []int{48, 350, 560} {
			b.Run(fmt.Sprint(name, "/workers=", workers), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					e := newOwingEngine(b, workers, 300, 0, true, func(int) int64 { return 4000 })
					for _, s := range e.ready.sorted {
						known := e.advisor.ticketsOf(s.ref)
						for i, v := range e.sortedViews {
							switch {
							case !s.step.Lasting || !c.answered:
							case i < c.permitted:
								known.tickets[v.worker.ID] = ticket{value: "t", until: e.now.Add(time.Minute), validFor: time.Minute}
							default:
								known.refused[v.worker.ID] = true
							}
						}
					}
					p := e.newCandidateSet()
					b.StartTimer()
					e.reserveForLasting(p)
				}
			})
		}
	}
}
