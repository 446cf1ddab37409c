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
	listings hostListings
	// preparingSince holds, by host, since when its worker takes no new work so
	// that maintenance can be ordered.
	preparingSince map[string]Instant
	// goingDown holds the names of the workers whose hosts may be going down.
	goingDown map[string]bool
	// calls are the maintenance orders for hosts whose maintenance has not ended.
	calls map[hostOfWave]*hostCall
	// fenced is set once the pool has seen a higher fencing token: this leader
	// sends it no more orders.
	fenced bool
	orders []HostOrder
}

// hostOfWave names a host in a wave: several waves may name the same host.
type hostOfWave struct {
	wave uint64
	host string
}

type hostCall struct {
	// inFlight is set while a call or the record of a stage is under way.
	inFlight bool
	retryAt  Instant
	// sentCount counts the calls; worker is the incarnation that the first of
	// them ends, zero if it is unknown.
	sentCount int
	worker    workflow.WorkerID
	// inherited marks an order that an earlier leader recorded.
	inherited bool
	// begunAt is when the maintenance was confirmed, zero if an earlier leader
	// recorded that.
	begunAt Instant
}

func newMaintenanceState() maintenanceState {
	return maintenanceState{listings: newHostListings(), preparingSince: make(map[string]Instant), goingDown: make(map[string]bool), calls: make(map[hostOfWave]*hostCall)}
}

// call returns the orders for a host, those that an earlier leader has recorded too.
func (m *maintenanceState) call(wave *workflow.Wave, name string) *hostCall {
	key := hostOfWave{wave.ID, name}
	if m.calls[key] == nil {
		m.calls[key] = &hostCall{inherited: wave.Progress[name] != 0}
	}
	return m.calls[key]
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
		} else {
			e.maintenance.listings.forget(id)
		}
	}
}

// updateGoingDown finds the workers whose hosts may be going down.
func (e *Engine) updateGoingDown() {
	clear(e.maintenance.goingDown)
	for _, wave := range e.state.Waves() {
		for name, stage := range wave.Progress {
			if host, listed := e.maintenance.listings.host(name); listed && stage == workflow.MaintenanceOrdered {
				e.maintenance.goingDown[host.Worker] = true
			}
		}
	}
}

func (e *Engine) advanceWave(wave *workflow.Wave) {
	m := &e.maintenance
	m.listings.require(wave.ID)
	if number, due := m.listings.next(e.now); due {
		e.issueHostOrder(HostOrder{Verb: ListHosts, Listing: number})
	}
	if !m.listings.decide(wave.ID) {
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

// heldByOtherWave reports whether a host is or may be in maintenance for another wave. The tasks
// that run there once it is back are not those that it was prepared for.
func (e *Engine) heldByOtherWave(wave *workflow.Wave, name string) bool {
	for id, other := range e.state.Waves() {
		if stage := other.Progress[name]; id != wave.ID && (stage == workflow.MaintenanceOrdered || stage == workflow.MaintenanceBegun) {
			return true
		}
	}
	return false
}

// startPreparations starts to prepare hosts, those with the fewest attempts
// first. free is the number of hosts to prepare.
func (e *Engine) startPreparations(wave *workflow.Wave, waiting []string, free int) {
	m := &e.maintenance
	slices.SortStableFunc(waiting, func(a, b string) int {
		return cmp.Compare(e.attemptsOn(a), e.attemptsOn(b))
	})
	for _, name := range waiting {
		host, listed := m.listings.host(name)
		switch {
		case e.heldByOtherWave(wave, name):
		case !listed:
			if m.listings.lack(wave.ID, name) && wave.InMaintenance() < wave.Parallel {
				free--
				e.recordMaintenance(wave, name, workflow.MaintenanceOrdered, "not listed")
			}
		case free > 0 && host.State == HostUp && e.hostView(name) != nil:
			free--
			m.preparingSince[name] = e.now
			e.log.Info().Uint64("wave", wave.ID).Str("host", name).Str("worker", host.Worker).Int("attempts", e.attemptsOn(name)).Uint32("down", wave.InMaintenance()).Uint64("listing", m.listings.latest.number).Dur("listing_age", e.since(m.listings.latest.askedAt)).Uint64("term", e.term).Msg("host prepared")
		}
	}
}

// hostView returns the view of the worker on a host, nil if it is unknown,
// draining or unreachable.
func (e *Engine) hostView(name string) *workerView {
	host, _ := e.maintenance.listings.host(name)
	w := e.state.WorkerNamed(host.Worker)
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
		if host, listed := e.maintenance.listings.host(name); listed && host.Worker == v.worker.Life.Name {
			return true
		}
	}
	return false
}

func (e *Engine) recordMaintenance(wave *workflow.Wave, name string, stage workflow.Maintenance, reason string) {
	m := &e.maintenance
	call := m.call(wave, name) // Before the stage changes: afterwards a new call would count as inherited.
	if err := e.propose(workflow.Op{SetMaintenance: &workflow.SetMaintenance{Wave: wave.ID, Host: name, Stage: stage}}); err != nil {
		e.log.Error().Err(err).Uint64("wave", wave.ID).Str("host", name).Msg("maintenance not recorded")
		return
	}
	down := wave.InMaintenance()
	call.inFlight = true // Until it is committed.
	switch stage {
	case workflow.MaintenanceOrdered:
		if v := e.hostView(name); v != nil {
			call.worker = v.worker.ID
		}
	case workflow.MaintenanceBegun:
		call.begunAt = e.now
	case workflow.MaintenanceEnded:
		delete(m.calls, hostOfWave{wave.ID, name})
	}
	listing, age := m.listings.latest.number, e.since(m.listings.latest.askedAt)
	e.afterCommit(func() {
		e.log.Info().Uint64("wave", wave.ID).Str("host", name).Uint8("stage", uint8(stage)).Str("reason", reason).Uint32("down", down).Uint32("parallel", wave.Parallel).
			Uint64("listing", listing).Dur("listing_age", age).Uint64("term", e.term).Msg("maintenance changed")
		call.inFlight = false
	})
}

// orderMaintenance orders the maintenance of a host until the pool confirms it, or
// answers that it does not have the host. The record of an earlier leader is enough:
// the pool carries an order out only once.
func (e *Engine) orderMaintenance(wave *workflow.Wave, name string) {
	call := e.maintenance.call(wave, name)
	if call.inFlight || e.now < call.retryAt {
		return
	}
	call.inFlight = true
	call.sentCount++
	e.issueHostOrder(HostOrder{Verb: MaintainHost, Host: name, Wave: wave.ID})
}

// checkHostReturn ends the maintenance of a host that a later listing shows as up.
// The order is repeated for a host that the listings lack: it changes nothing, and
// the answer tells whether the pool has the host.
func (e *Engine) checkHostReturn(wave *workflow.Wave, name string) {
	m := &e.maintenance
	call := m.call(wave, name)
	if call.inFlight || m.listings.latest.askedAt <= call.begunAt {
		return
	}
	if host, listed := m.listings.host(name); listed && host.State == HostUp {
		e.recordMaintenance(wave, name, workflow.MaintenanceEnded, "back")
	} else if !listed && m.listings.lack(wave.ID, name) {
		e.orderMaintenance(wave, name)
	}
}
