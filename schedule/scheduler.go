package schedule

import (
	"math/rand/v2"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// Scheduler holds the view of the cluster that decisions are taken on. It is not
// safe for concurrent use.
type Scheduler struct {
	options Options
	config  types.Config
	random  *rand.Rand
	now     time.Time

	hosts       []*host // sorted by ID
	hostByID    map[types.WorkerID]*host
	tasks       map[types.TaskID]*task
	jobs        map[string]*job
	teams       map[string]*team
	total       types.Resources // capacity of the hosts that accept tasks
	queue       *queue
	sequence    uint64      // counts the events that free hosts
	evaluations uint64      // hosts asked about a task, ever
	freed       []freedHost // log of freed hosts, oldest first
	orphans     int         // bound tasks whose worker is unknown
	assumed     []*task     // tasks with an unconfirmed start, oldest first

	learned      map[string]*learned
	learnedRest  *learned // shared by the classes beyond the bound
	observations []observation
	// slowdownLimit bounds the predicted slowdowns of services, as a logarithm.
	slowdownLimit       float64
	relieving           []*host
	suspects            []*host // hosts with failures since their last success
	drains              []*host // draining hosts
	replacements        []*task
	throttledStarts     []*task // started, to be throttled when they run
	claims              []*task // tasks with a claim, oldest first
	holds               int     // claims that wait for room to come up
	budget              budget
	trials              [interference.MaxClasses]int // running trials by class
	throttledStartCount [interference.MaxClasses]int // attempts with a throttled start by class

	filters []filter
	scorers []scorer
	scratch placement
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
		learned:  map[string]*learned{},

		learnedRest: newLearned(),
	}
	s.filters = defaultFilters()
	if s.options.FirstFit {
		s.filters = firstFitFilters()
	}
	s.scorers = defaultScorers()
	s.weigh()
	s.limitSlowdown()
	return s
}

// SetConfig puts a cluster configuration in force.
func (s *Scheduler) SetConfig(config types.Config) {
	s.config = config
	for _, t := range s.teams {
		t.setQuota(config.Teams[t.name])
	}
	s.weigh()
	s.limitSlowdown()
	s.queue.unblock()
	for _, f := range s.queue.fits {
		f.failed = false
	}
}

// UpsertWorker adds a worker or takes over its new state.
func (s *Scheduler) UpsertWorker(w types.Worker) {
	h := s.hostByID[w.ID]
	if h == nil {
		h = &host{worker: w}
		s.insertHost(h)
		s.adoptOrphans(h)
	}
	if h.worker.State == types.WorkerQuarantined && w.State == types.WorkerReady {
		h.health.quarantined = false
	}
	h.worker = w
	s.count(h)
	s.listDrain(h)
	if h.accepting() {
		s.noteFreed(h)
	}
}

// count adds the capacity of h to the cluster's total while it accepts tasks.
func (s *Scheduler) count(h *host) {
	s.total = s.total.Sub(h.counted)
	h.counted = types.Resources{}
	if h.accepting() {
		h.counted = h.worker.Capacity
	}
	s.total = s.total.Add(h.counted)
}

// RemoveWorker forgets a worker. Its tasks lose their host until their next
// update.
func (s *Scheduler) RemoveWorker(id types.WorkerID) {
	h := s.hostByID[id]
	if h == nil {
		return
	}
	s.total = s.total.Sub(h.counted)
	for len(h.tasks) > 0 {
		s.unbind(h.tasks[0])
	}
	for _, t := range s.claims {
		if t.claim != nil && t.claim.host == h {
			s.reclaim(t)
		}
	}
	delete(s.hostByID, id)
	s.deleteHost(h)
}

// UpsertTask adds a task or takes over its new state from the replicated state.
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
	s.adopt(t, update)
}

// RemoveTask forgets a task.
func (s *Scheduler) RemoveTask(id types.TaskID) {
	t := s.tasks[id]
	if t == nil {
		return
	}
	s.queue.remove(t)
	s.dropClaim(t)
	s.unbind(t)
	t.assumedEpoch = 0
	s.leaveJob(t)
	delete(s.tasks, id)
}

// Rejected undoes what was assumed of an action that the state refused.
func (s *Scheduler) Rejected(action Action, err error) {
	switch a := action.(type) {
	case Start:
		s.rejectedStart(a)
	case Checkpoint:
		s.rejected(a.Task)
	case Throttle:
		s.rejected(a.Task)
	case Unthrottle:
		s.rejected(a.Task)
	case Stop:
		s.rejected(a.Task)
	case Replace:
		s.rejected(a.Task)
		if t := s.tasks[a.Task]; t != nil && kind.Is(err, kind.BadRequest) {
			t.irreplaceable = true // Other refusals may pass.
		}
	case Park:
		s.rejectedPark(a.Task)
	case Quarantine:
		s.rejectedQuarantine(a.Worker)
	}
}

func (s *Scheduler) rejectedStart(a Start) {
	t := s.tasks[a.Task]
	if t != nil && t.assumedEpoch == a.Epoch {
		s.dropAssumption(t)
	}
}

// rejectedPark queues the task again after a pause.
func (s *Scheduler) rejectedPark(id types.TaskID) {
	s.rejected(id)
	t := s.tasks[id]
	if t == nil || !t.State.Pending() || t.bound {
		return
	}
	s.queue.remove(t)
	t.notBefore = s.now.Add(s.options.ConfirmTimeout)
	s.queue.add(t)
}

func (s *Scheduler) rejected(id types.TaskID) {
	if t := s.tasks[id]; t != nil {
		t.settleAwait()
	}
}

// Plan decides what to do at now. The caller applies the actions in their order.
func (s *Scheduler) Plan(now time.Time) []Action {
	s.now = now
	s.actions = s.actions[:0]
	s.expireAssumptions()
	s.budget.resize(len(s.hosts), s.config.Weights)
	s.learnLatencies()
	s.relief()
	s.throttleStarted()
	s.reviewHealth()
	s.drain()
	s.finishReplacements()
	s.queue.release(now)
	s.checkClaims()
	s.placePending()
	return append([]Action(nil), s.actions...)
}

func (s *Scheduler) enqueue(t *task) {
	t.order = queueOrder(t)
	t.notBefore = time.Time{}
	t.startShareMilli = 0
	if t.Failures > 0 {
		t.notBefore = unixMs(t.ChangedMs).Add(backoff(t.Failures))
	}
	s.queue.add(t)
}

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
	pause := failureBackoff
	for range failures - 1 {
		pause *= 2
		if pause >= maxFailureBackoff {
			return maxFailureBackoff
		}
	}
	return pause
}

func unixMs(ms int64) time.Time { return time.UnixMilli(ms) }
