package control

import (
	"context"
	"maps"
	"slices"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/lease"
	"mangohill.example/mangohill/state"
	"mangohill.example/mangohill/types"
)

// reportOps collects the operations of one ReportArgs, each with a callback for its
// result.
type reportOps struct {
	ops      []state.Op
	onResult []func(state.Result)
}

func (b *reportOps) add(op state.Op, onResult func(state.Result)) {
	b.ops = append(b.ops, op)
	b.onResult = append(b.onResult, onResult)
}

// report replicates the workers' reports and answers once they are applied.
func (l *leader) report(ctx context.Context, args *controlapi.ReportArgs, reply *controlapi.ReportReply) error {
	var b reportOps
	answer := newReportAnswer()
	for i := range args.Syncs {
		l.collect(&b, &args.Syncs[i], answer)
	}
	if len(b.ops) > 0 {
		results, err := l.service.propose(ctx, b.ops...)
		if err != nil {
			return err
		}
		for i, result := range results {
			b.onResult[i](result)
		}
	}
	l.recordUsage(args)
	reply.Resync = slices.Sorted(maps.Keys(answer.resync))
	reply.Stale = slices.Sorted(maps.Keys(answer.stale))
	return nil
}

// reportAnswer collects the names of the workers that have to send a full sync (resync),
// and of those whose reporting incarnation was replaced by a newer one (stale).
type reportAnswer struct {
	resync map[string]struct{}
	stale  map[string]struct{}
}

func newReportAnswer() *reportAnswer {
	return &reportAnswer{resync: make(map[string]struct{}), stale: make(map[string]struct{})}
}

func (l *leader) collect(b *reportOps, sync *controlapi.WorkerReport, answer *reportAnswer) {
	w, ok := l.store.WorkerNamed(sync.Worker)
	switch {
	case ok && sync.Incarnation < w.Incarnation:
		answer.stale[sync.Worker] = struct{}{}
		return
	case sync.Registration != nil:
		l.collectRegistration(b, sync.Registration, w, answer)
	case !ok || w.State == types.WorkerLost || w.Incarnation != sync.Incarnation:
		answer.resync[sync.Worker] = struct{}{}
		return
	}
	if !ok {
		return // The state has placed no task on a new worker.
	}
	for _, task := range sync.Tasks {
		l.collectTask(b, w, sync.Incarnation, task)
	}
	if sync.Full && w.Incarnation == sync.Incarnation {
		l.collectMissing(b, w, sync)
	}
}

func (l *leader) collectRegistration(b *reportOps, r *controlapi.Registration, known types.Worker, answer *reportAnswer) {
	if l.alreadyRegistered(r, known) {
		return
	}
	op := state.Register{
		Worker:        r.Worker,
		Incarnation:   r.Incarnation,
		FailureDomain: r.FailureDomain,
		Rack:          r.Rack,
		Capacity:      r.Capacity,
		Leaving:       r.Leaving,
	}
	b.add(op, func(result state.Result) {
		if result.Err != nil {
			l.service.log.Warn().Err(result.Err).Str("worker", r.Worker).Msg("registration refused")
			answer.addRefused(r.Worker, result.Err.Kind)
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		holder := lease.Holder{Worker: result.Worker, Incarnation: r.Incarnation, Session: result.Version}
		l.leases.Register(l.service.now(), holder, l.config.Leases.Duration)
	})
}

func (a *reportAnswer) addRefused(worker string, k kind.Kind) {
	if k == kind.StaleIncarnation {
		a.stale[worker] = struct{}{}
		return
	}
	a.resync[worker] = struct{}{}
}

// alreadyRegistered reports whether the state holds the same registration and the worker
// may renew its lease under it, so that a new session is not needed.
func (l *leader) alreadyRegistered(r *controlapi.Registration, known types.Worker) bool {
	if known.State == types.WorkerLost || known.State == "" || known.Incarnation != r.Incarnation {
		return false
	}
	if r.Leaving != (known.State == types.WorkerLeaving) {
		return false
	}
	if known.FailureDomain != r.FailureDomain || known.Rack != r.Rack || known.Capacity != r.Capacity {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leases.MayRenew(known.ID, known.Incarnation)
}

// collectTask adds the report of one attempt. If the attempt runs but the state does
// not place it on the worker, the worker is told to stop it.
func (l *leader) collectTask(b *reportOps, w types.Worker, incarnation uint64, task controlapi.TaskReport) {
	reported, err := state.ParseAttemptState(task.State)
	if err != nil {
		l.service.log.Warn().Err(err).Str("worker", w.Name).Str("task", task.Task).Msg("report ignored")
		return
	}
	key := attemptKey{task: task.Task, epoch: task.Epoch}
	live := reported == state.AttemptRunning || reported == state.AttemptThrottled
	t, ok := l.store.TaskNamed(task.Task)
	if !ok {
		l.updateStray(w.ID, key, live)
		return
	}
	op := state.Report{
		Worker:      w.ID,
		Incarnation: incarnation,
		Task:        t.ID,
		Epoch:       task.Epoch,
		State:       reported,
		Checkpoint:  task.Checkpoint,
		Reason:      task.Reason,
	}
	b.add(op, func(result state.Result) {
		stale := result.Err != nil && (result.Err.Kind == kind.StaleEpoch || result.Err.Kind == kind.NotFound)
		l.updateStray(w.ID, key, stale && live)
	})
}

func (l *leader) updateStray(worker types.WorkerID, key attemptKey, running bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if running {
		l.outbox.addStray(worker, key)
		l.wakeEntriesWithCommands()
		return
	}
	l.outbox.removeStray(worker, key)
}

// collectMissing stops attempts that the state records as running but a full sync does
// not list. Their resources stay committed until the worker confirms that it does not
// run them, because the full sync may have been delayed and be out of date.
func (l *leader) collectMissing(b *reportOps, w types.Worker, sync *controlapi.WorkerReport) {
	listed := make(map[attemptKey]bool, len(sync.Tasks))
	for _, task := range sync.Tasks {
		listed[attemptKey{task: task.Task, epoch: task.Epoch}] = true
	}
	for _, t := range l.store.Attempts(w.ID) {
		if t.State == types.TaskStarting || t.Stopping != "" || listed[attemptKey{task: t.Name, epoch: t.Epoch}] {
			continue
		}
		op := state.Stop{Task: t.ID, Epoch: t.Epoch, Reason: "worker " + w.Name + " no longer lists it"}
		b.add(op, func(state.Result) {})
	}
}

func (l *leader) recordUsage(args *controlapi.ReportArgs) {
	now := l.service.now()
	for i := range args.Syncs {
		sync := &args.Syncs[i]
		w, ok := l.store.WorkerNamed(sync.Worker)
		if !ok || len(sync.Usage) == 0 {
			continue
		}
		for _, sample := range sync.Usage {
			t, ok := l.store.TaskNamed(sample.Task)
			if !ok {
				continue
			}
			usage := types.Usage{
				Task:            t.ID,
				Epoch:           sample.Epoch,
				Worker:          w.ID,
				AgeMs:           sample.AgeMs,
				MilliProcessors: sample.MilliProcessors,
				MemoryBytes:     sample.MemoryBytes,
				LatencyP99Us:    sample.LatencyP99Us,
				ProgressMilli:   sample.ProgressMilli,
			}
			l.mu.Lock()
			l.planner.ObserveUsage(now, usage)
			l.mu.Unlock()
		}
	}
}
