package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/workflow"
)

// Engine makes the placement decisions of a leader for one term.
type Engine struct {
	settings Settings
	log      zerolog.Logger
	term     uint64
	// planned is the state with all decisions applied, which propose alone changes. state
	// reads it.
	planned *workflow.Planned
	state   *workflow.View
	views   map[workflow.WorkerID]*workerView
	// sortedViews holds the same views in the order of their worker IDs. It is
	// replaced, never modified in place.
	sortedViews []*workerView
	now         Instant
	// tookOverAt is when the engine was created.
	tookOverAt Instant
	// wallMs is the wall clock in milliseconds since the Unix epoch. Until wallKnown is set,
	// it is that of the latest batch.
	wallMs    int64
	wallKnown bool

	// waiting holds the batches that are not proposed yet, in order. inFlight is the one
	// that is being committed, nil for none.
	waiting  []*batch
	inFlight *batch
	// together keeps operations in the current batch; see proposeTogether.
	together bool
	orders   []Order
	ready    readySteps
	counters Counters
	slowdown slowdownModel
	advisor  advisor
	// maintenance is the state of the maintenance waves.
	maintenance maintenanceState
	// liveHeapBytes is the latest measurement; see SetLiveHeap.
	liveHeapBytes int64
	// gangWaitingSince holds since when each gang step waits for room.
	gangWaitingSince map[workflow.StepRef]Instant
	// lastFailures holds, per task, the worker on which an attempt failed last.
	lastFailures map[workflow.TaskRef]taskFailure
	// formerAttempts are attempts that are over although starts of them may still be
	// carried out, oldest first.
	formerAttempts []formerAttempt
	strays         []stray
	// openStarts are the starts that may still be carried out.
	openStarts openStartSet
	// inheritedRecorded is set once the starts of the earlier leader are recorded.
	inheritedRecorded bool
	// withdrawals holds what confirms the withdrawals of workers on which attempts
	// may still run.
	withdrawals map[workflow.WorkerID][]func()
	// callLimit is the number of calls to workers that may be in progress at a time, zero
	// for any number.
	callLimit int
	// departed holds the addresses of the workers that are over.
	departed []string
	// paces holds the progress rates of the attempts of each step.
	paces  stepPaces
	copies copies
	// recentCrashes are the crashes of workers of the last seconds.
	recentCrashes []recentCrash
	hostCrashes   hostCrashRate
	// suspectsWaiting is the number of tasks that waited for a test at the latest plan,
	// longestTestWait the longest such time.
	suspectsWaiting int
	longestTestWait time.Duration
	openStartStats  openStartStats
	// evacuations holds the failure domains whose workers get no starts.
	evacuations map[string]*evacuation
	// moves holds, by worker, the tasks for which it keeps capacity. nextMovesAt is when the
	// next round of moves is due.
	moves       map[workflow.WorkerID][]*move
	nextMovesAt Instant
	// urgentPools holds the pools of capacity for urgent tasks, by service. preemptions are
	// those of lasting tasks whose jobs are active.
	urgentPools map[string]*urgentPool
	preemptions map[workflow.TaskRef]preemption
	// lastingWaits holds the lasting tasks that are to run and do not, as far as is known. waitingStats
	// sums them up, lastingTotals also those that have ended.
	lastingWaits  map[workflow.TaskRef]*lastingWait
	waitingStats  lastingStats
	lastingTotals lastingTotals
	// reservations holds the capacity that is kept for lasting tasks.
	reservations lastingReservations
	// stopsForLasting counts the stops of short tasks for lasting ones, of jobs that are active.
	stopsForLasting map[workflow.TaskRef]int
	// lookAhead holds the reservations for urgent tasks that fit nowhere.
	lookAhead lookAhead
	// searches holds the searches that found no worker. roomChanges counts the changes of what
	// workers have room for.
	searches    map[searchKey][]failedSearch
	roomChanges *uint64
	// observeStage is told how long the stages of jobs and tasks took.
	observeStage StageObserver
}

