package schedule

import (
	"math/rand/v2"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// Scheduler holds the view of the cluster on which decisions are based. It is not
// safe for concurrent use.
type Scheduler struct {
	options Options
	config  types.Config
	random  *rand.Rand
	now     time.Time

	hosts         []*host // sorted by ID
	hostByID      map[types.WorkerID]*host
	tasks         map[types.TaskID]*task
	jobs          map[string]*job
	teams         map[string]*team
	total         types.Resources // capacity of the hosts that accept tasks
	queue         *queue
	freedSequence uint64      // number of times that room was freed on a host
	evaluations   uint64      // number of host evaluations since New
	freedLog      []freedHost // oldest first
	orphans       int         // number of bound tasks whose worker is unknown
	assumed       []*task     // tasks with an unconfirmed start, oldest first

	profiles        map[string]*classProfile
	overflowProfile *classProfile // shared by the classes beyond maxProfiles
	latencyReports  []latencyReport
	// slowdownLimit is the highest slowdown of a service, as a natural logarithm,
	// that a placement may be predicted to cause.
	slowdownLimit          float64
	reliefHosts            []*host // hosts that the next plan examines for relief
	suspects               []*host // hosts with failures since their last success
	drainingHosts          []*host
	replacements           []*task // tasks that replace a replica
	throttledStarts        []*task // started tasks to throttle as soon as they run
	reservedTasks          []*task // tasks with a reservation, oldest first
	starvationReservations int     // number of reservations for starving tasks
	evictionBudget         evictionBudget
	trials                 [interference.MaxClasses]int // running trials by class
	throttledStartCount    [interference.MaxClasses]int // attempts that started throttled, by class

	filters []filter
	scorers []scorer
	scratch planScratch
	actions []Action
}

// New returns a Scheduler without workers or tasks.
func New(options Options) *Scheduler {
	s := &Scheduler{
		options:  options.withDefaults(),
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		hostByID: map[types.WorkerID]*host{},
		tasks:    map[types.TaskID]*task{},
		jobs:     map[string]*job{},
		teams:    map[string]*team{},
		queue:    newQueue(),
		profiles: map[string]*classProfile{},

		overflowProfile: newClassProfile(),
	}
	s.filters = defaultFilters()
	if s.options.FirstFit {
		s.filters = firstFitFilters()
	}
	s.scorers = defaultScorers()
	s.loadWeights()
	s.setSlowdownLimit()
	return s
}

// SetConfig applies a cluster configuration.
func (s *Scheduler) SetConfig(config types.Config) {
	s.config = config
	for _, t := range s.teams {
		t.setQuota(config.Teams[t.name])
	}
	s.loadWeights()
	s.setSlowdownLimit()
	s.queue.requestRetry()
	for _, state := range s.queue.searches {
		state.noHostFound = false
	}
}

// UpsertWorker adds a worker or applies its new state.
func (s *Scheduler) UpsertWorker(w types.Worker) {
	h := s.hostByID[w.ID]
	if h == nil {
		h = &host{worker: w}
		s.insertHost(h)
		s.bindOrphans(h)
	}
	if h.worker.State == types.WorkerQuarantined && w.State == types.WorkerReady {
		h.health.quarantined = false
	}
	h.worker = w
	s.updateTotal(h)
	s.trackDraining(h)
	if h.accepting() {
		s.recordFreed(h)
	}
}

// updateTotal counts the capacity of h in the cluster's total while h accepts tasks.
func (s *Scheduler) updateTotal(h *host) {
	s.total = s.total.Sub(h.countedCapacity)
	h.countedCapacity = types.Resources{}
	if h.accepting() {
		h.countedCapacity = h.worker.Capacity
	}
	s.total = s.total.Add(h.countedCapacity)
}

// RemoveWorker deletes a worker. Its tasks have no host until their next update.
func (s *Scheduler) RemoveWorker(id types.WorkerID) {
	h := s.hostByID[id]
	if h == nil {
		return
	}
	s.total = s.total.Sub(h.countedCapacity)
	for len(h.tasks) > 0 {
		s.unbind(h.tasks[0])
	}
	for _, t := range s.reservedTasks {
		if t.reservation != nil && t.reservation.host == h {
			s.cancelReservation(t)
		}
	}
	delete(s.hostByID, id)
	s.deleteHost(h)
}

// UpsertTask adds a task or applies its new state from the replicated state.
func (s *Scheduler) UpsertTask(update types.Task) {
	if update.Job == nil {
		return
	}
	t := s.tasks[update.ID]
	if t == nil {
		t = s.newTask(update)
	}
	if t.assumedEpoch > update.Epoch && update.State.Pending() {
		return // The update precedes the assumed start.
	}
	s.applyUpdate(t, update)
}

// RemoveTask deletes a task.
func (s *Scheduler) RemoveTask(id types.TaskID) {
	t := s.tasks[id]
	if t == nil {
		return
	}
	s.queue.remove(t)
	s.releaseReservation(t)
	s.unbind(t)
	t.assumedEpoch = 0
	s.releaseJob(t)
	delete(s.tasks, id)
}

// Rejected undoes what was assumed about an action that the replicated state refused
// with err.
func (s *Scheduler) Rejected(action Action, err error) {
	switch a := action.(type) {
	case Start:
		s.rejectStart(a)
	case Checkpoint:
		s.rejectAction(a.Task)
	case Throttle:
		s.rejectAction(a.Task)
	case Unthrottle:
		s.rejectAction(a.Task)
	case Stop:
		s.rejectAction(a.Task)
	case Replace:
		s.rejectAction(a.Task)
		if t := s.tasks[a.Task]; t != nil && kind.Is(err, kind.BadRequest) {
			t.replacementRefused = true // Other errors may be temporary.
		}
	case Park:
		s.rejectPark(a.Task)
	case Quarantine:
		s.rejectQuarantine(a.Worker)
	}
}

func (s *Scheduler) rejectStart(a Start) {
	t := s.tasks[a.Task]
	if t != nil && t.assumedEpoch == a.Epoch {
		s.dropAssumption(t)
	}
}

// rejectPark queues the task again, in backoff for the confirmation timeout.
func (s *Scheduler) rejectPark(id types.TaskID) {
	s.rejectAction(id)
	t := s.tasks[id]
	if t == nil || !t.State.Pending() || t.bound {
		return
	}
	s.queue.remove(t)
	t.notBefore = s.now.Add(s.options.ConfirmTimeout)
	s.queue.add(t)
}

func (s *Scheduler) rejectAction(id types.TaskID) {
	if t := s.tasks[id]; t != nil {
		t.clearInFlight()
	}
}

// Plan returns the actions to take at now, in the order in which the caller must
// apply them.
func (s *Scheduler) Plan(now time.Time) []Action {
	s.now = now
	s.actions = s.actions[:0]
	s.expireAssumptions()
	s.evictionBudget.setRate(len(s.hosts), s.config.Weights)
	s.applyLatencyReports()
	s.relieveHosts()
	s.throttleStarted()
	s.reviewHealth()
	s.drain()
	s.finishReplacements()
	s.queue.releaseBackoff(now)
	s.checkReservations()
	s.placePending()
	return append([]Action(nil), s.actions...)
}

func (s *Scheduler) enqueue(t *task) {
	t.orderMs = queueOrder(t)
	t.notBefore = time.Time{}
	t.startShareMilli = 0
	if t.Failures > 0 {
		t.notBefore = unixMs(t.ChangedMs).Add(backoff(t.Failures))
	}
	s.queue.add(t)
}

// dropAssumption undoes a start that was rejected or not confirmed in time.
func (s *Scheduler) dropAssumption(t *task) {
	t.assumedEpoch = 0
	s.unbind(t)
	if t.State.Pending() {
		s.enqueue(t)
	}
}

func (s *Scheduler) expireAssumptions() {
	limit := s.now.Add(-s.options.ConfirmTimeout)
	kept := s.assumed[:0]
	for _, t := range s.assumed {
		switch {
		case t.assumedEpoch == 0:
		case t.assumedAt.Before(limit):
			s.dropAssumption(t)
		default:
			kept = append(kept, t)
		}
	}
	clear(s.assumed[len(kept):])
	s.assumed = kept
}

func backoff(failures int) time.Duration {
	pause := minFailureBackoff
	for range failures - 1 {
		pause *= 2
		if pause >= maxFailureBackoff {
			return maxFailureBackoff
		}
	}
	return pause
}

func unixMs(ms int64) time.Time { return time.UnixMilli(ms) }
