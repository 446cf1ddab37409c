package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workflow"
)

const (
	// listInterval is the time between two listings of the hosts while a wave
	// is active: the pool charges for each call, and maintenance takes seconds.
	listInterval = 600 * time.Millisecond
	// hostRetryDelay is the pause before an order to the pool is repeated.
	hostRetryDelay = 400 * time.Millisecond
)

// maintenanceState is the leader's state of the maintenance waves.
type maintenanceState struct {
	// hosts is the latest listing by host name, requested at listedAt.
	hosts        map[string]Host
	listedAt     Instant
	listInFlight bool
	nextListAt   Instant
	// preparingSince holds, by host, since when its worker takes no new work so
	// that maintenance can be ordered.
	preparingSince map[string]Instant
	// goingDown holds the names of the workers whose hosts may be going down.
	goingDown map[string]bool
	// calls are the maintenance orders by host.
	calls map[string]*hostCall
	// begunAt is when the maintenance of each host was confirmed.
	begunAt map[string]Instant
	// fenced is set once the pool has seen a higher fencing token: this leader
	// sends it no more orders.
	fenced bool
	orders []HostOrder
}

type hostCall struct {
	inFlight bool
	retryAt  Instant
	// sentCount counts the calls; worker is the incarnation that the first of
	// them ends.
	sentCount int
	worker    workflow.WorkerID
}

func newMaintenanceState() maintenanceState {
	return maintenanceState{preparingSince: make(map[string]Instant), goingDown: make(map[string]bool), calls: make(map[string]*hostCall), begunAt: make(map[string]Instant)}
}

// StartWave records a maintenance wave and calls done, at once or when it is
// committed. A wave that is already known is not changed. The error for an invalid
// wave is of kind bad_request.
func (e *Engine) StartWave(op *workflow.StartWave, done func(*kind.Error)) {
	if e.state.Wave(op.ID) == nil {
		if err := e.propose(workflow.Op{StartWave: op}); err != nil {
			done(toKindError(err))
			return
		}
		e.afterCommit(func() {
			e.log.Info().Uint64("wave", op.ID).Int("hosts", len(op.Hosts)).Uint32("parallel", op.Parallel).Int64("within_ms", op.WithinMs).Uint64("term", e.term).Msg("wave started")
		})
	}
	e.afterCommit(func() { done(nil) })
}

// WaveCompleted calls done with whether the maintenance of all hosts of a wave
// has begun. The error for an unknown wave is of kind not_found.
func (e *Engine) WaveCompleted(id uint64, done func(bool, *kind.Error)) {
	wave := e.state.Wave(id)
	if wave == nil {
		e.afterCommit(func() { done(false, kind.Errorf(kind.NotFound, "wave %d", id)) })
		return
	}
	completed := wave.Completed()
	e.afterCommit(func() { done(completed, nil) })
}

// TakeHostOrders returns and clears the pending orders to the pool of hosts.
func (e *Engine) TakeHostOrders() []HostOrder {
	orders := e.maintenance.orders
	e.maintenance.orders = nil
	return orders
}

func (e *Engine) issueHostOrder(order HostOrder) {
	order.Fence, order.SentAt = e.term, e.now
	e.maintenance.orders = append(e.maintenance.orders, order)
}

// advanceWaves advances the active waves. A new leader waits until the orders of
// the previous one have settled.
func (e *Engine) advanceWaves() {
	m := &e.maintenance
	if m.fenced || e.since(e.tookOverAt) < e.settings.HostTakeoverDelay {
		return
	}
	e.updateGoingDown()
	for _, id := range slices.Sorted(maps.Keys(e.state.Waves())) {
		if wave := e.state.Wave(id); wave.Active() {
			e.advanceWave(wave)
		}
	}
}

// updateGoingDown finds the workers whose hosts may be going down.
func (e *Engine) updateGoingDown() {
	clear(e.maintenance.goingDown)
	for _, wave := range e.state.Waves() {
		for name, stage := range wave.Progress {
			if stage == workflow.MaintenanceOrdered {
				e.maintenance.goingDown[e.maintenance.hosts[name].Worker] = true
			}
		}
	}
}

func (e *Engine) advanceWave(wave *workflow.Wave) {
	m := &e.maintenance
	if !m.listInFlight && e.now >= m.nextListAt {
		m.listInFlight = true
		e.issueHostOrder(HostOrder{Verb: ListHosts})
	}
	if m.hosts == nil {
		return
	}
	// At most 2*Parallel hosts are down or being prepared, so that the next
	// host is ready when one returns.
	free := 2*int(wave.Parallel) - int(wave.InMaintenance())
	var waiting []string
	for _, name := range wave.Hosts {
		switch stage := wave.Progress[name]; {
		case stage == workflow.MaintenanceOrdered:
			e.orderMaintenance(wave, name)
		case stage == workflow.MaintenanceBegun:
			e.checkHostReturn(wave, name)
		case stage == 0 && m.preparingSince[name] != 0:
			free--
			e.prepareHost(wave, name)
		case stage == 0:
			waiting = append(waiting, name)
		}
	}
	e.startPreparations(wave, waiting, free)
}