// Counters count decisions since the engine was created. Lapsed counts attempts that ended
// with their lease, Voided those declared not to run, Unanswered orders without an answer,
// Relocated attempts stopped in order to run elsewhere. Yielded counts lasting tasks that were
// preempted for urgent ones, Reserved the reservations of capacity for urgent tasks that fit
// nowhere. Crashed counts the workers that ended without notice. Overruns counts the times for
// which readings of a serving task exceeded its target, by whole seconds, the last for all
// longer ones; Paused those for which scavengers were paused. Copied counts the copies of
// stragglers, CopiesWon those that were done first, Probes the polls for their progress.
// QuarantinedFailing, QuarantinedSlow and QuarantinedRefusing count the quarantines of workers
// by reason. Served counts the jobs that completed before they were of no value any more, TooLate
// those that did not, Preferred those that went before others of more value, each by size.
type Counters struct {
	Accepted, Cancelled, Placed, Done, Failed, Stopped, Lapsed, Voided   uint64
	Unanswered, Throttled, Relocated, Paused, Crashed, Yielded, Reserved uint64
	Copied, CopiesWon, Probes                                            uint64
	QuarantinedFailing, QuarantinedSlow, QuarantinedRefusing             uint64
	// Evaluated counts how often a worker was evaluated for the tasks of a step.
	Evaluated uint64
	// RefusedCancelled counts the submissions of cancelled IDs that were refused, RefusedCancels
	// the cancels of unknown jobs for which there was no room.
	RefusedCancelled, RefusedCancels uint64
	// OpenStarts counts the starts that stayed without an answer and were recorded.
	OpenStarts uint64
	// Strays counts the running attempts that were not recorded.
	Strays                     uint64
	Overruns                   [overrunBuckets]uint64
	Served, TooLate, Preferred JobSizes
	// HeadroomTargetMilliProcessors is the capacity that is to be kept for urgent tasks beside
	// what they hold, HeadroomHeldMilliProcessors what of it is in gaps; both are current values.
	HeadroomTargetMilliProcessors, HeadroomHeldMilliProcessors int64
	// LastingWaiting is the number of lasting tasks that are to run and do not, LastingReserved
	// those of them for which capacity is kept, LongestWaitMs the longest time for which one has
	// waited, Overdue those that wait beyond their bound; all are current values.
	LastingWaiting, LastingReserved int
	LongestWaitMs                   int64
	// OverdueTotal counts the lasting tasks that became overdue, once a wait, LongestWaitsMs are the
	// longest waits that have ended or go on.
	OverdueTotal   OverdueTasks
	LongestWaitsMs LongestWaits
	// LastingUnplaced is the number of lasting tasks for which the fleet has no room beside the
	// others, by the latest decision on preemptions.
	LastingUnplaced int
	Overdue         OverdueTasks
	// Reclaimed counts the lasting tasks for which short ones were stopped, StoppedForLasting
	// those that were stopped.
	Reclaimed, StoppedForLasting uint64
	// SuspectsWaiting is the number of tasks that wait for a test after the crash of a worker,
	// LongestTestWaitMs the longest time for which one has waited, HostCrashesPerDay how often
	// a worker crashes by itself, as estimated; all are current values.
	SuspectsWaiting   int
	LongestTestWaitMs int64
	HostCrashesPerDay float64
	// OpenStartsNow is the number of open starts, OldestOpenStartMs the time since the oldest
	// was recorded or this leader took over, HeldByOpenStarts the number of pending tasks that
	// they keep from all workers, LongestHeldMs the longest time for which one has been
	// kept so, KeptByOpenStarts the number of placed tasks that do not run and that they keep with
	// their worker, LongestKeptMs the longest such time; all are current values.
	OpenStartsNow     int
	OldestOpenStartMs int64
	HeldByOpenStarts  int
	LongestHeldMs     int64
	KeptByOpenStarts  int
	LongestKeptMs     int64
}

