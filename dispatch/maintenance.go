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
	// listInterval is the time between two listings of the hosts while a wave is
	// under way: each call to the pool is priced, and maintenance takes seconds.
	listInterval = 600 * time.Millisecond
	// hostRetry is the pause before an order to the pool is repeated.
	hostRetry = 400 * time.Millisecond
)

// maintainer is the leader's part in the waves of maintenance.
type maintainer struct {
	// hosts is the latest listing, by name, of listedAt.
	hosts    map[string]Host
	listedAt Instant
	listing  bool
	nextList Instant
	// preparing holds since when the worker on a host of a wave takes no new work.
	preparing map[string]Instant
	// ending holds the workers whose hosts may be going down.
	ending map[string]bool
	// calls are the orders for single hosts.
	calls map[string]*hostCall
	// begunAt is when the maintenance of a host was confirmed.
	begunAt map[string]Instant
	// fenced is set once another holder was met: this leader orders nothing more.
	fenced bool
	orders []HostOrder
}

type hostCall struct {
	underWay bool
	retryAt  Instant
	// sent counts the calls, worker is the life that the first of them ends.
	sent   int
	worker workflow.WorkerID
}

func newMaintainer() maintainer {
	return maintainer{preparing: make(map[string]Instant), ending: make(map[string]bool), calls: make(map[string]*hostCall), begunAt: make(map[string]Instant)}
}

// StartWave records a wave of maintenance and calls done, perhaps later. A wave
// that is known already is not changed.
func (e *Engine) StartWave(op *workflow.StartWave, done func(*kind.Error)) {
	if e.state.Wave(op.ID) == nil {
		if err := e.decide(workflow.Op{StartWave: op}); err != nil {
			done(asKind(err))
			return
		}
		e.then(func() {
			e.log.Info().Uint64("wave", op.ID).Int("hosts", len(op.Hosts)).Uint32("parallel", op.Parallel).Int64("within_ms", op.WithinMs).Uint64("term", e.fence).Msg("wave started")
		})
	}
	e.then(func() { done(nil) })
}

// WaveCompleted calls done with whether the maintenance of all hosts of a wave has
// begun. The error is of kind not_found.
func (e *Engine) WaveCompleted(id uint64, done func(bool, *kind.Error)) {
	wave := e.state.Wave(id)
	if wave == nil {
		e.then(func() { done(false, kind.Errorf(kind.NotFound, "wave %d", id)) })
		return
	}
	completed := wave.Completed()
	e.then(func() { done(completed, nil) })
}

// TakeHostOrders returns the orders to the pool of hosts.
func (e *Engine) TakeHostOrders() []HostOrder {
	orders := e.maintenance.orders
	e.maintenance.orders = nil
	return orders
}

func (e *Engine) issueHost(order HostOrder) {
	order.Fence, order.SentAt = e.fence, e.now
	e.maintenance.orders = append(e.maintenance.orders, order)
}

// tendWaves continues the waves that are under way. A new leader waits until the
// orders of the one before are settled.
func (e *Engine) tendWaves() {
	m := &e.maintenance
	if m.fenced || e.since(e.began) < e.settings.HostTakeoverDelay {
		return
	}
	e.noteEnding()
	for _, id := range slices.Sorted(maps.Keys(e.state.Waves())) {
		if wave := e.state.Wave(id); wave.Active() {
			e.tendWave(wave)
		}
	}
}

// noteEnding finds the workers whose hosts may be going down.
func (e *Engine) noteEnding() {
	clear(e.maintenance.ending)
	for _, wave := range e.state.Waves() {
		for name, stage := range wave.Progress {
			if stage == workflow.MaintenanceOrdered {
				e.maintenance.ending[e.maintenance.hosts[name].Worker] = true
			}
		}
	}
}

func (e *Engine) tendWave(wave *workflow.Wave) {
	m := &e.maintenance
	if !m.listing && e.now >= m.nextList {
		m.listing = true
		e.issueHost(HostOrder{Verb: ListHosts})
	}
	if m.hosts == nil {
		return
	}
	// As many hosts are prepared as are down, so that each is followed at once.
	free := 2*int(wave.Parallel) - int(wave.InMaintenance())
	var waiting []string
	for _, name := range wave.Hosts {
		switch stage := wave.Progress[name]; {
		case stage == workflow.MaintenanceOrdered:
			e.orderMaintenance(wave, name)
		case stage == workflow.MaintenanceBegun:
			e.noteReturn(wave, name)
		case stage == 0 && m.preparing[name] != 0:
			free--
			e.prepare(wave, name)
		case stage == 0:
			waiting = append(waiting, name)
		}
	}
	e.chooseHosts(wave, waiting, free)
}

