package control

import (
	"context"
	"sync"
	"time"

	"mangohill.example/mangohill/clusterconfig"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/lease"
	"mangohill.example/mangohill/schedule"
	"mangohill.example/mangohill/state"
	"mangohill.example/mangohill/types"
)

// maxOpsPerEntry bounds the operations that the planner's actions put into one
// entry.
const maxOpsPerEntry = 256

// maxPlanRounds bounds the plans that follow one another without a wait.
const maxPlanRounds = 4

// leader holds what belongs to one term of leadership.
type leader struct {
	service *Service
	store   *state.Store
	term    uint64
	done    chan struct{}

	mu      sync.Mutex
	planner Planner
	leases  *lease.Table
	config  types.Config
	version uint64
	text    string
	outbox  *outbox
	// explained holds why the newest attempts were placed where they were.
	explained explanations
	entries   map[string]*entryState
}

func newLeader(s *Service, term uint64) *leader {
	l := &leader{
		service:   s,
		store:     s.store,
		term:      term,
		done:      make(chan struct{}),
		planner:   s.newPlanner(term),
		explained: newExplanations(),
		outbox:    newOutbox(),
		entries:   make(map[string]*entryState),
	}
	l.leases = lease.New(s.leaseOpts, s.now(), s.store.LongestLease(), holdersOf(s.store.Workers()))
	l.loadConfig()
	return l
}

func holdersOf(workers []types.Worker) []lease.Holder {
	var holders []lease.Holder
	for _, w := range workers {
		if w.State != types.WorkerLost {
			holders = append(holders, lease.Holder{Worker: w.ID, Incarnation: w.Incarnation, Session: w.Session})
		}
	}
	return holders
}

func (l *leader) close() { close(l.done) }

// loadConfig takes over the configuration in force; l.mu is held or l is not yet
// shared. A text that does not parse, which set config refuses, leaves the
// defaults.
func (l *leader) loadConfig() {
	l.version, l.text = l.store.Config()
	parsed, err := clusterconfig.Parse(l.text)
	if err != nil {
		l.service.log.Error().Err(err).Uint64("version", l.version).Msg("the configuration in force does not parse")
		parsed = clusterconfig.Default()
	}
	l.config = *parsed
	l.planner.SetConfig(l.config)
}

// planLoop feeds the planner with changes of the state and applies its actions.
func (l *leader) planLoop(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.store.Signal():
		case <-ticker.C:
		}
		for range maxPlanRounds {
			if !l.planOnce(ctx) {
				break
			}
		}
	}
}

// planOnce runs one plan and reports whether actions were applied.
func (l *leader) planOnce(ctx context.Context) bool {
	l.feed()
	l.mu.Lock()
	actions := l.planner.Plan(l.service.now())
	l.mu.Unlock()
	for begin := 0; begin < len(actions); begin += maxOpsPerEntry {
		end := min(begin+maxOpsPerEntry, len(actions))
		if !l.applyActions(ctx, actions[begin:end]) {
			return false
		}
	}
	return len(actions) > 0 && ctx.Err() == nil
}

// feed passes changes of the state to the planner and to the commands for
// workers.
func (l *leader) feed() {
	changes := l.store.TakeChanges()
	l.mu.Lock()
	defer l.mu.Unlock()
	if changes.Config {
		l.loadConfig()
		l.wakeAll()
	}
	for _, w := range changes.Workers {
		l.planner.UpsertWorker(w)
		l.outbox.updateWorker(w)
		l.watchLease(w)
	}
	for _, t := range changes.Tasks {
		l.planner.UpsertTask(t)
		l.outbox.updateTask(t)
	}
	for _, id := range changes.RemovedTasks {
		l.planner.RemoveTask(id)
		l.outbox.removeTask(id)
	}
	for _, id := range changes.RemovedWorkers {
		l.planner.RemoveWorker(id)
		l.leases.Remove(id)
		l.outbox.removeWorker(id)
	}
	l.wakeDue()
}

// watchLease sees to it that every worker which is not lost has a lease that may
// be renewed or ends, also where the answer to its registration was lost; l.mu is
// held.
func (l *leader) watchLease(w types.Worker) {
	if w.State == types.WorkerLost {
		return
	}
	holder := lease.Holder{Worker: w.ID, Incarnation: w.Incarnation, Session: w.Session}
	l.leases.Register(l.service.now(), holder, l.config.Leases.Duration)
}

// applyActions proposes actions as one entry. It reports whether planning may go
// on at once.
func (l *leader) applyActions(ctx context.Context, actions []schedule.Action) bool {
	ops := make([]state.Op, 0, len(actions))
	for _, action := range actions {
		ops = append(ops, opOf(action))
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	results, err := l.service.propose(ctx, ops...)
	l.feed()
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := false
	for i, action := range actions {
		failure := err
		if err == nil {
			failure = results[i].Failure()
		}
		if failure == nil {
			l.keepExplanation(action)
			continue
		}
		refused = true
		l.planner.Rejected(action, failure)
		l.service.log.Debug().Err(failure).Str("action", action.Cause()).Msg("action refused")
	}
	return !refused
}

// keepExplanation records why an attempt was placed; l.mu is held.
func (l *leader) keepExplanation(action schedule.Action) {
	if start, ok := action.(schedule.Start); ok {
		l.explained.keep(start.Task, l.planner.Explain(start.Task))
	}
}

func opOf(action schedule.Action) state.Op {
	switch a := action.(type) {
	case schedule.Start:
		return state.Start{Task: a.Task, Worker: a.Worker, Epoch: a.Epoch}
	case schedule.Checkpoint:
		return state.Checkpoint{Task: a.Task, Epoch: a.Epoch, Reason: a.Reason}
	case schedule.Throttle:
		return state.Throttle{Task: a.Task, Epoch: a.Epoch, ShareMilli: a.ShareMilli, Reason: a.Reason}
	case schedule.Unthrottle:
		return state.Throttle{Task: a.Task, Epoch: a.Epoch, Reason: a.Reason}
	case schedule.Stop:
		return state.Stop{Task: a.Task, Epoch: a.Epoch, Then: a.Then, Reason: a.Reason}
	case schedule.Replace:
		return state.Replace{Task: a.Task, Epoch: a.Epoch, Reason: a.Reason}
	case schedule.Quarantine:
		return state.Quarantine{Worker: a.Worker, Reason: a.Reason}
	case schedule.Release:
		return state.EndQuarantine{Worker: a.Worker}
	case schedule.Park:
		return state.Park{Task: a.Task, Reason: a.Reason}
	}
	panic(kind.Errorf(kind.Internal, "scheduler action %T has no operation", action).Error())
}

// leaseLoop ends the leases that ran out.
func (l *leader) leaseLoop(ctx context.Context) {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.endLeases(ctx)
		}
	}
}

func (l *leader) endLeases(ctx context.Context) {
	l.mu.Lock()
	over := l.leases.Expired(l.service.now())
	l.mu.Unlock()
	if len(over) == 0 {
		return
	}
	ops := make([]state.Op, 0, len(over))
	for _, h := range over {
		ops = append(ops, state.LeaseExpired{Worker: h.Worker, Incarnation: h.Incarnation, Session: h.Session})
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := l.service.propose(ctx, ops...); err != nil {
		l.service.log.Warn().Err(err).Int("workers", len(over)).Msg("ends of leases were not recorded")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range over {
		l.leases.RemoveExpired(h)
	}
}
