package dispatch

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

// inputSim feeds an engine with inputs of callers, workers and operators that no sound one
// sends, and applies its batches to the replicated state.
type inputSim struct {
	t         *testing.T
	rng       *rand.Rand
	engine    *Engine
	committed *workflow.State
	now       Instant
	wallMs    int64
	orders    []Order
}

// odd reports whether a value of an input is one that no sound sender sends.
func (s *inputSim) odd() bool { return s.rng.IntN(25) == 0 }

// number returns a small number, or an odd one.
func (s *inputSim) number() int64 {
	if !s.odd() {
		return int64(s.rng.IntN(20))
	}
	switch s.rng.IntN(4) {
	case 0:
		return math.MaxInt64 - int64(s.rng.IntN(3))
	case 1:
		return math.MinInt64 + int64(s.rng.IntN(3))
	case 2:
		return -int64(s.rng.IntN(1000))
	}
	return int64(s.rng.Uint64())
}

func (s *inputSim) count() uint32 {
	if s.odd() {
		return s.rng.Uint32()
	}
	return uint32(1 + s.rng.IntN(6))
}

// text returns one of the texts, or an odd one.
func (s *inputSim) text(sound ...string) string {
	if !s.odd() {
		return sound[s.rng.IntN(len(sound))]
	}
	return []string{"", "\xff\xfe", "\x00", strings.Repeat("x", s.rng.IntN(2000)), "é"}[s.rng.IntN(5)]
}

func (s *inputSim) flag() bool { return s.rng.IntN(2) == 0 }

func (s *inputSim) resources() workflow.Resources {
	return workflow.Resources{MilliProcessors: s.number(), MemoryMB: s.number(), Accelerators: s.number()}
}

func (s *inputSim) task() workflow.TaskRef {
	return workflow.TaskRef{Job: workflow.JobID(s.rng.IntN(30)), Occurrence: uint32(s.rng.IntN(3)), Step: uint32(s.rng.IntN(4)), Index: uint32(s.rng.IntN(9))}
}