// chooseHosts begins to prepare hosts, those first whose work is moved most easily.
func (e *Engine) chooseHosts(wave *workflow.Wave, waiting []string, free int) {
	m := &e.maintenance
	slices.SortStableFunc(waiting, func(a, b string) int {
		return cmp.Compare(e.burden(a), e.burden(b))
	})
	for _, name := range waiting {
		host, listed := m.hosts[name]
		switch {
		case !listed:
			e.setMaintenance(wave, name, workflow.MaintenanceEnded, "not listed")
		case free > 0 && host.State == HostUp && e.hostView(name) != nil:
			free--
			m.preparing[name] = e.now
			e.log.Info().Uint64("wave", wave.ID).Str("host", name).Str("worker", host.Worker).Int("attempts", e.burden(name)).Uint32("down", wave.InMaintenance()).Dur("listing_age", e.since(m.listedAt)).Uint64("term", e.fence).Msg("host prepared")
		}
	}
}

// hostView returns the worker on a host, nil if it is not known, drains or does
// not answer.
func (e *Engine) hostView(name string) *view {
	w := e.state.WorkerNamed(e.maintenance.hosts[name].Worker)
	if w == nil || w.Draining || !e.reachable(e.views[w.ID]) {
		return nil
	}
	return e.views[w.ID]
}

// burden is the number of attempts on a host.
func (e *Engine) burden(name string) int {
	v := e.hostView(name)
	if v == nil {
		return 0
	}
	return len(v.list)
}

// preparingWorker reports whether a worker takes no new work.
func (e *Engine) preparingWorker(v *view) bool {
	if e.maintenance.ending[v.worker.Life.Name] {
		return true
	}
	for name := range e.maintenance.preparing {
		if e.maintenance.hosts[name].Worker == v.worker.Life.Name {
			return true
		}
	}
	return false
}

func (e *Engine) setMaintenance(wave *workflow.Wave, name string, stage workflow.Maintenance, reason string) {
	if err := e.decide(workflow.Op{SetMaintenance: &workflow.SetMaintenance{Wave: wave.ID, Host: name, Stage: stage}}); err != nil {
		e.log.Error().Err(err).Uint64("wave", wave.ID).Str("host", name).Msg("maintenance not recorded")
		return
	}
	down, call := wave.InMaintenance(), &hostCall{underWay: true} // Until it is recorded.
	if v := e.hostView(name); v != nil && stage == workflow.MaintenanceOrdered {
		call.worker = v.worker.ID
	}
	e.maintenance.calls[name] = call
	e.then(func() {
		e.log.Info().Uint64("wave", wave.ID).Str("host", name).Uint8("stage", uint8(stage)).Str("reason", reason).Uint32("down", down).Uint32("parallel", wave.Parallel).Uint64("term", e.fence).Msg("maintenance changed")
		call.underWay = false
	})
}

// orderMaintenance orders the maintenance of a host until it is confirmed. The
// record of an earlier leader is enough: the pool takes an order once.
func (e *Engine) orderMaintenance(wave *workflow.Wave, name string) {
	m := &e.maintenance
	call := m.calls[name]
	if call == nil { // Recorded by an earlier leader.
		call = new(hostCall)
		m.calls[name] = call
	}
	if call.underWay || e.now < call.retryAt {
		return
	}
	if _, listed := m.hosts[name]; !listed {
		e.setMaintenance(wave, name, workflow.MaintenanceEnded, "not listed")
		return
	}
	call.underWay = true
	call.sent++
	e.issueHost(HostOrder{Verb: MaintainHost, Host: name, Wave: wave.ID})
}

// noteReturn ends the maintenance of a host that a later listing shows as up.
func (e *Engine) noteReturn(wave *workflow.Wave, name string) {
	m := &e.maintenance
	if m.listedAt <= m.begunAt[name] {
		return
	}
	if host, listed := m.hosts[name]; !listed || host.State == HostUp {
		e.setMaintenance(wave, name, workflow.MaintenanceEnded, "back")
		delete(m.begunAt, name)
	}
}
