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

// maxOpsPerLogEntry bounds the number of planner actions that are proposed in one log
// entry.
const maxOpsPerLogEntry = 256

// maxConsecutivePlans bounds the plans that run without a wait for a tick or a state
// change.
const maxConsecutivePlans = 4

// leader holds the state of one term of leadership.
type leader struct {
	service *Service
	store   *state.Store
	term    uint64
	done    chan struct{} // closed at the end of the term

	mu            sync.Mutex
	planner       Planner
	leases        *lease.Table
	config        types.Config
	configVersion uint64
	configText    string
	evacuated     []string
	outbox        *outbox
	// explanations holds the reasons for the placement of the newest attempts.
	explanations explanations
	entries      map[string]*entryState
}

func newLeader(s *Service, term uint64) *leader {
	l := &leader{
		service:      s,
		store:        s.store,
		term:         term,
		done:         make(chan struct{}),
		planner:      s.newPlanner(term),
		explanations: newExplanations(),
		outbox:       newOutbox(),
		entries:      make(map[string]*entryState),
	}
	l.leases = lease.New(s.leaseOpts, s.now(), s.store.LongestLease(), leaseHolders(s.store.Workers()))
	l.loadConfig()
	return l
}

func leaseHolders(workers []types.Worker) []lease.Holder {
	var holders []lease.Holder
	for _, w := range workers {
		if w.State != types.WorkerLost {
			holders = append(holders, lease.Holder{Worker: w.ID, Incarnation: w.Incarnation, Session: w.Session})
		}
	}
	return holders
}

func (l *leader) close() { close(l.done) }

// loadConfig applies the configuration in force. If its text does not parse, which
// "set config" prevents, it applies the defaults. The caller holds l.mu, or l is not
// shared yet.
func (l *leader) loadConfig() {
	l.configVersion, l.configText, l.evacuated = l.store.ConfigAndEvacuations()
	parsed, err := clusterconfig.Parse(l.configText)
	if err != nil {
		l.service.log.Error().Err(err).Uint64("version", l.configVersion).Msg("the configuration in force does not parse")
		parsed = clusterconfig.Default()
	}
	l.config = *parsed
	l.planner.SetConfig(l.config)
}

// planLoop passes state changes to the planner and proposes the planner's actions.
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
		for range maxConsecutivePlans {
			if !l.planOnce(ctx) {
				break
			}
		}
	}
}

// planOnce runs one plan and reports whether there were actions and all were applied.
func (l *leader) planOnce(ctx context.Context) bool {
	l.propagateChanges()
	l.mu.Lock()
	actions := l.planner.Plan(l.service.now())
	l.mu.Unlock()
	for begin := 0; begin < len(actions); begin += maxOpsPerLogEntry {
		end := min(begin+maxOpsPerLogEntry, len(actions))
		if !l.applyActions(ctx, actions[begin:end]) {
			return false
		}
	}
	return len(actions) > 0 && ctx.Err() == nil
}

// propagateChanges passes state changes to the planner, the leases and the outbox, and
// wakes the exchanges that can be answered.
func (l *leader) propagateChanges() {
	changes := l.store.TakeChanges()
	l.mu.Lock()
	defer l.mu.Unlock()
	if changes.Config {
		l.loadConfig()
		l.wakeAllEntries()
	}
	for _, w := range changes.Workers {
		l.planner.UpsertWorker(w)
		l.outbox.updateWorker(w)
		l.ensureLease(w)
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
	l.wakeEntriesWithCommands()
}

// ensureLease registers the lease of a worker that is not lost, so that the lease can
// be renewed or expire even if the answer to the worker's registration was lost. The
// caller holds l.mu.
func (l *leader) ensureLease(w types.Worker) {
	if w.State == types.WorkerLost {
		return
	}
	holder := lease.Holder{Worker: w.ID, Incarnation: w.Incarnation, Session: w.Session}
	l.leases.Register(l.service.now(), holder, l.config.Leases.Duration)
}

// applyActions proposes the actions in one log entry. It reports whether all were
// applied, so that planning may continue without a wait.
func (l *leader) applyActions(ctx context.Context, actions []schedule.Action) bool {
	ops := make([]state.Op, 0, len(actions))
	for _, action := range actions {
		ops = append(ops, opForAction(action))
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	results, err := l.service.propose(ctx, ops...)
	l.propagateChanges()
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

// keepExplanation records the reasons for the placement of a started attempt. The
// caller holds l.mu.
func (l *leader) keepExplanation(action schedule.Action) {
	if start, ok := action.(schedule.Start); ok {
		l.explanations.keep(start.Task, l.planner.Explain(start.Task))
	}
}

func opForAction(action schedule.Action) state.Op {
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

// leaseLoop records the expiry of leases in the replicated state.
func (l *leader) leaseLoop(ctx context.Context) {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.expireLeases(ctx)
		}
	}
}

func (l *leader) expireLeases(ctx context.Context) {
	l.mu.Lock()
	expired := l.leases.Expired(l.service.now())
	l.mu.Unlock()
	if len(expired) == 0 {
		return
	}
	ops := make([]state.Op, 0, len(expired))
	for _, h := range expired {
		ops = append(ops, state.LeaseExpired{Worker: h.Worker, Incarnation: h.Incarnation, Session: h.Session})
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := l.service.propose(ctx, ops...); err != nil {
		l.service.log.Warn().Err(err).Int("workers", len(expired)).Msg("ends of leases were not recorded")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range expired {
		l.leases.RemoveExpired(h)
	}
}