func (s *inputSim) job() *workflow.JobSpec {
	spec := &workflow.JobSpec{Payload: s.text("p")}
	if s.rng.IntN(4) == 0 {
		spec.Schedule = workflow.Schedule{Times: s.count(), FirstMs: s.wallMs + s.number(), EveryMs: s.number()}
	}
	for i := range 1 + s.rng.IntN(3) {
		step := workflow.Step{
			Count: s.count(), Resources: s.resources(), EstimatedMs: 100 * s.number(), Resumable: s.flag(), Gang: s.rng.IntN(4) == 0, OneRack: s.flag(),
			Duplicable: s.flag(), Lasting: s.rng.IntN(4) == 0, Image: s.text("i", "j"), LatencyTargetMs: s.number(), Scavenger: s.flag(), MaxUnavailable: int32(s.number()),
		}
		if s.rng.IntN(4) == 0 {
			step.Label, step.DataRack, step.MaxPerWorker = s.text("r", ""), s.text("r", ""), s.count()
		}
		if i > 0 && s.flag() {
			step.After = []uint32{uint32(s.rng.IntN(i + 1))}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

func (s *inputSim) step() {
	e := s.engine
	worker := s.text("w1", "w2", "w3")
	switch s.rng.IntN(16) {
	case 0, 1:
		e.HandleRequest(&Request{Verb: RequestVerb(1 + s.rng.IntN(3)), Host: "h", Path: "/q/" + workflow.JobID(s.rng.IntN(30)).String(), Job: s.job()}, func(Reply) {})
	case 2, 3:
		e.Announce(&Announcement{
			Life: workflow.Incarnation{Name: worker, BornMs: 1 + s.wallMs/20_000 + s.number()/16}, Address: s.text(worker + ":1"), Service: "pool", Zone: s.text("z"), Rack: s.text("r"),
			Labels: []string{s.text("r")}, Capacity: workflow.Resources{MilliProcessors: 30 + s.number(), MemoryMB: 30 + s.number(), Accelerators: 30}, Draining: s.rng.IntN(30) == 0, ClockMs: 1000 + s.number(), Report: uint64(s.number()),
		}, func(*kind.Error) {})
	case 4:
		if s.odd() {
			e.Withdraw(worker, s.number(), func() {})
		}
	case 5:
		c := queueCatalog(uint64(1+s.rng.IntN(9)), "q")
		c.Queues[0].StretchMilli, c.Queues[0].LatencyObjectiveMs, c.Queues[0].MaxAttempts, c.Queues[0].Priority = s.number(), s.number(), s.count(), int32(s.number())
		e.SetCatalog(c, func(*kind.Error) {})
	case 6:
		e.StartWave(&workflow.StartWave{ID: uint64(s.rng.IntN(4)), Hosts: []string{s.text("h1"), s.text("h2")}, Parallel: s.count(), WithinMs: s.number()}, func(*kind.Error) {})
	case 7, 8, 9, 10, 11, 12, 13:
		if len(s.orders) > 0 {
			at := s.rng.IntN(len(s.orders))
			order := s.orders[at]
			if !s.odd() { // Otherwise it is answered once more.
				s.orders = append(s.orders[:at:at], s.orders[at+1:]...)
			}
			s.answer(order)
		}
	default:
		s.now, s.wallMs = s.now.Add(200_000_000), s.wallMs+int64(s.rng.IntN(500))-100
		e.Tick(s.now, s.wallMs)
	}
}

func (s *inputSim) answer(order Order) {
	a := Answer{Order: order, Outcome: Done, ClockMs: 1000 + s.number()}
	if s.odd() {
		a.Outcome = Outcome(s.rng.IntN(int(NoListener) + 1))
	}
	if order.Verb == Poll && a.Outcome == Done {
		if w := s.engine.State().Worker(order.Worker); w != nil {
			for _, ref := range sortedTasks(w.Attempts) {
				if s.flag() {
					a.Running = append(a.Running, RunningAttempt{Task: ref, Attempt: w.Attempts[ref], Checkpoint: s.text("c"), Percent: int(s.number()), Gauge: s.number()})
				} else {
					a.Ended = append(a.Ended, EndedAttempt{Number: w.Acked + uint64(len(a.Ended)) + 1, Task: ref, Attempt: w.Attempts[ref], How: workflow.Ending(1 + s.rng.IntN(6)), Checkpoint: s.text("c")})
				}
			}
		}
		for s.odd() {
			a.Running = append(a.Running, RunningAttempt{Task: s.task(), Attempt: s.count(), Checkpoint: s.text("c"), Percent: int(s.number()), Gauge: s.number()})
			a.Ended = append(a.Ended, EndedAttempt{Number: uint64(s.number()), Task: s.task(), Attempt: s.count(), How: workflow.Ending(s.rng.IntN(8)), Checkpoint: s.text("c")})
		}
	}
	s.engine.HandleAnswer(&a)
}

func (s *inputSim) commit() {
	s.orders = append(s.orders, s.engine.TakeOrders()...)
	s.orders = s.orders[max(len(s.orders)-60, 0):]
	batch := s.engine.TakeBatch()
	if batch == nil {
		return
	}
	data, err := batch.Encode()
	require.NoError(s.t, err)
	require.LessOrEqual(s.t, len(data), workflow.MaxCommandBytes)
	decoded, err := workflow.DecodeBatch(data)
	require.NoError(s.t, err)
	for i, err := range s.committed.ApplyBatch(decoded) {
		require.NoError(s.t, err, "operation %d of a batch diverges", i)
	}
	s.engine.Committed()
}

// Guards against inputs that a leader takes and that end it: by a panic, by a batch that
// the log or the state refuses, or by a state that differs from the leader's. The sender
// would repeat them at each next leader.
func TestNoInputEndsTheLeader(t *testing.T) {
	var reached Counters
	first, last := seeds()
	for seed := first; seed <= last; seed++ {
		s := &inputSim{t: t, rng: rand.New(rand.NewPCG(seed, 7)), committed: workflow.NewState(), now: 1_000_000_000, wallMs: 1_700_000_000_000}
		s.engine = New(Settings{Lease: 8e9, MaxLease: 10e9, MaxJobBytes: 8 << 20}, zerolog.Nop(), 1, workflow.NewState(), s.now)
		s.engine.SetCatalog(queueCatalog(1, "q"), func(*kind.Error) {})
		for range 1000 {
			s.step()
			s.commit()
		}
		for s.engine.inFlight != nil || len(s.engine.waiting) > 0 {
			s.commit()
		}
		c := s.engine.Counters()
		reached.Accepted, reached.Placed, reached.Done, reached.Voided = reached.Accepted+c.Accepted, reached.Placed+c.Placed, reached.Done+c.Done, reached.Voided+c.Voided
		want, err := s.engine.State().Snapshot()
		require.NoError(t, err)
		got, err := s.committed.Snapshot()
		require.NoError(t, err)
		require.Equal(t, want, got, "seed %d: the replicated state differs from the leader's", seed)
	}
	t.Logf("%+v", reached)
}