// startPreparations starts to prepare hosts, those with the fewest attempts
// first. free is the number of hosts to prepare.
func (e *Engine) startPreparations(wave *workflow.Wave, waiting []string, free int) {
	m := &e.maintenance
	slices.SortStableFunc(waiting, func(a, b string) int {
		return cmp.Compare(e.attemptsOn(a), e.attemptsOn(b))
	})
	for _, name := range waiting {
		host, listed := m.hosts[name]
		switch {
		case !listed:
			e.recordMaintenance(wave, name, workflow.MaintenanceEnded, "not listed")
		case free > 0 && host.State == HostUp && e.hostView(name) != nil:
			free--
			m.preparingSince[name] = e.now
			e.log.Info().Uint64("wave", wave.ID).Str("host", name).Str("worker", host.Worker).Int("attempts", e.attemptsOn(name)).Uint32("down", wave.InMaintenance()).Dur("listing_age", e.since(m.listedAt)).Uint64("term", e.term).Msg("host prepared")
		}
	}
}

// hostView returns the view of the worker on a host, nil if it is unknown,
// draining or unreachable.
func (e *Engine) hostView(name string) *workerView {
	w := e.state.WorkerNamed(e.maintenance.hosts[name].Worker)
	if w == nil || w.Draining || !e.reachable(e.views[w.ID]) {
		return nil
	}
	return e.views[w.ID]
}

// attemptsOn returns the number of attempts on a host.
func (e *Engine) attemptsOn(name string) int {
	v := e.hostView(name)
	if v == nil {
		return 0
	}
	return len(v.attemptList)
}

// closedForMaintenance reports whether a worker takes no new work because of a
// maintenance wave.
func (e *Engine) closedForMaintenance(v *workerView) bool {
	if e.maintenance.goingDown[v.worker.Life.Name] {
		return true
	}
	for name := range e.maintenance.preparingSince {
		if e.maintenance.hosts[name].Worker == v.worker.Life.Name {
			return true
		}
	}
	return false
}

func (e *Engine) recordMaintenance(wave *workflow.Wave, name string, stage workflow.Maintenance, reason string) {
	if err := e.propose(workflow.Op{SetMaintenance: &workflow.SetMaintenance{Wave: wave.ID, Host: name, Stage: stage}}); err != nil {
		e.log.Error().Err(err).Uint64("wave", wave.ID).Str("host", name).Msg("maintenance not recorded")
		return
	}
	down, call := wave.InMaintenance(), &hostCall{inFlight: true} // Until it is committed.
	if v := e.hostView(name); v != nil && stage == workflow.MaintenanceOrdered {
		call.worker = v.worker.ID
	}
	e.maintenance.calls[name] = call
	e.afterCommit(func() {
		e.log.Info().Uint64("wave", wave.ID).Str("host", name).Uint8("stage", uint8(stage)).Str("reason", reason).Uint32("down", down).Uint32("parallel", wave.Parallel).Uint64("term", e.term).Msg("maintenance changed")
		call.inFlight = false
	})
}

// orderMaintenance orders the maintenance of a host until the pool confirms it.
// The record of an earlier leader is enough: the pool carries an order out only
// once.
func (e *Engine) orderMaintenance(wave *workflow.Wave, name string) {
	m := &e.maintenance
	call := m.calls[name]
	if call == nil { // Recorded by an earlier leader.
		call = new(hostCall)
		m.calls[name] = call
	}
	if call.inFlight || e.now < call.retryAt {
		return
	}
	if _, listed := m.hosts[name]; !listed {
		e.recordMaintenance(wave, name, workflow.MaintenanceEnded, "not listed")
		return
	}
	call.inFlight = true
	call.sentCount++
	e.issueHostOrder(HostOrder{Verb: MaintainHost, Host: name, Wave: wave.ID})
}

// checkHostReturn ends the maintenance of a host that a later listing shows as up
// or does not list.
func (e *Engine) checkHostReturn(wave *workflow.Wave, name string) {
	m := &e.maintenance
	if m.listedAt <= m.begunAt[name] {
		return
	}
	if host, listed := m.hosts[name]; !listed || host.State == HostUp {
		e.recordMaintenance(wave, name, workflow.MaintenanceEnded, "back")
		delete(m.begunAt, name)
	}
}
