package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/workflow"
)

// Engine is the leader's decisions for one term.
type Engine struct {
	settings Settings
	log      zerolog.Logger
	// fence is the term, which every order carries.
	fence uint64
	state *workflow.State
	views map[workflow.WorkerID]*view
	// list holds the views in the order of their IDs. It is replaced, not changed.
	list []*view
	now  Instant
	// began is when the engine took over.
	began Instant
	// wallMs is the wall clock in milliseconds since the Unix epoch.
	wallMs int64

	collecting batch
	inFlight   *batch
	orders     []Order
	ready      readySteps
	counters   Counters
	slowdown   slowdown
	advisor    advisor
	// maintenance is the part in the waves of maintenance.
	maintenance maintainer
	// gangs holds since when a gang waits for room.
	gangs map[workflow.StepRef]Instant
	// avoid names the worker on which a task failed last.
	avoid map[workflow.TaskRef]avoided
}

// Counters count decisions since the engine began.
type Counters struct {
	Accepted, Cancelled, Placed, Done, Failed, Stopped, Lapsed, Voided uint64
	Unanswered, Throttled, Relocated                                   uint64
}

// batch is a list of operations and what follows once they are committed.
type batch struct {
	ops     []workflow.Op
	effects []func()
}

// New returns the engine of a leader that begins at now with the committed
// state, of which it becomes the owner.
func New(settings Settings, log zerolog.Logger, term uint64, state *workflow.State, now Instant) *Engine {
	e := &Engine{
		settings: settings, log: log, fence: term, state: state, now: now, began: now, wallMs: state.NowMs(),
		views: make(map[workflow.WorkerID]*view), slowdown: newSlowdown(), advisor: newAdvisor(), maintenance: newMaintainer(), gangs: make(map[workflow.StepRef]Instant),
		avoid: make(map[workflow.TaskRef]avoided),
	}
	for _, id := range slices.Sorted(maps.Keys(state.Workers())) {
		e.addView(state.Worker(id))
	}
	e.ready.reset()
	for id, job := range state.Jobs() {
		e.ready.noteWork(job)
		e.ready.touch(id)
	}
	return e
}

// Tick passes the time: now counts suspensions, wallMs is the wall clock.
func (e *Engine) Tick(now Instant, wallMs int64) {
	e.now, e.wallMs = now, wallMs
	for _, v := range e.list {
		e.tend(v)
	}
	e.tendWaves()
}

// Advance passes the time without the work of Tick.
func (e *Engine) Advance(now Instant, wallMs int64) { e.now, e.wallMs = now, wallMs }

// State returns the state with all decisions applied, also those that are not
// committed yet.
func (e *Engine) State() *workflow.State { return e.state }

// Counters returns the counts of decisions.
func (e *Engine) Counters() Counters { return e.counters }

// TakeOrders returns the orders to be carried out now.
func (e *Engine) TakeOrders() []Order {
	orders := e.orders
	e.orders = nil
	return orders
}

// TakeBatch plans and returns the next batch for the log, nil if there is none or
// one is under way.
func (e *Engine) TakeBatch() *workflow.Batch {
	if e.inFlight != nil {
		return nil
	}
	e.plan()
	if len(e.collecting.ops) == 0 {
		return nil
	}
	taken := e.collecting
	e.collecting = batch{}
	e.inFlight = &taken
	return &workflow.Batch{NowMs: e.wallMs, Ops: taken.ops}
}

// Committed releases the effects of the batch under way.
func (e *Engine) Committed() {
	done := e.inFlight
	e.inFlight = nil
	for _, effect := range done.effects {
		effect()
	}
}

// decide applies an operation and adds it to the next batch. An operation that
// has no effect is dropped.
func (e *Engine) decide(op workflow.Op) error {
	if len(e.collecting.ops) == 0 {
		e.state.AdvanceTime(e.wallMs)
	}
	if err := e.state.Apply(&op); err != nil {
		return err
	}
	e.collecting.ops = append(e.collecting.ops, op)
	return nil
}

// then runs the effect once everything decided so far is committed.
func (e *Engine) then(effect func()) {
	switch {
	case len(e.collecting.ops) > 0:
		e.collecting.effects = append(e.collecting.effects, effect)
	case e.inFlight != nil:
		e.inFlight.effects = append(e.inFlight.effects, effect)
	default:
		effect()
	}
}

func (e *Engine) since(at Instant) time.Duration { return e.now.Sub(at) }