// New returns the engine of a leader that takes over at now. It starts from the
// committed state, which it owns from then on.
func New(settings Settings, log zerolog.Logger, term uint64, state *workflow.State, now Instant) *Engine {
	planned := workflow.NewPlanned(state)
	e := &Engine{
		settings: settings, log: log, term: term, planned: planned, state: planned.View(), now: now, tookOverAt: now, wallMs: state.NowMs(),
		views: make(map[workflow.WorkerID]*workerView), slowdown: newSlowdownModel(), advisor: newAdvisor(), maintenance: newMaintenanceState(), gangWaitingSince: make(map[workflow.StepRef]Instant),
		lastFailures: make(map[workflow.TaskRef]taskFailure), withdrawals: make(map[workflow.WorkerID][]func()), paces: make(stepPaces),
		urgentPools: make(map[string]*urgentPool), preemptions: make(map[workflow.TaskRef]preemption), lastingWaits: make(map[workflow.TaskRef]*lastingWait), reservations: newLastingReservations(), stopsForLasting: make(map[workflow.TaskRef]int), openStarts: newOpenStartSet(), lookAhead: newLookAhead(), searches: make(map[searchKey][]failedSearch), roomChanges: new(uint64),
		observeStage: func(Stage, bool, time.Duration) {},
	}
	for _, id := range slices.Sorted(maps.Keys(state.Workers())) {
		e.addView(state.Worker(id))
	}
	e.adoptEvacuations()
	e.inheritOpenStarts()
	e.ready.reset()
	for _, id := range slices.Sorted(maps.Keys(state.Jobs())) {
		e.ready.recordWork(state.Job(id))
		e.ready.markDirty(id)
	}
	return e
}

// Tick sets the clocks and issues the orders that are due. now includes the time
// for which the machine was suspended; wallMs is the wall clock in milliseconds
// since the Unix epoch.
func (e *Engine) Tick(now Instant, wallMs int64) {
	e.Advance(now, wallMs)
	for _, v := range e.sortedViews {
		e.checkTest(v)
		e.issueDueOrders(v)
	}
	e.observeHosts()
	e.checkOpenStarts()
	e.updateOpenStartStats()
	for _, id := range slices.Sorted(maps.Keys(e.withdrawals)) {
		e.endWithdrawn(id)
	}
	e.advanceWaves()
	e.advanceEvacuations()
	e.updateLastingWaits()
	e.updatePools()
}

// SetLiveHeap sets the measured memory in bytes of the live objects of the process, as found by
// its latest garbage collection.
func (e *Engine) SetLiveHeap(bytes int64) { e.liveHeapBytes = bytes }

// Advance sets the clocks like Tick but issues no orders.
func (e *Engine) Advance(now Instant, wallMs int64) {
	e.now, e.wallMs = now, wallMs
	if !e.wallKnown {
		e.wallKnown = true
		e.noteLeaderlessTime()
	}
}

// State returns the state with all decisions applied, including those that are
// not committed yet.
func (e *Engine) State() *workflow.View { return e.state }

// Counters returns the counts of decisions.
func (e *Engine) Counters() Counters {
	c := e.counters
	c.LastingReserved = len(e.reservations.list)
	c.SuspectsWaiting, c.LongestTestWaitMs = e.suspectsWaiting, e.longestTestWait.Milliseconds()
	c.OpenStartsNow = e.openStarts.len()
	e.openStartStats.addTo(&c)
	c.HostCrashesPerDay = e.hostCrashes.perSecond() * (24 * time.Hour).Seconds()
	c.LastingWaiting, c.LongestWaitMs, c.Overdue = e.waitingStats.waiting, e.waitingStats.longest.Milliseconds(), e.waitingStats.overdue
	c.OverdueTotal, c.LongestWaitsMs = e.lastingTotals.overdue, e.lastingTotals.longestMs()
	for _, p := range e.urgentPools {
		c.HeadroomTargetMilliProcessors += p.targetMilliProcessors
		c.HeadroomHeldMilliProcessors += p.heldMilliProcessors
		c.LastingUnplaced += p.unplaced
	}
	return c
}

// TakeOrders returns and clears the pending orders to workers.
func (e *Engine) TakeOrders() []Order {
	orders := e.orders
	e.orders = nil
	return orders
}

func (e *Engine) since(at Instant) time.Duration { return e.now.Sub(at) }
